#include "base/randomsource.h"

#include <cassert>
#include <cmath>
#include <random>

namespace currantwalk {

std::uint64_t RandomSource::next64()
{
    const std::uint64_t high = m_engine();
    return high << 32 | m_engine();
}

// The distributions are implemented here because those of the standard library give different
// numbers in different implementations.
double RandomSource::uniform()
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(next64() >> 11) * Scale;
}

std::uint64_t RandomSource::uniformBelow(std::uint64_t bound)
{
    assert(bound > 0 && "the range must not be empty");
    return next64() % bound;
}

Duration RandomSource::jitter(Duration bound)
{
    return Duration(static_cast<Duration::rep>(uniform() * static_cast<double>(bound.count())));
}

double RandomSource::exponential(double mean)
{
    return -mean * std::log1p(-uniform());
}

double RandomSource::normal(double mean, double deviation)
{
    constexpr double TwoPi = 6.283185307179586;
    const double radius = std::sqrt(-2.0 * std::log1p(-uniform()));
    return mean + deviation * radius * std::cos(TwoPi * uniform());
}

std::uint64_t entropySeed()
{
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32 | device();
}

} // namespace currantwalk
