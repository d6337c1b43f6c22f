#include <string>

#include "daemon/tests/entryfleet.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// Servers reset connections in the middle of an event; the streams may be resumed.
TEST_GROUP(ResumableStreams)
{
    EntryFleet::Tally tally;

    // Returns the whole answers of \a count requests below \a path.
    std::uint32_t served(std::size_t nodes, const std::string &path, double breakShare,
                         std::size_t count, std::uint64_t seed)
    {
        EntryFleet::Options options;
        options.seed = seed;
        options.nodes = nodes;
        EntryFleet fleet(options);
        for (const auto &server : fleet.servers) {
            server->options.breakShare = breakShare;
            server->options.keepsCopies = false;
        }
        // A node that has just started spends none of the slack of the retry budget.
        fleet.run(12s);
        tally = {};
        for (std::size_t i = 0; i < count; ++i) {
            fleet.request(i % nodes, "POST", path + "x", "body " + std::to_string(i), tally);
            fleet.run(50ms);
        }
        fleet.run(25s);
        return tally.served;
    }
};

TEST(ResumableStreams, brokenStreamsReachTheirCallersWhole)
{
    for (const std::size_t nodes : {7, 30}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            // One stream in ten breaks, one in a hundred at both targets.
            const std::uint32_t whole = served(nodes, "/resumable/", 0.005, 100, seed);
            CHECK_TEXT(whole >= 96, std::to_string(whole).c_str());
            LONGS_EQUAL(0, tally.disordered);
            LONGS_EQUAL(0, tally.open);
        }
    }
}

TEST(ResumableStreams, streamsThatMayNotBeResumedAreNotRunAgain)
{
    // One stream in three breaks.
    const std::uint32_t whole = served(7, "/stream/", 0.02, 100, 1);
    CHECK_TEXT(whole < 85, std::to_string(whole).c_str());
    LONGS_EQUAL(0, tally.disordered);
    LONGS_EQUAL(100, tally.served + tally.failed);
}
