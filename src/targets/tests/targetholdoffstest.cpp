#include "targets/targetholdoffs.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(TargetHoldOffs)
{
    const TargetId target{"t1"};
    const TargetId other{"t2"};
    const TimePoint start{};
    TargetHoldOffs holdOffs;

    Duration remaining(Duration elapsed, std::uint64_t startedAt = 1)
    {
        return holdOffs.remaining(target, startedAt, start + elapsed);
    }
};

TEST(TargetHoldOffs, targetIsHeldOffUntilTheLatestEndThatItAskedFor)
{
    holdOffs.onTurnedAway(target, 1, 2s, start);
    holdOffs.onTurnedAway(target, 1, 1s, start + 100ms);
    CHECK(remaining(500ms) == 1500ms);
    CHECK(holdOffs.remaining(other, 1, start + 500ms) == 0ms);
    CHECK(remaining(2s) == 0ms);
}

TEST(TargetHoldOffs, newStartOfATargetIsNotHeldOff)
{
    holdOffs.onTurnedAway(target, 1, 2s, start);
    CHECK(remaining(1s, 2) == 0ms);
    holdOffs.onTurnedAway(target, 2, 1s, start + 500ms);
    CHECK(remaining(1s, 2) == 500ms);
}

TEST(TargetHoldOffs, requestsFollowOneByOneUntilTheTargetHasTakenOne)
{
    holdOffs.onTurnedAway(target, 1, 2s, start);
    holdOffs.onSent(target, 1, start + 2s);
    CHECK(remaining(2010ms) > 0ms);
    holdOffs.onTaken(target, 1, start + 2020ms);
    CHECK(remaining(2020ms) == 0ms);
    holdOffs.onSent(target, 1, start + 2020ms);
    CHECK(remaining(2030ms) == 0ms);
}

TEST(TargetHoldOffs, trialWithoutAnAnswerDoesNotHoldTheTargetOffForLong)
{
    holdOffs.onTurnedAway(target, 1, 2s, start);
    holdOffs.onSent(target, 1, start + 2s);
    CHECK(remaining(2s) <= 500ms);
    CHECK(remaining(2500ms) == 0ms);
}

TEST(TargetHoldOffs, firstRequestAfterTheTimeMayBeTurnedAwayAgain)
{
    holdOffs.onTurnedAway(target, 1, 2s, start);
    holdOffs.onSent(target, 1, start + 2s);
    holdOffs.onTurnedAway(target, 1, 2s, start + 2010ms);
    CHECK(remaining(3s) == 1010ms);
}

// What was sent before the target turned others away may still be answered.
TEST(TargetHoldOffs, answerWithinTheTimeDoesNotEndIt)
{
    holdOffs.onTurnedAway(target, 1, 2s, start);
    holdOffs.onTaken(target, 1, start + 1s);
    CHECK(remaining(1s) == 1s);
}

TEST(TargetHoldOffs, timeIsBounded)
{
    holdOffs.onTurnedAway(target, 1, Duration::max(), start);
    CHECK(remaining(0s) == TargetHoldOffs::MaxHoldOff);
}

TEST(TargetHoldOffs, oneStreamMayGoOnWithinTheTime)
{
    CHECK(holdOffs.tryResume(target, 1, start));
    holdOffs.onTurnedAway(target, 1, 2s, start);
    CHECK(holdOffs.tryResume(target, 1, start + 1s));
    CHECK(!holdOffs.tryResume(target, 1, start + 1s));
    holdOffs.onTurnedAway(target, 1, 2s, start + 3s);
    CHECK(holdOffs.tryResume(target, 1, start + 4s));
}

TEST(TargetHoldOffs, entriesAreRemovedAfterTheTime)
{
    holdOffs.onTurnedAway(target, 1, 2s, start);
    CHECK_EQUAL(1U, holdOffs.countHeldOff(start + 1s));
    CHECK_EQUAL(0U, holdOffs.countHeldOff(start + 2s));
    holdOffs.expire(start + 3s);
    CHECK(!holdOffs.isEmpty());
    holdOffs.expire(start + 60s);
    CHECK(holdOffs.isEmpty());
}
