#include <memory>
#include <string>
#include <vector>

#include "calls/tests/simcaller.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// A request that crashes each engine that opens it is submitted repeatedly through all entry VMs.
TEST_GROUP(PoisonWorld)
{
    SimWorld world{SimWorld::Options{7, 2, 3, 1, false, false}};
    RandomSource random{7};
    std::vector<std::unique_ptr<SimCaller>> validCallers;
    std::vector<std::unique_ptr<SimCaller>> poisonCallers;

    void poisonEngines(Duration restartAfter)
    {
        for (const auto &engine : world.engines) {
            engine->poison = "poison";
            engine->onPoisoned = [this, &engine = *engine, restartAfter] {
                world.schedule(5ms, [this, &engine, restartAfter] {
                    world.killTarget(engine.place.name, restartAfter);
                });
            };
        }
    }

    void run(Duration restartAfter)
    {
        poisonEngines(restartAfter);
        for (int i = 0; i < 300; ++i) {
            SimCaller::Options options;
            options.kind = i % 2 == 0 ? SimRequestKind::Whole : SimRequestKind::Streamed;
            options.name = "r" + std::to_string(i);
            options.lossPolicy = LossPolicy::Restart;
            validCallers.push_back(std::make_unique<SimCaller>(world, options));
            submitAt(*validCallers.back(), TimePoint(random.jitter(2min)));
        }
        for (int i = 0; i < 40; ++i) {
            SimCaller::Options options;
            options.kind = SimRequestKind::Whole;
            options.name = "poison";
            options.maxResubmissions = 0;
            poisonCallers.push_back(std::make_unique<SimCaller>(world, options));
            submitAt(*poisonCallers.back(), TimePoint(10s + i * 2s));
        }
        world.timers.advance(10min);
    }

    void submitAt(SimCaller & caller, TimePoint when)
    {
        const std::size_t node = random.uniformBelow(world.nodes.size());
        world.timers.scheduleAt(when, [&caller, node] { caller.submit(node); });
    }

    std::uint32_t deaths() const
    {
        std::uint32_t deaths = 0;
        for (const auto &engine : world.engines)
            deaths += engine->deaths;
        return deaths;
    }

    void check()
    {
        for (const auto &caller : validCallers)
            CHECK(caller->end() == SimOutcome::Done);
        for (const auto &caller : poisonCallers)
            CHECK(caller->end() != SimOutcome::Open && caller->end() != SimOutcome::Done);
        for (const std::string &violation : world.violations)
            FAIL(violation.c_str());
    }
};

TEST(PoisonWorld, poisonRequestCrashesTwoEnginesAndNoOtherRequestFails)
{
    run(30s);
    CHECK_EQUAL(2U, deaths());
    check();
}

// An engine that restarts before the attempt is sent again may be crashed a second time by it.
TEST(PoisonWorld, poisonRequestCrashesFastRestartingEnginesAtMostFourTimes)
{
    run(20ms);
    CHECK(deaths() >= 2);
    CHECK(deaths() <= 4);
    check();
}
