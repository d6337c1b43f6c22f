#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/virtualtimerservice.h"
#include "targets/targettable.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

namespace {

struct TestTarget
{
    Incarnation incarnation = 1;
    bool isAnswering = true;
    bool isLeaving = false;
    std::uint32_t running = 0;
};

ListedTarget listed(const std::string &id, const std::string &zone = "a",
                    TargetKind kind = TargetKind::Engine)
{
    return {TargetId(id), kind, {"10.0.0.1", 9000}, zone, "pool", false};
}

} // namespace

TEST_GROUP(TargetTable)
{
    VirtualTimerService timers;
    std::map<std::string, TestTarget> targets;
    std::set<std::string> watched;
    std::vector<Json::Value> announcements;
    std::vector<Json::Value> digests;
    std::size_t probes = 0;
    std::unique_ptr<TargetTable> table;

    void setup() override
    {
        TargetTable::Options options;
        options.zone = "a";
        TargetTable::Hooks hooks;
        hooks.probe = [this](const Target &target) { answer(target.id); };
        hooks.isWatcher = [this](const TargetId &id) { return watched.count(id.text()) > 0; };
        hooks.onChange = [](const Target &) {};
        hooks.onLoad = [](const Target &) {};
        hooks.broadcastDigest = [this](const Json::Value &digest) { digests.push_back(digest); };
        hooks.announce = [this](const Json::Value &message) { announcements.push_back(message); };
        table = TargetTable::create(options, hooks, timers);
    }

    void answer(const TargetId &id)
    {
        ++probes;
        timers.scheduleAfter(2ms, [this, id] {
            const TestTarget &target = targets[id.text()];
            if (target.isAnswering)
                table->onReport(report(id.text()));
        });
    }

    TargetReport report(const std::string &id)
    {
        const TestTarget &target = targets[id];
        TargetReport report;
        report.id = TargetId(id);
        report.incarnation = target.incarnation;
        report.isLeaving = target.isLeaving;
        report.models = {{"large", "1"}};
        report.load.reportedAt = timers.now();
        report.load.running = target.running;
        report.load.capacityTokens = 100000;
        return report;
    }

    void begin(const std::vector<ListedTarget> &list)
    {
        for (const ListedTarget &row : list) {
            targets[row.id.text()] = {};
            watched.insert(row.id.text());
        }
        table->onTargetList(list);
        table->start();
    }

    TargetState state(const std::string &id)
    {
        return table->find(TargetId(id))->state;
    }
    std::size_t candidateCount()
    {
        return table->candidates("pool").size();
    }
};

TEST(TargetTable, engineIsCandidateOnlyOnceItReported)
{
    watched.clear();
    targets["e1"].isAnswering = false;
    table->onTargetList({listed("e1"), listed("p1", "a", TargetKind::Plain)});
    table->start();
    CHECK_EQUAL(1U, candidateCount());
    targets["e1"].isAnswering = true;
    timers.advance(5s);
    CHECK_EQUAL(2U, candidateCount());
    CHECK(table->find(TargetId("e1"))->isServing("large"));
}

TEST(TargetTable, outdatedListKeepsIncarnationLeaving)
{
    begin({listed("e1")});
    timers.advance(1s);
    table->onLeaving(TargetId("e1"), 1);
    CHECK_EQUAL(1U, announcements.size());
    table->onTargetList({listed("e1")});
    timers.advance(3s);
    CHECK(state("e1") == TargetState::Leaving);
    targets["e1"].incarnation = 2;
    timers.advance(2s);
    CHECK(state("e1") == TargetState::Live);
}

TEST(TargetTable, incarnationStaysLeavingAfterListChangesBack)
{
    begin({listed("e1")});
    timers.advance(1s);
    ListedTarget leaving = listed("e1");
    leaving.isLeaving = true;
    table->onTargetList({leaving});
    CHECK(state("e1") == TargetState::Leaving);
    table->onTargetList({listed("e1")});
    CHECK(state("e1") == TargetState::Leaving);
}

TEST(TargetTable, outdatedListKeepsRestartedTargetLeavingOnlyWhileListed)
{
    begin({listed("e1")});
    timers.advance(1s);
    ListedTarget leaving = listed("e1");
    leaving.isLeaving = true;
    table->onTargetList({leaving});
    targets["e1"].incarnation = 2;
    timers.advance(2s);
    CHECK(state("e1") == TargetState::Leaving);
    table->onTargetList({listed("e1")});
    CHECK(state("e1") == TargetState::Live);
}

TEST(TargetTable, outdatedDigestKeepsIncarnationLeaving)
{
    begin({listed("e1")});
    timers.advance(2s);
    CHECK(!digests.empty());
    const Json::Value live = digests.back();
    table->onLeaving(TargetId("e1"), 1);
    CHECK(table->onDigest(live).ok());
    CHECK(state("e1") == TargetState::Leaving);
}

TEST(TargetTable, goneAfterFailedProbesAndLiveAfterAnswer)
{
    begin({listed("e1")});
    timers.advance(1s);
    targets["e1"].isAnswering = false;
    timers.advance(5s);
    CHECK(state("e1") == TargetState::Gone);
    CHECK_EQUAL(1U, announcements.size());
    targets["e1"].isAnswering = true;
    timers.advance(5s);
    CHECK(state("e1") == TargetState::Live);
}

TEST(TargetTable, suspicionIsConfirmedByOneProbe)
{
    begin({listed("e1"), listed("e2")});
    timers.advance(1s);
    targets["e1"].isAnswering = false;
    table->onSuspectedDead(TargetId("e1"));
    table->onSuspectedDead(TargetId("e2"));
    timers.advance(900ms);
    CHECK(state("e1") == TargetState::Gone);
    CHECK(state("e2") == TargetState::Live);
}

TEST(TargetTable, watcherProbesTargetAnnouncedAsGone)
{
    begin({listed("e1")});
    timers.advance(1s);
    Json::Value message(Json::objectValue);
    message["t"] = "e1";
    message["i"] = 1;
    message["s"] = 2;
    message["a"] = 0;
    CHECK(table->onAnnouncement(message).ok());
    CHECK(state("e1") == TargetState::Gone);
    timers.advance(10ms);
    CHECK(state("e1") == TargetState::Live);
}

TEST(TargetTable, unknownModelsInDigestCauseProbe)
{
    begin({listed("e1")});
    targets["e1"].running = 7;
    timers.advance(3s);
    watched.clear();
    timers.advance(1s);
    targets["e1"].incarnation = 4;
    targets["e1"].running = 9;
    CHECK(!digests.empty());
    Json::Value digest = digests.back();
    digest["r"][0][1] = 4; // An incarnation known only to the peer; the row has no models.
    CHECK(table->onDigest(digest).ok());
    timers.advance(200ms);
    CHECK_EQUAL(4U, table->find(TargetId("e1"))->incarnation);
    CHECK_EQUAL(9U, table->find(TargetId("e1"))->load.running);
}

TEST(TargetTable, emptyListIsIgnoredAndUnlistedTargetIsGone)
{
    begin({listed("e1"), listed("e2")});
    timers.advance(1s);
    table->onTargetList({});
    CHECK_EQUAL(2U, candidateCount());
    table->onTargetList({listed("e2")});
    CHECK(state("e1") == TargetState::Gone);
    timers.advance(1h);
    CHECK(table->find(TargetId("e1")) == nullptr);
}

TEST(TargetTable, ownZoneComesFirst)
{
    begin({listed("b1", "b"), listed("z1", "a")});
    timers.advance(1s);
    const std::vector<const Target *> candidates = table->candidates("pool");
    CHECK_EQUAL(2U, candidates.size());
    STRCMP_EQUAL("z1", candidates[0]->id.text().c_str());
}

TEST(TargetTable, ejectedTargetsAreUsedIfZoneHasNoOthers)
{
    begin({listed("e1"), listed("e2"), listed("b1", "b")});
    timers.advance(1s);
    for (int i = 0; i < 5; ++i)
        table->onOutcome(TargetId("e1"), false);
    CHECK_EQUAL(2U, candidateCount());
    for (int i = 0; i < 5; ++i)
        table->onOutcome(TargetId("e2"), false);
    CHECK_EQUAL(3U, candidateCount());
}

TEST(TargetTable, malformedMessagesAreRejected)
{
    begin({listed("e1")});
    timers.advance(1s);
    for (const char *text :
         {"[]", "{}", R"({"r":1})", R"({"r":[[]]})", R"({"r":[["e1",1,0,3]]})",
          R"({"r":[["e1",-1,0,0]]})", R"({"r":[["e1",1,0,0,1,1,1,1,1,1,1,["m"]]]})",
          R"({"r":[["e1",1,0,0,1,1,1,1,1,1,"1",["m","1"]]]})",
          R"({"r":[["e1",1,0,0,99999999999,1,1,1,1,1]]})", R"({"r":[["e1",9,0,1],["e1",1]]})"})
        CHECK(errorCode(table->onDigest(*parseJson(text))) == ErrorCode::JsonInvalid);
    for (const char *text : {"[]", "{}", R"({"t":"e1","i":1,"a":0,"s":0})",
                             R"({"t":"e1","i":1,"a":0,"s":"1"})", R"({"t":7,"i":1,"a":0,"s":1})"})
        CHECK(errorCode(table->onAnnouncement(*parseJson(text))) == ErrorCode::JsonInvalid);
    CHECK(state("e1") == TargetState::Live);
}

TEST_GROUP(OutlierDetector)
{
    OutlierDetector detector{OutlierDetector::Options{}};
    TimePoint now{};
    const TargetId id{"e1"};

    void outcomes(int count, bool isSuccess)
    {
        for (int i = 0; i < count; ++i)
            detector.onOutcome(id, isSuccess, now);
    }
};

TEST(OutlierDetector, ejectsLongerEachTimeAndSoonerOnProbation)
{
    outcomes(4, false);
    CHECK(!detector.isEjected(id, now));
    outcomes(1, false);
    CHECK(detector.isEjected(id, now + 9s));
    CHECK(!detector.isEjected(id, now + 10s));
    now += 11s;
    outcomes(2, false);
    CHECK(detector.isEjected(id, now + 19s));
    CHECK(!detector.isEjected(id, now + 20s));
}

TEST(OutlierDetector, consecutiveSuccessesEndProbation)
{
    outcomes(5, false);
    now += 11s;
    outcomes(20, true);
    CHECK_EQUAL(0U, detector.size());
    outcomes(4, false);
    CHECK(!detector.isEjected(id, now));
}

TEST(OutlierDetector, failureRatioEjectsWithoutConsecutiveFailures)
{
    for (int i = 0; i < 10; ++i) {
        outcomes(1, false);
        outcomes(1, true);
    }
    CHECK(!detector.isEjected(id, now));
    outcomes(1, false);
    CHECK(detector.isEjected(id, now));
}
