#include "targets/servicetargets.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<TargetPhase>, 3> TargetPhaseNames{{
        {TargetPhase::Ready, "ready"},
        {TargetPhase::Lapsed, "lapsed"},
        {TargetPhase::Leaving, "leaving"},
}};

std::string_view targetPhaseName(TargetPhase phase)
{
    return enumName(TargetPhaseNames, phase);
}

// A leaving target stays leaving until it restarts, even if its entry says otherwise.
void ServiceTargets::update(const TargetId &id, const TargetEntry &entry)
{
    const TimePoint now = m_timers.now();
    const auto known = m_targets.find(id);
    // A store that was restored from a copy may show an earlier start.
    const bool isEarlierStart = known != m_targets.end() && entry.startedAt != 0
                                && entry.startedAt < known->second.entry.startedAt;
    if (isEarlierStart)
        return;
    const bool isRestart = known != m_targets.end()
                           && (known->second.entry.startedAt != entry.startedAt
                               || known->second.entry.endpoint != entry.endpoint);
    if (isRestart && m_hooks.onRestarted)
        m_hooks.onRestarted(known->second);
    if (isRestart && known->second.phase != TargetPhase::Leaving && m_hooks.onLeaving)
        m_hooks.onLeaving(known->second);
    if (known == m_targets.end() || isRestart) {
        ServiceTarget &target = m_targets[id];
        target = ServiceTarget{id, entry, TargetPhase::Ready, now, now + entry.coldRemaining};
        target.isLeavingAnnounced = entry.isLeaving;
        if (entry.isLeaving)
            leave(target);
        return;
    }
    ServiceTarget &target = known->second;
    target.entry = entry;
    target.hasEntry = true;
    if (target.phase == TargetPhase::Leaving)
        return;
    if (entry.isLeaving) {
        target.isLeavingAnnounced = true;
        leave(target);
        return;
    }
    target.phase = TargetPhase::Ready;
    target.coldUntil = std::max(now + entry.coldRemaining, target.assumedColdUntil);
}

void ServiceTargets::assumeCold(const ZoneName &zone,
                                const std::function<Duration(const std::string &service)> &coldTime)
{
    for (auto &[id, target] : m_targets) {
        if (target.entry.zone != zone)
            continue;
        target.assumedColdUntil = m_timers.now() + coldTime(target.entry.service);
        target.coldUntil = std::max(target.coldUntil, target.assumedColdUntil);
    }
}

void ServiceTargets::remove(const TargetId &id)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end())
        return;
    known->second.hasEntry = false;
    if (known->second.phase == TargetPhase::Leaving)
        return;
    const std::optional<TimePoint> lapsedUntil = lapseEnd();
    if (!lapsedUntil) {
        leave(known->second);
        return;
    }
    known->second.phase = TargetPhase::Lapsed;
    known->second.phaseSince = m_timers.now();
    known->second.lapsedUntil = *lapsedUntil;
}

// Returns until when an entry that is removed now may reappear; nothing if it has not expired in an
// outage. The time runs from the end of the outage, however late the entry is removed.
std::optional<TimePoint> ServiceTargets::lapseEnd() const
{
    const TimePoint now = m_timers.now();
    if (m_storeLostAt)
        return now + m_options.lapseGrace;
    if (!m_storeRecoveredAt || now >= *m_storeRecoveredAt + m_options.lapseGrace)
        return std::nullopt;
    return *m_storeRecoveredAt + m_options.lapseGrace;
}

bool ServiceTargets::isLapseOver(const ServiceTarget &target) const
{
    return !m_storeLostAt && m_timers.now() >= target.lapsedUntil;
}

void ServiceTargets::onStoreLost()
{
    if (!m_storeLostAt)
        m_storeLostAt = m_timers.now();
}

void ServiceTargets::onStoreRecovered()
{
    const TimePoint now = m_timers.now();
    if (m_storeLostAt && now - *m_storeLostAt >= m_options.minOutage)
        m_storeRecoveredAt = now;
    m_storeLostAt.reset();
}

void ServiceTargets::onPeerOutage(Duration sinceOutage)
{
    const TimePoint recoveredAt = m_timers.now() - sinceOutage;
    m_storeRecoveredAt = std::max(recoveredAt, m_storeRecoveredAt.value_or(recoveredAt));
}

void ServiceTargets::markLeaving(const TargetId &id)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end() || known->second.phase == TargetPhase::Leaving)
        return;
    known->second.isLeavingAnnounced = true;
    leave(known->second);
}

// It has ended without having announced that, so no notice of it goes to peers.
void ServiceTargets::markReplaced(const TargetId &id)
{
    const auto known = m_targets.find(id);
    if (known != m_targets.end() && known->second.phase != TargetPhase::Leaving)
        leave(known->second);
}

// The notice does not apply to another start under the same id.
void ServiceTargets::applyLeavingNotice(const LeavingNotice &notice)
{
    const auto known = m_targets.find(notice.id);
    if (known != m_targets.end() && known->second.entry.startedAt == notice.startedAt)
        markLeaving(notice.id);
}

// Targets whose entry was only removed are left out: the entry may have expired during a store
// outage, and each node decides that from its own view of the store.
std::vector<LeavingNotice> ServiceTargets::leavingNotices() const
{
    std::vector<LeavingNotice> notices;
    const TimePoint now = m_timers.now();
    for (const auto &[id, target] : m_targets) {
        const bool isRecent = now - target.phaseSince < m_options.leavingNoticePeriod;
        if (target.phase == TargetPhase::Leaving && target.isLeavingAnnounced && isRecent)
            notices.push_back({id, target.entry.startedAt});
    }
    return notices;
}

void ServiceTargets::leave(ServiceTarget &target)
{
    target.phase = TargetPhase::Leaving;
    target.phaseSince = m_timers.now();
    if (m_hooks.onLeaving)
        m_hooks.onLeaving(target);
}

void ServiceTargets::expire()
{
    const TimePoint now = m_timers.now();
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        ServiceTarget &target = it->second;
        const Duration since = now - target.phaseSince;
        if (target.phase == TargetPhase::Lapsed && isLapseOver(target))
            leave(target);
        // An entry that still says that the target is ready would bring it back.
        const bool isContradicted = target.hasEntry && !target.entry.isLeaving;
        if (target.phase == TargetPhase::Leaving && !isContradicted
            && since >= m_options.leavingRetention)
            it = m_targets.erase(it);
        else
            ++it;
    }
}

std::vector<const ServiceTarget *> ServiceTargets::usable(const std::string &service) const
{
    std::vector<const ServiceTarget *> ready;
    std::vector<const ServiceTarget *> lapsed;
    for (const auto &[id, target] : m_targets) {
        if (target.entry.service != service || isEmptied(target))
            continue;
        if (target.phase == TargetPhase::Ready)
            ready.push_back(&target);
        else if (target.phase == TargetPhase::Lapsed && !isLapseOver(target))
            lapsed.push_back(&target);
    }
    return ready.empty() ? lapsed : ready;
}

bool ServiceTargets::isServiceEmptied(const std::string &service) const
{
    const auto isOfService = [&service](const ServiceTarget &target) {
        return target.entry.service == service && target.phase != TargetPhase::Leaving;
    };
    bool hasTargets = false;
    for (const auto &[id, target] : m_targets) {
        if (!isOfService(target))
            continue;
        if (!isEmptied(target))
            return false;
        hasTargets = true;
    }
    return hasTargets;
}

std::size_t ServiceTargets::countLeaving() const
{
    return static_cast<std::size_t>(
            std::count_if(m_targets.begin(), m_targets.end(), [](const auto &each) {
                return each.second.phase == TargetPhase::Leaving;
            }));
}

std::size_t ServiceTargets::countCold() const
{
    return static_cast<std::size_t>(
            std::count_if(m_targets.begin(), m_targets.end(), [this](const auto &each) {
                return m_timers.now() < each.second.coldUntil;
            }));
}

const ServiceTarget *ServiceTargets::findOther(const std::string &service,
                                               const Endpoint &endpoint) const
{
    const auto rank = [this, &service](const ServiceTarget &each) {
        return std::make_tuple(each.entry.service == service, !isEmptied(each),
                               each.phase != TargetPhase::Leaving);
    };
    const ServiceTarget *best = nullptr;
    for (const auto &[id, each] : m_targets) {
        if (each.entry.endpoint != endpoint && (!best || rank(each) > rank(*best)))
            best = &each;
    }
    return best;
}

const ServiceTarget *ServiceTargets::find(const TargetId &id) const
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second;
}

} // namespace currantwalk
