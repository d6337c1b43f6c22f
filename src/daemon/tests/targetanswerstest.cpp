#include <algorithm>

#include "daemon/tests/entryfleet.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// What targets say of themselves in their answers, judged by what arrives at them.
TEST_GROUP(TargetAnswers)
{
    // From the users' rules: no request later than this after a node has passed on that the target
    // leaves; two between half a second after a refusal and the end of the time it told.
    static constexpr Duration LeavingSlack = 2s;
    static constexpr Duration HoldOffSlack = 500ms;
    static constexpr std::size_t ToleratedArrivals = 2;

    static constexpr std::size_t FirstPlain = 12;
    // A starting node has no slack in its retry budget for this long.
    static constexpr Duration RetryWindow = 10s;

    std::unique_ptr<EntryFleet> fleet;

    EntryFleet &build(std::size_t nodes = 7)
    {
        EntryFleet::Options options;
        options.nodes = nodes;
        // Nodes go on while the store is away.
        options.maxKeyAge = 60s;
        fleet = std::make_unique<EntryFleet>(options);
        return *fleet;
    }

    /// Each engine gets streams of some seconds, all of which have begun.
    void buildWithStreams()
    {
        build();
        for (std::size_t i = 0; i < FirstPlain; ++i)
            fleet->servers[i]->options.events = 200;
        for (int i = 0; i < 42; ++i)
            fleet->request(i % 7, "POST", "/stream/x", "body " + std::to_string(i),
                           fleet->innocents);
        fleet->run(2s);
    }

    SimServer &plain(std::size_t index)
    {
        return *fleet->servers[FirstPlain + index];
    }

    void checkHoldOffs()
    {
        for (const auto &server : fleet->servers)
            CHECK(server->arrivalsWhileHeldOff(HoldOffSlack) <= ToleratedArrivals);
    }

    void checkLeaving()
    {
        for (const auto &server : fleet->servers)
            CHECK_EQUAL(0U, server->arrivalsAfterLeaving(LeavingSlack));
    }

    std::size_t arrivalsSince(const SimServer &server, TimePoint from)
    {
        return static_cast<std::size_t>(
                std::count_if(server.arrivals().begin(), server.arrivals().end(),
                              [from](const SimArrival &each) { return each.when >= from; }));
    }
};

// The target's entry says that it is ready all the while.
TEST(TargetAnswers, targetThatSaysItLeavesGetsNoFurtherRequests)
{
    for (const std::size_t nodes : {7U, 90U}) {
        build(nodes);
        plain(0).options.leavingShare = 1;
        fleet->servers[0]->options.leavingShare = 1;
        fleet->startInnocents(nodes * 20ms, 40s);
        fleet->run(60s);
        checkLeaving();
        CHECK_EQUAL(0U, fleet->innocents.refused + fleet->innocents.failed);
        CHECK_EQUAL(0U, fleet->innocents.open);
    }
}

TEST(TargetAnswers, targetThatSaysItLeavesInSomeAnswersGetsNoFurtherRequests)
{
    build();
    plain(0).options.leavingShare = 0.2;
    plain(0).options.errorShare = 0.5;
    fleet->startInnocents(100ms, 20s);
    fleet->run(30s);
    checkLeaving();
}

TEST(TargetAnswers, targetThatSaysItLeavesGetsNoFurtherRequestsWhileTheStoreIsAway)
{
    build();
    fleet->setStoreUp(false);
    plain(0).options.leavingShare = 1;
    fleet->startInnocents(100ms, 10s);
    fleet->run(20s);
    checkLeaving();
}

TEST(TargetAnswers, otherNodesHearThatATargetLeaves)
{
    build();
    fleet->setStoreUp(false);
    plain(0).options.leavingShare = 1;
    for (int i = 0; i < 20; ++i) {
        fleet->request(0, "POST", "/once/x", "body " + std::to_string(i), fleet->innocents);
        fleet->run(20ms);
    }
    fleet->run(1s);
    const TimePoint from = fleet->timers.now();
    for (int i = 0; i < 140; ++i)
        fleet->request(i % 7, "POST", "/once/x", "later " + std::to_string(i), fleet->innocents);
    fleet->run(2s);
    CHECK_EQUAL(0U, arrivalsSince(plain(0), from));
}

TEST(TargetAnswers, streamsMoveFromATargetThatSaysItLeaves)
{
    build();
    SimServer &leaving = *fleet->servers[0];
    leaving.options.leavingShare = 1;
    for (const auto &server : fleet->servers) {
        server->options.givesCopies = true;
        server->options.events = server->options.events > 0 ? 60 : 0;
    }
    for (int i = 0; i < 84; ++i)
        fleet->request(i % 7, "POST", "/stream/x", "body " + std::to_string(i), fleet->innocents);
    fleet->run(1s);
    CHECK(!leaving.arrivals().empty());
    // What is still there goes on only after a time-out.
    leaving.crash(SimEnd::Silent);
    fleet->run(5s);
    CHECK_EQUAL(84U, fleet->innocents.served);
    CHECK_EQUAL(0U, fleet->innocents.disordered);
}

TEST(TargetAnswers, newStartOfATargetThatLeftIsUsed)
{
    for (const bool keepsId : {false, true}) {
        build();
        plain(0).options.keepsId = keepsId;
        plain(0).options.leavingShare = 1;
        fleet->startInnocents(100ms, 15s);
        fleet->run(5s);
        plain(0).options.leavingShare = 0;
        plain(0).crash(SimEnd::Reset);
        fleet->run(5s);
        const TimePoint from = fleet->timers.now();
        fleet->run(10s);
        CHECK(arrivalsSince(plain(0), from) > 0);
        checkLeaving();
    }
}

TEST(TargetAnswers, targetThatTurnsRequestsAwayForATimeGetsNoneUntilThen)
{
    for (const std::size_t nodes : {7U, 90U}) {
        build(nodes);
        plain(0).options.turnAwayShare = 1;
        plain(0).options.holdOff = 2s;
        fleet->servers[0]->options.turnAwayShare = 1;
        fleet->servers[0]->options.holdOff = 3s;
        fleet->startInnocents(nodes * 20ms, 20s);
        fleet->run(40s);
        checkHoldOffs();
        CHECK_EQUAL(0U, fleet->innocents.failed);
        CHECK_EQUAL(0U, fleet->innocents.open);
    }
}

TEST(TargetAnswers, secondSendsAvoidTargetsThatWantNothing)
{
    build();
    plain(0).options.turnAwayShare = 1;
    plain(0).options.holdOff = 10s;
    plain(1).options.errorShare = 1;
    plain(2).options.errorShare = 1;
    fleet->run(RetryWindow);
    for (int i = 0; i < 200; ++i) {
        fleet->request(i % 7, "POST", "/safe/x", "body " + std::to_string(i), fleet->innocents);
        fleet->run(20ms);
    }
    fleet->run(5s);
    checkHoldOffs();
    CHECK_EQUAL(0U, fleet->innocents.open);
}

// One target's time does not count for the others of its service.
TEST(TargetAnswers, otherTargetsServeWhileOneTurnsRequestsAway)
{
    build();
    plain(0).options.turnAwayShare = 1;
    plain(0).options.holdOff = 30s;
    fleet->run(RetryWindow);
    for (int i = 0; i < 100; ++i) {
        fleet->request(i % 7, "POST", i % 2 == 0 ? "/once/x" : "/safe/x",
                       "body " + std::to_string(i), fleet->innocents);
        fleet->run(20ms);
    }
    fleet->run(5s);
    CHECK_EQUAL(100U, fleet->innocents.served);
    checkHoldOffs();
}

TEST(TargetAnswers, callersAreRefusedAtOnceWithTheShortestTimeWhileAllTargetsWantNothing)
{
    build();
    for (const std::size_t i : {0, 1, 2}) {
        plain(i).options.turnAwayShare = 1;
        plain(i).options.holdOff = 2s + i * 1s;
    }
    // Each node meets each target.
    for (int i = 0; i < 42; ++i)
        fleet->request(i % 7, "POST", "/once/x", "body " + std::to_string(i), fleet->innocents);
    fleet->run(500ms);
    EntryFleet::Tally tally;
    for (int i = 0; i < 70; ++i)
        fleet->request(i % 7, "POST", "/once/x", "later " + std::to_string(i), tally);
    fleet->run(300ms);
    CHECK_EQUAL(70U, tally.refused);
    CHECK(tally.slowestRefusal < 20ms);
    const auto [least, most] =
            std::minmax_element(tally.retryAfters.begin(), tally.retryAfters.end());
    CHECK(*least >= 1300ms);
    CHECK(*most <= 2300ms);
    CHECK(*most - *least > 100ms);
    checkHoldOffs();
}

// While the store is away, nodes ask the targets of their streams for reports.
TEST(TargetAnswers, targetsThatTurnAReportAwayAreNotAskedForTheTimeTheyTold)
{
    buildWithStreams();
    for (std::size_t i = 0; i < FirstPlain; ++i) {
        fleet->servers[i]->options.turnAwayShare = 1;
        fleet->servers[i]->options.holdOff = 3s;
    }
    fleet->setStoreUp(false);
    fleet->run(10s);
    checkHoldOffs();
}

// Streams move off targets that turn the calls for their copies away; some have no event at first.
TEST(TargetAnswers, targetsThatTurnCallsForCopiesAwayAreNotAskedForTheTimeTheyTold)
{
    build();
    const auto sendStreams = [this](int streams) {
        for (int i = 0; i < streams; ++i)
            fleet->request(i % 7, "POST", "/stream/x", "body " + std::to_string(streams + i),
                           fleet->innocents);
    };
    for (std::size_t i = 0; i < FirstPlain; ++i) {
        fleet->servers[i]->options.events = 200;
        fleet->servers[i]->options.slots = 100;
    }
    sendStreams(60);
    fleet->run(1s);
    for (std::size_t i = 0; i < FirstPlain; ++i)
        fleet->servers[i]->options.work = 1500ms;
    sendStreams(140);
    fleet->run(100ms);
    for (const std::size_t i : {0, 1, 2, 3}) {
        fleet->servers[i]->options.turnAwayShare = 1;
        fleet->servers[i]->options.holdOff = 4s;
        fleet->servers[i]->options.leavingTime = 6s;
        fleet->servers[i]->leave();
    }
    fleet->run(10s);
    checkHoldOffs();
}

TEST(TargetAnswers, targetsThatSayInAReportThatTheyLeaveAreAskedNoMore)
{
    buildWithStreams();
    for (std::size_t i = 0; i < FirstPlain; ++i)
        fleet->servers[i]->options.leavingShare = 1;
    fleet->setStoreUp(false);
    fleet->run(10s);
    checkLeaving();
}

// All callers come back when the time is over.
TEST(TargetAnswers, targetsThatTakeWorkAgainGetOneRequestOfEachNodeFirst)
{
    build();
    for (const std::size_t i : {0, 1, 2}) {
        plain(i).options.turnAwayShare = 1;
        plain(i).options.holdOff = 2s;
    }
    for (int i = 0; i < 42; ++i)
        fleet->request(i % 7, "POST", "/once/x", "body " + std::to_string(i), fleet->innocents);
    fleet->run(3s);
    const TimePoint from = fleet->timers.now();
    for (int i = 0; i < 350; ++i)
        fleet->request(i % 7, "POST", "/once/x", "later " + std::to_string(i), fleet->innocents);
    fleet->run(10ms);
    for (const std::size_t i : {0, 1, 2})
        CHECK(arrivalsSince(plain(i), from) <= 7);
    for (const std::size_t i : {0, 1, 2})
        plain(i).options.turnAwayShare = 0;
    fleet->run(5s);
    EntryFleet::Tally tally;
    for (int i = 0; i < 21; ++i) {
        fleet->request(i % 7, "POST", "/once/x", "last " + std::to_string(i), tally);
        fleet->run(100ms);
    }
    fleet->run(1s);
    CHECK_EQUAL(21U, tally.served);
}

// A third of a service's targets wants nothing for 2 s, over and over.
TEST(TargetAnswers, requestsAreServedWhileAThirdOfTheTargetsTurnsThemAway)
{
    build();
    plain(0).options.holdOff = 2s;
    fleet->run(RetryWindow);
    fleet->startInnocents(40ms, 40s);
    for (int round = 0; round < 10; ++round) {
        plain(0).options.turnAwayShare = 1;
        fleet->run(2s);
        plain(0).options.turnAwayShare = 0;
        fleet->run(2s);
    }
    fleet->run(30s);
    checkHoldOffs();
    CHECK(fleet->innocents.served >= 6900);
    CHECK_EQUAL(0U, fleet->innocents.failed + fleet->innocents.refused);
}
