#ifndef CURRANTWALK_ROUTING_MEMORYFORECAST_H
#define CURRANTWALK_ROUTING_MEMORYFORECAST_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "routing/lengthestimator.h"

namespace currantwalk {

/// Forecast horizons, as the number of further tokens that each running generation has generated.
constexpr std::array<float, 16> ForecastSteps{0,   16,  32,  64,   96,   128,  192,  256,
                                              384, 512, 768, 1024, 1536, 2048, 3072, 4096};
constexpr std::size_t ForecastSize = ForecastSteps.size();

/// Expected memory use of generations in tokens, and its variance, at each of ForecastSteps.
struct MemoryForecast
{
    std::array<float, ForecastSize> mean{};
    std::array<float, ForecastSize> variance{};

    MemoryForecast &operator+=(const MemoryForecast &other);
    MemoryForecast &operator-=(const MemoryForecast &other);
    /// Adds \a other times \a factor.
    void addScaled(const MemoryForecast &other, float factor);
};

/// Returns the forecast for a generation with \a prompt prompt tokens and \a generated tokens so
/// far. It ends after \a maxTokens generated tokens at the latest; 0 means no known limit.
MemoryForecast forecastGeneration(const LengthEstimator::View &lengths, std::uint32_t prompt,
                                  std::uint32_t generated, std::uint32_t maxTokens);

/// Returns the peak of \a forecast over its first \a steps steps, in tokens. \a margin standard
/// deviations are added to each step.
float peakMemory(const MemoryForecast &forecast, float margin, std::size_t steps = ForecastSize);

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_MEMORYFORECAST_H
