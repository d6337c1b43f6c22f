#ifndef CURRANTWALK_ROUTING_RELAYPLACER_H
#define CURRANTWALK_ROUTING_RELAYPLACER_H

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/randomsource.h"
#include "targets/servicetargets.h"

namespace currantwalk {

/// What a request is expected to hold at a target.
struct RelayLoad
{
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0; ///< Still to be generated.
};

/// Requests in progress at one target.
struct RelayedLoad
{
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0;        ///< Of prompts, and still to be generated.
    std::uint64_t waitingTokens = 0; ///< Of prompts whose first event has not come.

    RelayedLoad &operator+=(const RelayedLoad &other);
    bool isEmpty() const { return requests == 0 && tokens == 0 && waitingTokens == 0; }
};

using RelayedLoads = std::map<TargetId, RelayedLoad>;

/// Places relayed requests by what this node and its peers have in progress at each target, one
/// availability zone preferred. Answers a load that comes in through several nodes while targets
/// come and go: each node sees a new target empty, and without its peers' loads all would send
/// there. Reports of the targets are not used: all nodes would act on the same stale one.
class RelayPlacer
{
public:
    struct Options
    {
        /// Load by which a target in another zone must be below, in requests, to be taken instead.
        double otherZonePenalty = 4.0;
        /// Tokens held that weigh as much as one request.
        double tokensPerRequest = 2000;
        /// Tokens of prompts still to be read that weigh as much as one request; each delays the
        /// first event of what comes behind it.
        double waitingTokensPerRequest = 700;
        /// Load added to a target that is still slow after its start, in requests.
        double coldPenalty = 2.0;
        /// Part of a target's memory that may be taken, by expectation, with copies among it. What
        /// runs must find room: it would be preempted, and read again. Figures of several shares
        /// are in docs/design/platform.md.
        double backupShare = 0.3;          ///< For a generation in the node's own zone.
        double otherZoneBackupShare = 0.5; ///< For one that a cut between zones parts from it.
        /// How long a peer's loads are taken into account without a newer message.
        Duration peerLoadLifetime = std::chrono::milliseconds(1500);
    };

    RelayPlacer(const Options &options, RandomSource &random) : m_options(options), m_random(random)
    {
    }

    /// Returns the least loaded of \a candidates that is not in \a excluded, with those in \a zone
    /// preferred; nullptr if none. Each load is taken as up to \a spread requests higher, by
    /// chance.
    const ServiceTarget *choose(const std::vector<const ServiceTarget *> &candidates,
                                const std::vector<TargetId> &excluded, TimePoint now,
                                const ZoneName &zone, double spread = 0) const;

    void onSent(const TargetId &target, const RelayLoad &load);
    /// The prompt has been read: the first event has come.
    void onFirstEvent(const TargetId &target, const RelayLoad &load);
    /// \a isWaiting tells that no event had come.
    void onEnded(const TargetId &target, const RelayLoad &load, bool isWaiting);

    /// Returns the least loaded of \a candidates other than \a target that has room to keep a copy
    /// of a generation, those in \a zone preferred; nullptr if none.
    const ServiceTarget *chooseBackup(const std::vector<const ServiceTarget *> &candidates,
                                      const TargetId &target, const RelayLoad &load,
                                      std::uint32_t memoryTokens, TimePoint now,
                                      const ZoneName &zone) const;
    void onBackup(const TargetId &holder, const RelayLoad &load);
    void onBackupEnded(const TargetId &holder, const RelayLoad &load);

    /// Returns what this node itself has in progress.
    const RelayedLoads &ownLoads() const { return m_own; }
    /// Takes the loads of the node \a vm; older ones than it has sent before are passed over.
    void takePeerLoads(const VmId &vm, Incarnation incarnation, std::uint64_t sequence,
                       RelayedLoads loads, TimePoint now);
    /// Returns the weight of what is in progress at \a target, in requests.
    double loadOf(const TargetId &target, TimePoint now) const;

private:
    struct PeerLoads
    {
        Incarnation incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint receivedAt{};
        RelayedLoads loads;
    };

    Options m_options;
    RandomSource &m_random;
    RelayedLoads m_own;
    std::map<VmId, PeerLoads> m_peers;

    RelayedLoad sumAt(const TargetId &target, TimePoint now) const;
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_RELAYPLACER_H
