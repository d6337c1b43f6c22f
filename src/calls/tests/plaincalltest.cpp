#include <memory>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "calls/plaincall.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(PlainCall)
{
    VirtualTimerService timers;
    RandomSource random{1};
    std::unique_ptr<PlainCall> call;
    std::uint64_t exchange = 0;
    int claims = 0;
    int sends = 0;
    int lookUps = 0;
    int results = 0;
    int notRuns = 0;
    int unknownRecords = 0;
    int retries = 5;
    std::vector<int> finished;
    std::vector<std::pair<ErrorCode, Outcome>> failures;

    PlainHooks hooks()
    {
        PlainHooks hooks;
        hooks.requestPlacement = [this](std::uint64_t number, const std::vector<TargetId> &) {
            exchange = number;
        };
        hooks.sendRequest = [this](std::uint64_t number, const TargetId &) {
            exchange = number;
            ++sends;
        };
        hooks.abandonExchange = [](std::uint64_t) {};
        hooks.claimKey = [this] { ++claims; };
        hooks.recordResult = [this](const PlainResponse &) { ++results; };
        hooks.recordNotRun = [this] { ++notRuns; };
        hooks.recordUnknown = [this] { ++unknownRecords; };
        hooks.lookUpKey = [this](std::uint64_t number, const TargetId &) {
            exchange = number;
            ++lookUps;
        };
        hooks.finish = [this](const PlainResponse &response) {
            finished.push_back(response.status);
        };
        hooks.fail = [this](const absl::Status &status, Outcome outcome, Duration) {
            failures.emplace_back(errorCode(status), outcome);
        };
        hooks.reportTargetLost = [](const TargetId &) {};
        hooks.takeRetry = [this] { return retries-- > 0; };
        return hooks;
    }

    void make(bool isIdempotent, const std::string &key = "", bool checksKeys = false)
    {
        PlainRequest request;
        request.id = RequestId("r");
        request.isIdempotent = isIdempotent;
        request.idempotencyKey = key;
        request.targetChecksKeys = checksKeys;
        request.deadline = timers.now() + 60s;
        call = PlainCall::create(request, hooks(), timers, random);
        call->start();
    }

    void place()
    {
        call->onPlaced(exchange, TargetId("s1"));
    }

    void claimed(ClaimVerdict verdict)
    {
        ClaimAnswer answer;
        answer.verdict = verdict;
        if (verdict == ClaimVerdict::Done)
            answer.result = PlainResponse{201, "", "", Duration(0)};
        if (verdict == ClaimVerdict::NotClaimed)
            answer.status = makeError(ErrorCode::LogUnavailable, "test");
        call->onClaim(answer);
    }

    void respond(int status, Duration retryAfter = Duration(0))
    {
        call->onResponse(exchange, PlainResponse{status, "", "", retryAfter});
    }

    void failExchange(ErrorCode code, bool wasSent)
    {
        call->onExchangeFailed(exchange, makeError(code, "test"), wasSent);
    }

    bool isFailed(ErrorCode code, Outcome outcome) const
    {
        return !failures.empty() && failures.back() == std::pair{code, outcome};
    }
};

TEST(PlainCall, idempotentCallRetriesAfterRetryAfterDelay)
{
    make(true);
    place();
    respond(503, 20s);
    timers.advance(19s);
    CHECK_EQUAL(1, sends);
    timers.advance(2s);
    place();
    failExchange(ErrorCode::ConnectionLost, true);
    timers.advance(1s);
    place();
    respond(503, 50s);
    CHECK((finished == std::vector<int>{503}));
    CHECK_EQUAL(3, sends);
    CHECK_EQUAL(0, claims);
    CHECK_EQUAL(0U, timers.pending());
}

TEST(PlainCall, exhaustedRetryBudgetStopsRetries)
{
    retries = 2;
    make(true);
    for (int i = 0; i < 3; ++i) {
        place();
        failExchange(ErrorCode::ConnectionLost, true);
        timers.advance(3s);
    }
    CHECK_EQUAL(3, sends);
    CHECK(isFailed(ErrorCode::ConnectionLost, Outcome::Unknown));
}

TEST(PlainCall, unkeyedCallIsRetriedOnlyIfProvenNotRun)
{
    make(false);
    CHECK_EQUAL(0, claims);
    place();
    failExchange(ErrorCode::ConnectFailed, false);
    timers.advance(1s);
    place();
    failExchange(ErrorCode::TargetRefused, true);
    timers.advance(1s);
    place();
    failExchange(ErrorCode::ConnectionLost, true);
    timers.advance(61s);
    CHECK_EQUAL(3, sends);
    CHECK(isFailed(ErrorCode::OutcomeUnknown, Outcome::Unknown));
    make(false);
    place();
    respond(503);
    CHECK((finished == std::vector<int>{503}));
}

TEST(PlainCall, keyedCallIsClaimedBeforeSendAndItsOutcomeRecorded)
{
    make(false, "k");
    CHECK_EQUAL(1, claims);
    claimed(ClaimVerdict::Won);
    place();
    respond(201);
    CHECK_EQUAL(1, results);
    make(false, "k");
    claimed(ClaimVerdict::Won);
    call->onPlacementFailed(exchange, makeError(ErrorCode::Overloaded, "test"), 1s);
    CHECK(isFailed(ErrorCode::Overloaded, Outcome::NotRun));
    CHECK_EQUAL(1, notRuns);
    make(false, "k");
    claimed(ClaimVerdict::Won);
    place();
    failExchange(ErrorCode::ConnectionLost, true);
    CHECK(isFailed(ErrorCode::OutcomeUnknown, Outcome::Unknown));
    CHECK_EQUAL(1, unknownRecords);
}

TEST(PlainCall, lostClaimSendsNothing)
{
    make(false, "k");
    claimed(ClaimVerdict::Done);
    CHECK((finished == std::vector<int>{201}));
    make(false, "k");
    claimed(ClaimVerdict::Unknown);
    CHECK(isFailed(ErrorCode::OutcomeUnknown, Outcome::Unknown));
    make(false, "k");
    claimed(ClaimVerdict::Conflict);
    CHECK(isFailed(ErrorCode::IdempotencyKeyConflict, Outcome::Failed));
    make(false, "k");
    claimed(ClaimVerdict::NotClaimed);
    CHECK(isFailed(ErrorCode::LogUnavailable, Outcome::NotRun));
    CHECK_EQUAL(0, sends);
    CHECK_EQUAL(0, results);
}

TEST(PlainCall, claimWonTooLateIsRecordedAsNotRun)
{
    make(false, "k");
    timers.advance(61s);
    CHECK(isFailed(ErrorCode::DeadlineExceeded, Outcome::Unknown));
    claimed(ClaimVerdict::Won);
    CHECK_EQUAL(1, notRuns);
    make(false, "k");
    call->onCallerGone();
    claimed(ClaimVerdict::Won);
    CHECK_EQUAL(2, notRuns);
    CHECK(isFailed(ErrorCode::Cancelled, Outcome::NotRun));
    CHECK_EQUAL(0, sends);
}

TEST(PlainCall, keyLookupResolvesUnknownOutcome)
{
    make(false, "k", true);
    claimed(ClaimVerdict::Won);
    place();
    failExchange(ErrorCode::ConnectionLost, true);
    timers.advance(1s);
    call->onKeyLookup(exchange, makeError(ErrorCode::ConnectFailed, "test"));
    timers.advance(1s);
    CHECK_EQUAL(2, lookUps);
    call->onKeyLookup(exchange, std::optional<PlainResponse>());
    timers.advance(1s);
    CHECK_EQUAL(2, sends);
    failExchange(ErrorCode::ConnectionLost, true);
    timers.advance(1s);
    call->onKeyLookup(exchange, std::optional(PlainResponse{201, "", "", Duration(0)}));
    CHECK((finished == std::vector<int>{201}));
    CHECK_EQUAL(1, results);
}

TEST(PlainCall, answerOfTargetReportedDeadIsAwaitedForGracePeriod)
{
    make(false);
    place();
    call->onTargetGone(TargetId("s1"));
    timers.advance(1s);
    respond(200);
    CHECK((finished == std::vector<int>{200}));
    make(false);
    place();
    call->onTargetGone(TargetId("s1"));
    timers.advance(3s);
    CHECK(isFailed(ErrorCode::OutcomeUnknown, Outcome::Unknown));
}

TEST(PlainCall, answersOfOtherExchangesAreIgnored)
{
    make(false);
    place();
    call->onResponse(exchange + 7, PlainResponse{500, "", "", Duration(0)});
    call->onResponse(0, PlainResponse{500, "", "", Duration(0)});
    CHECK(finished.empty());
    respond(200);
    respond(500);
    CHECK((finished == std::vector<int>{200}));
    CHECK_EQUAL(3U, call->droppedAnswers());
}
