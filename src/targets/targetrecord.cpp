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
    m_heardAt = now;
    if (!m_wasListed)
        m_target.firstSeen = now;
    m_isListed = true;
    m_wasListed = true;
    // The list knows no incarnations. A row that turns to leaving speaks of the incarnation known
    // now; one that stays so may be a late word on an earlier start of the same target, which holds
    // a newer incarnation back only for as long as the list says so.
    if (row.isLeaving && !m_isListedLeaving)
        m_leavingThrough = std::max(m_leavingThrough.value_or(0), m_target.incarnation);
    m_isListedLeaving = row.isLeaving;
    return refresh(before);
}

bool TargetRecord::applyUnlisted(TimePoint now)
{
    if (!m_isListed)
        return false;
    m_isListed = false;
    m_heardAt = now;
    return refresh(m_target.incarnation);
}

bool TargetRecord::applyReport(const TargetReport &report, TimePoint now)
{
    if (report.incarnation < m_target.incarnation)
        return false;
    if (report.isLeaving)
        m_leavingThrough = std::max(m_leavingThrough.value_or(0), report.incarnation);
    const Incarnation before = m_target.incarnation;
    if (report.incarnation > before)
        adopt(report.incarnation, now);
    if (m_isReported && report.load.reportedAt < m_target.load.reportedAt)
        return refresh(before);
    m_heardAt = now;
    m_isReported = true;
    m_target.load = report.load;
    if (m_goneAt && report.load.reportedAt > *m_goneAt)
        m_goneAt.reset();
    const bool isModelsChange = m_target.models != report.models;
    if (isModelsChange)
        m_target.models = report.models;
    return refresh(before) || isModelsChange;
}

bool TargetRecord::applyLeaving(Incarnation incarnation, TimePoint now)
{
    const Incarnation before = m_target.incarnation;
    const Incarnation meant = incarnation == 0 ? before : incarnation;
    m_leavingThrough = std::max(m_leavingThrough.value_or(0), meant);
    m_heardAt = now;
    if (meant > before)
        adopt(meant, now);
    return refresh(before);
}

bool TargetRecord::applyGone(Incarnation incarnation, TimePoint observedAt, TimePoint now)
{
    const Incarnation before = m_target.incarnation;
    if (incarnation < before)
        return false;
    if (incarnation > before)
        adopt(incarnation, now);
    if (m_isReported && m_target.load.reportedAt > observedAt)
        return refresh(before);
    m_heardAt = now;
    if (!m_goneAt || observedAt > *m_goneAt)
        m_goneAt = observedAt;
    return refresh(before);
}

// A leaving row seen while no incarnation was known speaks of the first one that is learnt.
void TargetRecord::adopt(Incarnation incarnation, TimePoint now)
{
    if (m_target.incarnation == 0 && m_leavingThrough)
        m_leavingThrough = std::max(*m_leavingThrough, incarnation);
    m_target.incarnation = incarnation;
    m_target.models.clear();
    m_target.load = TargetLoad{};
    m_target.firstSeen = now;
    m_goneAt.reset();
    m_isReported = false;
}

bool TargetRecord::isLeavingForGood() const
{
    return m_leavingThrough && *m_leavingThrough >= m_target.incarnation;
}

bool TargetRecord::isLeaving() const
{
    return m_isListedLeaving || isLeavingForGood();
}

TargetState TargetRecord::sharedState() const
{
    if (m_target.state == TargetState::Gone)
        return TargetState::Gone;
    return isLeavingForGood() ? TargetState::Leaving : TargetState::Live;
}

TargetState TargetRecord::currentState() const
{
    if (m_goneAt || (m_wasListed && !m_isListed))
        return TargetState::Gone;
    return isLeaving() ? TargetState::Leaving : TargetState::Live;
}

bool TargetRecord::refresh(Incarnation incarnationBefore)
{
    assert(m_target.incarnation >= incarnationBefore && "incarnations only grow");
    const TargetState before = m_target.state;
    m_target.state = currentState();
    assert((m_target.state != TargetState::Live || !isLeaving())
           && "an incarnation that leaves never becomes live again");
    return before != m_target.state || incarnationBefore != m_target.incarnation;
}

} // namespace currantwalk
