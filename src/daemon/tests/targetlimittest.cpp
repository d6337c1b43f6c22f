#include <algorithm>
#include <cmath>

#include "daemon/tests/entryfleet.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// Targets that name the requests a second that they take from all nodes together: they get no more,
// and no caller is refused whom they could have served.
TEST_GROUP(TargetLimits)
{
    static constexpr std::size_t NodeCounts[] = {1, 7, 90, 330};
    // Part of what the targets allow that is to be used while more is asked.
    static constexpr double UsedPart = 0.9;
    static constexpr Duration Notice = SimServer::LimitNotice;

    std::unique_ptr<EntryFleet> fleet;
    EntryFleet::Tally tally;
    std::vector<SimServer *> plain;

    void build(std::size_t nodes, std::size_t plainServers = 3)
    {
        EntryFleet::Options options;
        options.nodes = nodes;
        options.zones = std::max<std::size_t>(3, nodes / 12);
        options.plainServers = plainServers;
        options.generationServers = 3;
        // Nodes go on while the store is away.
        options.maxKeyAge = 60s;
        fleet = std::make_unique<EntryFleet>(options);
        tally = {};
        plain.clear();
        for (const auto &server : fleet->servers) {
            if (server->options.service == "plain")
                plain.push_back(server.get());
        }
    }

    static double seconds(Duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    static Duration spanFor(std::size_t nodes)
    {
        return nodes > 100 ? 12s : 30s;
    }

    void send(const std::string &path, double perSecond, TimePoint until)
    {
        if (fleet->timers.now() >= until)
            return;
        fleet->request(fleet->randomReadyNode(), "POST", path,
                       "body " + std::to_string(fleet->random.next64()), tally);
        const double wait = -std::log(1 - fleet->random.uniform()) / perSecond;
        const auto gap = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
        fleet->timers.scheduleAfter(gap, [=, this] { send(path, perSecond, until); });
    }

    void start(const std::string &path, double perSecond, Duration span)
    {
        send(path, perSecond, fleet->timers.now() + span);
    }

    static double arrivalsBetween(const SimServer &server, TimePoint from, TimePoint until)
    {
        return static_cast<double>(std::count_if(
                server.arrivals().begin(), server.arrivals().end(),
                [&](const SimArrival &each) { return each.when >= from && each.when < until; }));
    }

    void checkLimits(std::size_t nodes, const SimExcuse &isExcused = nullptr)
    {
        for (const SimServer *server : plain) {
            const double beyond = server->arrivalsBeyondLimit(isExcused);
            if (beyond > 0)
                FAIL(("at " + std::to_string(nodes) + " nodes a target got "
                      + std::to_string(beyond) + " requests more than its limit allows")
                             .c_str());
        }
    }

    void checkUsed(std::size_t nodes, double allowed, double used)
    {
        if (used < UsedPart * allowed)
            FAIL(("at " + std::to_string(nodes) + " nodes " + std::to_string(used) + " of "
                  + std::to_string(allowed) + " allowed requests were sent")
                         .c_str());
    }
};

TEST(TargetLimits, targetGetsNoMoreThanItsLimitFromAllNodesAndOthersServeTheRest)
{
    for (const std::size_t nodes : NodeCounts) {
        build(nodes);
        plain[0]->setLimit(4.1);
        const Duration span = spanFor(nodes);
        start("/once/x", std::max(30.0, static_cast<double>(nodes) / 2), span);
        fleet->run(span + 5s);
        checkLimits(nodes);
        CHECK_EQUAL(0U, tally.refused + tally.failed + tally.open);
    }
}

TEST(TargetLimits, whatAllTargetsAllowIsUsedWhileMoreIsAsked)
{
    for (const std::size_t nodes : NodeCounts) {
        build(nodes);
        for (SimServer *server : plain)
            server->setLimit(4.1);
        const TimePoint from = fleet->timers.now() + Notice;
        const Duration span = spanFor(nodes);
        start("/once/x", std::max(40.0, static_cast<double>(nodes) / 2), Notice + span);
        fleet->run(Notice + span + 5s);
        checkLimits(nodes);
        double used = 0;
        for (const SimServer *server : plain)
            used += arrivalsBetween(*server, from, from + span);
        checkUsed(nodes, static_cast<double>(plain.size()) * 4.1 * seconds(span), used);
        CHECK_EQUAL(0U, tally.failed + tally.open);
    }
}

TEST(TargetLimits, limitsOfAnySizeAreKeptAndUsed)
{
    const std::map<std::size_t, std::vector<double>> limits{{7, {0, 0.3, 1, 10, 30, 100}},
                                                            {90, {0.3, 30}}};
    for (const auto &[nodes, sizes] : limits) {
        for (const double limit : sizes) {
            build(nodes);
            for (SimServer *server : plain)
                server->setLimit(limit);
            const TimePoint from = fleet->timers.now() + Notice;
            const Duration span = limit < 10 ? 60s : 20s;
            start("/once/x", 20 + 5 * limit, Notice + span);
            fleet->run(Notice + span + 5s);
            checkLimits(nodes);
            double used = 0;
            for (const SimServer *server : plain)
                used += arrivalsBetween(*server, from, from + span);
            checkUsed(nodes, 3 * limit * seconds(span), used);
            CHECK_EQUAL(0U, tally.failed + tally.open);
        }
    }
}

// A target that gets nothing could not say that its limit has ended.
TEST(TargetLimits, targetIsAskedNowAndThenAndUsedAgainWhenItsLimitEnds)
{
    for (const std::size_t nodes : {7U, 90U}) {
        build(nodes);
        for (SimServer *server : plain)
            server->setLimit(0);
        start("/once/x", 30, 60s);
        fleet->run(20s);
        checkLimits(nodes);
        for (SimServer *server : plain)
            server->setLimit(std::nullopt);
        fleet->run(6s);
        const std::uint32_t refused = tally.refused;
        const std::uint32_t served = tally.served;
        fleet->run(25s);
        CHECK_EQUAL(refused, tally.refused);
        CHECK(tally.served - served > 650);
    }
}

TEST(TargetLimits, limitsThatChangeAreKept)
{
    for (const std::size_t nodes : {7U, 90U}) {
        build(nodes);
        start("/once/x", 60, 60s);
        for (const double limit : {20.0, 4.0, 12.0, 0.5, 30.0, 1.0}) {
            for (SimServer *server : plain)
                server->setLimit(limit);
            fleet->run(10s);
        }
        checkLimits(nodes);
        CHECK_EQUAL(0U, tally.failed);
    }
}

TEST(TargetLimits, valuesThatCannotBeReadDoNotLiftALimit)
{
    build(7);
    for (SimServer *server : plain)
        server->setLimit(4.1);
    start("/once/x", 40, 40s);
    fleet->run(5s);
    for (SimServer *server : plain)
        server->options.limitText = "many";
    const TimePoint from = fleet->timers.now();
    fleet->run(30s);
    for (const SimServer *server : plain)
        CHECK(arrivalsBetween(*server, from, from + 30s) <= 1.5 * 4.1 * 30 + 5);
}

// Others hear of the limit before they have sent a request there.
TEST(TargetLimits, nodesThatHaveNotHeardTheLimitThemselvesKeepIt)
{
    for (const std::size_t nodes : {7U, 90U, 330U}) {
        build(nodes, 1);
        plain[0]->setLimit(2);
        for (int i = 0; i < 3; ++i) {
            fleet->request(0, "POST", "/once/x", "body " + std::to_string(i), tally);
            fleet->run(100ms);
        }
        fleet->run(2s);
        const TimePoint from = fleet->timers.now();
        for (std::size_t i = 0; i < nodes; ++i)
            fleet->request(i, "POST", "/once/x", "later " + std::to_string(i), tally);
        fleet->run(4s);
        CHECK(arrivalsBetween(*plain[0], from, from + 4s) <= 1.5 * 2 * 4 + 5);
    }
}

TEST(TargetLimits, nodesThatStartHearOfLimitsThatStandForLong)
{
    build(7, 1);
    plain[0]->setLimit(2);
    start("/once/x", 20, 60s);
    fleet->run(10s);
    for (std::size_t i = 1; i < 7; ++i)
        fleet->killNode(i);
    fleet->run(1s);
    for (std::size_t i = 1; i < 7; ++i)
        fleet->startNode(i);
    fleet->run(1500ms);
    const TimePoint from = fleet->timers.now();
    fleet->run(8s);
    CHECK(arrivalsBetween(*plain[0], from, from + 4s) <= 1.5 * 2 * 4 + 5);
    CHECK(arrivalsBetween(*plain[0], from, from + 8s) >= UsedPart * 2 * 8);
}

TEST(TargetLimits, theLimitIsKeptAndUsedWhileTheNodesThatGrantAreKilledOrFrozen)
{
    for (const bool doFreeze : {false, true}) {
        build(7);
        for (SimServer *server : plain)
            server->setLimit(8);
        start("/once/x", 60, 70s);
        std::vector<std::pair<TimePoint, std::string>> disturbed;
        const TimePoint from = fleet->timers.now() + Notice;
        fleet->run(5s);
        for (std::size_t node = 0; node < 6; ++node) {
            disturbed.emplace_back(fleet->timers.now(), fleet->addressOf(node));
            if (doFreeze)
                fleet->pauseNode(node);
            else
                fleet->killNode(node);
            fleet->run(4s);
            if (doFreeze)
                fleet->resumeNode(node);
            else
                fleet->startNode(node);
            fleet->run(6s);
        }
        checkLimits(7, [&](const std::string &host, TimePoint, TimePoint when) {
            return std::any_of(disturbed.begin(), disturbed.end(), [&](const auto &each) {
                return each.second == host && when >= each.first && when < each.first + 7s;
            });
        });
        double used = 0;
        for (const SimServer *server : plain)
            used += arrivalsBetween(*server, from, from + 60s);
        checkUsed(7, 3 * 8 * 60, used);
    }
}

// All nodes are judged, those that are cut off among them.
TEST(TargetLimits, theLimitIsKeptOnBothSidesOfACutAndEachSideGoesOnServing)
{
    for (const std::size_t nodes : {7U, 90U}) {
        for (const bool isStoreUp : {true, false}) {
            build(nodes);
            for (SimServer *server : plain)
                server->setLimit(6);
            start("/once/x", 60, 40s);
            fleet->run(5s);
            fleet->setStoreUp(isStoreUp);
            const TimePoint from = fleet->timers.now();
            fleet->cutZone("z0");
            fleet->run(10s);
            fleet->cutZone(std::nullopt);
            fleet->run(10s);
            fleet->setStoreUp(true);
            fleet->run(15s);
            checkLimits(nodes);
            // The target of the zone that is cut off is used by the nodes there alone.
            for (const SimServer *server : plain)
                CHECK(arrivalsBetween(*server, from + 3s, from + 10s) >= 0.5 * 6 * 7);
        }
    }
}

// Second sends and streams that go on take from the same limit.
TEST(TargetLimits, secondSendsAndResumedStreamsKeepTheLimit)
{
    build(7);
    plain[0]->setLimit(5);
    plain[1]->options.errorShare = 0.6;
    plain[2]->options.errorShare = 0.6;
    std::vector<SimServer *> engines;
    for (const auto &server : fleet->servers) {
        if (server->options.events == 0)
            continue;
        engines.push_back(server.get());
        server->options.events = 60;
        server->options.slots = 100;
    }
    engines[0]->setLimit(3);
    start("/safe/x", 40, 40s);
    start("/resumable/x", 12, 40s);
    for (int round = 0; round < 5; ++round) {
        fleet->run(6s);
        engines[1]->crash(SimEnd::Reset);
        engines[2]->resetConnections();
    }
    fleet->run(30s);
    checkLimits(7);
    CHECK(engines[0]->arrivalsBeyondLimit() <= 0);
    CHECK_EQUAL(0U, tally.disordered + tally.open);
}

// While the store is away, nodes ask the targets of their streams for reports, and streams move.
TEST(TargetLimits, callsOfTheNodesThemselvesKeepTheLimit)
{
    build(7);
    std::vector<SimServer *> engines;
    for (const auto &server : fleet->servers) {
        if (server->options.events == 0)
            continue;
        engines.push_back(server.get());
        server->options.events = 150;
        server->options.slots = 100;
    }
    for (SimServer *server : engines)
        server->setLimit(3);
    start("/stream/x", 8, 30s);
    fleet->run(8s);
    fleet->setStoreUp(false);
    fleet->run(8s);
    fleet->setStoreUp(true);
    fleet->run(4s);
    engines[0]->options.leavingTime = 4s;
    engines[0]->leave();
    fleet->run(40s);
    for (const SimServer *server : engines)
        CHECK(server->arrivalsBeyondLimit() <= 0);
    CHECK_EQUAL(0U, tally.open);
}
