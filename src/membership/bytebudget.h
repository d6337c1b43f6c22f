#ifndef CURRANTWALK_MEMBERSHIP_BYTEBUDGET_H
#define CURRANTWALK_MEMBERSHIP_BYTEBUDGET_H

#include <cstddef>
#include <cstdint>

#include "base/timerservice.h"

namespace currantwalk {

enum class MessageUrgency {
    Probe, ///< Failure detection: may use the whole budget.
    News,  ///< Leaves a quarter of the burst to probes.
    Bulk,  ///< Repair of tables: leaves half of the burst to the others.
};

/// A token bucket over the bytes that a slice sends.
class ByteBudget
{
public:
    ByteBudget(std::size_t bytesPerSecond, TimePoint now);

    /// Whether a message may be sent now. Its size may overdraw the budget once.
    bool allows(MessageUrgency urgency, TimePoint now);
    /// Returns how many bytes of news a message may carry along: fewer as the budget runs out, so
    /// that news never takes from probes what they need.
    std::size_t newsBytes(TimePoint now);
    void spend(std::size_t bytes) { m_available -= static_cast<double>(bytes); }

private:
    void refill(TimePoint now);

    double m_rate;  ///< Bytes a second.
    double m_burst; ///< Bytes.
    double m_available;
    TimePoint m_filledAt;
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_BYTEBUDGET_H
