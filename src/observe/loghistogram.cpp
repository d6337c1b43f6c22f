#include "observe/loghistogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace currantwalk {

std::size_t LogScale::bucketOf(double value) const
{
    if (!(value > lowest))
        return 0;
    const double steps = std::ceil(std::log(value / lowest) / std::log(growth));
    return std::min(buckets - 1, static_cast<std::size_t>(std::max(steps, 1.0)));
}

double LogScale::upperBound(std::size_t bucket) const
{
    return lowest * std::pow(growth, static_cast<double>(bucket));
}

void LogHistogram::add(double value, std::uint64_t count)
{
    addToBucket(m_scale.bucketOf(value), count);
}

void LogHistogram::addToBucket(std::size_t bucket, std::uint64_t count)
{
    assert(bucket < m_counts.size() && "a bucket of this scale");
    m_counts[bucket] += count;
    m_total += count;
}

void LogHistogram::merge(const LogHistogram &other)
{
    assert(m_scale == other.m_scale && "histograms of one scale");
    for (std::size_t i = 0; i < m_counts.size(); ++i)
        m_counts[i] += other.m_counts[i];
    m_total += other.m_total;
}

// Values are assumed to be evenly distributed on the logarithmic scale within a bucket.
double LogHistogram::quantile(double share) const
{
    if (m_total == 0)
        return 0;
    const double wanted = share * static_cast<double>(m_total);
    double passed = 0;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        const double inBucket = static_cast<double>(m_counts[i]);
        if (inBucket > 0 && passed + inBucket >= wanted) {
            const double part = std::clamp((wanted - passed) / inBucket, 0.0, 1.0);
            return m_scale.upperBound(i) * std::pow(m_scale.growth, part - 1);
        }
        passed += inBucket;
    }
    return m_scale.upperBound(m_counts.size() - 1);
}

} // namespace currantwalk
