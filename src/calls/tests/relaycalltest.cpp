#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "calls/relaycall.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

/// One relayed call with a caller and targets that the tests simulate step by step.
TEST_GROUP(RelayCall)
{

    VirtualTimerService timers;
    std::unique_ptr<RelayCall> call;
    std::deque<TargetId> targets{TargetId("a"), TargetId("b"), TargetId("c")};
    std::vector<RelaySend> sent;
    std::set<std::uint64_t> abandoned;
    std::vector<std::uint64_t> ending; ///< Exchanges whose runs are to be ended.
    std::vector<std::pair<std::uint64_t, TargetId>> copies; ///< Move and destination.
    std::vector<StreamCopy> dropped;
    std::vector<TargetId> replaced;
    std::vector<std::uint64_t> lostExchanges;
    std::string body;
    std::optional<RelayFailure> failure;
    int heads = 0;
    int ends = 0;
    int aborts = 0;
    int retriesLeft = 10;
    std::size_t heldBytes = 0;
    std::size_t maxHeldBytes = std::size_t{16} * 1024 * 1024;
    bool isMoveOffered = true;
    bool isBackupOffered = false;
    bool isBackupAvailable = true;
    bool isHolderTaking = true;

    RelayHooks hooks()
    {
        RelayHooks hooks;
        hooks.chooseTarget = [this](const std::vector<TargetId> &excluded) {
            return pick(excluded);
        };
        hooks.send = [this](const RelaySend &send) { sent.push_back(send); };
        hooks.chooseBackupTarget = [this](const TargetId &target) {
            return isBackupOffered ? pick({target}) : std::nullopt;
        };
        hooks.findBackup = [this](const TargetId &holder) -> std::optional<StreamCopy> {
            if (!isBackupAvailable)
                return std::nullopt;
            return StreamCopy{holder, holder, {"10.0.0.2", 80}, "r", true};
        };
        hooks.abandon = [this](std::uint64_t exchange) { abandoned.insert(exchange); };
        hooks.endRun = [this](std::uint64_t exchange) { ending.push_back(exchange); };
        hooks.endMovedRun = [this](std::uint64_t exchange, const StreamCopy &) {
            ending.push_back(exchange);
        };
        hooks.mayResumeAt = [this](const TargetId &) { return isHolderTaking; };
        hooks.holdBytes = [this](std::size_t bytes) {
            heldBytes = bytes;
            return bytes <= maxHeldBytes;
        };
        hooks.forwardHead = [this](std::uint64_t) { ++heads; };
        hooks.forwardBody = [this](std::string_view bytes) { body += bytes; };
        hooks.forwardEnd = [this] { ++ends; };
        hooks.forwardAbort = [this](const absl::Status &) { ++aborts; };
        hooks.fail = [this](const RelayFailure &told) { failure = told; };
        hooks.takeRetry = [this] { return retriesLeft-- > 0; };
        hooks.report = [](const TargetId &, SendResult) {};
        hooks.reportLost = [this](std::uint64_t exchange) { lostExchanges.push_back(exchange); };
        hooks.chooseMoveTarget = [this](const TargetId &source, std::vector<TargetId> excluded) {
            excluded.push_back(source);
            return isMoveOffered ? pick(excluded) : std::nullopt;
        };
        hooks.requestCopy = [this](std::uint64_t move, const TargetId &,
                                   const TargetId &destination) {
            copies.emplace_back(move, destination);
        };
        hooks.freeCopy = [this](const StreamCopy &copy) { dropped.push_back(copy); };
        hooks.reportTargetReplaced = [this](const TargetId &target) { replaced.push_back(target); };
        return hooks;
    }

    std::optional<TargetId> pick(const std::vector<TargetId> &excluded)
    {
        for (const TargetId &target : targets) {
            if (std::find(excluded.begin(), excluded.end(), target) == excluded.end())
                return target;
        }
        return std::nullopt;
    }

    void begin(RetrySemantics rule, std::uint32_t maxTargets = 1)
    {
        RelayRequest request;
        request.id = RequestId("r");
        request.rule = rule;
        request.maxTargets = maxTargets;
        request.deadline = timers.now() + 10s;
        request.attemptTimeout = 200ms;
        call = RelayCall::create(request, hooks(), timers);
        call->start();
    }

    static RelayAnswerHead success()
    {
        RelayAnswerHead head;
        head.status = 200;
        head.isSigned = true;
        return head;
    }

    static RelayAnswerHead serverError()
    {
        RelayAnswerHead head;
        head.status = 500;
        head.isSigned = true;
        return head;
    }

    static RelayAnswerHead refusal()
    {
        RelayAnswerHead head;
        head.status = 503;
        head.isNotRun = true;
        return head;
    }

    void answerCompletely(std::uint64_t exchange, std::string_view bytes)
    {
        call->onHead(exchange, success());
        call->onBody(exchange, bytes);
        call->onEnd(exchange, absl::OkStatus(), true);
    }

    static absl::Status lost()
    {
        return makeError(ErrorCode::ConnectionLost, "reset");
    }

    /// Begins a stream that has passed on its first two events.
    void beginStream()
    {
        begin(RetrySemantics::Stream);
        call->onHead(sent[0].exchange, success());
        call->onBody(sent[0].exchange, event(1) + event(2));
    }

    /// Completes the copy under way.
    void completeCopy()
    {
        call->onCopyResult(copies.back().first,
                           StreamCopy{copies.back().second, TargetId("a"), {"10.0.0.1", 80}, "h1"});
    }

    /// Ends the run that was to be ended last.
    void endRun()
    {
        call->onRunReleased(ending.back(), true);
    }

    /// Has the stream lose its connection, and its run end.
    void loseStream()
    {
        call->onEnd(sent.back().exchange, lost(), true);
        LONGS_EQUAL(sent.back().exchange, ending.back());
        endRun();
    }
};

TEST(RelayCall, forwardsCompleteAnswerOnce)
{
    begin(RetrySemantics::AtMostOnce);
    answerCompletely(sent[0].exchange, "answer");
    LONGS_EQUAL(1, heads);
    LONGS_EQUAL(1, ends);
    STRCMP_EQUAL("answer", body.c_str());
    CHECK(call->isSettled());
}

TEST(RelayCall, atMostOnceRequestThatMayHaveRunIsNotRetried)
{
    begin(RetrySemantics::AtMostOnce, 3);
    call->onEnd(sent[0].exchange, lost(), true);
    LONGS_EQUAL(1, sent.size());
    CHECK(failure->outcome == Outcome::Unknown);
}

TEST(RelayCall, unsentRequestGoesToAnotherTarget)
{
    begin(RetrySemantics::AtMostOnce);
    call->onEnd(sent[0].exchange, makeError(ErrorCode::ConnectFailed, "timeout"), false);
    LONGS_EQUAL(2, sent.size());
    STRCMP_EQUAL("b", sent[1].target.text().c_str());
    answerCompletely(sent[1].exchange, "answer");
    LONGS_EQUAL(1, ends);
}

TEST(RelayCall, notRunRequiresThatNoSendMayHaveRun)
{
    begin(RetrySemantics::AtMostOnce);
    targets.clear();
    call->onHead(sent[0].exchange, refusal());
    CHECK(failure->outcome == Outcome::NotRun);

    failure.reset();
    targets = {TargetId("a"), TargetId("b")};
    sent.clear();
    begin(RetrySemantics::Idempotent, 2);
    call->onEnd(sent[0].exchange, lost(), true);
    call->onHead(sent[1].exchange, refusal());
    CHECK(failure->outcome == Outcome::Unknown);
}

TEST(RelayCall, notRunStatusWithoutGuaranteeIsNotForwarded)
{
    begin(RetrySemantics::AtMostOnce);
    RelayAnswerHead head = refusal();
    head.isNotRun = false;
    head.isSigned = true;
    call->onHead(sent[0].exchange, head);
    LONGS_EQUAL(0, heads);
    CHECK(failure->outcome == Outcome::Unknown);
}

TEST(RelayCall, mismatchedAnswerIsNotForwarded)
{
    begin(RetrySemantics::AtMostOnce);
    RelayAnswerHead head = success();
    head.isMismatched = true;
    call->onHead(sent[0].exchange, head);
    call->onBody(sent[0].exchange, "others");
    call->onEnd(sent[0].exchange, absl::OkStatus(), true);
    LONGS_EQUAL(0, heads);
    CHECK(failure.has_value());
    CHECK(abandoned.count(sent[0].exchange) == 1);
}

TEST(RelayCall, idempotentRetriesAreLimitedByTargetsAndBudget)
{
    begin(RetrySemantics::Idempotent, 2);
    call->onHead(sent[0].exchange, serverError());
    LONGS_EQUAL(2, sent.size());
    call->onHead(sent[1].exchange, serverError());
    call->onEnd(sent[1].exchange, absl::OkStatus(), true);
    LONGS_EQUAL(2, sent.size());
    LONGS_EQUAL(1, heads);

    retriesLeft = 0;
    sent.clear();
    begin(RetrySemantics::Idempotent, 2);
    call->onHead(sent[0].exchange, serverError());
    call->onEnd(sent[0].exchange, absl::OkStatus(), true);
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(2, heads);
}

TEST(RelayCall, idempotentRequestLeavesSilentTargetAfterTimeout)
{
    begin(RetrySemantics::Idempotent, 2);
    timers.advance(250ms);
    LONGS_EQUAL(2, sent.size());
    CHECK(abandoned.count(sent[0].exchange) == 1);
    answerCompletely(sent[0].exchange, "late");
    answerCompletely(sent[1].exchange, "answer");
    STRCMP_EQUAL("answer", body.c_str());
}

// A request that can't be retried is not failed because its target is silent.
TEST(RelayCall, silentTargetIsAwaitedWithoutBudgetOrOtherTarget)
{
    retriesLeft = 0;
    begin(RetrySemantics::Idempotent, 2);
    timers.advance(250ms);
    CHECK(!failure.has_value());
    answerCompletely(sent[0].exchange, "slow");
    STRCMP_EQUAL("slow", body.c_str());

    retriesLeft = 10;
    targets = {TargetId("a")};
    sent.clear();
    begin(RetrySemantics::Idempotent, 2);
    timers.advance(250ms);
    CHECK(!failure.has_value());
    LONGS_EQUAL(10, retriesLeft);
}

TEST(RelayCall, deadlineFailsTheRequest)
{
    begin(RetrySemantics::AtMostOnce);
    timers.advance(10s);
    CHECK(errorCode(failure->status) == ErrorCode::DeadlineExceeded);
    CHECK(failure->outcome == Outcome::Unknown);
    CHECK(abandoned.count(sent[0].exchange) == 1);
}

TEST(RelayCall, requestWithoutTargetFailsAtOnce)
{
    targets.clear();
    begin(RetrySemantics::Stream);
    CHECK(failure->outcome == Outcome::NotRun);
    CHECK(errorCode(failure->status) == ErrorCode::NoTarget);
}

TEST(RelayCall, disconnectedCallerEndsTheRun)
{
    beginStream();
    call->onCallerGone();
    CHECK(abandoned.count(sent[0].exchange) == 1);
    CHECK(!failure.has_value());
}

TEST(RelayCall, onlyCompleteEventsAreForwarded)
{
    beginStream();
    call->onBody(sent[0].exchange, "id: 3\nda");
    STRCMP_EQUAL((event(1) + event(2)).c_str(), body.c_str());
    call->onEnd(sent[0].exchange, absl::OkStatus(), true);
    LONGS_EQUAL(0, ends);
    LONGS_EQUAL(1, aborts);
}

TEST(RelayCall, streamResumesFromCopyAfterLastEvent)
{
    beginStream();
    call->onTargetLeaving();
    LONGS_EQUAL(1, copies.size());
    call->onBody(sent[0].exchange, event(3));
    completeCopy();
    endRun();
    LONGS_EQUAL(2, sent.size());
    STRCMP_EQUAL("b", sent[1].target.text().c_str());
    LONGS_EQUAL(3, sent[1].resume->lastEvent);
    CHECK(call->onConnected(sent[1].exchange));
    call->onHead(sent[1].exchange, success());
    call->onBody(sent[1].exchange, event(4));
    call->onEnd(sent[1].exchange, absl::OkStatus(), true);
    STRCMP_EQUAL((event(1) + event(2) + event(3) + event(4)).c_str(), body.c_str());
    LONGS_EQUAL(1, heads);
    LONGS_EQUAL(1, ends);
}

// Guards against a stream that goes on at the new target while the old one, whose calls to end the
// run are lost, still works on it.
TEST(RelayCall, movedStreamGoesOnOnlyAfterItsRunHasEnded)
{
    for (const bool isStreamClosed : {true, false}) {
        sent.clear();
        ending.clear();
        copies.clear();
        abandoned.clear();
        body.clear();
        beginStream();
        call->onTargetLeaving();
        completeCopy();
        LONGS_EQUAL(sent[0].exchange, ending.at(0));
        timers.advance(3s);
        call->onBody(sent[0].exchange, event(3));
        STRCMP_EQUAL((event(1) + event(2) + event(3)).c_str(), body.c_str());
        LONGS_EQUAL(1, sent.size());
        CHECK(abandoned.empty());
        if (isStreamClosed)
            call->onEnd(sent[0].exchange, lost(), true);
        else
            endRun();
        LONGS_EQUAL(2, sent.size());
        LONGS_EQUAL(3, sent[1].resume->lastEvent);
        CHECK(abandoned.count(sent[0].exchange) == 1);
        // The run ended as it was told to.
        CHECK(lostExchanges.empty());
    }
}

// Guards against a run that is told to end and whose stream then passes for whole.
TEST(RelayCall, movedStreamThatEndsWithItsConnectionIsClosedBeforeItsRunEnds)
{
    begin(RetrySemantics::Stream);
    RelayAnswerHead head = success();
    head.endsWithConnection = true;
    call->onHead(sent[0].exchange, head);
    call->onBody(sent[0].exchange, event(1));
    call->onTargetLeaving();
    completeCopy();
    call->onEnd(sent[0].exchange, absl::OkStatus(), true);
    LONGS_EQUAL(0, ends);
    endRun();
    LONGS_EQUAL(2, sent.size());
    LONGS_EQUAL(1, sent[1].resume->lastEvent);
    STRCMP_EQUAL("h1", sent[1].resume->copy->handle.c_str());
}

TEST(RelayCall, movedStreamWhoseRunCannotBeEndedStaysAtItsTarget)
{
    beginStream();
    call->onTargetLeaving();
    completeCopy();
    call->onRunReleased(ending.at(0), false);
    call->onBody(sent[0].exchange, event(3));
    LONGS_EQUAL(1, sent.size());
    answerCompletely(sent[0].exchange, event(4));
    STRCMP_EQUAL((event(1) + event(2) + event(3) + event(4)).c_str(), body.c_str());
    LONGS_EQUAL(1, ends);
    LONGS_EQUAL(1, dropped.size());
}

// Guards against a stream that stays for good at a target that has become unreachable.
TEST(RelayCall, movedStreamOfATargetThatIsSilentAndCannotBeReachedGoesOn)
{
    beginStream();
    call->onTargetLeaving();
    completeCopy();
    timers.advance(3s);
    call->onRunReleased(ending.at(0), false);
    for (int number = 3; number < 8; ++number) {
        timers.advance(RelayCall::ReleaseTimeout - 1ms);
        LONGS_EQUAL(1, sent.size());
        call->onBody(sent[0].exchange, event(number));
    }
    timers.advance(RelayCall::ReleaseTimeout);
    LONGS_EQUAL(2, sent.size());
    LONGS_EQUAL(7, sent[1].resume->lastEvent);
    CHECK(abandoned.count(sent[0].exchange) == 1);
    call->onRunReleased(ending.at(0), true);
    LONGS_EQUAL(2, sent.size());
}

TEST(RelayCall, runIsNotEndedForATargetThatTakesNothing)
{
    beginStream();
    call->onTargetLeaving();
    isHolderTaking = false;
    completeCopy();
    CHECK(ending.empty());
    LONGS_EQUAL(1, dropped.size());
    LONGS_EQUAL(2, copies.size());
    STRCMP_EQUAL("c", copies[1].second.text().c_str());
}

TEST(RelayCall, failedMoveNeitherLosesNorRepeatsEvents)
{
    beginStream();
    call->onTargetLeaving();
    completeCopy();
    call->onBody(sent[0].exchange, event(3));
    endRun();
    for (std::uint32_t i = 1; i < RelayCall::MaxResumeSends; ++i) {
        LONGS_EQUAL(1 + i, sent.size());
        call->onEnd(sent[i].exchange, makeError(ErrorCode::ConnectFailed, "timeout"), false);
        timers.advance(RelayCall::ResumeRetryGap);
    }
    STRCMP_EQUAL("h1", sent.back().resume->copy->handle.c_str());
    CHECK(dropped.empty());
    call->onHead(sent.back().exchange, success());
    answerCompletely(sent.back().exchange, event(4));
    STRCMP_EQUAL((event(1) + event(2) + event(3) + event(4)).c_str(), body.c_str());
    LONGS_EQUAL(1, ends);
}

TEST(RelayCall, moveToATargetThatCannotBeReachedAbortsTheStream)
{
    beginStream();
    call->onTargetLeaving();
    completeCopy();
    endRun();
    for (std::uint32_t i = 1; i <= RelayCall::MaxResumeSends; ++i) {
        LONGS_EQUAL(0, aborts);
        call->onEnd(sent.at(i).exchange, makeError(ErrorCode::ConnectFailed, "timeout"), false);
        timers.advance(RelayCall::ResumeRetryGap);
    }
    LONGS_EQUAL(1, aborts);
    LONGS_EQUAL(1, dropped.size());
}

TEST(RelayCall, refusedCopyIsTriedAtAnotherTarget)
{
    beginStream();
    call->onTargetLeaving();
    call->onCopyResult(copies[0].first, makeError(ErrorCode::TargetRefused, "no room"));
    LONGS_EQUAL(2, copies.size());
    CHECK(copies[0].second != copies[1].second);
}

TEST(RelayCall, streamResumesFromCopyWhenSourceIsLostDuringCopying)
{
    beginStream();
    call->onTargetLeaving();
    call->onEnd(sent[0].exchange, lost(), true);
    LONGS_EQUAL(0, aborts);
    completeCopy();
    LONGS_EQUAL(1, sent.size());
    endRun();
    call->onConnected(sent[1].exchange);
    call->onHead(sent[1].exchange, success());
    call->onBody(sent[1].exchange, event(2) + event(3));
    STRCMP_EQUAL((event(1) + event(2) + event(3)).c_str(), body.c_str());
}

TEST(RelayCall, streamIsAbortedWhenSourceAndCopyAreLost)
{
    beginStream();
    call->onTargetLeaving();
    call->onEnd(sent[0].exchange, lost(), true);
    call->onCopyResult(copies[0].first, makeError(ErrorCode::ConnectionLost, "reset"));
    LONGS_EQUAL(1, aborts);
    CHECK(call->isSettled());
}

TEST(RelayCall, copyOfCompletedStreamIsFreed)
{
    beginStream();
    call->onTargetLeaving();
    call->onEnd(sent[0].exchange, absl::OkStatus(), true);
    LONGS_EQUAL(1, ends);
    completeCopy();
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(1, dropped.size());
}

TEST(RelayCall, interruptedStreamResumesFromBackup)
{
    isBackupOffered = true;
    beginStream();
    STRCMP_EQUAL("b", sent[0].backup->text().c_str());
    loseStream();
    LONGS_EQUAL(0, aborts);
    LONGS_EQUAL(2, sent.size());
    STRCMP_EQUAL("b", sent[1].target.text().c_str());
    STRCMP_EQUAL("r", sent[1].resume->copy->handle.c_str());
    LONGS_EQUAL(2, sent[1].resume->lastEvent);
    STRCMP_EQUAL("a", sent[1].backup->text().c_str());
    call->onConnected(sent[1].exchange);
    call->onHead(sent[1].exchange, success());
    call->onBody(sent[1].exchange, event(3));
    // The second target fails as well, and has its own backup.
    loseStream();
    LONGS_EQUAL(3, sent.size());
    call->onHead(sent[2].exchange, success());
    call->onBody(sent[2].exchange, event(4));
    call->onEnd(sent[2].exchange, absl::OkStatus(), true);
    STRCMP_EQUAL((event(1) + event(2) + event(3) + event(4)).c_str(), body.c_str());
    LONGS_EQUAL(1, ends);
    CHECK(dropped.empty());
}

TEST(RelayCall, streamIsAbortedWhenBackupRefusesResume)
{
    isBackupOffered = true;
    beginStream();
    loseStream();
    call->onHead(sent[1].exchange, refusal());
    LONGS_EQUAL(1, aborts);
    CHECK(call->isSettled());
}

TEST(RelayCall, streamIsAbortedWhenBackupTargetIsLeaving)
{
    isBackupOffered = true;
    isBackupAvailable = false;
    beginStream();
    loseStream();
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(1, aborts);
}

TEST(RelayCall, backupReplacesCopyInProgressOnceTheRunHasEnded)
{
    isBackupOffered = true;
    beginStream();
    call->onTargetLeaving();
    call->onEnd(sent[0].exchange, lost(), true);
    LONGS_EQUAL(1, ending.size());
    LONGS_EQUAL(1, sent.size());
    call->onRunReleased(ending[0], true);
    LONGS_EQUAL(2, sent.size());
    STRCMP_EQUAL("r", sent[1].resume->copy->handle.c_str());
    completeCopy();
    LONGS_EQUAL(1, dropped.size());
    STRCMP_EQUAL("a", dropped[0].issuer.text().c_str());
    call->onHead(sent[1].exchange, success());
    answerCompletely(sent[1].exchange, event(3));
    LONGS_EQUAL(1, ends);
}

// Guards against a stream that goes on beside a run that can't be ended while it is being copied.
TEST(RelayCall, lostStreamWaitsForItsCopyOrTheEndOfItsRun)
{
    isBackupOffered = true;
    beginStream();
    call->onTargetLeaving();
    call->onEnd(sent[0].exchange, lost(), true);
    timers.advance(3s);
    LONGS_EQUAL(1, sent.size());
    completeCopy();
    LONGS_EQUAL(1, sent.size());
    endRun();
    LONGS_EQUAL(2, sent.size());
    CHECK(!sent[1].resume->copy->isBackup);
    // Too late to matter.
    endRun();
    LONGS_EQUAL(2, sent.size());
    answerCompletely(sent[1].exchange, event(3));
    LONGS_EQUAL(1, ends);
}

TEST(RelayCall, lostStreamGoesOnFromItsBackupWhenItsCopyIsRefused)
{
    isBackupOffered = true;
    beginStream();
    call->onTargetLeaving();
    call->onEnd(sent[0].exchange, lost(), true);
    call->onCopyResult(copies[0].first, makeError(ErrorCode::TargetRefused, "no room"));
    LONGS_EQUAL(1, sent.size());
    endRun();
    LONGS_EQUAL(2, sent.size());
    CHECK(sent[1].resume->copy->isBackup);
}

// The target may go on with a copy whose call has timed out.
TEST(RelayCall, lostStreamWaitsForTheEndOfItsRunWhenItsCopyIsLost)
{
    isBackupOffered = true;
    targets = {TargetId("a"), TargetId("b")};
    beginStream();
    call->onTargetLeaving();
    call->onCopyResult(copies[0].first, makeError(ErrorCode::DeadlineExceeded, "late"), false);
    LONGS_EQUAL(1, copies.size());
    call->onEnd(sent[0].exchange, lost(), true);
    LONGS_EQUAL(1, sent.size());
    call->onTargetLeaving();
    LONGS_EQUAL(1, copies.size());
    call->onRunReleased(ending.at(0), true);
    LONGS_EQUAL(2, sent.size());
}

// A target that answers nothing may have crashed.
TEST(RelayCall, lostStreamWaitsForTheEndOfItsRunForALimitedTime)
{
    isBackupOffered = true;
    beginStream();
    call->onEnd(sent[0].exchange, lost(), true);
    timers.advance(RelayCall::ReleaseTimeout - 1ms);
    LONGS_EQUAL(1, sent.size());
    timers.advance(1ms);
    LONGS_EQUAL(2, sent.size());
    endRun();
    LONGS_EQUAL(2, sent.size());
}

TEST(RelayCall, resumableStreamWaitsForTheEndOfItsRunWhileItIsCopied)
{
    begin(RetrySemantics::ResumableStream, 2);
    call->onHead(1, success());
    call->onBody(1, event(1));
    call->onTargetLeaving();
    call->onEnd(1, lost(), true);
    LONGS_EQUAL(1, sent.size());
    call->onCopyResult(copies[0].first, makeError(ErrorCode::ConnectionLost, "reset"), false);
    LONGS_EQUAL(1, sent.size());
    call->onRunReleased(ending.at(0), true);
    LONGS_EQUAL(2, sent.size());
    CHECK(!sent[1].resume->copy);
}

TEST(RelayCall, callerMayLeaveWhileTheEndOfARunIsAwaited)
{
    isBackupOffered = true;
    beginStream();
    call->onTargetLeaving();
    call->onEnd(sent[0].exchange, lost(), true);
    call->onCallerGone();
    call->onRunReleased(ending[0], true);
    LONGS_EQUAL(1, sent.size());
    completeCopy();
    LONGS_EQUAL(1, dropped.size());
}

TEST(RelayCall, resumedStreamWithGapIsAborted)
{
    beginStream();
    call->onTargetLeaving();
    completeCopy();
    endRun();
    call->onConnected(sent[1].exchange);
    call->onHead(sent[1].exchange, success());
    call->onBody(sent[1].exchange, event(4) + event(5));
    STRCMP_EQUAL((event(1) + event(2)).c_str(), body.c_str());
    LONGS_EQUAL(1, aborts);
    CHECK(call->isSettled());
}

TEST(RelayCall, irregularEventNumbersAreNotAGap)
{
    beginStream();
    call->onBody(sent[0].exchange, event(5));
    call->onTargetLeaving();
    completeCopy();
    endRun();
    call->onConnected(sent[1].exchange);
    call->onHead(sent[1].exchange, success());
    call->onBody(sent[1].exchange, event(9));
    LONGS_EQUAL(0, aborts);
    STRCMP_EQUAL((event(1) + event(2) + event(5) + event(9)).c_str(), body.c_str());
}

TEST(RelayCall, streamOfLeavingTargetMovesAfterFirstEvent)
{
    begin(RetrySemantics::Stream);
    call->onTargetLeaving();
    LONGS_EQUAL(0, copies.size());
    call->onHead(sent[0].exchange, success());
    call->onBody(sent[0].exchange, event(1));
    LONGS_EQUAL(1, copies.size());
}

TEST(RelayCall, lostConnectionOfASentRequestIsReported)
{
    begin(RetrySemantics::Idempotent, 2);
    call->onEnd(sent[0].exchange, makeError(ErrorCode::ConnectFailed, "refused"), false);
    CHECK(lostExchanges.empty());
    call->onEnd(sent[1].exchange, lost(), true);
    CHECK_EQUAL(1U, lostExchanges.size());
    CHECK_EQUAL(sent[1].exchange, lostExchanges[0]);
    call->onEnd(sent[2].exchange, makeError(ErrorCode::DeadlineExceeded, "late"), true);
    CHECK_EQUAL(1U, lostExchanges.size());
}

TEST(RelayCall, lostConnectionOfAResumedStreamIsReported)
{
    isBackupOffered = true;
    beginStream();
    loseStream();
    call->onEnd(sent[1].exchange, lost(), true);
    CHECK_EQUAL(2U, lostExchanges.size());
    CHECK_EQUAL(1, aborts);
}

TEST(RelayCall, resumableStreamGoesOnAtAnotherTargetWithoutACopy)
{
    begin(RetrySemantics::ResumableStream, 2);
    call->onHead(1, success());
    call->onBody(1, event(1) + event(2) + "id: 3\nda");
    loseStream();
    LONGS_EQUAL(2, sent.size());
    STRCMP_EQUAL("b", sent[1].target.text().c_str());
    CHECK(!sent[1].resume->copy);
    LONGS_EQUAL(2, sent[1].resume->lastEvent);
    CHECK(call->onConnected(sent[1].exchange));
    call->onHead(sent[1].exchange, success());
    call->onBody(sent[1].exchange, event(2) + event(3) + event(4));
    call->onEnd(sent[1].exchange, absl::OkStatus(), true);
    STRCMP_EQUAL((event(1) + event(2) + event(3) + event(4)).c_str(), body.c_str());
    LONGS_EQUAL(1, heads);
    LONGS_EQUAL(1, ends);
    LONGS_EQUAL(0, aborts);
}

// Guards against a third run beside one that has begun to resume the stream.
TEST(RelayCall, lostResumptionGoesOnOnlyAfterItsRunHasEnded)
{
    begin(RetrySemantics::ResumableStream, 3);
    call->onHead(1, success());
    call->onBody(1, event(1));
    loseStream();
    call->onEnd(sent[1].exchange, lost(), true);
    LONGS_EQUAL(2, sent.size());
    LONGS_EQUAL(sent[1].exchange, ending.back());
    endRun();
    LONGS_EQUAL(3, sent.size());
}

TEST(RelayCall, resumableStreamPrefersItsCopy)
{
    isBackupOffered = true;
    begin(RetrySemantics::ResumableStream, 2);
    call->onHead(1, success());
    call->onBody(1, event(1));
    loseStream();
    CHECK(sent[1].resume->copy.has_value());
    // The copy is of no use, so the prompt is processed again.
    call->onHead(sent[1].exchange, refusal());
    LONGS_EQUAL(3, sent.size());
    CHECK(!sent[2].resume->copy);
    LONGS_EQUAL(0, aborts);
}

TEST(RelayCall, resumableStreamRunsAtNoMoreThanItsTargets)
{
    begin(RetrySemantics::ResumableStream, 2);
    call->onHead(1, success());
    call->onBody(1, event(1));
    loseStream();
    call->onHead(2, success());
    call->onBody(2, event(2));
    loseStream();
    LONGS_EQUAL(2, sent.size());
    LONGS_EQUAL(1, aborts);
}

TEST(RelayCall, resumeThatDidNotRunIsNotCounted)
{
    begin(RetrySemantics::ResumableStream, 2);
    call->onHead(1, success());
    call->onBody(1, event(1));
    loseStream();
    call->onHead(2, refusal());
    LONGS_EQUAL(3, sent.size());
    STRCMP_EQUAL("c", sent[2].target.text().c_str());
    call->onHead(3, success());
    call->onBody(3, event(2));
    call->onEnd(3, absl::OkStatus(), true);
    LONGS_EQUAL(1, ends);
    STRCMP_EQUAL((event(1) + event(2)).c_str(), body.c_str());
}

TEST(RelayCall, resumeSpendsTheRetryBudget)
{
    retriesLeft = 0;
    begin(RetrySemantics::ResumableStream, 2);
    call->onHead(1, success());
    call->onBody(1, event(1));
    loseStream();
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(1, aborts);
}

TEST(RelayCall, resumableStreamWithoutAnEventRunsAgain)
{
    begin(RetrySemantics::ResumableStream, 2);
    call->onHead(1, success());
    call->onBody(1, "id: 1\nda");
    call->onEnd(1, makeError(ErrorCode::ConnectionLost, "reset"), true);
    LONGS_EQUAL(2, sent.size());
    CHECK(!sent[1].resume);
    answerCompletely(2, event(1));
    STRCMP_EQUAL(event(1).c_str(), body.c_str());
}

TEST(RelayCall, otherStreamsDoNotResumeWithoutACopy)
{
    begin(RetrySemantics::Stream, 2);
    call->onHead(1, success());
    call->onBody(1, event(1));
    call->onEnd(1, makeError(ErrorCode::ConnectionLost, "reset"), true);
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(1, aborts);
}

// The caller asks for a stream to go on after event 5, and the target's connection is lost.
TEST(RelayCall, callersOwnLastEventCounts)
{
    RelayRequest request;
    request.id = RequestId("r");
    request.rule = RetrySemantics::ResumableStream;
    request.maxTargets = 2;
    request.deadline = timers.now() + 10s;
    request.lastEvent = 5;
    call = RelayCall::create(request, hooks(), timers);
    call->start();
    CHECK(!sent[0].resume);
    call->onHead(1, success());
    call->onBody(1, event(5) + event(6));
    STRCMP_EQUAL(event(6).c_str(), body.c_str());
    loseStream();
    LONGS_EQUAL(6, sent[1].resume->lastEvent);
}
