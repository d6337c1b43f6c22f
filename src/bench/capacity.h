#ifndef CURRANTWALK_BENCH_CAPACITY_H
#define CURRANTWALK_BENCH_CAPACITY_H

#include "bench/clusterrun.h"

namespace currantwalk {

/// Returns the highest arrival rate, in requests a second, at which the backlog of the best
/// clairvoyant stays bounded; found by bisection.
double searchCapacity(const ClusterShape &cluster, const LoadShape &load);

/// The names of the clairvoyants.
const std::vector<std::string> &clairvoyantNames();

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_CAPACITY_H
