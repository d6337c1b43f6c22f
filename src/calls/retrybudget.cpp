#include "calls/retrybudget.h"

#include <algorithm>

namespace currantwalk {

static constexpr Duration InitialBackoffBound = std::chrono::milliseconds(50);
static constexpr Duration MaxBackoffBound = std::chrono::seconds(2);

// Tokens are capped at the reserve, so that a long idle time does not permit a retry storm.
void RetryBudget::onFreshRequest()
{
    m_tokens = std::min(m_tokens + m_share, std::max(m_reserve, 1.0));
}

bool RetryBudget::tryConsume()
{
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

Duration retryDelay(std::uint32_t number, RandomSource &random)
{
    constexpr std::uint32_t MaxDoublings = 10;
    const std::uint32_t doublings = std::min(std::max(number, 1U) - 1, MaxDoublings);
    const Duration bound = std::min(InitialBackoffBound * (1U << doublings), MaxBackoffBound);
    return random.jitter(bound);
}

} // namespace currantwalk
