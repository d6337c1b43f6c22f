#ifndef CURRANTWALK_BENCH_POLICYREPORT_H
#define CURRANTWALK_BENCH_POLICYREPORT_H

#include <map>
#include <string>
#include <vector>

#include <json/value.h>

#include "bench/runmeasures.h"

namespace currantwalk {

/// All runs of all policies at one load, one scenario, over the same seeds.
struct ScenarioResult
{
    std::string load;
    std::string scenario;
    double capacity = 0;                                  ///< Requests a second.
    std::map<std::string, std::vector<RunMeasures>> runs; ///< By policy.
};

/// Returns the median of a measure over a policy's runs.
Median policyMedian(const ScenarioResult &result, const std::string &policy, Measure measure);
/// Writes one row a policy, with medians over seeds.
std::string scenarioTable(const ScenarioResult &result);
/// Writes medians with confidence intervals.
Json::Value scenarioJson(const ScenarioResult &result);

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_POLICYREPORT_H
