#include <algorithm>
#include <map>
#include <string>

#include "daemon/tests/entryfleet.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// In a large deployment the nodes tell their loads to the first node of their zone, which knows the
// sums of the other zones.
TEST_GROUP(LoadSums)
{
    std::unique_ptr<EntryFleet> fleet;
    std::uint64_t messages = 0;                ///< Between nodes.
    std::map<Endpoint, std::size_t> generated; ///< Generations sent to each server.

    EntryFleet &build(std::size_t nodes, std::size_t zones)
    {
        EntryFleet::Options options;
        options.nodes = nodes;
        options.zones = zones;
        fleet = std::make_unique<EntryFleet>(options);
        fleet->net.onRequest = [this](const std::string &, const Endpoint &to,
                                      const HttpRequest &request) {
            if (request.path == "/rpc")
                ++messages;
            else if (request.path.rfind("/stream/", 0) == 0
                     && findHeader(request.headers, "target"))
                ++generated[to];
        };
        for (const auto &server : fleet->servers) {
            server->options.work = 200ms;
            if (server->options.events > 0)
                server->options.events = 100;
        }
        fleet->run(3s);
        return *fleet;
    }

    // Returns the messages of a node in a second.
    double messagesPerNode(std::size_t nodes)
    {
        build(nodes, 3);
        fleet->startInnocents(1s, 10s);
        messages = 0;
        fleet->run(10s);
        return static_cast<double>(messages) / 10 / static_cast<double>(nodes);
    }

    std::size_t mostGenerated() const
    {
        std::size_t most = 0;
        for (const auto &[server, count] : generated)
            most = std::max(most, count);
        return most;
    }

    // Sends \a count generations within a second, each through another node of the zone \a zone, or
    // of all zones if it is empty.
    void sendGenerations(std::size_t count, const std::string &zone)
    {
        generated.clear();
        std::size_t node = 0;
        for (std::size_t i = 0; i < count; ++i) {
            do {
                node = (node + 1) % fleet->nodeCount();
            } while (!zone.empty() && fleet->zoneOf(node).text() != zone);
            fleet->request(node, "POST", "/stream/x", "body " + std::to_string(i),
                           fleet->innocents);
            fleet->run(1000ms / count);
        }
    }
};

TEST(LoadSums, messagesOfANodeDoNotGrowWithTheNodes)
{
    const double few = messagesPerNode(30);
    const double many = messagesPerNode(90);
    const std::string text =
            std::to_string(few) + " of 30 nodes, " + std::to_string(many) + " of 90";
    CHECK_TEXT(many < 1.25 * few, text.c_str());
}

// Plays generations that arrive through many nodes at once, with room for all of them: no engine
// gets much more than its share.
TEST(LoadSums, generationsOfManyNodesAreSpreadEvenly)
{
    for (const std::size_t nodes : {7, 30, 90, 195}) {
        build(nodes, 3);
        sendGenerations(48, "");
        const std::string text =
                std::to_string(nodes) + " nodes: " + std::to_string(mostGenerated());
        CHECK_TEXT(mostGenerated() <= 48 / 12 + 2, text.c_str());
    }
}

// Other zones' engines are used as the load of all zones' nodes has it.
TEST(LoadSums, generationsOfOneZoneGoToEnginesThatOtherZonesLeaveFree)
{
    build(90, 3);
    sendGenerations(24, "z1");
    fleet->run(600ms);
    sendGenerations(24, "z0");
    std::size_t inBusyZone = 0;
    for (std::size_t i = 0; i < 12; ++i) {
        const SimServer &server = *fleet->servers[i];
        inBusyZone += server.options.zone.text() == "z1" ? generated[server.options.endpoint] : 0;
    }
    CHECK_TEXT(inBusyZone <= 6, std::to_string(inBusyZone).c_str());
}

// The first node of the zone is suspended while generations arrive.
TEST(LoadSums, requestsArePlacedWhileTheFirstNodeIsSilent)
{
    build(90, 3);
    fleet->pauseNode(fleet->readersOf(ZoneName("z0"))[0]);
    fleet->run(2s);
    const std::uint32_t failed = fleet->innocents.failed + fleet->innocents.refused;
    const std::size_t silent = fleet->readersOf(ZoneName("z0"))[0];
    generated.clear();
    for (std::size_t i = 0; i < 45; ++i) {
        const std::size_t node = 2 * i;
        if (node != silent)
            fleet->request(node, "POST", "/stream/x", "body " + std::to_string(i),
                           fleet->innocents);
        fleet->run(20ms);
    }
    fleet->run(15s);
    LONGS_EQUAL(failed, fleet->innocents.failed + fleet->innocents.refused);
    // No engine gets more than it can run at once.
    CHECK_TEXT(mostGenerated() <= fleet->servers[0]->options.slots,
               std::to_string(mostGenerated()).c_str());
}
