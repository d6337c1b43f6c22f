#ifndef CURRANTWALK_DAEMON_ENTRYNODE_H
#define CURRANTWALK_DAEMON_ENTRYNODE_H

#include <map>
#include <memory>

#include "base/randomsource.h"
#include "daemon/grantexchange.h"
#include "daemon/loadexchange.h"
#include "daemon/poisonexchange.h"
#include "daemon/receiverefusallog.h"
#include "daemon/relaysession.h"
#include "daemon/topicexchange.h"
#include "drain/drain.h"
#include "limits/noderetrybudget.h"
#include "net/eventloop.h"
#include "observe/metrics.h"
#include "targets/outlierdetector.h"
#include "targets/targetlimits.h"
#include "targets/zoneevacuations.h"

namespace currantwalk {

/// A daemon that relays requests of a published catalogue to the targets of its services. What is
/// spoken around it is given by bindings.
class EntryNode
{
public:
    /// Listens and starts; \a loop must outlive the result. Fails with SystemCallFailed or
    /// AddressInvalid.
    static absl::StatusOr<std::unique_ptr<EntryNode>>
    create(const EntrySettings &settings, EntryBindings bindings, EventLoop &loop);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /// Begins the orderly stop; the loop is stopped at its end.
    void beginDrain();
    /// Takes what may change while the process runs: limits and bounds; addresses stay.
    void reload(const EntrySettings &settings);
    /// Whether new callers should be sent here.
    bool isReady() const;
    const Metrics &metrics() const { return m_metrics; }
    const Endpoint &callersEndpoint() const { return m_callersEndpoint; }

private:
    static constexpr std::size_t MaxCallerBodyBytes = std::size_t{16} * 1024 * 1024;

    enum class CatalogSource {
        Store, ///< Read by this node, or passed on by the node that reads for its zone.
        Peer,  ///< A peer's newer catalogue.
    };

    EntryNode(const EntrySettings &settings, EntryBindings bindings, EventLoop &loop);

    absl::Status listen();
    absl::Status listenForMetrics();
    void updateReceiveLimits();
    void refreshGauges();
    void createCatalogFollower();
    void createTargetsFollower();
    void startFollowers();
    void createPeers();
    void announce();
    void announceLater(Duration delay);
    void onRosterRestored();
    void recordSettledEra(std::uint64_t era);
    void onTopicRestored(SharedTopic topic, std::uint64_t earlier, std::uint64_t era);
    void leaveRoster();
    void takeRosterRecord(const KeyedRecord &record);
    void takeSettledEra(const std::string &text);
    bool isRosterAwaited() const;
    void createDrain();
    RelayServices relayServices();

    void onProbe(HttpExchange &exchange);
    void onRequest(const std::shared_ptr<HttpExchange> &exchange);
    void onSessionDone(std::uint64_t number);
    std::vector<RelaySession *> sessions() const;
    void refuse(HttpExchange &exchange, EntryRefusal refusal);
    void refuseUnadmitted(HttpExchange &exchange, Admission admission, const RequestId &id);
    void refuseRequest(HttpExchange &exchange, const RequestId &id, const EntryRefusal &refusal,
                       const std::string &detail = {});
    void refusePoisonous(HttpExchange &exchange, const RequestId &id, std::uint64_t fingerprint);
    void onServed(const TargetId &target, SendResult service);
    /// Whether targets' pace is learnt: the settings name a bound for targets that are cold.
    bool isPaceLearnt() const { return m_settings.coldBound.has_value(); }
    void notePace(const std::string &service, const PaceSample &sample);
    void noteStart(const TargetId &id, const TargetEntry &entry);
    void beginRamp(const TargetId &target, RampCause cause, Duration age);
    void beginRampsIn(const ZoneName &zone);
    void onRampStep(const RampStep &step);
    void refreshPace();
    void updateRampLimits(const std::string &service);
    void refreshPaceGauges();
    std::vector<TargetStart> startsOf(const std::string &service) const;
    void askTargets();
    void askTarget(const ServiceTarget &target);
    void noteAnswer(const TargetSendNote &send, const RelayAnswerHead &answer);
    void noteLeaving(const TargetSendNote &send);
    void noteLimit(const TargetSendNote &send, const LimitNotice &limit);
    void takeLimit(const TargetLimit &limit);
    void noteCallAnswer(const TargetSendNote &send, const HttpResponse &response);
    void onTargetLeaving(const ServiceTarget &target);
    void takeCatalog(const KeyedRecord &record);
    void onZoneEmptied(const ZoneName &zone, bool isEmptied, EvacuationSource source);
    void takeCatalogText(const std::string &text, CatalogSource source);
    CatalogNote catalogNote() const;
    void onCatalogNote(const NodeRecord &peer, const CatalogNote &note, TimePoint sentAt);
    void fetchCatalog(const NodeRecord &peer);
    void takeTarget(const KeyedRecord &record);
    bool hasRestrictedTargets() const;
    std::optional<double> coldRate(const TargetId &id, std::uint64_t startedAt) const;
    Duration timeUntilTaking(const ServiceTarget &target) const;
    void requestReport(const ServiceTarget &target);
    Duration timeUntilReturn(const std::string &service);
    std::vector<const ServiceTarget *> takingTargets(const std::string &service) const;
    std::vector<const ServiceTarget *>
    withoutEjected(const std::vector<const ServiceTarget *> &targets) const;
    RoomDecision chooseByLoad(const std::string &service, const std::vector<TargetId> &excluded,
                              const RoomRequest &request);
    RoomDecision askRoom(const std::string &service, const std::vector<TargetId> &excluded,
                         const RoomRequest &request);
    const ServiceTarget *choose(const std::string &service, const std::vector<TargetId> &excluded,
                                const ZoneName &zone, double spread);
    std::uint32_t nodesSharing() const;
    NodeRetryBudget &allowance(const std::string &service);
    void tick();

    EntrySettings m_settings;
    const EntryBindings m_bindings;
    EventLoop &m_loop;
    const TimePoint m_startedAt;
    RandomSource m_random;
    Metrics m_metrics;
    Endpoint m_callersEndpoint;
    Fetcher m_fetcher;
    CatalogHolder m_catalog;
    std::string m_catalogText; ///< The catalogue in force as it was published, for peers.
    bool m_isFetchingCatalog = false;
    ZoneEvacuations m_evacuations;
    ServiceTargets m_targets;
    TargetHoldOffs m_holdOffs;
    TargetLimits m_limits;
    TargetPace m_pace;
    PaceExchange m_paceExchange;
    TimePoint m_paceRefreshedAt{};
    TargetSelector m_placer;
    RoomAdmission m_room;
    OutlierDetector m_outliers;
    std::unique_ptr<PoisonTracker> m_poison;
    std::map<std::string, NodeRetryBudget> m_allowances;
    const Incarnation m_incarnation;
    NodeDirectory m_roster;
    ReaderSelector m_readers;
    PeerLink m_peers;
    TopicExchange m_topics;
    LoadExchange m_loads;
    GrantExchange m_grants;
    TargetLimiter m_limiter;
    PoisonExchange m_poisonExchange;
    std::unique_ptr<KeyedTopicFollower> m_rosterFollower;
    std::unique_ptr<Drain> m_drain;
    std::unique_ptr<KeyedTopicFollower> m_catalogFollower;
    std::unique_ptr<KeyedTopicFollower> m_targetsFollower;
    BufferBudget m_buffers;
    ReceiveRefusalLog m_receiveRefusals;
    CompletionEstimate m_completions;
    std::optional<TimePoint> m_stopAt; ///< When the process ends, once it is told to.
    RelayServices m_services;
    std::unique_ptr<RunStopper> m_runStopper;
    std::map<std::uint64_t, std::unique_ptr<RelaySession>> m_sessions; ///< By their numbers.
    std::uint64_t m_lastSession = 0;
    TimerId m_tickTimer = NoTimer;
    TimerId m_announceTimer = NoTimer;
    TimerId m_eraTimer = NoTimer;
    std::optional<TimePoint> m_targetsProvenAt; ///< Up to which their entries are known.
    bool m_isRosterRead = false;                ///< All its records have been read once.
    bool m_areFollowersStarted = false;
    /// Version of the catalogue that the store, or its copy, was last seen to hold.
    std::uint64_t m_storedCatalogVersion = 0;
    bool m_isStoredCatalogInvalid = false; ///< The newest catalogue in the store can't be read.
    /// The store was restored, and this node's record has not been read since.
    bool m_isAnnouncementMissing = false;
    std::uint64_t m_settledEra = 0; ///< Highest era that a node has recorded as settled.
    bool m_isStopped = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_ENTRYNODE_H
