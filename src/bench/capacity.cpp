#include "bench/capacity.h"

#include <algorithm>

namespace currantwalk {

static constexpr std::uint64_t SearchSeeds = 3;
static constexpr int SearchSteps = 7;
static constexpr double SearchFloor = 2;    // Requests a second.
static constexpr double SearchCeiling = 80; // Requests a second.
static constexpr double BacklogSlack = 30;  // Requests that surges alone explain.

const std::vector<std::string> &clairvoyantNames()
{
    static const std::vector<std::string> Names = {"clairvoyant-now", "clairvoyant-whole",
                                                   "clairvoyant-peak"};
    return Names;
}

// Above capacity the backlog grows in proportion to time: its second half adds as much as its
// first.
static bool isBounded(const RunOptions &base, const LoadShape &load, double rate)
{
    double middle = 0;
    double end = 0;
    for (std::uint64_t seed = 1; seed <= SearchSeeds; ++seed) {
        RunOptions options = base;
        options.seed = seed;
        const RunMeasures measures = runPolicy(options, load, RateShape{rate, 0, 0, 0});
        middle += measures[static_cast<std::size_t>(Measure::BacklogMiddle)];
        end += measures[static_cast<std::size_t>(Measure::Backlog)];
    }
    return end < BacklogSlack * SearchSeeds || end < middle * 1.3;
}

static double searchFor(const RunOptions &base, const LoadShape &load, double floor)
{
    double low = floor;
    double high = SearchCeiling;
    if (floor > SearchFloor && !isBounded(base, load, floor))
        return floor;
    for (int step = 0; step < SearchSteps; ++step) {
        const double rate = (low + high) / 2;
        if (isBounded(base, load, rate))
            low = rate;
        else
            high = rate;
        if (high - low < 0.01 * low)
            break;
    }
    return low;
}

double searchCapacity(const ClusterShape &cluster, const LoadShape &load)
{
    double best = SearchFloor;
    for (const std::string &name : clairvoyantNames()) {
        RunOptions options;
        options.policy = name;
        options.cluster = cluster;
        best = std::max(best, searchFor(options, load, best));
    }
    return best;
}

} // namespace currantwalk
