#ifndef CURRANTWALK_LEASE_LEASETABLE_H
#define CURRANTWALK_LEASE_LEASETABLE_H

#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/timerservice.h"
#include "lease/leaserecord.h"

namespace currantwalk {

/// Decides from the order of the lease stream alone who holds which duty. A reader that misses
/// older records knows nothing until it has read a table that was made of them.
class LeaseTable
{
public:
    /// Takes the next record; returns whether it changed what this node knows.
    bool apply(LogOffset offset, const LeaseRecord &record, TimePoint now);
    /// The records below \a oldest can't be read.
    void onGap(LogOffset oldest);

    bool isKnown() const { return m_isKnown; }
    /// Returns what is known of the duty; a state without fence if nothing.
    const DutyState &state(const std::string &duty) const;
    const DutyStates &duties() const { return m_duties; }
    /// Returns the first of the asks that were followed by nothing but asks; 0 if none.
    LogOffset openAsk() const { return m_openAsks.empty() ? 0 : m_openAsks.front(); }
    /// Returns when this node read the open ask.
    TimePoint openAskReadAt() const { return m_openAskReadAt; }

private:
    bool applyTable(const LeaseRecord &record, TimePoint now);
    bool applyReset(const LeaseRecord &record);
    bool applyToDuty(LogOffset offset, const LeaseRecord &record, TimePoint now);
    void noteAsk(LogOffset offset, TimePoint now);

    bool m_isKnown = true; // Before any record, all duties are free.
    LogOffset m_readFrom = 1;
    DutyStates m_duties;
    std::vector<std::pair<LogOffset, LeaseRecord>> m_undecided; // Since m_readFrom.
    std::vector<LogOffset> m_openAsks;                          // In order.
    TimePoint m_openAskReadAt{};
};

} // namespace currantwalk

#endif // CURRANTWALK_LEASE_LEASETABLE_H
