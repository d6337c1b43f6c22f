#ifndef CURRANTWALK_DAEMON_LOADEXCHANGE_H
#define CURRANTWALK_DAEMON_LOADEXCHANGE_H

#include "daemon/paceexchange.h"
#include "daemon/peerlink.h"
#include "membership/readerselector.h"
#include "routing/targetselector.h"
#include "targets/servicetargets.h"
#include "targets/targetlimits.h"
#include "targets/zoneevacuations.h"

namespace currantwalk {

/// What a node says of the operator's orders: its catalogue, and the zones that are emptied.
struct CatalogNote
{
    std::uint64_t version = 0; ///< 0: none.
    /// Since when these orders may not be the newest; nothing: never proven.
    std::optional<Duration> age;
    EvacuationState evacuations{};
};

/// Tells other nodes what this node has in progress at each target, soon after it changes and again
/// before they would forget it, which targets it has heard are leaving, and which limits of targets
/// have changed. Each answer tells what
/// the peer knows of the catalogue, so that a node which can't read the store learns it from those
/// that can.
///
/// In a small deployment each node tells all others. In a large one it tells the node that reads
/// the store for its zone, which answers with the sum of what all others have in progress; these
/// nodes tell one another the sums of their zones. The messages of a node then do not grow with the
/// number of nodes, but for the one node of each zone.
class LoadExchange
{
public:
    struct Hooks
    {
        std::function<CatalogNote()> catalogNote;
        /// A peer's note; what it says was true at \a sentAt or later.
        std::function<void(const NodeRecord &peer, const CatalogNote &note, TimePoint sentAt)>
                onCatalogNote;
        /// A peer has heard that a target is leaving.
        std::function<void(const LeavingNotice &)> onLeaving;
        /// A peer knows this limit of a target.
        std::function<void(const TargetLimit &)> onLimit;
        /// Writes and reads what nodes tell one another of targets' pace; may be absent.
        PaceExchange *pace = nullptr;
        /// Whether sums of zones pass as loads change, and not only periodically; empty: they
        /// don't.
        std::function<bool()> areZoneSumsPrompt = nullptr;
    };

    LoadExchange(VmId vm, NodeRecord self, PeerLink &peers, NodeDirectory &roster,
                 ReaderSelector &readers, TargetSelector &placer, const ServiceTargets &targets,
                 const TargetLimits &limits, Hooks hooks, TimerService &timers);
    ~LoadExchange();
    LoadExchange(const LoadExchange &) = delete;
    LoadExchange &operator=(const LoadExchange &) = delete;

    /// Starts the repetition, and takes what peers send.
    void start();
    /// The node's own loads have changed.
    void onChange();
    /// Calls \a done once the loads of other nodes are as recent as one message can make them, or
    /// when that takes too long; at once in a small deployment.
    void refresh(std::function<void()> done);

private:
    InFlightLoads ownGenerations() const;
    Json::Value message(const InFlightLoads &loads, PaceExchange::Scope scope);
    void send();
    void sendToAll();
    void report(std::function<void()> done = [] {});
    void sendZoneSums();
    void sendZoneSumsLater();
    void repeat();
    Json::Value answerTo(const Json::Value &message);
    bool takeLimits(const Json::Value &message);
    bool take(const Json::Value &message);
    void takePace(const Json::Value &message, const PaceExchange::Sender &sender);
    void takeReportAnswer(const ReaderSelector::Peer &peer,
                          const absl::StatusOr<Json::Value> &result, TimePoint sentAt);
    void takeAnswer(const VmId &vm, const NodeRecord &peer,
                    const absl::StatusOr<Json::Value> &result, TimePoint sentAt);

    const VmId m_vm;
    const NodeRecord m_self;
    const Hooks m_hooks;
    PeerLink &m_peers;
    NodeDirectory &m_roster;
    ReaderSelector &m_readers;
    TargetSelector &m_placer;
    const ServiceTargets &m_targets;
    const TargetLimits &m_limits;
    TimerService &m_timers;
    std::uint64_t m_sequence = 0;
    TimerId m_changeTimer = NoTimer;
    TimerId m_repeatTimer = NoTimer;
    TimerId m_zoneTimer = NoTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Encodes the position and the names of the zones, which may have any bytes.
Json::Value encodeEvacuations(const EvacuationState &state);
/// Null stands for none, known up to no position. Fails with JsonInvalid.
absl::StatusOr<EvacuationState> decodeEvacuations(const Json::Value &json);
Json::Value encodeCatalogNote(const CatalogNote &note);
/// Fails with JsonInvalid.
absl::StatusOr<CatalogNote> decodeCatalogNote(const Json::Value &json);
/// Encodes loads as rows of target, requests, tokens and tokens of waiting prompts.
Json::Value encodeLoads(const InFlightLoads &loads);
/// Fails with JsonInvalid.
absl::StatusOr<InFlightLoads> decodeLoads(const Json::Value &json);
/// Encodes rows of target and start.
Json::Value encodeLeaving(const std::vector<LeavingNotice> &targets);
/// Null stands for none. Fails with JsonInvalid.
absl::StatusOr<std::vector<LeavingNotice>> decodeLeaving(const Json::Value &json);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_LOADEXCHANGE_H
