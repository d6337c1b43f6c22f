#include "calls/tests/relaycallrig.h"

using namespace currantwalk;
using namespace std::chrono_literals;

// Streams that go on elsewhere.
TEST_GROUP_BASE(RelayCallMoves, RelayCallRig){};

TEST(RelayCallMoves, streamResumesFromCopyAfterLastEvent)
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
TEST(RelayCallMoves, movedStreamGoesOnOnlyAfterItsRunHasEnded)
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
TEST(RelayCallMoves, movedStreamThatEndsWithItsConnectionIsClosedBeforeItsRunEnds)
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

TEST(RelayCallMoves, movedStreamWhoseRunCannotBeEndedStaysAtItsTarget)
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
TEST(RelayCallMoves, movedStreamOfATargetThatIsSilentAndCannotBeReachedGoesOn)
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

TEST(RelayCallMoves, runIsNotEndedForATargetThatTakesNothing)
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

TEST(RelayCallMoves, failedMoveNeitherLosesNorRepeatsEvents)
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

TEST(RelayCallMoves, moveToATargetThatCannotBeReachedAbortsTheStream)
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

TEST(RelayCallMoves, refusedCopyIsTriedAtAnotherTarget)
{
    beginStream();
    call->onTargetLeaving();
    call->onCopyResult(copies[0].first, makeError(ErrorCode::TargetRefused, "no room"));
    LONGS_EQUAL(2, copies.size());
    CHECK(copies[0].second != copies[1].second);
}

TEST(RelayCallMoves, streamResumesFromCopyWhenSourceIsLostDuringCopying)
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

TEST(RelayCallMoves, streamIsAbortedWhenSourceAndCopyAreLost)
{
    beginStream();
    call->onTargetLeaving();
    call->onEnd(sent[0].exchange, lost(), true);
    call->onCopyResult(copies[0].first, makeError(ErrorCode::ConnectionLost, "reset"));
    LONGS_EQUAL(1, aborts);
    CHECK(call->isSettled());
}

TEST(RelayCallMoves, copyOfCompletedStreamIsFreed)
{
    beginStream();
    call->onTargetLeaving();
    call->onEnd(sent[0].exchange, absl::OkStatus(), true);
    LONGS_EQUAL(1, ends);
    completeCopy();
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(1, dropped.size());
}

TEST(RelayCallMoves, interruptedStreamResumesFromBackup)
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

TEST(RelayCallMoves, streamIsAbortedWhenBackupRefusesResume)
{
    isBackupOffered = true;
    beginStream();
    loseStream();
    call->onHead(sent[1].exchange, refusal());
    LONGS_EQUAL(1, aborts);
    CHECK(call->isSettled());
}

TEST(RelayCallMoves, streamIsAbortedWhenBackupTargetIsLeaving)
{
    isBackupOffered = true;
    isBackupAvailable = false;
    beginStream();
    loseStream();
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(1, aborts);
}

TEST(RelayCallMoves, backupReplacesCopyInProgressOnceTheRunHasEnded)
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
TEST(RelayCallMoves, lostStreamWaitsForItsCopyOrTheEndOfItsRun)
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

TEST(RelayCallMoves, lostStreamGoesOnFromItsBackupWhenItsCopyIsRefused)
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
TEST(RelayCallMoves, lostStreamWaitsForTheEndOfItsRunWhenItsCopyIsLost)
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
TEST(RelayCallMoves, lostStreamWaitsForTheEndOfItsRunForALimitedTime)
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

TEST(RelayCallMoves, resumableStreamWaitsForTheEndOfItsRunWhileItIsCopied)
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

TEST(RelayCallMoves, callerMayLeaveWhileTheEndOfARunIsAwaited)
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

TEST(RelayCallMoves, resumedStreamWithGapIsAborted)
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

TEST(RelayCallMoves, irregularEventNumbersAreNotAGap)
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

TEST(RelayCallMoves, streamOfLeavingTargetMovesAfterFirstEvent)
{
    begin(RetrySemantics::Stream);
    call->onTargetLeaving();
    LONGS_EQUAL(0, copies.size());
    call->onHead(sent[0].exchange, success());
    call->onBody(sent[0].exchange, event(1));
    LONGS_EQUAL(1, copies.size());
}

TEST(RelayCallMoves, lostConnectionOfASentRequestIsReported)
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

TEST(RelayCallMoves, lostConnectionOfAResumedStreamIsReported)
{
    isBackupOffered = true;
    beginStream();
    loseStream();
    call->onEnd(sent[1].exchange, lost(), true);
    CHECK_EQUAL(2U, lostExchanges.size());
    CHECK_EQUAL(1, aborts);
}

TEST(RelayCallMoves, resumableStreamGoesOnAtAnotherTargetWithoutACopy)
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
TEST(RelayCallMoves, lostResumptionGoesOnOnlyAfterItsRunHasEnded)
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

TEST(RelayCallMoves, resumableStreamPrefersItsCopy)
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

TEST(RelayCallMoves, resumableStreamRunsAtNoMoreThanItsTargets)
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

TEST(RelayCallMoves, resumeThatDidNotRunIsNotCounted)
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

TEST(RelayCallMoves, resumeSpendsTheRetryBudget)
{
    retriesLeft = 0;
    begin(RetrySemantics::ResumableStream, 2);
    call->onHead(1, success());
    call->onBody(1, event(1));
    loseStream();
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(1, aborts);
}

TEST(RelayCallMoves, resumableStreamWithoutAnEventRunsAgain)
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

TEST(RelayCallMoves, otherStreamsDoNotResumeWithoutACopy)
{
    begin(RetrySemantics::Stream, 2);
    call->onHead(1, success());
    call->onBody(1, event(1));
    call->onEnd(1, makeError(ErrorCode::ConnectionLost, "reset"), true);
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(1, aborts);
}

// The caller asks for a stream to go on after event 5, and the target's connection is lost.
TEST(RelayCallMoves, callersOwnLastEventCounts)
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
