#include <memory>
#include <string>
#include <vector>

#include "daemon/tests/entryfleet.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// Guards against nodes that never learn that a server is gone, because the store has deleted the
// record of it before the zone's reader had it.
TEST_GROUP(StoreHistory)
{
    /// From the platform's bound for requests to servers that are draining or gone.
    static constexpr Duration DrainBound = 2s;
    /// A server's own end, which would hide that nodes still use it.
    static constexpr Duration ServingTime = 8s;

    std::unique_ptr<EntryFleet> fleet;

    void build(std::size_t nodes, std::size_t zones, std::uint64_t seed)
    {
        EntryFleet::Options options;
        options.seed = seed;
        options.nodes = nodes;
        options.zones = zones;
        fleet = std::make_unique<EntryFleet>(options);
        for (const std::unique_ptr<SimServer> &server : fleet->servers) {
            server->options.leavingTime = ServingTime;
            server->options.announcesLeaving = false;
        }
        fleet->run(3s);
    }

    std::size_t arrivalsSince(const SimServer &server, TimePoint from)
    {
        std::size_t count = 0;
        for (const SimArrival &arrival : server.arrivals())
            count += arrival.when > from ? 1 : 0;
        return count;
    }

    /// Removes some servers one after the other; the store's history goes with each of them.
    void checkThatRemovedServersAreLeft(std::size_t removals)
    {
        constexpr Duration Load = 12s;
        fleet->startInnocents(100ms, Load);
        fleet->run(1s);
        std::vector<std::pair<std::size_t, TimePoint>> removed;
        for (std::size_t i = 0; i < removals; ++i) {
            fleet->run(fleet->random.jitter(500ms));
            // Generation servers and plain ones.
            const std::size_t index = i % 2 == 0 ? i / 2 : fleet->servers.size() - 1 - i / 2;
            fleet->servers[index]->leave();
            removed.emplace_back(index, fleet->timers.now());
            // Within or behind the pause of a reader.
            fleet->run(fleet->random.jitter(50ms));
            fleet->store.compact(EntryFleet::TargetsTopic);
        }
        fleet->run(DrainBound + 4s);
        for (const auto &[index, when] : removed)
            LONGS_EQUAL(0, arrivalsSince(*fleet->servers[index], when + DrainBound));
        CHECK(fleet->innocents.served > 0);
    }
};

TEST(StoreHistory, serversRemovedWithTheirRecordsGetNoRequestsFromSevenNodes)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        build(7, 3, seed);
        checkThatRemovedServersAreLeft(1 + seed % 4);
    }
}

TEST(StoreHistory, serversRemovedWithTheirRecordsGetNoRequestsFromNinetyNodes)
{
    build(90, 3, 1);
    checkThatRemovedServersAreLeft(4);
}

TEST(StoreHistory, nodesOfOneZoneLeaveRemovedServers)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        build(5, 1, seed);
        checkThatRemovedServersAreLeft(3);
    }
}
