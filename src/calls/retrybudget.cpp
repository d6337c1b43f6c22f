#include "calls/retrybudget.h"

#include <algorithm>

namespace currantwalk {

static constexpr Duration FirstRetryBound = std::chrono::milliseconds(50);
static constexpr Duration LongestRetryBound = std::chrono::seconds(2);

// The saved amount is capped at the reserve, so that a quiet hour does not pay for a storm.
void RetryBudget::onFreshRequest()
{
    m_saved = std::min(m_saved + m_share, std::max(m_reserve, 1.0));
}

bool RetryBudget::take()
{
    if (m_saved < 1.0)
        return false;
    m_saved -= 1.0;
    return true;
}

Duration retryDelay(std::uint32_t number, RandomSource &random)
{
    constexpr std::uint32_t MaxDoublings = 10;
    const std::uint32_t doublings = std::min(std::max(number, 1U) - 1, MaxDoublings);
    const Duration bound = std::min(FirstRetryBound * (1U << doublings), LongestRetryBound);
    return random.jitter(bound);
}

} // namespace currantwalk
