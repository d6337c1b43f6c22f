#include "targets/targetlimits.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

// How long an ended limit is remembered, so that older knowledge of other nodes does not bring it
// back.
static constexpr Duration EndedRetention = std::chrono::seconds(30);

LimitChange TargetLimits::apply(const TargetId &target, std::uint64_t startedAt,
                                const LimitNotice &notice, TimePoint sentAt, TimePoint now)
{
    bool isChanged = false;
    switch (notice.kind) {
    case LimitNotice::Kind::Unreadable: {
        const auto [it, isNew] = m_unreadable.try_emplace(target, startedAt);
        const bool isFirst = isNew || std::exchange(it->second, startedAt) != startedAt;
        return isFirst ? LimitChange::FirstUnreadable : LimitChange::Unchanged;
    }
    case LimitNotice::Kind::Named:
        isChanged = merge({target, startedAt, std::min(notice.perSecond, MaxPerSecond), now, now});
        break;
    case LimitNotice::Kind::None:
        // An answer may be older than one that named the limit and has overtaken it.
        if (limitOf(target, startedAt))
            isChanged = merge({target, startedAt, std::nullopt, sentAt, now});
        break;
    }
    return isChanged ? LimitChange::Changed : LimitChange::Unchanged;
}

bool TargetLimits::merge(const TargetLimit &limit)
{
    const auto [it, isNew] = m_limits.try_emplace(limit.target, limit);
    if (isNew)
        return limit.perSecond.has_value();
    TargetLimit &known = it->second;
    const bool isOlder = limit.startedAt < known.startedAt
                         || (limit.startedAt == known.startedAt && limit.statedAt < known.statedAt);
    if (isOlder)
        return false;
    const bool isSame = known.startedAt == limit.startedAt && known.perSecond == limit.perSecond;
    const TimePoint changedAt = isSame ? known.changedAt : limit.changedAt;
    known = limit;
    known.changedAt = changedAt;
    return !isSame;
}

const TargetLimit *TargetLimits::find(const TargetId &target, std::uint64_t startedAt) const
{
    const auto it = m_limits.find(target);
    return it != m_limits.end() && it->second.startedAt == startedAt ? &it->second : nullptr;
}

std::optional<double> TargetLimits::limitOf(const TargetId &target, std::uint64_t startedAt) const
{
    const TargetLimit *const limit = find(target, startedAt);
    return limit ? limit->perSecond : std::nullopt;
}

std::vector<TargetLimit> TargetLimits::recentChanges(TimePoint now) const
{
    std::vector<TargetLimit> changes;
    for (const auto &[target, limit] : m_limits) {
        if (now - limit.changedAt < ChangeNoticePeriod)
            changes.push_back(limit);
    }
    return changes;
}

std::vector<TargetLimit> TargetLimits::named() const
{
    std::vector<TargetLimit> limits;
    for (const auto &[target, limit] : m_limits) {
        if (limit.perSecond)
            limits.push_back(limit);
    }
    return limits;
}

void TargetLimits::expire(const std::function<bool(const TargetId &)> &isKnown, TimePoint now)
{
    std::erase_if(m_limits, [&](const auto &each) {
        const TargetLimit &limit = each.second;
        return now - limit.statedAt > EndedRetention && (!limit.perSecond || !isKnown(each.first));
    });
    std::erase_if(m_unreadable, [&](const auto &each) { return !isKnown(each.first); });
}

} // namespace currantwalk
