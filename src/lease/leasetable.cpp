#include "lease/leasetable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

// Limit of records buffered until a table arrives. Nodes that write such records can also send a
// table, so few are expected.
static constexpr std::size_t MaxPendingRecords = 100'000;

static bool isOfDuty(const LeaseRecord &record)
{
    return record.kind == LeaseRecordKind::Take || record.kind == LeaseRecordKind::Renew
           || record.kind == LeaseRecordKind::Release;
}

bool LeaseTable::apply(LogOffset offset, const LeaseRecord &record, TimePoint now)
{
    if (record.kind == LeaseRecordKind::TableRequest) {
        addTableRequest(offset, now);
        return false;
    }
    if (record.kind == LeaseRecordKind::Reset)
        return applyReset(record);
    m_openTableRequests.clear();
    if (record.kind == LeaseRecordKind::Table)
        return record.asOf <= offset && applyTable(record, now);
    if (m_isKnown)
        return applyToDuty(offset, record, now);
    m_pendingRecords.emplace_back(offset, record);
    if (m_pendingRecords.size() > MaxPendingRecords)
        onGap(offset + 1);
    return false;
}

void LeaseTable::onGap(LogOffset oldest)
{
    m_isKnown = false;
    m_readFrom = oldest;
    m_duties.clear();
    m_pendingRecords.clear();
    m_openTableRequests.clear();
}

const DutyState &LeaseTable::state(const std::string &duty) const
{
    static const DutyState Unknown;
    const auto it = m_duties.find(duty);
    return it == m_duties.end() ? Unknown : it->second;
}

// A reset may refer to any of several consecutive table requests, because a reader that started
// late may have missed the first of them.
void LeaseTable::addTableRequest(LogOffset offset, TimePoint now)
{
    if (m_openTableRequests.empty())
        m_openTableRequestReadAt = now;
    m_openTableRequests.push_back(offset);
}

static bool isBelow(const DutyStates &duties, LogOffset asOf)
{
    return std::all_of(duties.begin(), duties.end(),
                       [asOf](const auto &duty) { return duty.second.last < asOf; });
}

// Requires all records from the table's offset on; otherwise a record would be missed.
bool LeaseTable::applyTable(const LeaseRecord &record, TimePoint now)
{
    if (m_isKnown || record.asOf < m_readFrom || !isBelow(record.duties, record.asOf))
        return false;
    m_isKnown = true;
    m_duties = record.duties;
    for (auto &[name, state] : m_duties)
        state.readAt = now;
    for (const auto &[offset, pending] : std::exchange(m_pendingRecords, {})) {
        if (offset >= record.asOf)
            applyToDuty(offset, pending, now);
    }
    return true;
}

// Valid if only further table requests followed the referenced one. Also applies to readers that
// know the state: a node that neither answers a table request nor renews a lease for a lease
// duration no longer holds any lease.
bool LeaseTable::applyReset(const LeaseRecord &record)
{
    const bool isValid =
            std::binary_search(m_openTableRequests.begin(), m_openTableRequests.end(), record.seen);
    m_openTableRequests.clear();
    if (!isValid)
        return false;
    m_isKnown = true;
    m_duties.clear();
    m_pendingRecords.clear();
    return true;
}

// The sender must have read the last valid record: a renewal it has not read invalidates its take.
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
    assert(isOfDuty(record) && "only records about one duty are applied here");
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
    assert(after.fence >= before.fence && "fencing numbers never decrease");
    assert(after.last > before.last && "records are applied in order");
    m_duties[record.duty] = after;
    return true;
}

} // namespace currantwalk
