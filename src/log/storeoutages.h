#ifndef CURRANTWALK_LOG_STOREOUTAGES_H
#define CURRANTWALK_LOG_STOREOUTAGES_H

#include <deque>

#include "base/timerservice.h"

namespace currantwalk {

/// Decides whether a time in which a node could not read the store was an outage of the store. A
/// node that stood still, was turned away or lost its link could not read it either.
class StoreOutages
{
public:
    /// Writers miss too few heartbeats in a shorter outage for their records to expire.
    static constexpr Duration MinLength = std::chrono::milliseconds(1000);
    /// Nodes notice the end of an outage up to this much apart, as they retry at their own times.
    static constexpr Duration RecoverySpread = std::chrono::milliseconds(1000);

    /// Called when the store is known to have answered a read that was sent at \a sentAt, by
    /// \a answeredAt.
    void onProof(TimePoint sentAt, TimePoint answeredAt);
    /// Returns whether the store may have been unavailable from \a from to \a until, in which a
    /// node could not read it: the time is long enough, and nobody is known to have read it then.
    bool isOutage(TimePoint from, TimePoint until) const;

private:
    static constexpr Duration ProofRetention = std::chrono::seconds(10);

    struct Proof
    {
        TimePoint sentAt{};
        TimePoint answeredAt{};
    };

    std::deque<Proof> m_proofs; ///< Oldest first.
};

} // namespace currantwalk

#endif // CURRANTWALK_LOG_STOREOUTAGES_H
