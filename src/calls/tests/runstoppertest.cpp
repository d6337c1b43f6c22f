#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "calls/runstopper.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

/// Calls that stop runs, answered explicitly by the test.
TEST_GROUP(RunStopper)
{
    VirtualTimerService timers;
    std::vector<RunStopper::Hooks::Callback> calls;
    std::vector<TimePoint> calledAt;
    std::vector<std::string> freed;
    std::vector<RunStopResult> ends;
    std::size_t callsReported = 0;
    std::unique_ptr<RunStopper> stopper;

    void setup() override
    {
        RunStopper::Hooks hooks;
        hooks.stopRun = [this](const AbandonedRun &, RunStopper::Hooks::Callback callback) {
            calledAt.push_back(timers.now());
            calls.push_back(std::move(callback));
        };
        hooks.freeCopy = [this](const AbandonedRun &, const std::string &handle) {
            freed.push_back(handle);
        };
        hooks.onEnded = [this](const RunStopper::Report &report) {
            ends.push_back(report.result);
            callsReported = report.calls;
        };
        stopper = RunStopper::create(std::move(hooks), timers);
    }

    static AbandonedRun run(const char *id = "r", const char *target = "a")
    {
        AbandonedRun run;
        run.id = RequestId(id);
        run.target = TargetId(target);
        return run;
    }
};

TEST(RunStopper, stopsARunSoonAndFreesItsCopy)
{
    stopper->add(run());
    timers.advance(RunStopper::CloseNoticeTime);
    LONGS_EQUAL(1, calls.size());
    calls[0]({RunStopResult::Stopped, "h"});
    LONGS_EQUAL(1, freed.size());
    CHECK(ends.at(0) == RunStopResult::Stopped);
    timers.advance(1min);
    LONGS_EQUAL(1, calls.size());
    LONGS_EQUAL(0, stopper->size());
}

TEST(RunStopper, aRunThatHasEndedNeedsNoFurtherCall)
{
    stopper->add(run());
    timers.advance(RunStopper::CloseNoticeTime);
    calls[0]({RunStopResult::NoSuchRun, {}});
    timers.advance(1min);
    LONGS_EQUAL(1, calls.size());
    LONGS_EQUAL(0, freed.size());
}

TEST(RunStopper, refusedAndLostCallsAreRepeatedUpToTheirLimit)
{
    stopper->add(run());
    timers.advance(RunStopper::CloseNoticeTime);
    for (std::uint32_t i = 0; i < RunStopper::MaxCalls; ++i) {
        LONGS_EQUAL(i + 1, calls.size());
        calls[i]({i % 2 == 0 ? RunStopResult::Refused : RunStopResult::Unknown, {}});
        LONGS_EQUAL(i + 1 < RunStopper::MaxCalls ? 0 : 1, ends.size());
        while (calls.size() == i + 1 && ends.empty())
            timers.advance(10ms);
    }
    timers.advance(1min);
    LONGS_EQUAL(RunStopper::MaxCalls, calls.size());
    LONGS_EQUAL(1, ends.size());
    LONGS_EQUAL(0, stopper->size());
}

// Guards against a run that goes on while the answer to one call is waited for.
TEST(RunStopper, aCallWithoutAnAnswerDoesNotHoldUpTheNext)
{
    stopper->add(run());
    timers.advance(RunStopper::CloseNoticeTime);
    timers.advance(300ms);
    CHECK(calls.size() >= 10);
    // Any of them may be the one that gets through.
    calls[4]({RunStopResult::Stopped, "h"});
    CHECK(ends.at(0) == RunStopResult::Stopped);
    const std::size_t made = calls.size();
    for (std::size_t i = 5; i < made; ++i)
        calls[i]({RunStopResult::NoSuchRun, {}});
    timers.advance(1min);
    LONGS_EQUAL(made, calls.size());
    LONGS_EQUAL(made, callsReported);
    LONGS_EQUAL(1, ends.size());
}

TEST(RunStopper, aTargetThatAnswersNothingGetsALimitedNumberOfCalls)
{
    stopper->add(run());
    timers.advance(1min);
    LONGS_EQUAL(RunStopper::MaxCalls, calls.size());
    CHECK(calledAt.back() - calledAt.front() < 6s);
    // The answers that are still awaited decide how it has ended.
    LONGS_EQUAL(1, stopper->size());
    for (const RunStopper::Hooks::Callback &callback : calls)
        callback({RunStopResult::Unknown, {}});
    CHECK(ends.at(0) == RunStopResult::Unknown);
}

// Guards against a planned stop of the node that waits long for runs at targets that have crashed.
TEST(RunStopper, aTargetThatIsNotReachedIsCalledLessOften)
{
    stopper->add(run());
    timers.advance(RunStopper::CloseNoticeTime);
    for (std::uint32_t i = 0; i < RunStopper::MaxUnreachableCalls; ++i) {
        LONGS_EQUAL(i + 1, calls.size());
        calls[i]({RunStopResult::Unreachable, {}});
        timers.advance(std::min(RunStopper::UnreachableGap * (1U << i), RunStopper::MaxCallGap));
    }
    CHECK(ends.at(0) == RunStopResult::Unreachable);
    LONGS_EQUAL(RunStopper::MaxUnreachableCalls, calls.size());
}

// Guards against a run that goes on since its target could be reached again only after the calls
// had been given up.
TEST(RunStopper, aTargetIsCalledUntilTheDeadlineOfTheRun)
{
    for (const RunStopResult result : {RunStopResult::Unreachable, RunStopResult::Unknown}) {
        calls.clear();
        ends.clear();
        AbandonedRun lasting = run();
        lasting.until = timers.now() + 30s;
        int released = 0;
        stopper->addUrgent(lasting, [&released](RunStopResult) { ++released; });
        for (int i = 0; i < 280; ++i) {
            timers.advance(100ms);
            for (const RunStopper::Hooks::Callback &callback : std::exchange(calls, {}))
                callback({result, {}});
        }
        LONGS_EQUAL(1, stopper->size());
        LONGS_EQUAL(1, released);
        LONGS_EQUAL(0, stopper->pending());
        timers.advance(RunStopper::MaxCallGap);
        calls.at(0)({RunStopResult::Stopped, {}});
        CHECK(ends.at(0) == RunStopResult::Stopped);
        LONGS_EQUAL(2, released);
    }
}

TEST(RunStopper, aRunIsStoppedByOneSeriesOfCalls)
{
    int released = 0;
    stopper->addUrgent(run(), [&released](RunStopResult) { ++released; });
    stopper->add(run());
    LONGS_EQUAL(1, stopper->size());
    timers.advance(RunStopper::CallGap - 1ms);
    LONGS_EQUAL(1, calls.size());
    calls[0]({RunStopResult::Stopped, {}});
    LONGS_EQUAL(1, released);
}

// The copy that the stream goes on from is not the stopper's to free.
TEST(RunStopper, theCopyInUseIsNotFreed)
{
    AbandonedRun moved = run();
    moved.copyInUse = std::string("h");
    stopper->add(moved);
    timers.advance(RunStopper::CloseNoticeTime);
    calls[0]({RunStopResult::Stopped, "h"});
    moved = run("copied");
    moved.isBeingCopied = true;
    stopper->add(moved);
    timers.advance(RunStopper::CloseNoticeTime);
    calls[1]({RunStopResult::Stopped, "h2"});
    CHECK(freed.empty());
}

// Guards against a run that goes on after its copy is complete, as calls have become rare by then.
TEST(RunStopper, aBusyTargetIsCalledAgainSoon)
{
    stopper->add(run());
    timers.advance(RunStopper::CloseNoticeTime);
    for (std::uint32_t i = 0; i < 3 * RunStopper::MaxCalls; ++i) {
        LONGS_EQUAL(i + 1, calls.size());
        calls[i]({RunStopResult::Busy, {}});
        timers.advance(RunStopper::BusyGap);
    }
    calls.back()({RunStopResult::Stopped, {}});
    CHECK(ends.at(0) == RunStopResult::Stopped);
}

TEST(RunStopper, aTargetThatStaysBusyIsGivenUp)
{
    stopper->add(run());
    for (int i = 0; i < 1000 && ends.empty(); ++i) {
        timers.advance(RunStopper::BusyGap);
        calls.back()({RunStopResult::Busy, {}});
    }
    CHECK(ends.at(0) == RunStopResult::Busy);
    CHECK(calledAt.back() - calledAt.front() >= RunStopper::MaxBusyTime - 1s);
}

TEST(RunStopper, anUrgentCallIsMadeAtOnceAndTellsOnceThatTheRunIsReleased)
{
    for (const RunStopResult result :
         {RunStopResult::Stopped, RunStopResult::NoSuchRun, RunStopResult::Unreachable}) {
        int released = 0;
        calls.clear();
        stopper->addUrgent(run(), [&released](RunStopResult) { ++released; });
        timers.advance(1ms);
        LONGS_EQUAL(1, calls.size());
        for (const RunStopResult open :
             {RunStopResult::Busy, RunStopResult::Refused, RunStopResult::Unknown}) {
            calls.back()({open, {}});
            LONGS_EQUAL(0, released);
            timers.advance(1s);
        }
        calls.back()({result, {}});
        LONGS_EQUAL(1, released);
        timers.advance(1s);
        // A target that can't be reached is called further, and the end of its run is told too.
        if (result == RunStopResult::Unreachable) {
            calls.back()({RunStopResult::Unreachable, {}});
            LONGS_EQUAL(1, released);
            calls.back()({RunStopResult::NoSuchRun, {}});
            LONGS_EQUAL(2, released);
        } else {
            LONGS_EQUAL(1, released);
        }
        LONGS_EQUAL(0, stopper->size());
    }
}

TEST(RunStopper, aRunThatCannotBeEndedIsReleased)
{
    int released = 0;
    stopper->addUrgent(run(), [&released](RunStopResult) { ++released; });
    while (ends.empty()) {
        LONGS_EQUAL(0, released);
        timers.advance(10ms);
        for (const RunStopper::Hooks::Callback &callback : std::exchange(calls, {}))
            callback({RunStopResult::Refused, {}});
    }
    LONGS_EQUAL(1, released);
}

// Also where a call is under way, since its answer may never come.
TEST(RunStopper, allRunsAreCalledAtOnceBeforeTheProcessEnds)
{
    stopper->add(run("r1"));
    timers.advance(RunStopper::CloseNoticeTime);
    stopper->add(run("r2"));
    stopper->callAllNow();
    timers.advance(1ms);
    LONGS_EQUAL(3, calls.size());
    calls[0]({RunStopResult::Refused, {}});
    stopper->callAllNow();
    timers.advance(1ms);
    LONGS_EQUAL(5, calls.size());
}

TEST(RunStopper, aCopyMadeByACallThatCameTooLateIsFreed)
{
    stopper->add(run());
    timers.advance(RunStopper::CloseNoticeTime);
    stopper->cancel(RequestId("r"), TargetId("a"));
    calls[0]({RunStopResult::Stopped, "h"});
    LONGS_EQUAL(1, freed.size());
    LONGS_EQUAL(0, ends.size());
}

// Guards against a stop that ends the run of the same request that began later.
TEST(RunStopper, aRequestThatIsSentToTheTargetAgainIsNotStopped)
{
    stopper->add(run());
    stopper->add(run("other"));
    stopper->add(run("r", "b"));
    stopper->cancel(RequestId("r"), TargetId("a"));
    timers.advance(RunStopper::CloseNoticeTime);
    LONGS_EQUAL(2, calls.size());
}
