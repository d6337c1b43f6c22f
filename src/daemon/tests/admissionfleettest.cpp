#include "daemon/tests/entryfleet.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// More generations than the engines can hold.
TEST_GROUP(AdmissionFleet)
{
    static constexpr std::size_t Engines = 12;
    static constexpr std::uint32_t Slots = 20;
    static constexpr Duration Span = 12s;

    std::unique_ptr<EntryFleet> fleet;
    EntryFleet::Tally tally;

    // Sends generations through all nodes at a multiple of what the engines can run.
    void sendAtLoad(double load, std::size_t nodes)
    {
        EntryFleet::Options options;
        options.nodes = nodes;
        options.generationServers = Engines;
        fleet = std::make_unique<EntryFleet>(options);
        Duration runTime(0);
        for (const auto &server : fleet->servers) {
            if (server->options.events == 0)
                continue;
            server->options.slots = Slots;
            runTime = server->options.work + server->options.eventGap * server->options.events;
        }
        const double perSecond =
                load * Engines * Slots / std::chrono::duration<double>(runTime).count();
        const auto gap =
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
        std::size_t sent = 0;
        for (const TimePoint end = fleet->timers.now() + Span; fleet->timers.now() < end; ++sent) {
            fleet->request(sent % nodes, "POST", "/stream/x", "body " + std::to_string(sent),
                           tally);
            fleet->run(gap);
        }
        fleet->run(40s);
        CHECK_EQUAL(0U, tally.open);
        CHECK_EQUAL(sent, tally.served + tally.refused + tally.failed);
    }
};

TEST(AdmissionFleet, generationsAreServedInTimeAtMoreLoadThanEnginesCanRun)
{
    for (const std::size_t nodes : {7U, 30U}) {
        tally = {};
        sendAtLoad(1.5, nodes);
        // What the engines can run in the time, less a tenth.
        const double runnable = (tally.served + tally.refused) / 1.5;
        CHECK(tally.servedInTime >= 0.9 * runnable);
        CHECK_EQUAL(tally.served, tally.servedInTime);
        CHECK(tally.slowestRefusal < 100ms);
        CHECK_EQUAL(0U, tally.failed);
    }
}

TEST(AdmissionFleet, generationsAreNotRefusedAtALoadThatEnginesCanRun)
{
    sendAtLoad(0.8, 7);
    CHECK_EQUAL(0U, tally.refused + tally.failed);
    CHECK_EQUAL(tally.served, tally.servedInTime);
}
