#include "lease/leasetable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

// Records that wait for a table; whoever writes them has one to give, so they are few.
static constexpr std::size_t MaxUndecided = 100'000;

static bool isOfDuty(const LeaseRecord &record)
{
    return record.kind == LeaseRecordKind::Take || record.kind == LeaseRecordKind::Renew
           || record.kind == LeaseRecordKind::Release;
}

bool LeaseTable::apply(LogOffset offset, const LeaseRecord &record, TimePoint now)
{
    if (record.kind == LeaseRecordKind::Ask) {
        noteAsk(offset, now);
        return false;
    }
    if (record.kind == LeaseRecordKind::Reset)
        return applyReset(record);
    m_openAsks.clear();
    if (record.kind == LeaseRecordKind::Table)
        return record.asOf <= offset && applyTable(record, now);
    if (m_isKnown)
        return applyToDuty(offset, record, now);
    m_undecided.emplace_back(offset, record);
    if (m_undecided.size() > MaxUndecided)
        onGap(offset + 1);
    return false;
}

void LeaseTable::onGap(LogOffset oldest)
{
    m_isKnown = false;
    m_readFrom = oldest;
    m_duties.clear();
    m_undecided.clear();
    m_openAsks.clear();
}

const DutyState &LeaseTable::state(const std::string &duty) const
{
    static const DutyState Unknown;
    const auto it = m_duties.find(duty);
    return it == m_duties.end() ? Unknown : it->second;
}

// A reset may follow any ask in a row: a reader from the middle may have missed the first of them.
void LeaseTable::noteAsk(LogOffset offset, TimePoint now)
{
    if (m_openAsks.empty())
        m_openAskReadAt = now;
    m_openAsks.push_back(offset);
}

static bool isBelow(const DutyStates &duties, LogOffset asOf)
{
    return std::all_of(duties.begin(), duties.end(),
                       [asOf](const auto &duty) { return duty.second.last < asOf; });
}

// All records from the table's point on must be at hand, or one would be missed.
bool LeaseTable::applyTable(const LeaseRecord &record, TimePoint now)
{
    if (m_isKnown || record.asOf < m_readFrom || !isBelow(record.duties, record.asOf))
        return false;
    m_isKnown = true;
    m_duties = record.duties;
    for (auto &[name, state] : m_duties)
        state.readAt = now;
    for (const auto &[offset, undecided] : std::exchange(m_undecided, {})) {
        if (offset >= record.asOf)
            applyToDuty(offset, undecided, now);
    }
    return true;
}

// Valid where the named ask was followed by asks alone. It holds for readers that know the duties
// as well: one that would not answer an ask, nor renew a lease, for so long, holds nothing any
// more.
bool LeaseTable::applyReset(const LeaseRecord &record)
{
    const bool isValid = std::binary_search(m_openAsks.begin(), m_openAsks.end(), record.seen);
    m_openAsks.clear();
    if (!isValid)
        return false;
    m_isKnown = true;
    m_duties.clear();
    m_undecided.clear();
    return true;
}

// The taker must have read the last valid record: a renewal that it missed makes its take void.
static bool isValidTake(const DutyState &state, const LeaseRecord &record)
{
    return record.seen == state.last;
}

static bool isValidByHolder(const DutyState &state, const LeaseRecord &record)
{
    return state.isTaken() && record.fence == state.fence && record.owner == state.owner;
}

bool LeaseTable::applyToDuty(LogOffset offset, const LeaseRecord &record, TimePoint now)
{
    assert(isOfDuty(record) && "other records concern all duties");
    const DutyState &before = state(record.duty);
    const bool isTake = record.kind == LeaseRecordKind::Take;
    if (isTake ? !isValidTake(before, record) : !isValidByHolder(before, record))
        return false;
    DutyState after;
    after.fence = isTake ? offset : record.fence;
    after.last = offset;
    after.vm = record.vm;
    after.owner = record.owner;
    after.isReleased = record.kind == LeaseRecordKind::Release;
    after.readAt = now;
    assert(after.fence >= before.fence && "fencing numbers only grow");
    assert(after.last > before.last && "records come in order");
    m_duties[record.duty] = after;
    return true;
}

} // namespace currantwalk
