#include "limits/targetlimiter.h"
#include "limits/coldgrants.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

const TargetLimiter::Entry *TargetLimiter::find(const TargetId &target,
                                                std::uint64_t startedAt) const
{
    const auto it = m_entries.find(target);
    return it != m_entries.end() && it->second.startedAt == startedAt ? &it->second : nullptr;
}

std::optional<double> TargetLimiter::coldRate(const TargetId &target, std::uint64_t startedAt) const
{
    return m_hooks.coldRate ? m_hooks.coldRate(target, startedAt) : std::nullopt;
}

bool TargetLimiter::isRestricted(const TargetId &target, std::uint64_t startedAt) const
{
    return m_limits.limitOf(target, startedAt) || coldRate(target, startedAt);
}

void TargetLimiter::request(const TargetId &target, std::uint64_t startedAt, const ZoneName &zone,
                            GrantUse use, Done done)
{
    if (!isRestricted(target, startedAt)) {
        done(true);
        return;
    }
    if (use != GrantUse::Resume && remaining(target, startedAt) > Duration::zero()) {
        done(false);
        return;
    }
    Entry &entry = m_entries[target];
    if (entry.startedAt != startedAt) {
        // Those that wait for an earlier start get their answer with its question.
        entry.grants.clear();
        entry.waitUntil = {};
        entry.startedAt = startedAt;
    }
    entry.zone = zone;
    entry.waiters.push_back({use, std::move(done)});
    if (!entry.isAsking)
        ask(target);
}

// Those that wait for the same use go in one question; the others wait for its answer.
void TargetLimiter::ask(const TargetId &target)
{
    Entry &entry = m_entries.at(target);
    if (!isRestricted(target, entry.startedAt)) {
        for (const Waiter &waiter : std::exchange(entry.waiters, {}))
            waiter.done(true);
        return;
    }
    const auto first = std::min_element(
            entry.waiters.begin(), entry.waiters.end(),
            [](const Waiter &one, const Waiter &other) { return one.use < other.use; });
    GrantRequest request;
    const TargetLimit *const limit = m_limits.find(target, entry.startedAt);
    request.limit = limit ? *limit : TargetLimit{target, entry.startedAt, std::nullopt};
    request.coldPerSecond = coldRate(target, entry.startedAt);
    request.zone = entry.zone;
    request.use = first->use;
    const auto rest = std::stable_partition(
            entry.waiters.begin(), entry.waiters.end(),
            [use = request.use](const Waiter &each) { return each.use == use; });
    std::vector<Waiter> asked(std::make_move_iterator(entry.waiters.begin()),
                              std::make_move_iterator(rest));
    entry.waiters.erase(entry.waiters.begin(), rest);
    request.count = static_cast<std::uint32_t>(asked.size());
    entry.isAsking = true;
    m_hooks.ask(request, [this, alive = m_alive, target, asked = std::move(asked),
                          askedAt = m_timers.now()](const GrantAnswer &answer) {
        if (*alive)
            onAnswer(target, asked, askedAt, answer);
    });
}

void TargetLimiter::onAnswer(const TargetId &target, const std::vector<Waiter> &asked,
                             TimePoint askedAt, const GrantAnswer &answer)
{
    if (answer.limit)
        m_limits.merge(*answer.limit);
    const TimePoint now = m_timers.now();
    Entry &entry = m_entries.at(target);
    entry.isAsking = false;
    const bool isLimited = isRestricted(target, entry.startedAt);
    const bool isCold = coldRate(target, entry.startedAt).has_value();
    const TimePoint lapsesAt = askedAt + (isCold ? ColdGrantLifetime : GrantLifetime);
    // A node that was suspended meanwhile holds grants that the others count as lapsed.
    const std::size_t granted = !isLimited ? asked.size()
                                : now < lapsesAt
                                        ? std::min<std::size_t>(answer.granted.count, asked.size())
                                        : 0;
    if (isLimited)
        entry.grants.insert(entry.grants.end(), granted, lapsesAt);
    if (isLimited && granted < asked.size())
        entry.waitUntil = now + answer.granted.wait;
    for (std::size_t i = 0; i < asked.size(); ++i)
        asked[i].done(i < granted);
    if (m_entries.at(target).isAsking)
        return;
    refuse(target);
    if (!m_entries.at(target).waiters.empty())
        ask(target);
}

// Refuses those for which there is nothing for now.
void TargetLimiter::refuse(const TargetId &target)
{
    Entry &entry = m_entries.at(target);
    if (remaining(target, entry.startedAt) == Duration::zero())
        return;
    const auto rest =
            std::stable_partition(entry.waiters.begin(), entry.waiters.end(),
                                  [](const Waiter &each) { return each.use == GrantUse::Resume; });
    const std::vector<Waiter> refused(std::make_move_iterator(rest),
                                      std::make_move_iterator(entry.waiters.end()));
    entry.waiters.erase(rest, entry.waiters.end());
    for (const Waiter &waiter : refused)
        waiter.done(false);
}

bool TargetLimiter::take(const TargetId &target, std::uint64_t startedAt)
{
    if (!isRestricted(target, startedAt))
        return true;
    if (!find(target, startedAt))
        return false;
    std::deque<TimePoint> &grants = m_entries.at(target).grants;
    while (!grants.empty() && grants.front() <= m_timers.now())
        grants.pop_front();
    if (grants.empty())
        return false;
    grants.pop_front();
    return true;
}

Duration TargetLimiter::remaining(const TargetId &target, std::uint64_t startedAt) const
{
    const Entry *const entry = find(target, startedAt);
    if (!entry || !isRestricted(target, startedAt))
        return Duration::zero();
    return std::max(Duration::zero(), entry->waitUntil - m_timers.now());
}

void TargetLimiter::expire()
{
    std::erase_if(m_entries, [now = m_timers.now()](const auto &each) {
        const Entry &entry = each.second;
        return !entry.isAsking && entry.waiters.empty() && entry.waitUntil <= now
               && (entry.grants.empty() || entry.grants.back() <= now);
    });
}

} // namespace currantwalk
