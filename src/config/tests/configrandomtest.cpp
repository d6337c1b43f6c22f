#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "config/configrecord.h"
#include "config/configstore.h"
#include "config/objectcodec.h"
#include "config/publisher.h"
#include "log/tests/fakelog.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

namespace {

using AcceptanceRule = std::function<bool(LogOffset base, LogOffset inForce)>;

/// The results of a run, in addition to the assertions in the code under test.
struct RunSummary
{
    std::size_t publications = 0;
    std::size_t accepted = 0;
    std::size_t restarts = 0;
    std::size_t versionRegressions = 0;
    std::size_t wrongVerdicts = 0; ///< Verdicts that differ from those derived from all records.
    std::size_t wrongResults = 0;  ///< Results that contradict the stream.
    /// Results reported as accepted whose version does not exist.
    std::size_t lostAcceptedPublications = 0;
    std::size_t nodesBehind = 0; ///< Without the newest version after all faults were cleared.
    std::uint64_t divergences = 0;

    std::size_t violations() const
    {
        return versionRegressions + wrongVerdicts + wrongResults + lostAcceptedPublications
               + nodesBehind + static_cast<std::size_t>(divergences);
    }
};

/// Several nodes with publishers that exchange versions with peers, under seeded random faults.
class RandomRun
{
public:
    RandomRun(std::uint64_t seed, AcceptanceRule rule, std::size_t faultyNodes)
        : m_random(seed), m_log(m_timers, seed), m_rule(std::move(rule)), m_faultyNodes(faultyNodes)
    {
        m_log.recordLifetime = RecordLifetime;
        for (std::size_t i = 0; i < NodeCount; ++i) {
            m_nodes.push_back(std::make_unique<Node>());
            m_nodes.back()->client = &m_log.addClient();
            start(i);
        }
    }

    RunSummary run(Duration span)
    {
        const TimePoint end = m_timers.now() + span;
        while (m_timers.now() < end) {
            step();
            m_timers.advance(m_random.jitter(400ms));
        }
        clearFaults();
        verify();
        return m_summary;
    }

private:
    static constexpr std::size_t NodeCount = 12;
    static constexpr Duration RecordLifetime = std::chrono::minutes(4);

    struct Node
    {
        FakeLog::Client *client = nullptr;
        RandomSource random{1};
        bool isCutFromPeers = false;
        bool isWriter = false;
        LogOffset highest = 0;
        std::unique_ptr<ConfigStore> store;
        std::unique_ptr<Publisher> publisher;
    };

    void start(std::size_t index)
    {
        Node &node = *m_nodes[index];
        node.publisher.reset();
        node.highest = 0;
        ConfigStore::Options options;
        options.recordLifetime = RecordLifetime;
        options.seed = m_random.next64();
        ConfigStore::Hooks hooks;
        hooks.log = node.client->hooks;
        hooks.isSnapshotWriter = [&node] { return node.isWriter; };
        hooks.rule = index < m_faultyNodes ? m_rule : AcceptanceRule();
        hooks.onVersion = [this, &node](const ConfigVersion &version) {
            m_summary.versionRegressions += version.version <= node.highest ? 1 : 0;
            node.highest = version.version;
        };
        hooks.onVerdict = [this, &node](const PublicationVerdict &verdict) {
            m_verdicts.push_back(verdict);
            if (node.publisher)
                node.publisher->onVerdict(verdict);
        };
        node.store = ConfigStore::create(options, std::move(hooks), m_timers);
        node.publisher = Publisher::create(Publisher::Options(), *node.store, node.client->hooks,
                                           m_timers, node.random);
        node.store->start();
    }

    Node &anyNode() { return *m_nodes[m_random.uniformBelow(NodeCount)]; }

    void step()
    {
        if (m_random.chance(0.10))
            publish(anyNode());
        if (m_random.chance(0.5))
            sendVersion(anyNode(), anyNode());
        if (m_random.chance(0.02)) {
            Node &node = anyNode();
            node.client->isDisconnected = !node.client->isDisconnected;
        }
        if (m_random.chance(0.02)) {
            Node &node = anyNode();
            node.isCutFromPeers = !node.isCutFromPeers;
        }
        if (m_random.chance(0.01)) {
            ++m_summary.restarts;
            start(m_random.uniformBelow(NodeCount));
        }
        if (m_random.chance(0.05)) {
            Node &node = anyNode();
            node.isWriter = !node.isWriter;
        }
        if (m_random.chance(0.02))
            m_log.faults.isUnavailable = m_random.chance(0.5);
        if (m_random.chance(0.02))
            drawFaults();
    }

    void drawFaults()
    {
        m_log.faults.loseAfterEffect = m_random.uniform() * 0.3;
        m_log.faults.loseBeforeEffect = m_random.uniform() * 0.2;
        m_log.faults.lateEffect = m_random.uniform() * 0.2;
        m_log.faults.silentLoss = m_random.uniform();
        m_log.faults.failRead = m_random.uniform() * 0.3;
        m_log.faults.maxExtraDelay = m_random.jitter(1s);
    }

    void sendVersion(Node &from, Node &to)
    {
        if (from.isCutFromPeers || to.isCutFromPeers)
            return;
        CHECK(to.store->onPeerVersion(from.store->encodeCurrent()).ok());
    }

    void publish(Node &node)
    {
        const LogOffset known = node.store->current() ? node.store->current()->version : 0;
        const std::string id = "p" + std::to_string(++m_summary.publications);
        ObjectSet objects;
        objects.zones["z"] = ZoneObject{"z", id};
        // Some publications are based on an outdated version.
        const LogOffset base = m_random.chance(0.1) ? m_random.uniformBelow(known + 1) : known;
        PublicationRequest request{base, "author", id, false, encodeObjects(objects)};
        node.publisher->publish(request,
                                [this, id](const absl::StatusOr<PublicationResult> &result) {
                                    m_results.emplace(id, result);
                                });
    }

    void clearFaults()
    {
        m_log.faults = FakeLog::Faults();
        for (const auto &node : m_nodes) {
            node->client->isDisconnected = false;
            node->isCutFromPeers = false;
        }
        // Two nodes write snapshots, in case the last one has expired.
        m_nodes.front()->isWriter = true;
        m_nodes.back()->isWriter = true;
        for (std::size_t round = 0; round < 4 * NodeCount; ++round) {
            sendVersion(*m_nodes[round % NodeCount], *m_nodes[(round + 1) % NodeCount]);
            m_timers.advance(1s);
        }
    }

    // Derives the expected result from every record ever appended, including expired ones.
    void verify()
    {
        std::map<LogOffset, bool> expected;
        std::map<std::string, LogOffset> acceptedIds;
        std::set<std::string> appendedIds;
        LogOffset inForce = 0;
        LogOffset offset = 0;
        for (const std::string &data : m_log.history(ConfigStore::StreamName)) {
            ++offset;
            const absl::StatusOr<ConfigRecord> record = decodeConfigRecord(data);
            CHECK(record.ok());
            const auto *publication = std::get_if<PublicationRecord>(&*record);
            if (!publication)
                continue;
            appendedIds.insert(publication->id);
            expected[offset] = publication->base == inForce;
            if (!expected[offset])
                continue;
            inForce = offset;
            acceptedIds.emplace(publication->id, offset);
        }
        m_summary.accepted = acceptedIds.size();
        for (const PublicationVerdict &verdict : m_verdicts)
            m_summary.wrongVerdicts += expected.at(verdict.offset) != verdict.isAccepted ? 1 : 0;
        for (const auto &[id, answer] : m_results)
            verifyResult(id, answer, acceptedIds, appendedIds);
        for (const auto &node : m_nodes) {
            const ConfigVersion *current = node->store->current();
            m_summary.nodesBehind += !current || current->version != inForce ? 1 : 0;
            m_summary.divergences += node->store->divergences();
        }
    }

    void verifyResult(const std::string &id, const absl::StatusOr<PublicationResult> &answer,
                      const std::map<std::string, LogOffset> &acceptedIds,
                      const std::set<std::string> &appendedIds)
    {
        const auto it = acceptedIds.find(id);
        if (answer.ok() && answer->isAccepted)
            m_summary.lostAcceptedPublications +=
                    it == acceptedIds.end() || it->second != answer->version ? 1 : 0;
        else if (answer.ok())
            m_summary.wrongResults += it != acceptedIds.end() ? 1 : 0;
        else if (errorCode(answer.status()) == ErrorCode::LogUnavailable)
            m_summary.wrongResults += appendedIds.contains(id) ? 1 : 0;
    }

    VirtualTimerService m_timers;
    RandomSource m_random;
    FakeLog m_log;
    AcceptanceRule m_rule;
    std::size_t m_faultyNodes;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<PublicationVerdict> m_verdicts;
    std::map<std::string, absl::StatusOr<PublicationResult>> m_results;
    RunSummary m_summary;
};

} // namespace

TEST_GROUP(ConfigRandom){};

TEST(ConfigRandom, allNodesMakeTheSameDecisionsUnderRandomFaults)
{
    std::size_t accepted = 0;
    std::size_t refused = 0;
    std::size_t restarts = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const RunSummary summary = RandomRun(seed, {}, 0).run(30min);
        CHECK_EQUAL(0U, summary.versionRegressions);
        CHECK_EQUAL(0U, summary.wrongVerdicts);
        CHECK_EQUAL(0U, summary.wrongResults);
        CHECK_EQUAL(0U, summary.lostAcceptedPublications);
        CHECK_EQUAL(0U, summary.nodesBehind);
        CHECK_EQUAL(0U, summary.divergences);
        accepted += summary.accepted;
        refused += summary.publications - summary.accepted;
        restarts += summary.restarts;
    }
    // The runs must have exercised the cases under test.
    CHECK(accepted > 1000);
    CHECK(refused > 1000);
    CHECK(restarts > 100);
}

// Two nodes use a wrong rule that accepts any base up to the version in force.
TEST(ConfigRandom, wrongAcceptanceRuleIsDetected)
{
    const AcceptanceRule rule = [](LogOffset base, LogOffset inForce) { return base <= inForce; };
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        CHECK(RandomRun(seed, rule, 2).run(30min).violations() > 0);
}
