#ifndef CURRANTWALK_MEMBERSHIP_BYTEBUDGET_H
#define CURRANTWALK_MEMBERSHIP_BYTEBUDGET_H

#include <cstddef>
#include <cstdint>

#include "base/timerservice.h"

namespace currantwalk {

enum class MessagePriority {
    Probe,  ///< Failure detection; may use the whole budget.
    Gossip, ///< Dissemination; leaves a quarter of the burst to probes.
    Repair, ///< Table repair; leaves half of the burst to the other priorities.
};

/// A token bucket that limits the bytes sent by the membership protocol.
class ByteBudget
{
public:
    ByteBudget(std::size_t bytesPerSecond, TimePoint now);

    /// Returns whether a message may be sent now. The message may overdraw the budget by its size.
    bool canSend(MessagePriority priority, TimePoint now);
    /// Returns how many bytes of queued gossip may be piggybacked on a message. The number
    /// decreases as the budget runs out, so that gossip does not starve probes.
    std::size_t piggybackBytes(TimePoint now);
    void spend(std::size_t bytes) { m_available -= static_cast<double>(bytes); }

private:
    void refill(TimePoint now);

    double m_rate;  ///< Bytes per second.
    double m_burst; ///< Bytes.
    double m_available;
    TimePoint m_filledAt;
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_BYTEBUDGET_H
