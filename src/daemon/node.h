#ifndef CURRANTWALK_DAEMON_NODE_H
#define CURRANTWALK_DAEMON_NODE_H

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/randomsource.h"
#include "blame/poisontracker.h"
#include "calls/cancellations.h"
#include "calls/claims.h"
#include "config/configstore.h"
#include "config/publisher.h"
#include "daemon/callersapi.h"
#include "daemon/decisionlog.h"
#include "daemon/duties.h"
#include "daemon/objectindex.h"
#include "daemon/peerlink.h"
#include "daemon/platformlink.h"
#include "daemon/poisoncomparison.h"
#include "daemon/receiverefusallog.h"
#include "daemon/requestservices.h"
#include "daemon/settings.h"
#include "daemon/targetlink.h"
#include "drain/drain.h"
#include "limits/limiter.h"
#include "membership/membership.h"
#include "net/eventloop.h"
#include "observe/burn.h"
#include "observe/metrics.h"
#include "routing/dispatcher.h"
#include "routing/policy.h"
#include "targets/targettable.h"

namespace currantwalk {

class OperatorsApi;

/// The keys that a daemon reads from files.
struct NodeKeys
{
    std::string peers; ///< Shared by the daemons of a deployment.
    std::string operators;
};

/// One daemon: all slices, joined to one another and to the loop.
class Node
{
public:
    /// Listens and starts; \a loop must outlive the result. Fails with SettingsInvalid,
    /// SystemCallFailed or TlsInvalid.
    static absl::StatusOr<std::unique_ptr<Node>> create(const Settings &settings,
                                                        const NodeKeys &keys, EventLoop &loop);
    ~Node();

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Begins the orderly stop; the loop is stopped at its end.
    void beginDrain();

    const Settings &settings() const { return m_settings; }
    Incarnation incarnation() const { return m_incarnation; }
    const Endpoint &callersEndpoint() const { return m_callersEndpoint; }
    const Endpoint &peersEndpoint() const { return m_peersEndpoint; }
    const Endpoint &operatorsEndpoint() const { return m_operatorsEndpoint; }
    bool isReady() const;

    // For the operators' listener.
    Drain &drain() { return *m_drain; }
    Membership &membership() { return *m_membership; }
    ConfigStore &config() { return *m_config; }
    Publisher &publisher() { return *m_publisher; }
    TargetTable &targets() { return *m_targets; }
    PoisonTracker &poison() { return *m_poison; }
    Claims &claims() { return *m_claims; }
    const DecisionLog &decisions() const { return m_decisions; }
    /// Collects service-level burn from all nodes that answer.
    void collectBurn(std::function<void(const BurnSnapshot &, std::size_t missing)> callback);
    TimerService &timers() { return m_loop.timers(); }
    RandomSource &random() { return m_random; }
    const ObjectIndex *index() const { return m_index.get(); }

private:
    Node(const Settings &settings, const NodeKeys &keys, EventLoop &loop);

    absl::Status listen();
    void boundReceiving();
    absl::StatusOr<Endpoint> listenOn(const ListenerSettings &settings, HttpHandler handler);
    void start();

    void createMembership();
    void createConfig();
    void createTargets();
    void createRouting();
    void createLimits();
    void createCalls();
    void sendCancel(std::uint64_t number, const GenerationAttempt &attempt,
                    const std::optional<GenerationId> &generation);
    void createDuties();
    void createDrain();
    void refreshGauges();

    void onVersion(const ConfigVersion &version);
    void onMember(const Member &member);
    void onFact(const std::string &kind, const Json::Value &fact);
    void pullConfig(const Member &member);
    void retryPull();
    std::vector<Endpoint> alivePeers() const;
    void refreshVmList();
    void onTargetChange(const Target &target);
    void probeTarget(const Target &target);
    void fetchPrefixEvents(const Target &target);
    bool isWatcher(const TargetId &target) const;
    /// Returns the members that are alive, without this node.
    std::vector<Member> otherMembers() const;
    /// Returns the members that may read a generation that this node began.
    std::vector<Member> possibleReaders() const;
    void notifyVm(const VmId &vm, const char *method, const Json::Value &message);
    void announceToZone(const char *kind, const Json::Value &fact);
    std::vector<const Target *> candidates(const RoutingRequest &request) const;
    std::string poolOf(const RoutingRequest &request) const;
    RetryBudget &retryBudget(const std::string &service);
    RequestServices requestServices();
    void addPeerMethods();

    const Settings m_settings;
    const NodeKeys m_keys;
    EventLoop &m_loop;
    RandomSource m_random;
    const Incarnation m_incarnation;
    Metrics m_metrics;
    BurnRecorder m_burn;
    Fetcher m_fetcher;
    PlatformLink m_platform;
    TargetLink m_link;
    PeerLink m_peers;
    DecisionLog m_decisions;
    ReceiveRefusalLog m_receiveRefusals;

    std::unique_ptr<Membership> m_membership;
    std::unique_ptr<ConfigStore> m_config;
    std::unique_ptr<Publisher> m_publisher;
    std::unique_ptr<ObjectSet> m_objects;
    std::unique_ptr<ObjectIndex> m_index;
    std::unique_ptr<TargetTable> m_targets;
    std::unique_ptr<RoutingPolicy> m_policy;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<PoisonTracker> m_poison;
    std::unique_ptr<PoisonComparison> m_poisonComparison;
    std::unique_ptr<Limiter> m_limiter;
    std::unique_ptr<Claims> m_claims;
    std::unique_ptr<Cancellations> m_cancellations;
    std::unique_ptr<Duties> m_duties;
    std::unique_ptr<Drain> m_drain;
    std::unique_ptr<RequestServices> m_services;
    std::unique_ptr<CallersApi> m_callers;
    std::unique_ptr<OperatorsApi> m_operators;

    std::map<std::string, RetryBudget> m_retryBudgets;
    std::map<TargetId, Incarnation> m_incarnations;
    std::map<TargetId, std::uint64_t> m_nextPrefixEvents;
    Endpoint m_callersEndpoint;
    Endpoint m_peersEndpoint;
    Endpoint m_operatorsEndpoint;
    bool m_isPulling = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_NODE_H
