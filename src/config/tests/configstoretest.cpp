#include <memory>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/virtualtimerservice.h"
#include "config/configrecord.h"
#include "config/configstore.h"
#include "config/objectcodec.h"
#include "config/publisher.h"
#include "log/tests/fakelog.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static Json::Value setWithRegion(const std::string &region)
{
    ObjectSet objects;
    objects.zones["z"] = ZoneObject{"z", region};
    return encodeObjects(objects);
}

namespace {

struct Node
{
    FakeLog::Client *client = nullptr;
    RandomSource random{1};
    bool isWriter = false;
    std::vector<LogOffset> versions;
    std::unique_ptr<ConfigStore> store;
    std::unique_ptr<Publisher> publisher;
};

} // namespace

TEST_GROUP(ConfigStore)
{
    VirtualTimerService timers;
    FakeLog log{timers, 1};
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<absl::StatusOr<PublicationResult>> results;

    void setup() override
    {
        log.recordLifetime = 1h;
    }

    Node &addNode(bool isWriter = false)
    {
        nodes.push_back(std::make_unique<Node>());
        Node &node = *nodes.back();
        node.client = &log.addClient();
        node.isWriter = isWriter;
        startNode(node);
        return node;
    }

    void startNode(Node & node)
    {
        ConfigStore::Options options;
        options.recordLifetime = log.recordLifetime;
        options.seed = nodes.size();
        ConfigStore::Hooks hooks;
        hooks.log = node.client->hooks;
        hooks.isSnapshotWriter = [&node] { return node.isWriter; };
        hooks.onVersion = [&node](const ConfigVersion &version) {
            node.versions.push_back(version.version);
        };
        hooks.onVerdict = [&node](const PublicationVerdict &verdict) {
            if (node.publisher)
                node.publisher->onVerdict(verdict);
        };
        node.publisher.reset();
        node.store = ConfigStore::create(options, std::move(hooks), timers);
        node.publisher = Publisher::create(Publisher::Options(), *node.store, node.client->hooks,
                                           timers, node.random);
        node.store->start();
    }

    void publish(Node & node, LogOffset base, const std::string &id, const std::string &region)
    {
        PublicationRequest request{base, "author of " + id, id, false, setWithRegion(region)};
        node.publisher->publish(request, [this](const absl::StatusOr<PublicationResult> &result) {
            results.push_back(result);
        });
    }

    static LogOffset versionOf(const Node &node)
    {
        return node.store->current() ? node.store->current()->version : 0;
    }

    static std::string regionOf(const Node &node)
    {
        return node.store->current()->objects.zones.at("z").region;
    }
};

TEST(ConfigStore, firstPublicationIsBasedOnVersionZero)
{
    Node &a = addNode();
    Node &b = addNode();
    publish(a, 0, "p1", "north");
    timers.advance(5s);
    CHECK_EQUAL(1U, results.size());
    CHECK(results[0]->isAccepted);
    CHECK_EQUAL(1U, results[0]->version);
    CHECK_EQUAL(1U, versionOf(b));
    STRCMP_EQUAL("north", regionOf(b).c_str());
    CHECK(a.store->currentAge() > 0s);
    CHECK(a.store->lastCaughtUp().has_value());
}

TEST(ConfigStore, oneOfTwoConcurrentPublicationsIsAcceptedAndTheOtherNamesIt)
{
    Node &a = addNode();
    Node &b = addNode();
    publish(a, 0, "p1", "north");
    publish(b, 0, "p2", "south");
    timers.advance(5s);
    CHECK_EQUAL(2U, results.size());
    const bool isFirstWinner = results[0]->isAccepted;
    CHECK(results[1]->isAccepted != isFirstWinner);
    const PublicationResult &loser = *results[isFirstWinner ? 1 : 0];
    const PublicationResult &winner = *results[isFirstWinner ? 0 : 1];
    CHECK_EQUAL(winner.version, loser.version);
    STRCMP_EQUAL(a.store->current()->author.c_str(), loser.winner.c_str());
    CHECK_EQUAL(1U, loser.changes.size());
    STRCMP_EQUAL("zones/z", loser.changes[0].object.c_str());
    CHECK_EQUAL(2U, a.store->verdicts().size());
    for (std::size_t i = 0; i < 2; ++i)
        CHECK_EQUAL(a.store->verdicts()[i].isAccepted, b.store->verdicts()[i].isAccepted);
}

TEST(ConfigStore, invalidSetsAreRejectedBeforeAppendAndWhenRead)
{
    Node &a = addNode();
    Json::Value invalid = setWithRegion("north");
    invalid["pools"]["x"]["zones"][0] = "nowhere";
    PublicationRequest request{0, "author", "p1", false, invalid};
    a.publisher->publish(request, [this](const absl::StatusOr<PublicationResult> &result) {
        results.push_back(result);
    });
    timers.advance(1s);
    CHECK(errorCode(results.at(0).status()) == ErrorCode::ConfigInvalid);
    CHECK(log.records("config").empty());
    log.put("config", encodePublication(PublicationRecord{"p2", 0, "author", false, invalid}));
    log.put("config", "nonsense");
    log.put("config", "{\"kind\":\"publication\"}");
    timers.advance(1s);
    CHECK_EQUAL(1U, a.store->verdicts().size());
    CHECK(!a.store->verdicts()[0].isAccepted);
    CHECK(!a.store->current());
}

TEST(ConfigStore, lostAppendAnswerIsResolvedByReading)
{
    Node &a = addNode();
    log.faults.loseAfterEffect = 1;
    publish(a, 0, "p1", "north");
    timers.advance(5s);
    CHECK_EQUAL(1U, results.size());
    CHECK(results[0]->isAccepted);
}

TEST(ConfigStore, sameIdSentTwiceIsOnePublication)
{
    Node &a = addNode();
    Node &b = addNode();
    publish(a, 0, "p1", "north");
    publish(b, 0, "p1", "north");
    timers.advance(5s);
    publish(a, 0, "p1", "north");
    timers.advance(5s);
    CHECK_EQUAL(3U, results.size());
    for (const absl::StatusOr<PublicationResult> &result : results) {
        CHECK(result->isAccepted);
        CHECK_EQUAL(1U, result->version);
    }
}

TEST(ConfigStore, outageIsReportedAndLostRecordHasUnknownOutcome)
{
    Node &a = addNode();
    log.faults.isUnavailable = true;
    publish(a, 0, "p1", "north");
    timers.advance(30s);
    CHECK(errorCode(results.at(0).status()) == ErrorCode::LogUnavailable);
    log.faults.isUnavailable = false;
    log.faults.loseBeforeEffect = 1;
    publish(a, 0, "p2", "north");
    timers.advance(30s);
    CHECK(errorCode(results.at(1).status()) == ErrorCode::OutcomeUnknown);
}

TEST(ConfigStore, newNodeTakesTheVersionFromAPeerWhileTheLogIsOut)
{
    Node &a = addNode();
    publish(a, 0, "p1", "north");
    timers.advance(5s);
    log.faults.isUnavailable = true;
    Node &b = addNode();
    timers.advance(5s);
    CHECK(!b.store->current());
    CHECK(b.store->encodeCurrent().isNull());
    CHECK(a.store->onPeerVersion(b.store->encodeCurrent()).ok());
    CHECK(b.store->onPeerVersion(a.store->encodeCurrent()).ok());
    CHECK_EQUAL(1U, versionOf(b));
    CHECK(errorCode(b.store->onPeerVersion(Json::Value(7))) == ErrorCode::JsonInvalid);
    log.faults.isUnavailable = false;
    publish(b, 1, "p2", "south");
    timers.advance(10s);
    CHECK(results.at(1)->isAccepted);
    CHECK_EQUAL(2U, versionOf(a));
    CHECK((b.versions == std::vector<LogOffset>{1, 2}));
}

// A node that received a newer version (here 2, while a record for 3 is in the stream) from a peer
// must still decide by the order of the stream.
TEST(ConfigStore, peerVersionAheadOfTheStreamDoesNotChangeDecisions)
{
    Node &a = addNode();
    Node &b = addNode();
    b.client->isDisconnected = true;
    publish(a, 0, "p1", "one");
    timers.advance(5s);
    publish(a, 1, "p2", "two");
    timers.advance(5s);
    log.put("config",
            encodePublication(PublicationRecord{"late", 1, "x", false, setWithRegion("late")}));
    CHECK(b.store->onPeerVersion(a.store->encodeCurrent()).ok());
    CHECK_EQUAL(2U, versionOf(b));
    b.client->isDisconnected = false;
    timers.advance(20s);
    CHECK_EQUAL(3U, b.store->verdicts().size());
    CHECK(b.store->verdicts()[0].isAccepted);
    CHECK(b.store->verdicts()[1].isAccepted);
    CHECK(!b.store->verdicts()[2].isAccepted);
    CHECK((b.versions == std::vector<LogOffset>{2}));
    CHECK_EQUAL(0U, b.store->divergences());
}

TEST(ConfigStore, snapshotsPreserveTheSetPastExpiry)
{
    Node &a = addNode(true);
    publish(a, 0, "p1", "north");
    timers.advance(5h);
    CHECK(log.records("config").front().offset > 1);
    Node &b = addNode();
    timers.advance(5s);
    CHECK_EQUAL(1U, versionOf(b));
    STRCMP_EQUAL("north", regionOf(b).c_str());
    publish(b, 1, "p2", "south");
    timers.advance(5s);
    CHECK(results.at(1)->isAccepted);
    CHECK_EQUAL(versionOf(b), versionOf(a));
    // Snapshots are a quarter of the lifetime apart, without needless retries.
    CHECK(log.history("config").size() <= 2 + 5 * 5);
}

TEST(ConfigStore, duplicateSnapshotsAreHarmless)
{
    Node &a = addNode(true);
    Node &b = addNode(true);
    publish(a, 0, "p1", "north");
    timers.advance(2h);
    publish(b, 1, "p2", "south");
    timers.advance(2h);
    CHECK(results.at(1)->isAccepted);
    CHECK((a.versions == b.versions));
    CHECK_EQUAL(0U, a.store->divergences());
}

// The snapshot names an older version than the publication that precedes it in the stream.
TEST(ConfigStore, lateReaderDecidesPublicationsAroundASnapshot)
{
    Node &a = addNode();
    publish(a, 0, "p1", "one");
    timers.advance(5s);
    const absl::StatusOr<ConfigSnapshot> snapshot = decodeSnapshot(a.store->encodeCurrent());
    log.put("config",
            encodePublication(PublicationRecord{"p2", 1, "x", false, setWithRegion("two")}));
    log.put("config", encodeSnapshotRecord(*snapshot, "s1"));
    log.put("config",
            encodePublication(PublicationRecord{"p3", 1, "x", false, setWithRegion("no")}));
    log.put("config",
            encodePublication(PublicationRecord{"p4", 2, "x", false, setWithRegion("four")}));
    log.expireBelow("config", 2);
    Node &b = addNode();
    timers.advance(5s);
    CHECK_EQUAL(5U, versionOf(a));
    CHECK_EQUAL(5U, versionOf(b));
    // If the publication before the snapshot has expired too, the snapshot is not sufficient.
    log.expireBelow("config", 3);
    Node &c = addNode();
    timers.advance(5s);
    CHECK_EQUAL(0U, versionOf(c));
    CHECK(c.store->verdicts().empty());
    CHECK(c.store->onPeerVersion(b.store->encodeCurrent()).ok());
    CHECK_EQUAL(5U, versionOf(c));
}

TEST(ConfigStore, nodeDisconnectedPastExpiryRecoversFromASnapshot)
{
    Node &a = addNode(true);
    Node &b = addNode();
    publish(a, 0, "p1", "one");
    timers.advance(5s);
    b.client->isDisconnected = true;
    publish(a, 1, "p2", "two");
    timers.advance(3h);
    CHECK_EQUAL(1U, versionOf(b));
    b.client->isDisconnected = false;
    timers.advance(10s);
    CHECK_EQUAL(versionOf(a), versionOf(b));
    CHECK_EQUAL(2U, b.versions.size());
}

TEST(ConfigStore, outageLongerThanTheLifetimeLosesNothing)
{
    Node &a = addNode(true);
    publish(a, 0, "p1", "one");
    timers.advance(5s);
    log.faults.isUnavailable = true;
    timers.advance(3h);
    log.faults.isUnavailable = false;
    timers.advance(30s);
    Node &b = addNode();
    timers.advance(5s);
    CHECK_EQUAL(1U, versionOf(b));
}

TEST(ConfigStore, recoveryIsAcceptedWhereEveryNodeAndSnapshotWasLost)
{
    log.put("config",
            encodePublication(PublicationRecord{"p1", 0, "x", false, setWithRegion("one")}));
    log.put("config", "nonsense");
    log.expireBelow("config", 2);
    Node &a = addNode(true);
    Node &b = addNode();
    timers.advance(5s);
    publish(a, 0, "p2", "two");
    timers.advance(30s);
    CHECK(errorCode(results.at(0).status()) == ErrorCode::OutcomeUnknown);
    PublicationRequest request{0, "author", "p3", true, setWithRegion("three")};
    b.publisher->publish(request, [this](const absl::StatusOr<PublicationResult> &result) {
        results.push_back(result);
    });
    timers.advance(5s);
    CHECK(results.at(1)->isAccepted);
    CHECK_EQUAL(versionOf(b), versionOf(a));
    STRCMP_EQUAL("three", regionOf(a).c_str());
}
