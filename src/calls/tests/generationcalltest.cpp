#include <memory>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "calls/cancellations.h"
#include "calls/generationcall.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(GenerationCall)
{
    const GenerationId generation{TargetId("e1"), 3, 9};
    VirtualTimerService timers;
    RandomSource random{1};
    std::unique_ptr<GenerationCall> call;
    std::uint64_t exchange = 0;
    int placed = 0;
    int opened = 0;
    int resumed = 0;
    int abandoned = 0;
    int cancelled = 0;
    int restarts = 0;
    int finishes = 0;
    int readerQueries = 0;
    int retries = 5;
    std::uint32_t resumedFrom = 0;
    int probes = 0;
    bool isSuspect = false;
    std::vector<TargetId> excluded;
    std::string attemptId;
    std::string text;
    std::vector<std::pair<ErrorCode, Outcome>> failures;

    GenerationHooks hooks()
    {
        GenerationHooks hooks;
        hooks.requestPlacement = [this](std::uint64_t number,
                                        const std::vector<TargetId> &without) {
            exchange = number;
            excluded = without;
            ++placed;
        };
        hooks.openGeneration = [this](std::uint64_t number, const GenerationAttempt &attempt) {
            exchange = number;
            attemptId = attempt.id;
            ++opened;
        };
        hooks.isSuspect = [this] { return isSuspect; };
        hooks.probeLiveness = [this](std::uint64_t number, const TargetId &) {
            exchange = number;
            ++probes;
        };
        hooks.resumeGeneration = [this](std::uint64_t number, const GenerationId &,
                                        std::uint32_t from) {
            exchange = number;
            resumedFrom = from;
            ++resumed;
        };
        hooks.abandonExchange = [this](std::uint64_t) { ++abandoned; };
        hooks.cancelGeneration = [this](const GenerationAttempt &,
                                        const std::optional<GenerationId> &) { ++cancelled; };
        hooks.deliverToken = [this](const GenerationId &, std::uint32_t, const std::string &token) {
            text += token;
        };
        hooks.notifyRestart = [this] {
            ++restarts;
            text.clear();
        };
        hooks.finish = [this](FinishReason) { ++finishes; };
        hooks.fail = [this](const absl::Status &status, Outcome outcome, Duration) {
            failures.emplace_back(errorCode(status), outcome);
        };
        hooks.reportTargetLost = [](const TargetId &) {};
        hooks.takeRetry = [this] { return retries-- > 0; };
        hooks.queryReaders = [this](const GenerationId &) { ++readerQueries; };
        return hooks;
    }

    void make(Delivery delivery = Delivery::Streamed, LossPolicy policy = LossPolicy::End)
    {
        GenerationRequest request;
        request.id = RequestId("r");
        request.prompt = "p";
        request.delivery = delivery;
        request.lossPolicy = policy;
        request.deadline = timers.now() + 10min;
        call = GenerationCall::create(request, hooks(), timers, random);
        call->start();
    }

    void stream(std::uint32_t tokens)
    {
        call->onPlaced(exchange, TargetId("e1"));
        call->onOpened(exchange, generation);
        for (std::uint32_t i = 0; i < tokens; ++i)
            call->onToken(exchange, i, std::to_string(i) + " ");
    }

    void failExchange(ErrorCode code, bool wasSent)
    {
        call->onExchangeFailed(exchange, makeError(code, "test"), wasSent);
    }
};

TEST(GenerationCall, lostSendIsRepeatedOnlyAfterSuccessfulProbe)
{
    make();
    call->onPlaced(exchange, TargetId("e1"));
    failExchange(ErrorCode::ConnectionLost, true);
    timers.advance(100ms);
    CHECK_EQUAL(1, probes);
    CHECK_EQUAL(1, opened);
    failExchange(ErrorCode::ConnectFailed, false);
    timers.advance(200ms);
    CHECK_EQUAL(2, probes);
    CHECK_EQUAL(1, opened);
    call->onProbeSucceeded(exchange);
    CHECK_EQUAL(2, opened);
    call->onOpened(exchange, generation);
    CHECK(call->state() == GenerationState::Streaming);
}

TEST(GenerationCall, suspectRequestIsSentOnlyAfterSuccessfulProbe)
{
    isSuspect = true;
    make();
    call->onPlaced(exchange, TargetId("e1"));
    CHECK_EQUAL(1, probes);
    CHECK_EQUAL(0, opened);
    failExchange(ErrorCode::ConnectFailed, false);
    timers.advance(100ms);
    CHECK_EQUAL(2, placed);
    call->onPlaced(exchange, TargetId("e2"));
    call->onProbeSucceeded(exchange);
    CHECK_EQUAL(1, opened);
}

TEST(GenerationCall, gapDuplicateAndTruncationResumeAtNextToken)
{
    make();
    stream(2);
    call->onToken(exchange, 1, "again");
    call->onToken(exchange, 3, "skipped");
    timers.advance(100ms);
    CHECK_EQUAL(1, resumed);
    CHECK_EQUAL(2U, resumedFrom);
    call->onToken(exchange, 2, "2 ");
    call->onFinished(exchange, 5, FinishReason::Stop);
    timers.advance(100ms);
    CHECK_EQUAL(2, resumed);
    CHECK_EQUAL(3U, resumedFrom);
    call->onFinished(exchange, 3, FinishReason::Stop);
    STRCMP_EQUAL("0 1 2 ", text.c_str());
    CHECK_EQUAL(1, finishes);
    CHECK_EQUAL(1U, call->droppedAnswers());
    CHECK_EQUAL(0U, timers.pending());
}

TEST(GenerationCall, lostOpenIsRetriedWithSameAttemptAtSameTarget)
{
    make();
    call->onPlaced(exchange, TargetId("e1"));
    const std::string first = attemptId;
    failExchange(ErrorCode::ConnectionLost, true);
    timers.advance(100ms);
    CHECK_EQUAL(1, opened);
    call->onProbeSucceeded(exchange);
    CHECK_EQUAL(2, opened);
    STRCMP_EQUAL(first.c_str(), attemptId.c_str());
    CHECK_EQUAL(1, placed);
    failExchange(ErrorCode::TargetBusy, true);
    timers.advance(100ms);
    CHECK_EQUAL(2, placed);
    CHECK(excluded == std::vector<TargetId>{TargetId("e1")});
    CHECK_EQUAL(0, cancelled);
}

TEST(GenerationCall, stalledStreamIsResumedOnNewConnection)
{
    make();
    stream(1);
    timers.advance(5min);
    CHECK(resumed >= 5);
    CHECK_EQUAL(resumed, abandoned);
    CHECK(failures.empty());
    call->onToken(exchange, 1, "1 ");
    STRCMP_EQUAL("0 1 ", text.c_str());
}

TEST(GenerationCall, slowCallerGetsEveryTokenFromBoundedBuffer)
{
    constexpr std::uint32_t Tokens = 400;
    make();
    stream(1);
    call->onCallerBlocked(true);
    std::uint32_t taken = 1;
    while (abandoned == 0 && taken < Tokens)
        call->onToken(exchange, taken++, "x");
    CHECK(taken <= 300);
    timers.advance(5min);
    CHECK_EQUAL(0, resumed);
    call->onCallerBlocked(false);
    CHECK_EQUAL(1, resumed);
    CHECK_EQUAL(taken, resumedFrom);
    CHECK_EQUAL(taken + 1, text.size());
    call->onCallerBlocked(true);
    call->onToken(exchange, taken, "x");
    call->onFinished(exchange, taken + 1, FinishReason::Length);
    CHECK_EQUAL(0, finishes);
    call->onCallerBlocked(false);
    CHECK_EQUAL(1, finishes);
    CHECK_EQUAL(taken + 2, text.size());
}

TEST(GenerationCall, lossAfterDeliveryFollowsLossPolicy)
{
    make();
    stream(2);
    failExchange(ErrorCode::NotFound, true);
    CHECK((failures.back() == std::pair{ErrorCode::GenerationLost, Outcome::Failed}));
    make(Delivery::Streamed, LossPolicy::Restart);
    stream(2);
    failExchange(ErrorCode::NotFound, true);
    timers.advance(100ms);
    CHECK_EQUAL(1, restarts);
    CHECK_EQUAL(3, placed);
    CHECK(text.empty());
}

TEST(GenerationCall, streamContinuesAfterDeathReportOfTarget)
{
    make();
    stream(2);
    call->onTargetGone(TargetId("e1"), 3);
    CHECK(failures.empty());
    failExchange(ErrorCode::ConnectionLost, true);
    timers.advance(100ms);
    call->onToken(exchange, 2, "2 ");
    call->onFinished(exchange, 3, FinishReason::Stop);
    CHECK_EQUAL(1, finishes);
}

TEST(GenerationCall, undeliveredGenerationIsRestartedElsewhereAndCancelled)
{
    make(Delivery::Buffered);
    stream(2);
    call->onTargetGone(TargetId("e1"), 2);
    CHECK_EQUAL(1, placed);
    call->onTargetGone(TargetId("e1"), 3);
    timers.advance(100ms);
    CHECK_EQUAL(2, placed);
    CHECK_EQUAL(1, cancelled);
    CHECK_EQUAL(0, restarts);
}

TEST(GenerationCall, generationOfGoneCallerIsCancelledUnlessReadElsewhere)
{
    make();
    stream(2);
    call->onCallerGone();
    timers.advance(29s);
    CHECK_EQUAL(0, readerQueries);
    timers.advance(2s);
    CHECK_EQUAL(1, readerQueries);
    CHECK_EQUAL(0, cancelled);
    call->onReaderQueryResult(false);
    CHECK_EQUAL(1, cancelled);
    CHECK(call->isSettled());

    make();
    stream(2);
    call->onCallerGone();
    call->onTakenOver();
    CHECK(call->isSettled());
    CHECK_EQUAL(1, cancelled);
}

TEST(GenerationCall, notRunIsReportedOnlyIfProven)
{
    make();
    call->onPlacementFailed(exchange, makeError(ErrorCode::NoTarget, "none"), 1s);
    CHECK((failures.back() == std::pair{ErrorCode::NoTarget, Outcome::NotRun}));
    retries = 0;
    make();
    call->onPlaced(exchange, TargetId("e1"));
    failExchange(ErrorCode::TargetBusy, true);
    CHECK((failures.back() == std::pair{ErrorCode::TargetBusy, Outcome::NotRun}));
    make();
    call->onPlaced(exchange, TargetId("e1"));
    timers.advance(11min);
    CHECK((failures.back() == std::pair{ErrorCode::DeadlineExceeded, Outcome::Unknown}));
    CHECK_EQUAL(1, cancelled);
    make();
    call->onPlaced(exchange, TargetId("e1"));
    failExchange(ErrorCode::ConnectFailed, false);
    CHECK((failures.back() == std::pair{ErrorCode::ConnectFailed, Outcome::NotRun}));
}

TEST(GenerationCall, placementAfterDeadlineSendsNothing)
{
    make();
    const std::uint64_t late = exchange;
    timers.advance(10min);
    call->onPlaced(late, TargetId("e1"));
    CHECK_EQUAL(0, opened);
    CHECK((failures.back() == std::pair{ErrorCode::DeadlineExceeded, Outcome::NotRun}));
}

TEST_GROUP(Cancellations)
{
    VirtualTimerService timers;
    RandomSource random{1};
    std::uint64_t number = 0;
    int sends = 0;
    Cancellations cancellations{[this](std::uint64_t sent, const GenerationAttempt &,
                                       const std::optional<GenerationId> &) {
                                    number = sent;
                                    ++sends;
                                },
                                timers, random};
};

TEST(Cancellations, cancellationIsRepeatedUntilConfirmed)
{
    cancellations.add({1, "a", TargetId("e1")}, std::nullopt);
    cancellations.onAnswer(number, makeError(ErrorCode::ConnectFailed, "test"));
    timers.advance(30s);
    CHECK(sends >= 3);
    cancellations.onAnswer(number, absl::OkStatus());
    CHECK_EQUAL(0U, cancellations.pending());
    CHECK_EQUAL(1U, cancellations.confirmed());
    cancellations.add({1, "a", TargetId("e1")}, GenerationId{TargetId("e1"), 2, 1});
    cancellations.onTargetGone(TargetId("e1"), 1);
    CHECK_EQUAL(1U, cancellations.pending());
    cancellations.onTargetGone(TargetId("e1"), 2);
    CHECK_EQUAL(0U, cancellations.pending());
    cancellations.add({1, "a", TargetId("e1")}, std::nullopt);
    timers.advance(11min);
    CHECK_EQUAL(1U, cancellations.givenUp());
    CHECK_EQUAL(0U, timers.pending());
}
