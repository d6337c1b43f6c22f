#include "limits/tokenbucket.h"

#include <algorithm>

#include "limits/shares.h"

namespace currantwalk {

constexpr double BurstSeconds = 1;
constexpr double MinBurst = 1; ///< Units; lets low rates admit single requests at all.

void TokenBucket::setRate(double rate, TimePoint now)
{
    balance(now);
    m_rate = rate;
}

double TokenBucket::balance(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_lastRefillAt).count();
    m_lastRefillAt = now;
    // A balance above the burst size is kept but does not grow.
    const double burst = std::max({MinBurst, m_rate * BurstSeconds, m_balance});
    m_balance = std::min(burst, m_balance + m_rate * seconds);
    return m_balance;
}

void TokenBucket::add(double units, TimePoint now)
{
    m_balance = balance(now) + units;
}

Share limitShare(const LimitObject &limit)
{
    return {limit.requestsPerSecond, limit.tokensPerSecond, static_cast<double>(limit.streams)};
}

Share scaled(const Share &share, double factor)
{
    return {share.requests * factor, share.tokens * factor, share.streams * factor};
}

Share guaranteedShare(const Share &total, std::size_t count)
{
    Share share = scaled(total,
                         GuaranteedFraction / static_cast<double>(std::max<std::size_t>(1, count)));
    share.streams = static_cast<double>(static_cast<std::uint64_t>(share.streams));
    return share;
}

} // namespace currantwalk
