#include "targets/targetrecord.h"

#include <algorithm>
#include <cassert>

namespace currantwalk {

TargetRecord::TargetRecord(TargetId id)
{
    m_target.id = std::move(id);
}

bool TargetRecord::applyListed(const ListedTarget &row, TimePoint now)
{
    const Incarnation before = m_target.incarnation;
    m_target.kind = row.kind;
    m_target.endpoint = row.endpoint;
    m_target.zone = row.zone;
    m_target.pool = row.pool;
    m_lastUpdatedAt = now;
    if (!m_wasListed)
        m_target.firstSeen = now;
    m_isListed = true;
    m_wasListed = true;
    // The list has no incarnations. A row that changes to leaving applies to the incarnation known
    // now. A row that stays leaving may be outdated and refer to an earlier incarnation, so it
    // keeps a newer one from becoming live only as long as the list says leaving.
    if (row.isLeaving && !m_isListedLeaving)
        m_lastLeavingIncarnation =
                std::max(m_lastLeavingIncarnation.value_or(0), m_target.incarnation);
    m_isListedLeaving = row.isLeaving;
    return updateState(before);
}

bool TargetRecord::applyUnlisted(TimePoint now)
{
    if (!m_isListed)
        return false;
    m_isListed = false;
    m_lastUpdatedAt = now;
    return updateState(m_target.incarnation);
}

bool TargetRecord::applyReport(const TargetReport &report, TimePoint now)
{
    if (report.incarnation < m_target.incarnation)
        return false;
    if (report.isLeaving)
        m_lastLeavingIncarnation =
                std::max(m_lastLeavingIncarnation.value_or(0), report.incarnation);
    const Incarnation before = m_target.incarnation;
    if (report.incarnation > before)
        startIncarnation(report.incarnation, now);
    if (m_isReported && report.load.reportedAt < m_target.load.reportedAt)
        return updateState(before);
    m_lastUpdatedAt = now;
    m_isReported = true;
    m_target.load = report.load;
    if (m_goneAt && report.load.reportedAt > *m_goneAt)
        m_goneAt.reset();
    const bool isModelsChange = m_target.models != report.models;
    if (isModelsChange)
        m_target.models = report.models;
    return updateState(before) || isModelsChange;
}

bool TargetRecord::applyLeaving(Incarnation incarnation, TimePoint now)
{
    const Incarnation before = m_target.incarnation;
    const Incarnation affected = incarnation == 0 ? before : incarnation;
    m_lastLeavingIncarnation = std::max(m_lastLeavingIncarnation.value_or(0), affected);
    m_lastUpdatedAt = now;
    if (affected > before)
        startIncarnation(affected, now);
    return updateState(before);
}

bool TargetRecord::applyGone(Incarnation incarnation, TimePoint observedAt, TimePoint now)
{
    const Incarnation before = m_target.incarnation;
    if (incarnation < before)
        return false;
    if (incarnation > before)
        startIncarnation(incarnation, now);
    if (m_isReported && m_target.load.reportedAt > observedAt)
        return updateState(before);
    m_lastUpdatedAt = now;
    if (!m_goneAt || observedAt > *m_goneAt)
        m_goneAt = observedAt;
    return updateState(before);
}

// A leaving row received before any incarnation was known applies to the first known one.
void TargetRecord::startIncarnation(Incarnation incarnation, TimePoint now)
{
    if (m_target.incarnation == 0 && m_lastLeavingIncarnation)
        m_lastLeavingIncarnation = std::max(*m_lastLeavingIncarnation, incarnation);
    m_target.incarnation = incarnation;
    m_target.models.clear();
    m_target.load = TargetLoad{};
    m_target.firstSeen = now;
    m_goneAt.reset();
    m_isReported = false;
}

bool TargetRecord::isIncarnationLeaving() const
{
    return m_lastLeavingIncarnation && *m_lastLeavingIncarnation >= m_target.incarnation;
}

bool TargetRecord::isLeaving() const
{
    return m_isListedLeaving || isIncarnationLeaving();
}

TargetState TargetRecord::stateForPeers() const
{
    if (m_target.state == TargetState::Gone)
        return TargetState::Gone;
    return isIncarnationLeaving() ? TargetState::Leaving : TargetState::Live;
}

TargetState TargetRecord::currentState() const
{
    if (m_goneAt || (m_wasListed && !m_isListed))
        return TargetState::Gone;
    return isLeaving() ? TargetState::Leaving : TargetState::Live;
}

bool TargetRecord::updateState(Incarnation incarnationBefore)
{
    assert(m_target.incarnation >= incarnationBefore && "incarnations never decrease");
    const TargetState before = m_target.state;
    m_target.state = currentState();
    assert((m_target.state != TargetState::Live || !isLeaving())
           && "a leaving incarnation never becomes live again");
    return before != m_target.state || incarnationBefore != m_target.incarnation;
}

} // namespace currantwalk
