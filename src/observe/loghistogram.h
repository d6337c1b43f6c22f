#ifndef CURRANTWALK_OBSERVE_LOGHISTOGRAM_H
#define CURRANTWALK_OBSERVE_LOGHISTOGRAM_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace currantwalk {

/// The bucket bounds of a histogram, which grow exponentially. Histograms with the same scale can
/// be merged.
struct LogScale
{
    double lowest = 0;       ///< Upper bound of the first bucket.
    double growth = 0;       ///< Factor from one upper bound to the next.
    std::size_t buckets = 0; ///< The last one has no upper bound.

    /// Returns the bucket that \a value falls in.
    std::size_t bucketOf(double value) const;
    /// Returns the upper bound of \a bucket.
    double upperBound(std::size_t bucket) const;

    friend bool operator==(const LogScale &, const LogScale &) = default;
};

/// Counts values in buckets of a LogScale.
class LogHistogram
{
public:
    explicit LogHistogram(const LogScale &scale) : m_scale(scale), m_counts(scale.buckets) {}

    void add(double value, std::uint64_t count = 1);
    /// \pre \a other has the same scale.
    void merge(const LogHistogram &other);
    /// Returns the quantile \a share, from 0 to 1, accurate to one bucket; 0 if there are no
    /// values.
    double quantile(double share) const;

    std::uint64_t total() const { return m_total; }
    const LogScale &scale() const { return m_scale; }
    const std::vector<std::uint64_t> &counts() const { return m_counts; }
    /// Adds \a count values to a bucket, as read from another histogram's counts().
    void addToBucket(std::size_t bucket, std::uint64_t count);

private:
    LogScale m_scale;
    std::vector<std::uint64_t> m_counts;
    std::uint64_t m_total = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_LOGHISTOGRAM_H
