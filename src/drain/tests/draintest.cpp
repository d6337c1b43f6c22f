#include <memory>
#include <vector>

#include "base/virtualtimerservice.h"
#include "drain/drain.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(Drain)
{
    VirtualTimerService timers;
    std::vector<DrainPhase> phases;
    std::size_t requests = 0;
    std::size_t unsent = 0;
    std::size_t claims = 0;
    int handOverCalls = 0;
    int exitCalls = 0;
    std::unique_ptr<Drain> drain = makeDrain();

    std::unique_ptr<Drain> makeDrain()
    {
        Drain::Hooks hooks;
        hooks.onPhaseChanged = [this](DrainPhase phase) { phases.push_back(phase); };
        hooks.requestsInProgress = [this] { return requests; };
        hooks.unsentAnswers = [this] { return unsent; };
        hooks.unsettledClaims = [this] { return claims; };
        hooks.handOver = [this] { ++handOverCalls; };
        hooks.exit = [this] { ++exitCalls; };
        return Drain::create(Drain::Options(), std::move(hooks), timers);
    }
};

TEST(Drain, waitsForLastRequestWithoutTimeLimit)
{
    requests = 1;
    drain->begin();
    drain->begin();
    CHECK(!drain->isReady());
    CHECK(drain->isAcceptingRequests());
    timers.advance(6s);
    CHECK(!drain->isAcceptingRequests());
    timers.advance(24h);
    CHECK(drain->phase() == DrainPhase::Refusing);
    CHECK_EQUAL(0, handOverCalls);
    requests = 0;
    claims = 2;
    timers.advance(1s);
    CHECK(drain->phase() == DrainPhase::Settling);
    CHECK_EQUAL(1, handOverCalls);
    CHECK_EQUAL(0, exitCalls);
    claims = 0;
    timers.advance(1s);
    CHECK_EQUAL(1, exitCalls);
    CHECK((phases
           == std::vector<DrainPhase>{DrainPhase::Announcing, DrainPhase::Refusing,
                                      DrainPhase::Settling, DrainPhase::Finished}));
}

// Guards against answers that wait for slow callers and are lost at the end of a planned stop.
TEST(Drain, waitsUntilAnswersAreSentInEachPhase)
{
    unsent = 2;
    claims = 1;
    drain->begin();
    timers.advance(1h);
    CHECK(drain->phase() == DrainPhase::Refusing);
    unsent = 0;
    timers.advance(1s);
    CHECK(drain->phase() == DrainPhase::Settling);
    unsent = 1;
    claims = 0;
    timers.advance(1h);
    CHECK_EQUAL(0, exitCalls);
    unsent = 0;
    timers.advance(1s);
    CHECK_EQUAL(1, exitCalls);
}

// Guards against a caller that reads nothing and holds a planned stop up past its deadline.
TEST(Drain, deadlineEndsTheWaitForAnswers)
{
    unsent = 1;
    drain->begin();
    drain->setDeadline(7s);
    timers.advance(6900ms);
    CHECK_EQUAL(0, exitCalls);
    timers.advance(200ms);
    CHECK_EQUAL(1, exitCalls);
}

TEST(Drain, onlyDeadlineAbortsRequestsInProgress)
{
    requests = 1;
    drain->setDeadline(1s);
    timers.advance(1h);
    CHECK(drain->phase() == DrainPhase::Serving);
    drain->begin();
    drain->setDeadline(30s);
    timers.advance(29s);
    CHECK_EQUAL(0, exitCalls);
    timers.advance(2s);
    CHECK_EQUAL(1, handOverCalls);
    CHECK_EQUAL(1, exitCalls);
    timers.advance(1h);
    CHECK_EQUAL(1, exitCalls);
    CHECK_EQUAL(0U, timers.pending());
}
