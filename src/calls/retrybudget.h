#ifndef CURRANTWALK_CALLS_RETRYBUDGET_H
#define CURRANTWALK_CALLS_RETRYBUDGET_H

#include <cstdint>

#include "base/randomsource.h"
#include "base/timerservice.h"

namespace currantwalk {

/// Bounds retries of one service by a share of its fresh requests.
class RetryBudget
{
public:
    /// \a share is retries for each fresh request; \a reserve is what an idle service may spend.
    RetryBudget(double share, double reserve) : m_share(share), m_reserve(reserve), m_saved(reserve)
    {
    }

    void onFreshRequest();
    /// Spends one retry if there is one.
    bool take();

private:
    double m_share;
    double m_reserve;
    double m_saved;
};

/// Returns the wait before retry \a number, counted from 1: exponential, with full jitter.
Duration retryDelay(std::uint32_t number, RandomSource &random);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_RETRYBUDGET_H
