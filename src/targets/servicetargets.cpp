#include "targets/servicetargets.h"

#include <array>

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

// A target that has said it is leaving does not come back without a new start.
void ServiceTargets::update(const TargetId &id, const TargetEntry &entry)
{
    const TimePoint now = m_timers.now();
    const auto known = m_targets.find(id);
    const bool isRestart = known != m_targets.end()
                           && (known->second.entry.startedAt != entry.startedAt
                               || known->second.entry.endpoint != entry.endpoint);
    if (isRestart && known->second.phase != TargetPhase::Leaving && m_hooks.onLeaving)
        m_hooks.onLeaving(known->second);
    if (known == m_targets.end() || isRestart) {
        ServiceTarget &target = m_targets[id];
        target = {id, entry, TargetPhase::Ready, now, now + entry.coldFor, entry.isLeaving};
        if (entry.isLeaving)
            leave(target);
        return;
    }
    ServiceTarget &target = known->second;
    target.entry = entry;
    if (target.phase == TargetPhase::Leaving)
        return;
    if (entry.isLeaving) {
        target.isLeavingTold = true;
        leave(target);
        return;
    }
    target.phase = TargetPhase::Ready;
    target.coldUntil = now + entry.coldFor;
}

void ServiceTargets::remove(const TargetId &id)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end() || known->second.phase == TargetPhase::Leaving)
        return;
    if (!isLapse()) {
        leave(known->second);
        return;
    }
    known->second.phase = TargetPhase::Lapsed;
    known->second.phaseSince = m_timers.now();
}

bool ServiceTargets::isLapse() const
{
    return m_isStoreLost
           || (m_regainedAt && m_timers.now() - *m_regainedAt < m_options.lapseWindow);
}

void ServiceTargets::storeRegained()
{
    m_isStoreLost = false;
    m_regainedAt = m_timers.now();
}

void ServiceTargets::markLeaving(const TargetId &id)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end() || known->second.phase == TargetPhase::Leaving)
        return;
    known->second.isLeavingTold = true;
    leave(known->second);
}

// Another start under the same id is not meant.
void ServiceTargets::takeNews(const LeavingTarget &news)
{
    const auto known = m_targets.find(news.id);
    if (known != m_targets.end() && known->second.entry.startedAt == news.startedAt)
        markLeaving(news.id);
}

// An entry that is merely gone may have lapsed, which each node judges by what it knows of the
// store.
std::vector<LeavingTarget> ServiceTargets::leavingNews() const
{
    std::vector<LeavingTarget> news;
    const TimePoint now = m_timers.now();
    for (const auto &[id, target] : m_targets) {
        const bool isRecent = now - target.phaseSince < m_options.leavingNews;
        if (target.phase == TargetPhase::Leaving && target.isLeavingTold && isRecent)
            news.push_back({id, target.entry.startedAt});
    }
    return news;
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
        const bool isGraceOver = !m_isStoreLost && since >= m_options.lapseGrace;
        if (target.phase == TargetPhase::Lapsed && isGraceOver)
            leave(target);
        if (target.phase == TargetPhase::Leaving && since >= m_options.leavingMemory)
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
        if (target.entry.service != service)
            continue;
        if (target.phase == TargetPhase::Ready)
            ready.push_back(&target);
        else if (target.phase == TargetPhase::Lapsed)
            lapsed.push_back(&target);
    }
    return ready.empty() ? lapsed : ready;
}

const ServiceTarget *ServiceTargets::find(const TargetId &id) const
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second;
}

} // namespace currantwalk
