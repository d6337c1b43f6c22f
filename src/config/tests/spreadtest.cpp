#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "config/configrecord.h"
#include "config/configstore.h"
#include "config/objectcodec.h"
#include "log/tests/fakelog.h"
#include "membership/membership.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

namespace {

/// Many nodes, each with membership and configuration, on a network that loses messages.
class SpreadFleet
{
public:
    SpreadFleet(std::size_t members, std::size_t zones, double loss, std::uint64_t seed)
        : m_random(seed), m_log(m_timers, seed), m_zones(zones), m_loss(loss)
    {
        for (std::size_t i = 0; i < members; ++i)
            addNode(i, members);
        for (const auto &node : m_nodes) {
            node->membership->start();
            node->config->start();
        }
    }

    void advance(Duration span) { m_timers.advance(span); }

    /// Disconnects all but the first \a count nodes from the log.
    void disconnectLogExceptFor(std::size_t count)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            m_nodes[i]->client->isDisconnected = i >= count;
    }

    /// Publishes a set based on the version in force and returns the new version.
    LogOffset publish()
    {
        ObjectSet objects;
        objects.zones["z"] = ZoneObject{"z", "r" + std::to_string(m_version)};
        const PublicationRecord record{"p" + std::to_string(m_version), m_version, "author", false,
                                       encodeObjects(objects)};
        m_version = m_log.put(ConfigStore::StreamName, encodePublication(record));
        return m_version;
    }

    /// Runs until all nodes have the version; returns the time since the first node had it.
    Duration spreadTime(LogOffset version, Duration limit)
    {
        const TimePoint end = m_timers.now() + limit;
        std::optional<TimePoint> first;
        while (m_timers.now() < end) {
            m_timers.advance(10ms);
            const std::size_t count = countAt(version);
            if (count > 0 && !first)
                first = m_timers.now();
            if (count == m_nodes.size())
                return m_timers.now() - *first;
        }
        return limit;
    }

private:
    struct Node
    {
        explicit Node(std::uint64_t seed) : random(seed) {}

        RandomSource random;
        Endpoint endpoint;
        std::string zone;
        FakeLog::Client *client = nullptr;
        Member newest; ///< The member with the highest version seen.
        bool isPulling = false;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<ConfigStore> config;
    };

    static LogOffset versionOf(const Node &node)
    {
        return node.config->current() ? node.config->current()->version : 0;
    }

    std::size_t countAt(LogOffset version) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_nodes.begin(), m_nodes.end(),
                              [version](const auto &node) { return versionOf(*node) >= version; }));
    }

    static Endpoint endpointOf(std::size_t index)
    {
        return Endpoint{"127.0.0.1", static_cast<std::uint16_t>(1000 + index)};
    }

    void addNode(std::size_t index, std::size_t members)
    {
        m_nodes.push_back(std::make_unique<Node>(index + 1));
        Node &node = *m_nodes.back();
        node.endpoint = endpointOf(index);
        node.zone = "zone-" + std::to_string(index % m_zones);
        node.client = &m_log.addClient();
        Membership::Options options;
        options.self.vm = VmId("vm-" + std::to_string(index));
        options.self.zone = node.zone;
        options.self.endpoint = node.endpoint;
        options.self.incarnation = 1;
        // As in the platform's list of VMs.
        for (std::size_t i = 0; i < members; ++i)
            options.seeds.push_back(endpointOf(i));
        Membership::Hooks hooks;
        hooks.send = [this, &node](const Endpoint &peer, const Json::Value &message) {
            sendMessage(node, peer, [message](Node &to) { to.membership->onMessage(message); });
        };
        hooks.onChange = [this, &node](const Member &member) { onMember(node, member); };
        hooks.onFact = [](const std::string &, const Json::Value &) {};
        node.membership = Membership::create(options, std::move(hooks), m_timers, node.random);
        ConfigStore::Options configOptions;
        configOptions.seed = index + 1;
        ConfigStore::Hooks configHooks;
        configHooks.log = node.client->hooks;
        configHooks.onVersion = [&node](const ConfigVersion &version) {
            node.membership->setConfigVersion(version.version);
        };
        node.config = ConfigStore::create(configOptions, std::move(configHooks), m_timers);
    }

    bool sendMessage(const Node &from, const Endpoint &to, std::function<void(Node &)> deliver)
    {
        if (m_random.chance(m_loss))
            return false;
        Node &target = *m_nodes.at(to.port - 1000U);
        const Duration latency = from.zone == target.zone ? 1ms : 40ms;
        m_timers.scheduleAfter(latency,
                               [&target, deliver = std::move(deliver)] { deliver(target); });
        return true;
    }

    void onMember(Node &node, const Member &member)
    {
        if (member.configVersion > node.newest.configVersion)
            node.newest = member;
        pull(node);
    }

    // A failed pull is retried.
    void pull(Node &node)
    {
        if (node.isPulling || node.newest.configVersion <= versionOf(node))
            return;
        node.isPulling = true;
        m_timers.scheduleAfter(500ms, [this, &node] {
            node.isPulling = false;
            pull(node);
        });
        sendMessage(node, node.newest.endpoint, [this, &node](Node &peer) {
            sendMessage(peer, node.endpoint,
                        [message = peer.config->encodeCurrent()](Node &requester) {
                            CHECK(requester.config->onPeerVersion(message).ok());
                        });
        });
    }

    VirtualTimerService m_timers;
    RandomSource m_random;
    FakeLog m_log;
    std::size_t m_zones;
    double m_loss;
    LogOffset m_version = 0;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

constexpr std::size_t Members = 330;
constexpr std::size_t Zones = 27;
constexpr Duration MaxSpreadTime = std::chrono::seconds(7);
constexpr Duration Limit = std::chrono::seconds(60);

} // namespace

TEST_GROUP(ConfigSpread){};

TEST(ConfigSpread, allNodesApplyAChangeFromTheLogInTime)
{
    SpreadFleet fleet(Members, Zones, 0.01, 1);
    fleet.advance(5s);
    for (int i = 0; i < 3; ++i)
        CHECK(fleet.spreadTime(fleet.publish(), Limit) <= MaxSpreadTime);
}

// All nodes but one are disconnected from the log and learn of the change from peers only.
TEST(ConfigSpread, oneNodeConnectedToTheLogIsEnough)
{
    SpreadFleet fleet(Members, Zones, 0.01, 2);
    fleet.advance(20s);
    fleet.disconnectLogExceptFor(1);
    for (int i = 0; i < 3; ++i)
        CHECK(fleet.spreadTime(fleet.publish(), Limit) <= MaxSpreadTime);
}
