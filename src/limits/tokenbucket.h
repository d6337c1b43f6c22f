#ifndef CURRANTWALK_LIMITS_TOKENBUCKET_H
#define CURRANTWALK_LIMITS_TOKENBUCKET_H

#include "base/timerservice.h"

namespace currantwalk {

/// A token bucket whose balance may become negative, because generated tokens are charged only once
/// they have been generated.
class TokenBucket
{
public:
    explicit TokenBucket(TimePoint now) : m_lastRefillAt(now) {}

    /// Sets the rate in units per second. Time until \a now is credited at the previous rate.
    void setRate(double rate, TimePoint now);
    double balance(TimePoint now);
    /// Adds \a units, which may be negative, to the balance.
    void add(double units, TimePoint now);
    double rate() const { return m_rate; }

private:
    double m_rate = 0;
    double m_balance = 0;
    TimePoint m_lastRefillAt;
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_TOKENBUCKET_H
