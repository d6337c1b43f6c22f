#include <algorithm>
#include <numeric>

#include "bench/clairvoyant.h"
#include "bench/clusterrun.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

TEST_GROUP(EngineModel)
{
    std::vector<BenchRequest> requests;
    std::vector<std::uint32_t> tokens;
    std::size_t finished = 0;

    void add(std::uint32_t prompt, std::uint32_t answer, std::uint32_t rank = 1)
    {
        BenchRequest request;
        request.routing.promptTokens = prompt;
        request.routing.priorityRank = rank;
        request.answerTokens = answer;
        requests.push_back(request);
        tokens.push_back(0);
    }

    EngineModel::Hooks hooks()
    {
        EngineModel::Hooks result;
        result.onToken = [this](std::size_t request, std::uint32_t generated) {
            CHECK_EQUAL(tokens[request] + 1, generated);
            tokens[request] = generated;
        };
        result.onFinished = [this](std::size_t) { ++finished; };
        result.onCacheEvent = [](std::uint64_t, bool) {};
        return result;
    }

    static EngineShape shapeOf(std::uint64_t memoryTokens)
    {
        EngineShape shape;
        shape.memoryTokens = memoryTokens;
        return shape;
    }

    static void runToEnd(EngineModel & engine)
    {
        while (engine.beginStep() > 0) {
            CHECK(engine.load().usedTokens <= engine.memoryTokens());
            engine.endStep();
        }
    }
};

TEST(EngineModel, everyAnswerIsWholeDespitePreemptions)
{
    for (int i = 0; i < 10; ++i)
        add(100, 200);
    EngineModel engine(shapeOf(1500), requests, hooks());
    for (std::size_t i = 0; i < requests.size(); ++i)
        engine.submit(i);
    runToEnd(engine);
    CHECK_EQUAL(requests.size(), finished);
    for (const std::uint32_t count : tokens)
        CHECK_EQUAL(200U, count);
    CHECK(engine.load().preemptions > 0);
    CHECK(engine.recomputedTokens() > 0);
    CHECK_EQUAL(0U, engine.load().usedTokens);
}

TEST(EngineModel, nothingIsPreemptedWithinMemory)
{
    for (int i = 0; i < 10; ++i)
        add(100, 200);
    EngineModel engine(shapeOf(3010), requests, hooks());
    for (std::size_t i = 0; i < requests.size(); ++i)
        engine.submit(i);
    runToEnd(engine);
    CHECK_EQUAL(0U, engine.load().preemptions);
}

TEST(EngineModel, lowestPriorityIsPreempted)
{
    add(400, 300, 1);
    add(400, 300, 0);
    EngineModel engine(shapeOf(1000), requests, hooks());
    engine.submit(0);
    engine.submit(1);
    while (engine.load().preemptions == 0 && engine.beginStep() > 0)
        engine.endStep();
    CHECK_EQUAL(0U, engine.waiting().front().request);
}

TEST(EngineModel, promptsLengthenTheStep)
{
    add(100, 10);
    add(2000, 10);
    EngineModel small(shapeOf(9000), requests, hooks());
    EngineModel large(shapeOf(9000), requests, hooks());
    small.submit(0);
    large.submit(1);
    CHECK(large.beginStep() > 2 * small.beginStep());
}

TEST(EngineModel, peakIsWhatTheEngineComesToUse)
{
    add(100, 50);
    add(300, 20);
    EngineModel engine(shapeOf(9000), requests, hooks());
    engine.submit(0);
    const std::uint64_t forecast = peakTokens(engine, 300, 20);
    engine.submit(1);
    std::uint64_t peak = 0;
    while (engine.beginStep() > 0) {
        peak = std::max(peak, engine.load().usedTokens);
        engine.endStep();
    }
    // The last token of the ending generation is emitted and given back in the same step.
    CHECK(forecast >= peak && forecast <= peak + 2);
}

TEST_GROUP(ClusterRun){static RunMeasures runShort(const char *policy, Fault fault,
                                                   double rate = 12){RunOptions options;
options.policy = policy;
options.seconds = 60;
options.seed = 5;
options.fault = fault;
options.cluster.engines = 4;
options.cluster.nodes = 3;
return runPolicy(options, loadShapes().front(), RateShape{rate, 0, 0, 0});
}

static double of(const RunMeasures &measures, Measure measure)
{
    return measures[static_cast<std::size_t>(measure)];
}
}
;

TEST(ClusterRun, replaysFromItsSeed)
{
    const RunMeasures first = runShort("two-choices", Fault::None);
    const RunMeasures second = runShort("two-choices", Fault::None);
    CHECK(first == second);
}

TEST(ClusterRun, everyPolicyServesALightLoadInFull)
{
    std::vector<std::string> names{"clairvoyant-now", "clairvoyant-whole", "clairvoyant-peak"};
    for (const std::string_view name : routingPolicyNames())
        names.emplace_back(name);
    for (const std::string &name : names) {
        const RunMeasures measures = runShort(name.c_str(), Fault::None, 2);
        CHECK_EQUAL(0.0, of(measures, Measure::Shed));
        CHECK_EQUAL(0.0, of(measures, Measure::Backlog));
        CHECK(of(measures, Measure::Goodput) > 0);
    }
}

TEST(ClusterRun, medianHasItsInterval)
{
    std::vector<double> values(21);
    std::iota(values.begin(), values.end(), 1.0);
    const Median median = medianOf(values);
    CHECK_EQUAL(11.0, median.middle);
    CHECK(median.low < median.middle && median.middle < median.high);
}

TEST(ClusterRun, workloadKeepsItsRateAndShares)
{
    const std::vector<BenchRequest> requests =
            drawWorkload(loadShapes().front(), RateShape{20, 0, 0, 0}, 2000, 3);
    DOUBLES_EQUAL(40000.0, static_cast<double>(requests.size()), 4000.0);
    const auto shortOnes = std::count_if(requests.begin(), requests.end(),
                                         [](const BenchRequest &one) { return one.isShort; });
    DOUBLES_EQUAL(0.65, static_cast<double>(shortOnes) / static_cast<double>(requests.size()),
                  0.02);
}
