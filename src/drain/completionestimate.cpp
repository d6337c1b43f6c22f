#include "drain/completionestimate.h"

#include <algorithm>

namespace currantwalk {

// Of the newest answer in the mean.
static constexpr double NewestWeight = 0.1;

void CompletionEstimate::onAnswered(const std::string &service, std::uint32_t tokens, Duration time)
{
    const double perToken = static_cast<double>(time.count()) / std::max<std::uint32_t>(tokens, 1);
    const auto [mean, isFirst] = m_microsecondsPerToken.try_emplace(service, perToken);
    if (!isFirst)
        mean->second += NewestWeight * (perToken - mean->second);
}

Duration CompletionEstimate::expectedTime(const std::string &service, std::uint32_t tokens) const
{
    const auto mean = m_microsecondsPerToken.find(service);
    if (mean == m_microsecondsPerToken.end())
        return Duration::zero();
    return Duration(static_cast<Duration::rep>(mean->second * std::max<std::uint32_t>(tokens, 1)));
}

} // namespace currantwalk
