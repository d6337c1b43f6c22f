#include <memory>
#include <vector>

#include "base/virtualtimerservice.h"
#include "blame/poisontracker.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(PoisonTracker)
{
    static constexpr std::uint64_t Poison = 1;
    static constexpr std::uint64_t Harmless = 2;
    const TargetId first{"e1"};
    const TargetId second{"e2"};
    VirtualTimerService timers;
    std::vector<PoisonReport> reports;
    std::unique_ptr<PoisonTracker> tracker = PoisonTracker::create(
            timers, {[this](const PoisonReport &report) { reports.push_back(report); }});
};

TEST(PoisonTracker, secondDeathRefusesAndCompletionClearsSuspicion)
{
    tracker->onRunning(Poison, first, 1);
    tracker->onRunning(Harmless, first, 1);
    tracker->onTargetDied(first, 1);
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
    CHECK(tracker->suspicion(Harmless) == Suspicion::Suspect);
    CHECK_EQUAL(2U, reports.size());
    CHECK_EQUAL(1U, reports[0].concurrentRequests);

    tracker->onRunning(Harmless, second, 1);
    tracker->onReleased(Harmless, second, true);
    CHECK(tracker->suspicion(Harmless) == Suspicion::None);

    tracker->onRunning(Poison, second, 1);
    tracker->onTargetDied(second, 1);
    CHECK(tracker->suspicion(Poison) == Suspicion::Refused);
    CHECK_EQUAL(2U, tracker->entries().front().deaths.size());
}

TEST(PoisonTracker, deathReportedBySeveralNodesCountsOnce)
{
    tracker->onRunning(Poison, first, 4);
    tracker->onTargetDied(first, 4);
    tracker->onReport({Poison, first, 4, 0});
    tracker->onReport({Poison, first, 4, 3});
    tracker->onTargetDied(first, 4);
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
    tracker->onReport({Poison, first, 5, 0});
    CHECK(tracker->suspicion(Poison) == Suspicion::Refused);
}

TEST(PoisonTracker, lostConnectionCountsBeforeDeathIsConfirmed)
{
    tracker->onRunning(Poison, first, 4);
    tracker->onRunning(Harmless, first, 4);
    tracker->onLost(Poison, first, 4);
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
    CHECK(tracker->suspicion(Harmless) == Suspicion::None);
    CHECK_EQUAL(1U, reports.size());
    tracker->onTargetDied(first, 4);
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
    CHECK(tracker->suspicion(Harmless) == Suspicion::Suspect);
    CHECK_EQUAL(2U, reports.size());
}

TEST(PoisonTracker, sendsToTargetsAlreadyDownDoNotRefuse)
{
    tracker->onSent(Harmless, first, 1);
    tracker->onLost(Harmless, first, 1);
    tracker->onReleased(Harmless, first, false);
    tracker->onSent(Harmless, second, 1);
    tracker->onLost(Harmless, second, 1);
    CHECK(tracker->suspicion(Harmless) == Suspicion::Suspect);
    CHECK_EQUAL(2U, reports.size());
    CHECK(!reports[1].hasStarted);

    tracker->onReport({Poison, first, 1, 0, false});
    tracker->onSent(Poison, second, 1);
    tracker->onRunning(Poison, second, 2);
    tracker->onLost(Poison, second, 2);
    CHECK(tracker->suspicion(Poison) == Suspicion::Refused);
}

TEST(PoisonTracker, laterReportConfirmsStartedRun)
{
    tracker->onReport({Poison, first, 1, 0, false});
    tracker->onReport({Poison, second, 1, 0, false});
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
    tracker->onReport({Poison, second, 1, 0, true});
    CHECK(tracker->suspicion(Poison) == Suspicion::Refused);
    CHECK_EQUAL(2U, tracker->entries().front().deaths.size());
}

TEST(PoisonTracker, releasedRequestIsNotSuspected)
{
    tracker->onRunning(Poison, first, 1);
    tracker->onReleased(Poison, first, false);
    tracker->onRunning(Harmless, first, 2);
    tracker->onTargetDied(first, 1);
    CHECK(tracker->suspicion(Poison) == Suspicion::None);
    CHECK(tracker->suspicion(Harmless) == Suspicion::None);
    CHECK(reports.empty());
}

TEST(PoisonTracker, suspicionAndRefusalExpireOrAreCleared)
{
    tracker->onReport({Poison, first, 1, 0});
    timers.advance(11min);
    CHECK(tracker->suspicion(Poison) == Suspicion::None);
    tracker->onReport({Poison, first, 2, 0});
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
    tracker->onReport({Poison, second, 1, 0});
    timers.advance(30min);
    CHECK(tracker->suspicion(Poison) == Suspicion::Refused);
    tracker->onReleased(Poison, second, true);
    CHECK(tracker->suspicion(Poison) == Suspicion::Refused);
    timers.advance(31min);
    CHECK(tracker->entries().empty());
    tracker->onReport({Poison, first, 3, 0});
    tracker->onReport({Poison, second, 3, 0});
    tracker->clear(Poison);
    CHECK(tracker->suspicion(Poison) == Suspicion::None);
}

TEST(PoisonTracker, floodOfRequestsIsBoundedAndKeepsRefusals)
{
    tracker->onReport({Poison, first, 1, 0});
    tracker->onReport({Poison, second, 1, 0});
    for (std::uint64_t i = 100; i < 20100; ++i) {
        timers.advance(1us);
        tracker->onReport({i, first, 1, 0});
    }
    CHECK(tracker->entries().size() <= 10000);
    CHECK(tracker->suspicion(Poison) == Suspicion::Refused);
    for (std::uint64_t i = 0; i < 500; ++i)
        tracker->onRunning(i + 50000, second, 9);
    tracker->onTargetDied(second, 9);
    CHECK(reports.size() <= 32);
}

TEST(PoisonTracker, silentTargetThatVanishesCountsAsDeath)
{
    tracker->onRunning(Poison, first, 1);
    tracker->onRunning(Harmless, first, 1);
    timers.advance(2s);
    tracker->onAnswering(Harmless, first);
    tracker->onAbandoned(Poison, first);
    CHECK(tracker->suspicion(Poison) == Suspicion::None);
    tracker->onTargetVanished(first);
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
    CHECK(tracker->suspicion(Harmless) == Suspicion::None);

    tracker->onTargetVanished(second);
    tracker->onRunning(Poison, second, 1);
    timers.advance(5s);
    tracker->onAbandoned(Poison, second);
    CHECK(tracker->suspicion(Poison) == Suspicion::Refused);
}

TEST(PoisonTracker, silentTargetThatRestartsCountsAsDeath)
{
    tracker->onRunning(Poison, first, 1);
    tracker->onAbandoned(Poison, first);
    timers.advance(20s);
    tracker->onTargetDied(first, 1);
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
    tracker->onRunning(Harmless, second, 1);
    tracker->onAbandoned(Harmless, second);
    timers.advance(31s);
    tracker->onTargetDied(second, 1);
    CHECK(tracker->suspicion(Harmless) == Suspicion::None);
}

TEST(PoisonTracker, requestGivenUpWhileItsTargetAnswersIsNotSuspected)
{
    tracker->onRunning(Harmless, first, 1);
    tracker->onAnswering(Harmless, first);
    tracker->onAbandoned(Harmless, first);
    tracker->onTargetDied(first, 1);
    CHECK(tracker->suspicion(Harmless) == Suspicion::None);
}

TEST(PoisonTracker, deathsLongAfterTheStartCountHalf)
{
    for (const std::uint64_t death : {1U, 2U, 3U, 4U}) {
        CHECK(tracker->suspicion(Poison) != Suspicion::Refused);
        tracker->onRunning(Poison, first, death);
        tracker->onAnswering(Poison, first);
        timers.advance(3s);
        tracker->onAnswering(Poison, first);
        tracker->onLost(Poison, first, death);
        tracker->onReleased(Poison, first, false);
    }
    CHECK(tracker->suspicion(Poison) == Suspicion::Refused);
}

TEST(PoisonTracker, clearingOutlivesLateReportsOfEarlierDeaths)
{
    tracker->onReport({Poison, first, 1, 0});
    tracker->onReport({Poison, second, 1, 0});
    timers.advance(10s);
    tracker->clear(Poison);
    CHECK(!tracker->onReport({Poison, first, 1, 0, true, false, "", 20s}));
    CHECK(tracker->suspicion(Poison) == Suspicion::None);
    CHECK_EQUAL(1U, tracker->clearings().size());
    timers.advance(10s);
    CHECK(tracker->onReport({Poison, first, 2, 0, true, false, "", 5s}));
    tracker->onClearing({Poison, 5s});
    CHECK(tracker->suspicion(Poison) == Suspicion::None);
    CHECK(tracker->onReport({Poison, first, 2, 0, true, false, "", 4s}));
    timers.advance(61min);
    tracker->onClearing({Harmless, 0s});
    CHECK_EQUAL(1U, tracker->clearings().size());
}

// Otherwise two nodes that tell each other of a death would never forget it.
TEST(PoisonTracker, reportPassedOnKeepsItsAge)
{
    tracker->onReport({Poison, first, 1, 0, true, false, "text", 4min});
    timers.advance(5min);
    const std::vector<PoisonReport> known = tracker->reports(10);
    CHECK_EQUAL(1U, known.size());
    CHECK(known[0].age == 9min);
    STRCMP_EQUAL("text", known[0].subject.c_str());
    timers.advance(1min);
    CHECK(tracker->suspicion(Poison) == Suspicion::None);
    CHECK(!tracker->onReport({Harmless, first, 1, 0, true, false, "", 61min}));
}

TEST(PoisonTracker, refusedRequestsAreReportedFirst)
{
    tracker->onReport({Poison, first, 1, 0});
    tracker->onReport({Poison, second, 1, 0});
    timers.advance(1s);
    tracker->onReport({Harmless, first, 1, 0});
    const std::vector<PoisonReport> known = tracker->reports(1);
    CHECK_EQUAL(2U, known.size());
    CHECK_EQUAL(Poison, known[0].fingerprint);
}

TEST(PoisonTracker, deathIsWithdrawnIfTheTargetAnswersOn)
{
    tracker->onRunning(Harmless, first, 1);
    tracker->onRunning(Poison, first, 1);
    timers.advance(1s);
    tracker->onLost(Harmless, first, 1);
    CHECK(tracker->suspicion(Harmless) == Suspicion::Suspect);
    timers.advance(1900ms);
    tracker->onAnswering(Poison, first);
    CHECK(tracker->suspicion(Harmless) == Suspicion::Suspect);
    timers.advance(200ms);
    tracker->onAnswering(Poison, first);
    CHECK(tracker->suspicion(Harmless) == Suspicion::None);
    CHECK(!tracker->onReport({Harmless, first, 1, 0, true, false, "", 2100ms}));
}

TEST(PoisonTracker, deathIsWithdrawnAtOnceIfTheTargetAnswersALaterRequest)
{
    tracker->onRunning(Harmless, first, 1);
    tracker->onLost(Harmless, first, 1);
    timers.advance(10ms);
    tracker->onRunning(Poison, first, 1);
    timers.advance(20ms);
    tracker->onAnswering(Poison, first);
    CHECK(tracker->suspicion(Harmless) == Suspicion::None);
    CHECK(!tracker->onReport({Harmless, first, 1, 0, true, false, "", 30ms}));
}

// The parts had arrived while the node was suspended, before the target died.
TEST(PoisonTracker, deathStandsIfASuspendedNodeReadsEarlierParts)
{
    tracker->onRunning(Harmless, first, 1);
    tracker->onRunning(Poison, first, 1);
    for (int tick = 0; tick < 4; ++tick) {
        tracker->onTick();
        timers.advance(250ms);
    }
    tracker->onLost(Poison, first, 1);
    timers.advance(5s);
    tracker->onAnswering(Harmless, first);
    tracker->onTick();
    tracker->onAnswering(Harmless, first);
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
}

// A message that waited for the suspended node tells of a time before its arrival.
TEST(PoisonTracker, deathStandsIfASuspendedNodeReadsAnEarlierLifetime)
{
    for (int tick = 0; tick < 4; ++tick) {
        tracker->onTick();
        timers.advance(250ms);
    }
    timers.advance(5s);
    tracker->onReport({Poison, first, 1, 0, true, false, "", 3s});
    tracker->onLifetime({first, 1, 1s, 10ms});
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
}

TEST(PoisonTracker, deathStandsIfAnotherStartOfTheTargetAnswers)
{
    tracker->onRunning(Poison, first, 1);
    tracker->onLost(Poison, first, 1);
    tracker->onReleased(Poison, first, false);
    timers.advance(500ms);
    tracker->onRunning(Harmless, first, 2);
    timers.advance(1s);
    tracker->onAnswering(Harmless, first);
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
}

// The target may have restarted under its id before that is known here.
TEST(PoisonTracker, deathStandsIfTheTargetAnswersOnlyAfterATimeToRestart)
{
    tracker->onRunning(Poison, first, 1);
    tracker->onLost(Poison, first, 1);
    tracker->onReleased(Poison, first, false);
    timers.advance(1500ms);
    tracker->onRunning(Harmless, first, 1);
    timers.advance(1s);
    tracker->onAnswering(Harmless, first);
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
}

TEST(PoisonTracker, clearingPassedBetweenNodesStaysInItsPlace)
{
    CHECK(tracker->onClearing({Poison, 10s}));
    for (int round = 0; round < 1000; ++round)
        CHECK(!tracker->onClearing({Poison, tracker->clearings()[0].age - 10ms}));
    CHECK(tracker->clearings()[0].age == 10s);
}

// The earlier run's silence says nothing of the new one, nor that the target lived in between.
TEST(PoisonTracker, requestSentAgainToTheTargetThatWasSilentIsANewRun)
{
    tracker->onRunning(Poison, first, 1);
    tracker->onAbandoned(Poison, first);
    timers.advance(10s);
    tracker->onRunning(Harmless, first, 1);
    tracker->onLost(Harmless, first, 1);
    tracker->onReleased(Harmless, first, false);
    timers.advance(10s);
    tracker->onRunning(Poison, first, 1);
    timers.advance(1s);
    tracker->onAnswering(Poison, first);
    CHECK(tracker->suspicion(Harmless) == Suspicion::Suspect);
    timers.advance(20s);
    tracker->onAnswering(Poison, first);
    tracker->onRunning(Harmless, second, 1);
    tracker->onTargetDied(first, 1);
    CHECK(tracker->suspicion(Poison) == Suspicion::Suspect);
}
