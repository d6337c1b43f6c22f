#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "targets/servicetargets.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(ServiceTargets)
{
    VirtualTimerService timers;
    std::vector<std::string> left;
    ServiceTargets targets{
            {},
            {[this](const ServiceTarget &target) { left.push_back(target.id.text()); }},
            timers};

    static TargetEntry entry(bool isLeaving = false, std::uint64_t startedAt = 1)
    {
        TargetEntry entry;
        entry.service = std::string("s");
        entry.endpoint = {"10.0.0.1", 80};
        entry.zone = ZoneName("z");
        entry.isLeaving = isLeaving;
        entry.startedAt = startedAt;
        return entry;
    }

    std::size_t usable()
    {
        return targets.usable("s").size();
    }
};

TEST(ServiceTargets, leavingTargetIsUnusableAndReportedOnce)
{
    targets.update(TargetId("a"), entry());
    LONGS_EQUAL(1, usable());
    targets.update(TargetId("a"), entry(true));
    targets.update(TargetId("a"), entry(true));
    targets.remove(TargetId("a"));
    LONGS_EQUAL(0, usable());
    LONGS_EQUAL(1, left.size());
    CHECK(targets.find(TargetId("a")));
}

TEST(ServiceTargets, leavingTargetBecomesReadyOnlyAfterRestart)
{
    targets.update(TargetId("a"), entry(true));
    targets.update(TargetId("a"), entry(false));
    LONGS_EQUAL(0, usable());
    targets.update(TargetId("a"), entry(false, 2));
    LONGS_EQUAL(1, usable());
}

// Each node decides by itself what a removed entry means; an announcement of the target holds for
// all.
TEST(ServiceTargets, onlyAnnouncedLeavingIsSentToPeers)
{
    targets.update(TargetId("gone"), entry());
    targets.remove(TargetId("gone"));
    CHECK(targets.leavingNotices().empty());
    targets.update(TargetId("a"), entry(true, 7));
    LONGS_EQUAL(1, targets.leavingNotices().size());
    LONGS_EQUAL(7, targets.leavingNotices()[0].startedAt);
    timers.advance(5s);
    CHECK(targets.leavingNotices().empty());
}

TEST(ServiceTargets, noticeAppliesOnlyToItsStart)
{
    targets.update(TargetId("a"), entry(false, 2));
    targets.applyLeavingNotice({TargetId("a"), 1});
    targets.applyLeavingNotice({TargetId("unknown"), 1});
    LONGS_EQUAL(1, usable());
    targets.applyLeavingNotice({TargetId("a"), 2});
    LONGS_EQUAL(0, usable());
    LONGS_EQUAL(1, targets.leavingNotices().size());
}

TEST(ServiceTargets, restartUnderSameIdReportsOldStartAsLeaving)
{
    targets.update(TargetId("a"), entry());
    targets.update(TargetId("a"), entry(false, 2));
    LONGS_EQUAL(1, left.size());
    LONGS_EQUAL(1, usable());
}

TEST(ServiceTargets, entryExpiredInStoreOutageStaysUsableUntilRecovery)
{
    targets.update(TargetId("a"), entry());
    targets.onStoreLost();
    targets.remove(TargetId("a"));
    timers.advance(10s);
    targets.expire();
    LONGS_EQUAL(1, usable());
    targets.onStoreRecovered();
    timers.advance(100ms);
    targets.expire();
    LONGS_EQUAL(0, usable());
}

TEST(ServiceTargets, entryRemovedAfterStoreRecoveryMayReappear)
{
    targets.update(TargetId("a"), entry());
    targets.onStoreLost();
    timers.advance(10s);
    targets.onStoreRecovered();
    targets.remove(TargetId("a"));
    LONGS_EQUAL(1, usable());
    timers.advance(1900ms);
    targets.expire();
    LONGS_EQUAL(1, usable());
    targets.update(TargetId("a"), entry());
    timers.advance(5s);
    targets.expire();
    LONGS_EQUAL(1, usable());
}

TEST(ServiceTargets, lapsedTargetsAreUsableOnlyIfNoneIsReady)
{
    targets.update(TargetId("a"), entry());
    targets.update(TargetId("b"), entry());
    targets.onStoreLost();
    targets.remove(TargetId("a"));
    LONGS_EQUAL(1, usable());
    STRCMP_EQUAL("b", targets.usable("s")[0]->id.text().c_str());
}

TEST(ServiceTargets, removedEntryWithoutOutageMeansLeaving)
{
    targets.update(TargetId("a"), entry());
    targets.remove(TargetId("a"));
    LONGS_EQUAL(0, usable());
    LONGS_EQUAL(1, left.size());
}

// Otherwise its next heartbeat would make it a new target.
TEST(ServiceTargets, targetThatSaysItLeavesStaysLeavingAsLongAsItsEntryIsReady)
{
    targets.update(TargetId("a"), entry());
    targets.markLeaving(TargetId("a"));
    timers.advance(31s);
    targets.expire();
    targets.update(TargetId("a"), entry());
    LONGS_EQUAL(0, usable());
    targets.remove(TargetId("a"));
    timers.advance(31s);
    targets.expire();
    LONGS_EQUAL(0, targets.size());
}

TEST(ServiceTargets, leavingTargetsAreRemovedAfterRetention)
{
    targets.update(TargetId("a"), entry(true));
    timers.advance(31s);
    targets.expire();
    LONGS_EQUAL(0, targets.size());
}

TEST(ServiceTargets, replacedTargetIsUsedNoMoreAndNotAnnounced)
{
    targets.update(TargetId("a"), entry());
    targets.markReplaced(TargetId("a"));
    CHECK(targets.find(TargetId("a"))->phase == TargetPhase::Leaving);
    CHECK(!targets.find(TargetId("a"))->isLeavingAnnounced);
    CHECK(targets.leavingNotices().empty());
}

// A store that was restored from a copy shows what its targets wrote before.
TEST(ServiceTargets, entryOfAnEarlierStartIsPassedOver)
{
    targets.update(TargetId("a"), entry(true, 7));
    targets.update(TargetId("a"), entry(false, 6));
    LONGS_EQUAL(0, usable());
    targets.update(TargetId("a"), entry(false, 8));
    LONGS_EQUAL(1, usable());
}

// The peer that reads the store had an outage that this node did not notice.
TEST(ServiceTargets, entryRemovedAfterAPeersOutageMayReappear)
{
    targets.update(TargetId("a"), entry());
    targets.onPeerOutage(500ms);
    targets.remove(TargetId("a"));
    LONGS_EQUAL(1, usable());
    timers.advance(2s);
    targets.expire();
    LONGS_EQUAL(0, usable());
}

// Guards against a server that stays in use for longer than it serves after its entry was removed:
// the time to reappear runs from the end of the outage.
TEST(ServiceTargets, anEntryRemovedLateAfterAnOutageIsGoneSoon)
{
    targets.update(TargetId("a"), entry());
    targets.onStoreLost();
    timers.advance(10s);
    targets.onStoreRecovered();
    timers.advance(1900ms);
    targets.remove(TargetId("a"));
    LONGS_EQUAL(1, usable());
    timers.advance(100ms);
    LONGS_EQUAL(0, usable());
    targets.expire();
    LONGS_EQUAL(1, left.size());
}

TEST(ServiceTargets, anEntryRemovedAfterTheGraceIsGoneAtOnce)
{
    targets.update(TargetId("a"), entry());
    targets.onPeerOutage(2000ms);
    targets.remove(TargetId("a"));
    LONGS_EQUAL(0, usable());
}

// A refused or lost call is no outage in which entries expire.
TEST(ServiceTargets, entryRemovedAfterAShortFailureIsGone)
{
    targets.update(TargetId("a"), entry());
    targets.onStoreLost();
    timers.advance(900ms);
    targets.onStoreLost();
    timers.advance(99ms);
    targets.onStoreRecovered();
    targets.remove(TargetId("a"));
    LONGS_EQUAL(0, usable());
}

TEST(ServiceTargets, findsAnotherTargetAlsoWhereNoneTakesWork)
{
    const auto add = [this](const char *id, const char *service, std::uint16_t port,
                            bool isLeaving) {
        TargetEntry added = entry(isLeaving);
        added.service = std::string(service);
        added.endpoint.port = port;
        targets.update(TargetId(id), added);
        return added.endpoint;
    };
    const auto found = [this](const Endpoint &beside) {
        const ServiceTarget *const other = targets.findOther("s", beside);
        return other ? other->id.text() : std::string();
    };
    const Endpoint own = add("own", "s", 1, false);
    STRCMP_EQUAL("", found(own).c_str());
    add("of another service", "t", 2, false);
    STRCMP_EQUAL("of another service", found(own).c_str());
    add("leaving", "s", 3, true);
    STRCMP_EQUAL("leaving", found(own).c_str());
    add("ready", "s", 4, false);
    STRCMP_EQUAL("ready", found(own).c_str());
}
