#include <memory>
#include <string>
#include <vector>

#include "calls/tests/simcaller.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// Daemons are drained and engines removed under load. No request may fail, restart or lose its
// connection.
TEST_GROUP(Rolling)
{
    static constexpr Duration LoadTime = 4min;
    SimWorld world{SimWorld::Options{5, 2, 2, 1, false, false}};
    RandomSource random{5};
    std::vector<std::unique_ptr<SimCaller>> callers;

    std::size_t readyNode()
    {
        while (true) {
            const std::size_t node = random.uniformBelow(world.nodes.size());
            const SimDaemon *daemon = world.nodes[node]->daemon.get();
            if (daemon && world.nodes[node]->daemon->drain().isReady())
                return node;
        }
    }

    void load()
    {
        constexpr int Requests = 1200;
        for (int i = 0; i < Requests; ++i) {
            SimCaller::Options options;
            options.kind = static_cast<SimRequestKind>(i % 5);
            options.name = "r" + std::to_string(i);
            options.tokens = static_cast<std::uint32_t>(5 + random.uniformBelow(500));
            callers.push_back(std::make_unique<SimCaller>(world, options));
            SimCaller *caller = callers.back().get();
            world.timers.scheduleAt(TimePoint(random.jitter(LoadTime)),
                                    [this, caller] { caller->submit(readyNode()); });
        }
    }

    void check()
    {
        for (const auto &caller : callers) {
            caller->checkFinalState();
            CHECK(caller->end() == SimOutcome::Done);
            CHECK_EQUAL(1U, caller->submissions());
            CHECK_EQUAL(0U, caller->resumes());
        }
        for (const std::string &violation : world.violations)
            FAIL(violation.c_str());
    }
};

TEST(Rolling, replacingEveryEntryVmFailsNoRequest)
{
    load();
    std::size_t replaced = 0;
    for (std::size_t node = 0; node < world.nodes.size(); ++node) {
        world.nodes[node]->daemon->drain().begin();
        while (!world.nodes[node]->daemon->hasExited())
            world.timers.advance(1s);
        CHECK_EQUAL(0U, world.nodes[node]->daemon->callsInProgress());
        world.killDaemon(node);
        world.timers.advance(1s);
        world.startDaemon(node);
        ++replaced;
    }
    CHECK(world.timers.now() < TimePoint(LoadTime));
    world.timers.advance(10min);
    CHECK_EQUAL(world.nodes.size(), replaced);
    check();
}

TEST(Rolling, removingEveryEngineFailsNoRequest)
{
    load();
    for (const auto &engine : world.engines) {
        engine->isLeaving = true;
        while (engine->runningGenerations() > 0)
            world.timers.advance(1s);
        world.killTarget(engine->place.name, 2s);
        world.timers.advance(5s);
    }
    CHECK(world.timers.now() < TimePoint(LoadTime));
    world.timers.advance(10min);
    check();
}
