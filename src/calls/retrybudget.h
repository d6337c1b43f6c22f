#ifndef CURRANTWALK_CALLS_RETRYBUDGET_H
#define CURRANTWALK_CALLS_RETRYBUDGET_H

#include <cstdint>

#include "base/randomsource.h"
#include "base/timerservice.h"

namespace currantwalk {

/// Limits the retries of one service to a share of its first attempts, with a token bucket.
class RetryBudget
{
public:
    /// Each fresh request adds \a share tokens; a retry costs one. The bucket starts with
    /// \a reserve tokens and holds at most that many, or one if \a reserve is less.
    RetryBudget(double share, double reserve)
        : m_share(share), m_reserve(reserve), m_tokens(reserve)
    {
    }

    void onFreshRequest();
    /// Consumes one token for a retry. Returns false if there is none.
    bool tryConsume();

private:
    double m_share;
    double m_reserve;
    double m_tokens;
};

/// Returns the backoff before retry \a number, counted from 1: exponential, with full jitter.
Duration retryDelay(std::uint32_t number, RandomSource &random);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_RETRYBUDGET_H
