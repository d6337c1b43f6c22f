#include "targets/targetlimits.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(LimitKnowledge)
{
    static constexpr TimePoint Now = TimePoint(100s);

    TargetLimits limits;
    const TargetId target{"t"};

    LimitChange named(double perSecond, TimePoint now, std::uint64_t start = 1)
    {
        return limits.apply(target, start, {LimitNotice::Kind::Named, perSecond}, now, now);
    }

    LimitChange notNamed(TimePoint sentAt, TimePoint now)
    {
        return limits.apply(target, 1, {}, sentAt, now);
    }
};

TEST(LimitKnowledge, anAnswerWithoutALimitEndsIt)
{
    CHECK(named(4.1, Now) == LimitChange::Changed);
    CHECK(named(4.1, Now + 1s) == LimitChange::Unchanged);
    CHECK(notNamed(Now + 2s, Now + 2s) == LimitChange::Changed);
    CHECK(!limits.limitOf(target, 1));
    CHECK(notNamed(Now + 3s, Now + 3s) == LimitChange::Unchanged);
}

TEST(LimitKnowledge, anAnswerToAnEarlierRequestDoesNotEndALimit)
{
    named(4.1, Now);
    CHECK(notNamed(Now - 50ms, Now + 10ms) == LimitChange::Unchanged);
    DOUBLES_EQUAL(4.1, *limits.limitOf(target, 1), 0);
}

TEST(LimitKnowledge, aValueThatCannotBeReadLeavesWhatIsKnown)
{
    named(4.1, Now);
    const LimitNotice unreadable{LimitNotice::Kind::Unreadable, 0};
    CHECK(limits.apply(target, 1, unreadable, Now, Now) == LimitChange::FirstUnreadable);
    CHECK(limits.apply(target, 1, unreadable, Now, Now) == LimitChange::Unchanged);
    CHECK(limits.apply(target, 2, unreadable, Now, Now) == LimitChange::FirstUnreadable);
    DOUBLES_EQUAL(4.1, *limits.limitOf(target, 1), 0);
}

TEST(LimitKnowledge, aNewStartKnowsNothingOfTheLimitBefore)
{
    named(4.1, Now, 5);
    CHECK(!limits.limitOf(target, 6));
    named(7, Now + 1s, 6);
    CHECK(!limits.limitOf(target, 5));
    // An answer of the earlier start that comes late.
    CHECK(named(4.1, Now + 2s, 5) == LimitChange::Unchanged);
    DOUBLES_EQUAL(7, *limits.limitOf(target, 6), 0);
}

TEST(LimitKnowledge, theNewestKnowledgeOfAllNodesCounts)
{
    named(4.1, Now);
    CHECK(!limits.merge({target, 1, 9.0, Now - 1s, Now - 1s}));
    CHECK(limits.merge({target, 1, 9.0, Now + 1s, Now + 1s}));
    CHECK(limits.merge({target, 1, std::nullopt, Now + 2s, Now + 2s}));
    CHECK(!limits.merge({target, 1, 9.0, Now + 1s, Now + 1s}));
    CHECK(!limits.limitOf(target, 1));
}

TEST(LimitKnowledge, changesAreToldForATimeAndGoneTargetsForgotten)
{
    named(4.1, Now);
    named(4.1, Now + 2s);
    LONGS_EQUAL(1, limits.recentChanges(Now + 2s).size());
    LONGS_EQUAL(0, limits.recentChanges(Now + 4s).size());
    LONGS_EQUAL(1, limits.named().size());
    limits.expire([](const TargetId &) { return true; }, Now + 100s);
    CHECK(!limits.isEmpty());
    limits.expire([](const TargetId &) { return false; }, Now + 100s);
    CHECK(limits.isEmpty());
}
