#ifndef CURRANTWALK_BASE_RANDOMSOURCE_H
#define CURRANTWALK_BASE_RANDOMSOURCE_H

#include <cstddef>
#include <cstdint>

#include <pcg_random.hpp>

#include "base/timerservice.h"

namespace currantwalk {

/// A seeded pseudo-random number generator. The same seed gives the same sequence on every machine.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed) : m_engine(seed) {}

    std::uint64_t next64();
    /// Returns a uniformly distributed number in [0, 1).
    double uniform();
    /// Returns a number in [0, \a bound). \pre bound > 0
    std::uint64_t uniformBelow(std::uint64_t bound);
    /// Returns true with probability \a p.
    bool chance(double p) { return uniform() < p; }
    /// Returns a random duration in [0, \a bound], for backoff with full jitter.
    Duration jitter(Duration bound);
    /// Returns an exponentially distributed number with the mean \a mean.
    double exponential(double mean);
    /// Returns a normally distributed number with the given mean and standard deviation.
    double normal(double mean, double deviation);

private:
    pcg32 m_engine;
};

/// Returns a seed from the entropy source of the operating system, different in each process.
std::uint64_t entropySeed();

} // namespace currantwalk

#endif // CURRANTWALK_BASE_RANDOMSOURCE_H
