#include <algorithm>
#include <string>
#include <vector>

#include "base/json.h"
#include "daemon/poisonmessages.h"
#include "daemon/tests/entryfleet.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// The store is away for a moment and comes back from a copy: what was written since is gone, and
// its offsets are given out again. The operator and the servers write again what they wrote.
TEST_GROUP(StoreRestore)
{
    static constexpr Duration DrainBound = 2s;
    static constexpr Duration RevokeBound = 5s;
    static constexpr Duration CatchUp = 4s;
    static constexpr Duration Away = 300ms;

    std::unique_ptr<EntryFleet> fleet;
    std::vector<std::pair<TimePoint, Endpoint>> sent;

    EntryFleet &build(std::size_t nodes = 7, std::uint64_t seed = 1)
    {
        EntryFleet::Options options;
        options.seed = seed;
        options.nodes = nodes;
        options.maxKeyAge = 4500ms;
        options.storeEra = 3;
        sent.clear();
        fleet = std::make_unique<EntryFleet>(options);
        fleet->net.onRequest = [this](const std::string &, const Endpoint &to,
                                      const HttpRequest &request) {
            if (findHeader(request.headers, "target"))
                sent.emplace_back(fleet->timers.now(), to);
        };
        fleet->run(3s);
        return *fleet;
    }

    void restore(Duration age)
    {
        fleet->setStoreUp(false);
        fleet->run(Away);
        fleet->store.restore(age + Away);
        fleet->setStoreUp(true);
    }

    std::size_t sentAfter(TimePoint from)
    {
        return static_cast<std::size_t>(
                std::count_if(sent.begin(), sent.end(),
                              [from](const auto &entry) { return entry.first > from; }));
    }

    std::size_t sentTo(const Endpoint &server, TimePoint from)
    {
        return static_cast<std::size_t>(
                std::count_if(sent.begin(), sent.end(), [&](const auto &entry) {
                    return entry.first > from && entry.second == server;
                }));
    }

    std::size_t rosterSize()
    {
        std::size_t nodes = 0;
        for (const auto &[key, value] : fleet->store.newest(EntryFleet::RosterTopic))
            nodes += key.front() == 'n' ? 1 : 0;
        return nodes;
    }

    std::uint32_t servedIn(Duration span)
    {
        const std::uint32_t before = fleet->innocents.served;
        fleet->run(span);
        return fleet->innocents.served - before;
    }
};

// The offset of the new catalogue is one that the nodes had read before.
TEST(StoreRestore, catalogueUnderAnOffsetGivenOutAgainIsInForce)
{
    for (const std::size_t nodes : {7, 90}) {
        build(nodes);
        for (std::uint64_t version = 2; version <= 6; ++version) {
            fleet->publish(version, true);
            fleet->run(500ms);
        }
        fleet->startInnocents(300ms, 20s);
        fleet->run(1s);
        restore(3200ms);
        fleet->run(1s);
        fleet->publish(6, true);
        fleet->run(3s);
        fleet->publish(7, false);
        const TimePoint revokedAt = fleet->timers.now();
        fleet->run(10s);
        LONGS_EQUAL(0, sentAfter(revokedAt + RevokeBound));
    }
}

// No node has read the catalogue that the copy lacks.
TEST(StoreRestore, keyTakenAwayJustBeforeTheRestoreRunsNothingAfterItsBound)
{
    for (const Duration rewrite : {200ms, 1000ms, 2000ms}) {
        build();
        fleet->startInnocents(200ms, 20s);
        fleet->run(1s);
        for (std::size_t i = 0; i < 7; ++i)
            fleet->nodesWithoutStore.insert(i);
        fleet->run(100ms);
        fleet->publish(2, false);
        const TimePoint revokedAt = fleet->timers.now();
        fleet->run(100ms);
        fleet->nodesWithoutStore.clear();
        restore(1s);
        fleet->run(rewrite);
        fleet->publish(2, false);
        fleet->run(10s);
        LONGS_EQUAL(0, sentAfter(revokedAt + RevokeBound));
    }
}

// The copy has the catalogue with the key, and no running process remembers the newer one.
TEST(StoreRestore, nodesThatStartOnTheCopyUseNoKeyThatWasTakenAway)
{
    build();
    fleet->run(2s);
    fleet->publish(2, false);
    const TimePoint revokedAt = fleet->timers.now();
    fleet->run(3s);
    restore(4s);
    fleet->restartAllNodes(200ms);
    fleet->startInnocents(100ms, 15s);
    fleet->run(1800ms);
    fleet->publish(2, false);
    fleet->run(12s);
    LONGS_EQUAL(0, sentAfter(revokedAt + RevokeBound));
}

TEST(StoreRestore, nodesThatStartLongAfterARestoreAreReadyAtOnce)
{
    build();
    restore(1s);
    fleet->run(6s);
    fleet->restartAllNodes(200ms);
    fleet->run(500ms);
    for (std::size_t i = 0; i < 7; ++i)
        CHECK(fleet->node(i).isReady());
}

TEST(StoreRestore, nodesServeOnThroughARestore)
{
    for (const std::size_t nodes : {7, 90}) {
        build(nodes);
        fleet->startInnocents(300ms, 15s);
        fleet->run(3s);
        const std::uint32_t before = servedIn(3s);
        fleet->innocents.refused = 0;
        restore(2s);
        const std::uint32_t during = servedIn(3s);
        CHECK_TEXT(4 * during >= 3 * before, std::to_string(during).c_str());
        fleet->run(CatchUp - 3s);
        fleet->innocents.refused = 0;
        fleet->run(2s);
        LONGS_EQUAL(0, fleet->innocents.refused);
    }
}

// The announcement gets an offset below that of the server's last entry.
TEST(StoreRestore, targetThatLeavesAfterTheRestoreGetsNothingAfterItsBound)
{
    build();
    fleet->startInnocents(100ms, 20s);
    fleet->run(6s);
    restore(4s);
    fleet->run(100ms);
    SimServer &leaving = *fleet->servers[0];
    leaving.options.leavingTime = 8s;
    leaving.leave();
    const TimePoint leftAt = fleet->timers.now();
    fleet->run(8s);
    LONGS_EQUAL(0, sentTo(leaving.options.endpoint, leftAt + DrainBound));
}

// The copy shows the target as ready.
TEST(StoreRestore, targetThatLeftBeforeTheRestoreStaysOut)
{
    build();
    fleet->startInnocents(100ms, 20s);
    fleet->run(3s);
    SimServer &leaving = *fleet->servers[0];
    leaving.options.leavingTime = 10s;
    leaving.leave();
    const TimePoint leftAt = fleet->timers.now();
    fleet->run(500ms);
    restore(2s);
    fleet->run(8s);
    LONGS_EQUAL(0, sentTo(leaving.options.endpoint, leftAt + DrainBound));
}

// The copy is from before the target's start.
TEST(StoreRestore, targetsThatTheCopyLacksAreUsedOn)
{
    build();
    fleet->servers[0]->crash(SimEnd::Reset);
    fleet->run(4s);
    fleet->startInnocents(50ms, 20s);
    fleet->run(1s);
    const TimePoint restoredAt = fleet->timers.now();
    restore(4s);
    fleet->run(5s);
    CHECK(sentTo(fleet->servers[0]->options.endpoint, restoredAt + Away) > 0);
}

TEST(StoreRestore, nodesWriteTheirRecordsAgain)
{
    for (const std::size_t nodes : {7, 90}) {
        build(nodes);
        LONGS_EQUAL(nodes, rosterSize());
        restore(10s);
        LONGS_EQUAL(0, rosterSize());
        const std::uint64_t before = fleet->store.calls(EntryFleet::RosterTopic);
        fleet->run(CatchUp);
        LONGS_EQUAL(nodes, rosterSize());
        // One write each, and the reads of a few.
        const std::uint64_t calls = fleet->store.calls(EntryFleet::RosterTopic) - before;
        CHECK_TEXT(calls <= 4 * nodes + 60, std::to_string(calls).c_str());
    }
}

TEST(StoreRestore, requestThatWasRefusedStaysRefused)
{
    build();
    fleet->repeatPoison("/stream/p", 300ms, 30s);
    fleet->run(5s);
    restore(6s);
    fleet->run(4s);
    fleet->restartAllNodes(200ms);
    fleet->run(30s);
    CHECK_TEXT(fleet->crashesBy("/stream/p") <= 3,
               std::to_string(fleet->crashesBy("/stream/p")).c_str());
    CHECK(fleet->poison.refusedAsPoisonous > 0);
}

TEST(StoreRestore, twoRestoresInARowKeepTheBounds)
{
    build();
    fleet->startInnocents(200ms, 25s);
    for (std::uint64_t version = 2; version <= 4; ++version) {
        fleet->publish(version, true);
        fleet->run(500ms);
    }
    restore(1s);
    fleet->run(1200ms);
    restore(3s);
    fleet->run(1s);
    fleet->publish(4, true);
    fleet->run(1s);
    fleet->publish(5, false);
    const TimePoint revokedAt = fleet->timers.now();
    fleet->run(12s);
    LONGS_EQUAL(0, sentAfter(revokedAt + RevokeBound));
    LONGS_EQUAL(7, rosterSize());
}

// The operator takes longer than usual to write again what the copy lacks. Until then the nodes
// that know the newer catalogue keep to it, and a node that starts learns it from them.
TEST(StoreRestore, copyWithAnOlderCatalogueProvesNothing)
{
    build();
    fleet->run(2s);
    fleet->publish(2, false);
    const TimePoint revokedAt = fleet->timers.now();
    fleet->run(3s);
    restore(4s);
    fleet->run(100ms);
    fleet->killNode(3);
    fleet->run(200ms);
    fleet->startNode(3);
    fleet->startInnocents(100ms, 15s);
    fleet->run(6s);
    fleet->publish(2, false);
    fleet->run(8s);
    LONGS_EQUAL(0, sentAfter(revokedAt + RevokeBound));
}

TEST(StoreRestore, copyThatStaysOlderIsNotReadAllTheTime)
{
    build();
    fleet->publish(2, true);
    fleet->run(3s);
    restore(4s);
    fleet->run(3s);
    const std::uint64_t before = fleet->store.calls(EntryFleet::CatalogTopic);
    fleet->run(5s);
    // Three readers, each with a read a second.
    const std::uint64_t calls = fleet->store.calls(EntryFleet::CatalogTopic) - before;
    CHECK_TEXT(calls <= 3 * 2 * 5 + 7, std::to_string(calls).c_str());
}

// No node has read the newest catalogue, the copy is older than what they know, and the operator
// takes long.
TEST(StoreRestore, catalogueThatTheCopyLacksIsWaitedFor)
{
    build();
    fleet->publish(2, true);
    fleet->run(3s);
    fleet->startInnocents(100ms, 20s);
    fleet->run(1s);
    for (std::size_t i = 0; i < 7; ++i)
        fleet->nodesWithoutStore.insert(i);
    fleet->run(100ms);
    fleet->publish(3, false);
    const TimePoint revokedAt = fleet->timers.now();
    fleet->run(100ms);
    fleet->nodesWithoutStore.clear();
    restore(6s);
    fleet->run(7s);
    fleet->publish(3, false);
    fleet->run(8s);
    LONGS_EQUAL(0, sentAfter(revokedAt + RevokeBound));
}
