#include "routing/memoryforecast.h"

#include <algorithm>
#include <cmath>

namespace currantwalk {

static constexpr double MinSurvival = 1e-3; // Below this, observations are too rare to use.
// Mean of the exponential distribution of remaining tokens that is assumed without observations.
static constexpr double DefaultRemainingTokens = 512;

MemoryForecast &MemoryForecast::operator+=(const MemoryForecast &other)
{
    addScaled(other, 1);
    return *this;
}

MemoryForecast &MemoryForecast::operator-=(const MemoryForecast &other)
{
    addScaled(other, -1);
    return *this;
}

void MemoryForecast::addScaled(const MemoryForecast &other, float factor)
{
    for (std::size_t i = 0; i < ForecastSize; ++i) {
        mean[i] += other.mean[i] * factor;
        variance[i] += other.variance[i] * factor;
    }
}

MemoryForecast forecastGeneration(const LengthEstimator::View &lengths, std::uint32_t prompt,
                                  std::uint32_t generated, std::uint32_t maxTokens)
{
    MemoryForecast forecast;
    const double currentSurvival = lengths.longerThan(generated);
    for (std::size_t i = 0; i < ForecastSize; ++i) {
        const double step = ForecastSteps[i];
        double survival =
                currentSurvival > MinSurvival
                        ? std::min(1.0, lengths.longerThan(generated + step) / currentSurvival)
                        : std::exp(-step / DefaultRemainingTokens);
        if (maxTokens > 0 && generated + step >= maxTokens)
            survival = 0;
        const double tokens = prompt + generated + step;
        forecast.mean[i] = static_cast<float>(survival * tokens);
        forecast.variance[i] = static_cast<float>(survival * (1 - survival) * tokens * tokens);
    }
    return forecast;
}

float peakMemory(const MemoryForecast &forecast, float margin, std::size_t steps)
{
    float peak = 0;
    for (std::size_t i = 0; i < std::min(steps, ForecastSize); ++i) {
        const float variance = std::max(forecast.variance[i], 0.0F);
        peak = std::max(peak, forecast.mean[i] + margin * std::sqrt(variance));
    }
    return peak;
}

} // namespace currantwalk
