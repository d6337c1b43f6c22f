#include "daemon/tests/entryfleet.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(SlowStreams)
{
    // Of the fleet's route for streams.
    static constexpr Duration RouteTimeout = 20s;
    static constexpr std::uint32_t Streams = 21;

    std::unique_ptr<EntryFleet> fleet = std::make_unique<EntryFleet>(EntryFleet::Options());

    EntryFleet::Tally &send()
    {
        for (std::uint32_t i = 0; i < Streams; ++i)
            fleet->request(i % 7, "POST", "/stream/x", "body " + std::to_string(i),
                           fleet->innocents);
        return fleet->innocents;
    }
};

TEST(SlowStreams, streamWithLongPausesIsServedWhole)
{
    for (const auto &server : fleet->servers) {
        server->options.eventGap = 3s;
        server->options.events = server->options.events > 0 ? 6 : 0;
    }
    const EntryFleet::Tally &tally = send();
    fleet->run(30s);
    CHECK_EQUAL(Streams, tally.served);
    CHECK_EQUAL(0U, tally.disordered);
}

TEST(SlowStreams, streamThatSendsBytesAndNoEventEndsAtItsTimeLimit)
{
    for (const auto &server : fleet->servers) {
        server->options.trickles = server->options.events > 0;
        server->options.eventGap = 500ms;
    }
    const EntryFleet::Tally &tally = send();
    fleet->run(RouteTimeout + 500ms);
    CHECK_EQUAL(0U, tally.open);
    CHECK_EQUAL(0U, tally.served);
}

// The caller has some events when the stream stalls.
TEST(SlowStreams, streamThatStallsMidwayEndsAtItsTimeLimit)
{
    const EntryFleet::Tally &tally = send();
    fleet->run(300ms);
    for (const auto &server : fleet->servers) {
        server->options.trickles = server->options.events > 0;
        server->options.eventGap = 500ms;
    }
    fleet->run(RouteTimeout + 500ms);
    CHECK_EQUAL(0U, tally.open);
    CHECK_EQUAL(0U, tally.served);
}
