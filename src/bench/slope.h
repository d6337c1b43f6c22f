#ifndef CURRANTWALK_BENCH_SLOPE_H
#define CURRANTWALK_BENCH_SLOPE_H

#include <string>
#include <vector>

namespace currantwalk {

/// One measure at several sizes, and the line through it.
struct Slope
{
    struct Point
    {
        double size = 0;
        double value = 0;
    };

    std::string name;
    std::string sizeUnit;
    std::string unit;
    std::vector<Point> points;

    /// Of the least-squares line; 0 with fewer than two sizes.
    double perUnit() const;
    double atZero() const;
};

/// Returns the bytes that the heap holds now, by the allocator's own count; on one thread.
double heapBytes();
/// Returns the processor seconds that this process has used.
double processorSeconds();

/// State kept for each peer, target, limit and object.
std::vector<Slope> measureState();
/// Control traffic, time to reach all and failure detection of fleets.
std::vector<Slope> measureMembership();
/// Digests and probes of a zone.
std::vector<Slope> measureTargets();
/// Traffic and state of limits in use.
std::vector<Slope> measureLimits();

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_SLOPE_H
