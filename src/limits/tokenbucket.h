#ifndef CURRANTWALK_LIMITS_TOKENBUCKET_H
#define CURRANTWALK_LIMITS_TOKENBUCKET_H

#include "base/timerservice.h"

namespace currantwalk {

/// A token bucket whose balance may go below zero, as generated tokens are charged when they come.
class TokenBucket
{
public:
    explicit TokenBucket(TimePoint now) : m_filledAt(now) {}

    /// Sets units a second; what came in until now came at the rate before.
    void setRate(double rate, TimePoint now);
    double balance(TimePoint now);
    /// Adds to the balance, or takes from it where negative.
    void add(double units, TimePoint now);
    double rate() const { return m_rate; }

private:
    double m_rate = 0;
    double m_balance = 0;
    TimePoint m_filledAt;
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_TOKENBUCKET_H
