#ifndef CURRANTWALK_LEASE_LEASETABLE_H
#define CURRANTWALK_LEASE_LEASETABLE_H

#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/timerservice.h"
#include "lease/leaserecord.h"

namespace currantwalk {

/// Determines the holder of each duty from the order of the lease stream alone. For a reader that
/// missed older records the state is unknown until it has read a table that covers them.
class LeaseTable
{
public:
    /// Applies the next record; returns whether the state changed.
    bool apply(LogOffset offset, const LeaseRecord &record, TimePoint now);
    /// Called when the records below \a oldest can't be read; the state becomes unknown.
    void onGap(LogOffset oldest);

    bool isKnown() const { return m_isKnown; }
    /// Returns the state of the duty; fence is 0 if it was never taken or is not known.
    const DutyState &state(const std::string &duty) const;
    const DutyStates &duties() const { return m_duties; }
    /// Returns the offset of the first table request with only further requests after it; 0 if
    /// none.
    LogOffset openTableRequest() const
    {
        return m_openTableRequests.empty() ? 0 : m_openTableRequests.front();
    }
    /// Returns when this node read that request.
    TimePoint openTableRequestReadAt() const { return m_openTableRequestReadAt; }

private:
    bool applyTable(const LeaseRecord &record, TimePoint now);
    bool applyReset(const LeaseRecord &record);
    bool applyToDuty(LogOffset offset, const LeaseRecord &record, TimePoint now);
    void addTableRequest(LogOffset offset, TimePoint now);

    bool m_isKnown = true; // Before the first record all duties are free.
    LogOffset m_readFrom = 1;
    DutyStates m_duties;
    std::vector<std::pair<LogOffset, LeaseRecord>> m_pendingRecords; // From m_readFrom on.
    std::vector<LogOffset> m_openTableRequests;                      // Ascending.
    TimePoint m_openTableRequestReadAt{};
};

} // namespace currantwalk

#endif // CURRANTWALK_LEASE_LEASETABLE_H
