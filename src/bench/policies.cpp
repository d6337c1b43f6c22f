#include "bench/policies.h"

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <popt.h>

#include "absl/strings/str_split.h"
#include "base/json.h"
#include "bench/capacity.h"
#include "bench/clairvoyant.h"
#include "bench/memorystudy.h"
#include "bench/policyreport.h"

namespace currantwalk {

namespace {

struct Scenario
{
    const char *name;
    double base;  ///< Of capacity.
    double burst; ///< Of capacity, for BurstSeconds; 0 for none.
    Fault fault;
};

struct PoliciesOptions
{
    int firstSeed = 1;
    int seeds = 5;
    int json = 0;
    std::string load = "all";
    std::string scenarios = "all";
    std::string policies = "all";
    std::string study;
    double capacity = 0;
};

} // namespace

static constexpr double BurstFrom = 120; // s
static constexpr double BurstSeconds = 240;

static const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> All = {
            {"light-0.4", 0.4, 0, Fault::None},
            {"load-0.8", 0.8, 0, Fault::None},
            {"load-0.95", 0.95, 0, Fault::None},
            {"burst-1.05", 0.8, 1.05, Fault::None},
            {"burst-1.2", 0.8, 1.2, Fault::None},
            {"engine-dies", 0.9, 0, Fault::EngineDies},
            {"reports-frozen", 0.95, 0, Fault::ReportsFrozen},
    };
    return All;
}

static bool isWanted(const std::string &list, std::string_view name)
{
    if (list == "all")
        return true;
    const std::vector<std::string> parts = absl::StrSplit(list, ',');
    for (const std::string &part : parts) {
        if (part == name)
            return true;
    }
    return false;
}

static std::vector<std::string> wantedPolicies(const std::string &list)
{
    std::vector<std::string> names;
    for (const std::string_view name : routingPolicyNames()) {
        if (isWanted(list, name))
            names.emplace_back(name);
    }
    for (const std::string &name : clairvoyantNames()) {
        if (isWanted(list, name))
            names.push_back(name);
    }
    return names;
}

static ScenarioResult runScenario(const PoliciesOptions &options, const LoadShape &load,
                                  const Scenario &scenario, double capacity)
{
    ScenarioResult result;
    result.load = load.name;
    result.scenario = scenario.name;
    result.capacity = capacity;
    const RateShape rate{scenario.base * capacity, scenario.burst * capacity, BurstFrom,
                         scenario.burst > 0 ? BurstFrom + BurstSeconds : 0};
    for (const std::string &policy : wantedPolicies(options.policies)) {
        for (int i = 0; i < options.seeds; ++i) {
            RunOptions run;
            run.policy = policy;
            run.seed =
                    static_cast<std::uint64_t>(options.firstSeed) + static_cast<std::uint64_t>(i);
            run.fault = scenario.fault;
            result.runs[policy].push_back(runPolicy(run, load, rate));
        }
    }
    return result;
}

static int runScenarios(const PoliciesOptions &options)
{
    Json::Value all(Json::arrayValue);
    for (const LoadShape &load : loadShapes()) {
        if (!isWanted(options.load, load.name))
            continue;
        const double capacity =
                options.capacity > 0 ? options.capacity : searchCapacity(ClusterShape(), load);
        for (const Scenario &scenario : scenarios()) {
            if (!isWanted(options.scenarios, scenario.name))
                continue;
            const ScenarioResult result = runScenario(options, load, scenario, capacity);
            if (options.json != 0)
                all.append(scenarioJson(result));
            else
                std::cout << scenarioTable(result) << std::endl;
        }
    }
    if (options.json != 0)
        std::cout << writeJson(all) << std::endl;
    return EXIT_SUCCESS;
}

static std::string takeText(char *text, const std::string &otherwise)
{
    if (text == nullptr)
        return otherwise;
    std::string taken = text;
    std::free(text); // popt hands out memory of malloc.
    return taken;
}

static int runPolicies(int argc, const char **argv)
{
    PoliciesOptions options;
    char *load = nullptr;
    char *scenarioList = nullptr;
    char *policies = nullptr;
    char *study = nullptr;
    const poptOption table[] = {
            {"seed", 's', POPT_ARG_INT, &options.firstSeed, 0, "First seed", "N"},
            {"seeds", 'n', POPT_ARG_INT, &options.seeds, 0, "How many seeds", "M"},
            {"json", 'j', POPT_ARG_NONE, &options.json, 0, "Write JSON", nullptr},
            {"load", 'l', POPT_ARG_STRING, &load, 0, "restock or cfd", "NAME"},
            {"scenario", 'c', POPT_ARG_STRING, &scenarioList, 0, "Scenarios, by comma", "NAMES"},
            {"policy", 'p', POPT_ARG_STRING, &policies, 0, "Policies, by comma", "NAMES"},
            {"capacity", 0, POPT_ARG_DOUBLE, &options.capacity, 0,
             "Requests/s, in place of the search", "RATE"},
            {"study", 0, POPT_ARG_STRING, &study, 0, "memory", "NAME"},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("currantwalk-bench policies", argc, argv, table, 0);
    const int end = poptGetNextOpt(context);
    if (end < -1)
        std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(end) << std::endl;
    poptFreeContext(context);
    options.load = takeText(load, options.load);
    options.scenarios = takeText(scenarioList, options.scenarios);
    options.policies = takeText(policies, options.policies);
    options.study = takeText(study, options.study);
    if (end < -1)
        return EXIT_FAILURE;
    if (options.study == "memory")
        return runMemoryStudy(options.firstSeed, options.seeds, options.json != 0,
                              options.policies);
    if (options.study.empty())
        return runScenarios(options);
    std::cerr << "no study is named " << options.study << std::endl;
    return EXIT_FAILURE;
}

const BenchCommand PoliciesCommand = {"policies", "compares routing policies on modelled engines",
                                      runPolicies};

} // namespace currantwalk
