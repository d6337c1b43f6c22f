#include "calls/tests/relaycallrig.h"

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP_BASE(RelayCall, RelayCallRig){};

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
