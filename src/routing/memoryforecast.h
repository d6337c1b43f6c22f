#ifndef CURRANTWALK_ROUTING_MEMORYFORECAST_H
#define CURRANTWALK_ROUTING_MEMORYFORECAST_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "routing/lengthestimator.h"

namespace currantwalk {

/// Tokens from now, each running generation having grown by as many, at which memory is forecast.
constexpr std::array<float, 16> ForecastSteps{0,   16,  32,  64,   96,   128,  192,  256,
                                              384, 512, 768, 1024, 1536, 2048, 3072, 4096};
constexpr std::size_t ForecastSize = ForecastSteps.size();

/// Memory, in tokens, that generations are expected to use as they go on, and its variance.
struct MemoryForecast
{
    std::array<float, ForecastSize> mean{};
    std::array<float, ForecastSize> variance{};

    MemoryForecast &operator+=(const MemoryForecast &other);
    MemoryForecast &operator-=(const MemoryForecast &other);
    /// Adds \a other times \a factor.
    void addScaled(const MemoryForecast &other, float factor);
};

/// Returns the forecast of one generation that has \a prompt tokens and has generated \a generated.
/// \a maxTokens ends it at the latest; 0 where it is not known.
MemoryForecast forecastGeneration(const LengthEstimator::View &lengths, std::uint32_t prompt,
                                  std::uint32_t generated, std::uint32_t maxTokens);

/// Returns the most memory that \a forecast reaches in its first \a steps steps, with \a margin
/// standard deviations on top.
float peakMemory(const MemoryForecast &forecast, float margin, std::size_t steps = ForecastSize);

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_MEMORYFORECAST_H
