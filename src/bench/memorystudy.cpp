#include "bench/memorystudy.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

#include <json/value.h>

#include "base/json.h"
#include "bench/clusterrun.h"

namespace currantwalk {

static constexpr std::array<double, 4> Variations{0.3, 1, 3, 8};
static constexpr std::array<double, 4> ReportAges{0, 0.1, 1, 5}; // s
static constexpr double StudyLoad = 0.8;                         // Of capacity.
static constexpr double MeanTokens = 100;
static constexpr double PromptTokens = 100;
static constexpr std::uint32_t LongestTokens = 10000;

namespace {

/// An engine of the study and the rate at which it ends answers of MeanTokens.
struct StudyEngine
{
    const char *name;
    EngineShape shape;
    double answersPerSecond;
};

} // namespace

// One at a time is the server of queueing theory; the batch is how the users' engines work.
static std::array<StudyEngine, 2> studyEngines()
{
    EngineShape one;
    one.memoryTokens = 1ULL << 40;
    one.batchLimit = 1;
    one.stepBase = 0.01;
    one.stepPerDecode = 0;
    one.stepPerPrefillToken = 0;
    one.stepPerMemoryToken = 0;
    EngineShape batch;
    batch.memoryTokens = 1ULL << 40;
    batch.batchLimit = 32;
    batch.stepPerPrefillToken = 0;
    batch.stepPerMemoryToken = 0;
    const double batchStep = batch.stepBase + batch.stepPerDecode * 32;
    return {{{"one-at-a-time", one, 1 / (MeanTokens * one.stepBase)},
             {"batch-of-32", batch, 32 / (MeanTokens * batchStep)}}};
}

static LoadShape studyLoad(double variation)
{
    const double spread = std::sqrt(std::log(1 + variation * variation));
    ServiceShape service;
    service.name = "answers";
    service.share = 1;
    service.promptMedian = PromptTokens;
    service.answerMedian = MeanTokens * std::exp(-spread * spread / 2);
    service.answerSpread = spread;
    service.answerLimit = LongestTokens;
    return {"study", {service}};
}

static double meanTime(const StudyEngine &engine, const std::string &policy, double variation,
                       double age, int firstSeed, int seeds)
{
    std::vector<double> means;
    for (int i = 0; i < seeds; ++i) {
        RunOptions options;
        options.policy = policy;
        options.seed = static_cast<std::uint64_t>(firstSeed) + static_cast<std::uint64_t>(i);
        options.cluster.engine = engine.shape;
        options.cluster.reportAge = age;
        const double capacity =
                engine.answersPerSecond * static_cast<double>(options.cluster.engines);
        const RateShape rate{StudyLoad * capacity, 0, 0, 0};
        const RunMeasures measures = runPolicy(options, studyLoad(variation), rate);
        means.push_back(measures[static_cast<std::size_t>(Measure::WholeMean)]);
    }
    return medianOf(means).middle;
}

int runMemoryStudy(int firstSeed, int seeds, bool isJson, const std::string &policies)
{
    Json::Value rows(Json::arrayValue);
    for (const StudyEngine &engine : studyEngines()) {
        for (const double variation : Variations) {
            const double random = meanTime(engine, "random", variation, 1, firstSeed, seeds);
            for (const double age : ReportAges) {
                Json::Value row;
                row["engine"] = engine.name;
                row["variation"] = variation;
                row["report-age"] = age;
                row["random"] = random;
                for (const char *policy :
                     {"round-robin", "billiard", "least-reported", "two-choices", "project"}) {
                    if (policies != "all" && policies.find(policy) == std::string::npos)
                        continue;
                    const double mean = meanTime(engine, policy, variation, age, firstSeed, seeds);
                    row[policy] = mean;
                }
                rows.append(row);
                if (!isJson)
                    std::cout << writeJson(row) << std::endl;
            }
        }
    }
    if (isJson)
        std::cout << writeJson(rows) << std::endl;
    return EXIT_SUCCESS;
}

} // namespace currantwalk
