#include "daemon/tests/entryfleet.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// Nodes are told to stop while callers go on sending to them until their processes are gone.
TEST_GROUP(PlannedStop)
{
    static constexpr std::size_t Nodes = 7;
    // From the users' settings: the process is killed this long after the order to stop.
    static constexpr Duration Grace = 8s;

    std::unique_ptr<EntryFleet> fleet = std::make_unique<EntryFleet>(EntryFleet::Options());
    EntryFleet::Tally tally;

    void sendTo(std::size_t node)
    {
        static constexpr const char *Paths[] = {"/safe/x", "/once/x", "/stream/x"};
        const std::string body = "body " + std::to_string(fleet->random.next64());
        fleet->request(node, "POST", Paths[fleet->random.uniformBelow(3)], body, tally);
    }

    // Stops the node; sends to it every 10 ms, and to another one.
    void stopUnderLoad(std::size_t node)
    {
        const TimePoint killedAt = fleet->timers.now() + Grace;
        for (int i = 0; i < 50; ++i) {
            sendTo(node);
            fleet->run(10ms);
        }
        sendTo(node);
        fleet->node(node).beginDrain();
        while (!fleet->hasStopped(node) && fleet->timers.now() < killedAt) {
            sendTo(node);
            sendTo((node + 3) % Nodes);
            fleet->run(10ms);
        }
        CHECK(fleet->hasStopped(node));
        fleet->killNode(node);
        fleet->run(500ms);
        fleet->startNode(node);
        fleet->run(2s);
    }

    void checkAllAnswered()
    {
        fleet->run(30s);
        CHECK_EQUAL(0U, tally.open);
        CHECK_EQUAL(0U, tally.failed);
        CHECK_EQUAL(0U, tally.disordered);
    }
};

TEST(PlannedStop, requestsAreAnsweredWhileNodesAreStoppedInTurn)
{
    for (std::size_t node = 0; node < Nodes; ++node)
        stopUnderLoad(node);
    checkAllAnswered();
}

// Guards against answers that a server has sent whole and that are lost at the end of a planned
// stop, since their callers read a little more slowly than the server sends.
TEST(PlannedStop, answersReachCallersThatReadSlowly)
{
    for (const std::size_t nodes : {7U, 90U}) {
        EntryFleet::Options options;
        options.nodes = nodes;
        options.generationServers = std::max<std::size_t>(12, nodes);
        fleet = std::make_unique<EntryFleet>(options);
        tally = {};
        for (const std::unique_ptr<SimServer> &server : fleet->servers) {
            server->options.events = server->options.service == "engines" ? 150 : 0;
            server->options.slots = 24;
        }
        // A stream has about 420 bytes in a second.
        fleet->net.readRate = [](const std::string &client) -> std::size_t {
            return client == EntryFleet::CallersHost ? 330 : 0;
        };
        for (std::size_t i = 0; i < 4 * nodes; ++i)
            fleet->request(i % nodes, "POST", "/stream/x", "body " + std::to_string(i), tally);
        fleet->run(2s);
        const TimePoint killedAt = fleet->timers.now() + Grace;
        for (std::size_t node = 0; node < nodes; ++node)
            fleet->node(node).beginDrain();
        while (fleet->timers.now() < killedAt) {
            fleet->run(10ms);
            for (std::size_t node = 0; node < nodes; ++node) {
                if (fleet->isUp(node) && fleet->hasStopped(node))
                    fleet->killNode(node);
            }
        }
        for (std::size_t node = 0; node < nodes; ++node)
            CHECK(!fleet->isUp(node));
        checkAllAnswered();
        LONGS_EQUAL(4 * nodes, tally.served);
    }
}

// Guards against a process that is killed while it waits for a deadline that was set anew.
TEST(PlannedStop, aSecondOrderToStopDoesNotPostponeTheEnd)
{
    for (const std::unique_ptr<SimServer> &server : fleet->servers)
        server->options.work = 15s;
    const TimePoint killedAt = fleet->timers.now() + Grace;
    for (int i = 0; i < 5; ++i)
        fleet->request(0, "POST", "/stream/x", "body " + std::to_string(i), tally);
    fleet->node(0).beginDrain();
    for (const Duration pause : {2s, 2s, 2s}) {
        fleet->run(pause);
        fleet->node(0).beginDrain();
    }
    while (!fleet->hasStopped(0) && fleet->timers.now() < killedAt)
        fleet->run(10ms);
    CHECK(fleet->hasStopped(0));
    LONGS_EQUAL(0, tally.open);
}

// Guards against requests that are taken late in a planned stop and cut off at its end.
TEST(PlannedStop, streamsThatWouldBeCutOffAtTheEndAreRefusedAtOnce)
{
    for (const std::unique_ptr<SimServer> &server : fleet->servers) {
        if (server->options.service == "engines")
            server->options.events = 150;
    }
    for (std::size_t i = 0; i < 4; ++i)
        fleet->request(0, "POST", "/stream/x", "body " + std::to_string(i), tally);
    fleet->run(10s);
    LONGS_EQUAL(4, tally.served);
    fleet->node(0).beginDrain();
    const TimePoint killedAt = fleet->timers.now() + Grace;
    for (int i = 0; !fleet->hasStopped(0) && fleet->timers.now() < killedAt; ++i) {
        if (i % 10 == 0)
            fleet->request(0, "POST", "/stream/x", "late " + std::to_string(i), tally);
        sendTo(3);
        fleet->run(20ms);
    }
    CHECK(fleet->hasStopped(0));
    fleet->killNode(0);
    checkAllAnswered();
    CHECK(tally.slowestRefusal <= 100ms);
}

TEST(PlannedStop, requestsAreAnsweredWhileNodesStopAndTheStoreIsAway)
{
    fleet->setStoreUp(false);
    stopUnderLoad(0);
    fleet->setStoreUp(true);
    fleet->run(2s);
    stopUnderLoad(1);
    checkAllAnswered();
}

TEST(PlannedStop, requestsAreAnsweredWhileNodesStopAndTargetsLeave)
{
    for (const std::size_t server : {0, 5, 12})
        fleet->servers[server]->leave();
    stopUnderLoad(0);
    for (const std::size_t server : {1, 6, 13})
        fleet->servers[server]->options.leavingShare = 1;
    stopUnderLoad(1);
    checkAllAnswered();
}
