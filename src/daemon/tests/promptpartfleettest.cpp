#include <string>

#include "daemon/tests/promptpartload.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// Requests that share one part of their prompts crash each server that begins to answer one.
TEST_GROUP(PromptParts)
{
    std::unique_ptr<EntryFleet> fleet;

    void build(std::size_t nodes, std::size_t zones)
    {
        EntryFleet::Options options;
        options.nodes = nodes;
        options.zones = zones;
        options.generationServers = std::max<std::size_t>(14, nodes / 2);
        options.plainServers = std::max<std::size_t>(zones, 3);
        fleet = std::make_unique<EntryFleet>(options);
        for (const auto &server : fleet->servers) {
            server->options.events = server->options.events > 0 ? 50 : 0;
            server->options.restartAfter = 3400ms;
            server->options.crashDelay = 100ms;
        }
    }

    static PromptPartLoad::Options load(PromptPartLoad::Place place, int scale = 1)
    {
        PromptPartLoad::Options options;
        options.place = place;
        options.soundGap /= scale;
        options.poisonGap /= scale;
        return options;
    }

    PromptPartLoad::Verdict play(const PromptPartLoad::Options &options)
    {
        PromptPartLoad load(*fleet, options);
        load.start();
        fleet->run(load.duration() + 20s);
        return load.judge();
    }

    void check(const PromptPartLoad::Options &options)
    {
        const PromptPartLoad::Verdict verdict = play(options);
        STRCMP_EQUAL("", verdict.violation.c_str());
        CHECK(verdict.crashes > 0);
        CHECK_EQUAL(0U, fleet->innocents.open);
        CHECK_EQUAL(0U, fleet->poison.open);
    }
};

TEST(PromptParts, partThatCrashesServersIsRefusedAndLookalikesServedAtSevenNodes)
{
    for (const auto place : {PromptPartLoad::Place::Second, PromptPartLoad::Place::First}) {
        build(7, 3);
        check(load(place));
    }
}

TEST(PromptParts, partThatCrashesServersIsRefusedAndLookalikesServedAtNinetyNodes)
{
    build(90, 4);
    check(load(PromptPartLoad::Place::Second, 3));
}

TEST(PromptParts, partThatCrashesServersIsRefusedAndLookalikesServedAtThreeHundredAndThirtyNodes)
{
    build(330, 27);
    PromptPartLoad::Options options = load(PromptPartLoad::Place::Second, 4);
    options.calmTime = 6s;
    options.span = 14s;
    check(options);
}
