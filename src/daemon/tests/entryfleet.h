#ifndef CURRANTWALK_DAEMON_TESTS_ENTRYFLEET_H
#define CURRANTWALK_DAEMON_TESTS_ENTRYFLEET_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/randomsource.h"
#include "daemon/entrynode.h"
#include "daemon/tests/simserver.h"

namespace currantwalk {

/// A time in which a request ran on at one server while it went on at another one.
struct SimOverlap
{
    std::string id;
    std::string host; ///< Of the node that sent it to the other one.
    TimePoint from{};
    TimePoint until{};
};

/// Entry nodes, servers and callers on virtual time.
class EntryFleet
{
public:
    static constexpr const char *CatalogTopic = "catalog";
    static constexpr const char *TargetsTopic = "targets";
    static constexpr const char *RosterTopic = "roster";
    /// Before the name of a zone: key of the order that empties it, in the topic of catalogues.
    static constexpr const char *EvacuationPrefix = "evacuate/";
    /// Header that replaces the key that callers send; NoKey: they send none.
    static constexpr const char *KeyHeader = "key";
    static constexpr const char *CallersKey = "key";
    static constexpr const char *NoKey = "-";
    static constexpr const char *CallersHost = "10.9.0.1";
    /// Objective of a stream's first part.
    static constexpr Duration TimelyStart = std::chrono::seconds(2);

    struct Options
    {
        std::uint64_t seed = 1;
        std::size_t nodes = 7;
        std::size_t zones = 3;
        std::size_t generationServers = 12;
        std::size_t plainServers = 3;
        double retrySlack = 54;
        Duration plainWork = std::chrono::milliseconds(15);
        SimEnd crash = SimEnd::Reset;  ///< How servers end.
        bool doServersKeepIds = false; ///< Whether servers start again under their ids.
        Duration maxKeyAge = std::chrono::seconds(3);
        /// Requests a second that a server of each service takes while it is cold; 0: no limit.
        double coldPerSecond = 0;
        ColdBound coldBound{1.5, 5};
        /// Whether the settings name the bound also where no server is cold, so that the pace of
        /// targets is learnt.
        bool isPaceLearnt = false;
        /// Era that the store tells from the start; 0: it tells none.
        std::uint64_t storeEra = 0;
        /// Called before the first node starts.
        std::function<void(EntryFleet &fleet)> onCreated = nullptr;
        /// Makes the reader of a topic for a node, in place of one that calls \c store directly.
        std::function<KeyedTopicHooks(EventLoop &loop, const std::string &topic)> storeReader =
                nullptr;
        /// Reads catalogues in place of the fleet's own reader; the first one is \c catalog.
        std::function<absl::StatusOr<CatalogContent>(const std::string &)> readCatalog = nullptr;
        std::string catalog;
        /// Reads the entries of servers in place of the fleet's own reader.
        std::function<absl::StatusOr<TargetEntry>(const std::string &)> readTarget = nullptr;
    };

    /// The ends of callers' requests.
    struct Tally
    {
        std::uint32_t served = 0;
        std::uint32_t servedInTime = 0;       ///< Whose first part came within TimelyStart.
        std::uint32_t refused = 0;            ///< With the promise that they have not run.
        std::uint32_t refusedAsPoisonous = 0; ///< Of those refused.
        std::uint32_t failed = 0;
        std::uint32_t open = 0;
        std::vector<Duration> retryAfters; ///< Told with each refusal.
        Duration slowestRefusal{0};
        Duration longestPause{0};     ///< Between two parts of an answer.
        std::uint32_t disordered = 0; ///< Streams whose events are not 1, 2, 3 and so on.
    };

    explicit EntryFleet(const Options &options);
    ~EntryFleet();
    EntryFleet(const EntryFleet &) = delete;
    EntryFleet &operator=(const EntryFleet &) = delete;

    void run(Duration span) { timers.advance(span); }
    void startNode(std::size_t index);
    void killNode(std::size_t index);
    /// Kills all nodes at once and starts them again after \a outage.
    void restartAllNodes(Duration outage);
    /// Suspends a node: its timers and messages wait until it is resumed.
    void pauseNode(std::size_t index);
    /// With \a areTimersFirst, its timers that have become due run before what it has received.
    void resumeNode(std::size_t index, bool areTimersFirst = false);
    /// Returns whether the node has ended its orderly stop, so that its process exits.
    bool hasStopped(std::size_t index) const { return m_nodes[index].loop->isStopped(); }
    bool isUp(std::size_t index) const { return m_nodes[index].node != nullptr; }
    EntryNode &node(std::size_t index) { return *m_nodes[index].node; }
    ZoneName zoneOf(std::size_t index) const;
    std::string addressOf(std::size_t index) const;
    /// Returns the zone of a node or server; empty for other hosts.
    std::string zoneOfHost(const std::string &host) const;
    std::size_t nodeCount() const { return m_nodes.size(); }

    /// Cuts a zone off from the other zones and the store.
    void cutZone(std::optional<std::string> zone) { m_cutZone = std::move(zone); }
    void setStoreUp(bool isUp) { m_isStoreUp = isUp; }
    /// Cuts single nodes off from the store.
    std::set<std::size_t> nodesWithoutStore;
    /// Cuts single nodes off from the other nodes.
    std::set<std::size_t> nodesWithoutPeers;

    /// Publishes a catalogue; callers' keys are in it or not.
    void publish(std::uint64_t version, bool hasKey);
    void publishWithoutOrganisations(std::uint64_t version);
    void publishText(const std::string &text) { store.append(CatalogTopic, "config", text); }
    /// Orders that the targets of a zone get nothing, or takes that back.
    void emptyZone(const std::string &zone)
    {
        store.append(CatalogTopic, EvacuationPrefix + zone, "{}");
    }
    void takeBackZone(const std::string &zone)
    {
        store.append(CatalogTopic, EvacuationPrefix + zone, std::nullopt);
    }
    /// Returns the nodes of a zone in the order in which they are asked to read the store.
    std::vector<std::size_t> readersOf(const ZoneName &zone) const;

    /// Sends one request through the node \a index.
    void request(std::size_t index, const std::string &method, const std::string &path,
                 const std::string &body, Tally &tally)
    {
        request(index, {method, path, {}, body}, tally, nullptr);
    }
    /// Sends a request with headers of its own. Calls \a onEnd, if it is set, with whether a part
    /// of an answer came.
    void request(std::size_t index, HttpRequest request, Tally &tally,
                 std::function<void(bool hasBegun)> onEnd);
    /// Closes the connections of all callers; their requests stay open in the tallies.
    void closeCallers() { m_callers.clear(); }
    /// Sends a poisonous request through \a copies ready nodes at once, every \a gap for \a span.
    void repeatPoison(const std::string &path, Duration gap, Duration span, std::size_t copies = 1);
    /// Sends requests with bodies of their own through all nodes.
    void startInnocents(Duration gapPerNode, Duration span);
    /// Kills one node after the other every \a gap for \a span; each starts again after half of it.
    void replaceNodes(Duration gap, Duration span, std::size_t next = 0);

    std::size_t randomReadyNode();
    /// Returns the crashes that the requests of \a path have caused.
    std::size_t crashesBy(const std::string &path) { return poisonLogs[path].crashes.size(); }
    /// Returns the arrivals of the requests of \a path at servers later than \a slack after they
    /// had crashed the third.
    std::size_t arrivalsAfterThirdCrash(const std::string &path, Duration slack);

    /// Returns the number of runs that went on with a stream which had begun at another server.
    std::size_t resumedRuns() const;
    std::vector<SimOverlap> overlaps() const;
    /// Returns the longest time of overlaps(); 0 if there is none.
    Duration longestOverlap() const;

    VirtualTimerService timers;
    RandomSource random;
    SimNet net;
    SimStore store;
    SimPoisonLogs poisonLogs;
    SimPoisonParts poisonParts;
    std::vector<std::unique_ptr<SimServer>> servers;
    Tally poison;
    Tally innocents;

private:
    struct RunningNode
    {
        std::unique_ptr<SimEventLoop> loop;
        std::unique_ptr<EntryNode> node;
        std::shared_ptr<bool> alive; ///< Held while the node runs.
    };

    struct Caller
    {
        std::unique_ptr<HttpCall> call;
        int status = 0;
        std::string reason;
        Duration retryAfter{0};
        TimePoint sentAt{};
        std::optional<TimePoint> firstPartAt;
        TimePoint lastPartAt{};
        std::string body;
    };

    EntryBindings bindings(const RunningNode &running, const std::string &host);
    KeyedTopicHooks topicHooks(const RunningNode &running, const std::string &host,
                               const std::string &topic);
    bool isOneOf(const std::set<std::size_t> &nodes, const std::string &host) const;
    bool isCutFrom(const std::string &host, const std::string &other) const;
    void repeatInnocents(std::size_t index, Duration gap, TimePoint until);

    const Options m_options;
    std::vector<RunningNode> m_nodes;
    std::map<std::string, std::string> m_zoneOfHost;
    std::map<std::uint64_t, Caller> m_callers;
    std::uint64_t m_lastCaller = 0;
    Incarnation m_lastIncarnation = 0;
    std::optional<std::string> m_cutZone;
    bool m_isStoreUp = true;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TESTS_ENTRYFLEET_H
