#ifndef CURRANTWALK_ROUTING_TARGETSELECTOR_H
#define CURRANTWALK_ROUTING_TARGETSELECTOR_H

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/randomsource.h"
#include "routing/targetramps.h"
#include "targets/servicetargets.h"

namespace currantwalk {

/// The expected load of one request at its target.
struct RequestLoad
{
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0; ///< Still to be generated.
};

/// The sum of the requests in flight at one target.
struct InFlightLoad
{
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0;        ///< Prompt tokens and tokens to be generated.
    std::uint64_t waitingTokens = 0; ///< Prompt tokens of requests without a first event yet.

    InFlightLoad &operator+=(const InFlightLoad &other);
    bool isEmpty() const { return requests == 0 && tokens == 0 && waitingTokens == 0; }
};

using InFlightLoads = std::map<TargetId, InFlightLoad>;

/// Chooses targets for relayed requests by the requests that this node and its peers have in flight
/// at each target, with a preference for one availability zone. Peers' loads are needed when
/// requests arrive through several nodes and a target is added: it looks empty to every node, and
/// all of them would send to it. Load reports of targets are not used because all nodes would act
/// on the same stale report.
class TargetSelector
{
public:
    struct Options
    {
        /// Load, in requests, added to a target in another zone.
        double otherZonePenalty = 4.0;
        /// Number of tokens in flight that count as one request.
        double tokensPerRequest = 2000;
        /// Number of unprocessed prompt tokens that count as one request. Each of them delays the
        /// first event of the requests queued behind it.
        double waitingTokensPerRequest = 700;
        /// Load, in requests, added to a target that is still warming up after its start.
        double coldPenalty = 2.0;
        /// Maximum share of a target's memory in expected use, including backup copies. Running
        /// generations need the rest: without room they are preempted and their prompts are
        /// processed again. Measurements for several shares are in docs/design/platform.md.
        double backupShare = 0.3;          ///< For a generation in this node's zone.
        double otherZoneBackupShare = 0.5; ///< If a partition of zones can cut it off.
        /// Share of an engine's memory in expected use above which it has no room for another
        /// generation. The expected use is that of all generations at their ends, which they reach
        /// one after the other.
        double admissionShare = 1.1;
        /// Load, in requests, that a request without others takes for its own time at a target of
        /// median speed.
        double requestLoad = 4.0;
        /// Load, in requests, added for each request above the ceiling of a target's ramp. A target
        /// above its ceiling is still the better choice where all others are full.
        double ceilingPenalty = 6.0;
        /// Time after which the loads of a peer without a newer message are ignored.
        Duration peerLoadLifetime = std::chrono::milliseconds(1500);
    };

    TargetSelector(const Options &options, RandomSource &random)
        : m_options(options), m_random(random)
    {
    }

    /// Returns the least loaded of \a candidates that is not in \a excluded, or nullptr if there is
    /// none. Targets in \a zone are preferred. A random amount of up to \a jitter requests is added
    /// to each load.
    const ServiceTarget *choose(const std::vector<const ServiceTarget *> &candidates,
                                const std::vector<TargetId> &excluded, TimePoint now,
                                const ZoneName &zone, double jitter = 0) const;

    void onSent(const TargetId &target, const RequestLoad &load);
    /// Called on the first event, when the prompt has been processed.
    void onFirstEvent(const TargetId &target, const RequestLoad &load);
    /// \a isWaiting is true if no event had arrived.
    void onEnded(const TargetId &target, const RequestLoad &load, bool isWaiting);

    /// Returns the least loaded of \a candidates other than \a target with room for a backup copy
    /// of a generation, or nullptr if there is none. Targets in \a zone are preferred.
    const ServiceTarget *chooseBackup(const std::vector<const ServiceTarget *> &candidates,
                                      const TargetId &target, const RequestLoad &load,
                                      std::uint32_t memoryTokens, TimePoint now,
                                      const ZoneName &zone) const;
    /// Returns whether one of \a candidates has room for a generation, or there is no candidate.
    /// Answers load beyond what the engines can hold: a generation that does not fit makes another
    /// one lose its memory, whose prompt is then processed again.
    bool hasRoom(const std::vector<const ServiceTarget *> &candidates, const RequestLoad &load,
                 std::uint32_t memoryTokens, TimePoint now) const;
    void onBackupStarted(const TargetId &holder, const RequestLoad &load);
    void onBackupEnded(const TargetId &holder, const RequestLoad &load);

    /// Returns the load that this node has in flight at each target.
    const InFlightLoads &ownLoads() const { return m_own; }
    /// Replaces the loads of the node \a vm. Ignores messages that are not newer than the last one.
    void updatePeerLoads(const VmId &vm, Incarnation incarnation, std::uint64_t sequence,
                         InFlightLoads loads, TimePoint now);
    /// Returns the loads of this node and of the peers that report to it.
    InFlightLoads reportedLoads(TimePoint now) const;
    /// Returns the loads that this node knows of, other than those that \a vm reported.
    InFlightLoads loadsBesides(const VmId &vm, TimePoint now) const;
    /// Replaces the loads of all nodes other than this one and those that report to it, as the peer
    /// that this node reports to knows them.
    void updateOtherLoads(InFlightLoads loads, TimePoint now)
    {
        m_others = {0, 0, now, std::move(loads)};
    }
    /// Replaces the sum of the loads of the nodes in \a zone, another one.
    void updateZoneLoads(const ZoneName &zone, InFlightLoads loads, TimePoint now)
    {
        m_zones[zone] = {0, 0, now, std::move(loads)};
    }
    /// Returns the load that all nodes have in flight at \a target, as far as this node knows.
    InFlightLoad totalLoadAt(const TargetId &target, TimePoint now) const;
    /// Sets the speeds of the targets that differ from the median of their services.
    void setSpeeds(RelativeSpeeds speeds) { m_speeds = std::move(speeds); }
    /// Sets the limits of the targets whose pace is still to be found.
    void setRampLimits(std::map<TargetStart, RampLimit> limits) { m_limits = std::move(limits); }
    /// Returns the speed of \a target beside the median of its service, 1.
    double speedOf(const ServiceTarget &target) const;
    /// Returns the load, in requests, that the ramp of \a target adds to it; 0 if it has none.
    double rampPenalty(const ServiceTarget &target, TimePoint now) const;
    /// Returns the weighted load in flight at \a target, in requests.
    double weightedLoad(const TargetId &target, TimePoint now) const;

private:
    struct PeerLoads
    {
        Incarnation incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint receivedAt{};
        InFlightLoads loads;
    };

    Options m_options;
    RandomSource &m_random;
    InFlightLoads m_own;
    std::map<VmId, PeerLoads> m_peers;
    std::map<ZoneName, PeerLoads> m_zones;
    PeerLoads m_others;
    RelativeSpeeds m_speeds;
    std::map<TargetStart, RampLimit> m_limits;

    double relativeLoad(const ServiceTarget &target, TimePoint now) const;
    bool isCurrent(const PeerLoads &loads, TimePoint now) const
    {
        return now - loads.receivedAt < m_options.peerLoadLifetime;
    }
    std::vector<const InFlightLoads *> outsideLoads(TimePoint now) const;
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_TARGETSELECTOR_H
