#ifndef CURRANTWALK_TARGETS_TARGETTABLE_H
#define CURRANTWALK_TARGETS_TARGETTABLE_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "base/timerservice.h"
#include "targets/outlierdetector.h"
#include "targets/target.h"

namespace currantwalk {

/// A target's answer to a probe.
struct TargetReport
{
    TargetId id;
    Incarnation incarnation = 0;
    bool isLeaving = false;
    std::vector<LoadedModel> models;
    TargetLoad load;
};

/// A target in the platform's list of VMs.
struct ListedTarget
{
    TargetId id;
    TargetKind kind = TargetKind::Engine;
    Endpoint endpoint;
    std::string zone;
    std::string pool;
    bool isLeaving = false;
};

/// Tracks the state of targets from the platform's list, this node's probes and messages of peers.
/// An incarnation that any of these sources has reported as leaving stays leaving.
class TargetTable
{
public:
    struct Options
    {
        std::string zone;
        Duration probeInterval = std::chrono::seconds(1);
        Duration probeTimeout = std::chrono::milliseconds(700);
        std::uint32_t probeFailureThreshold = 3;
        /// Minimum time between two digest rows of one target, from any node. It is longer in zones
        /// with many targets.
        Duration digestInterval = std::chrono::seconds(1);
        Duration digestIntervalPerTarget = std::chrono::milliseconds(50);
        /// Delay before the first digest. Should differ between nodes, so that the watchers of a
        /// target don't send the same row at the same time.
        Duration digestStartDelay{0};
        /// A node that doesn't watch a target probes it when its last report is older than this.
        Duration maxReportAge = std::chrono::seconds(5);
        /// Interval between probes of watched targets of other zones.
        Duration otherZoneProbeInterval = std::chrono::seconds(10);
        std::size_t maxOtherZoneTargets = 64; ///< Maximum that this zone watches.
        OutlierDetector::Options outliers;
    };

    struct Hooks
    {
        /// Requests a report from a target; the result is passed to onReport() or onProbeFailed().
        std::function<void(const Target &target)> probe;
        /// Returns whether this node is among the nodes of its zone that watch the target, which
        /// may be in another zone; see rendezvousMembers().
        std::function<bool(const TargetId &target)> isWatcher;
        /// Called when the state, incarnation or models of a target changed.
        std::function<void(const Target &target)> onChange;
        /// Called when a new load report was applied.
        std::function<void(const Target &target)> onLoad;
        /// Sends a digest to the other nodes of the zone.
        std::function<void(const Json::Value &digest)> broadcastDigest;
        /// Notifies the other nodes of the zone at once of a leaving or gone target.
        std::function<void(const Json::Value &message)> announce;
    };

    static std::unique_ptr<TargetTable> create(const Options &options, Hooks hooks,
                                               TimerService &timers);

    virtual ~TargetTable() = default;

    virtual void start() = 0;
    /// Applies the platform's list, which may be outdated. An empty list is treated as a fault of
    /// the platform and ignored.
    virtual void onTargetList(const std::vector<ListedTarget> &list) = 0;
    virtual void onReport(const TargetReport &report) = 0;
    virtual void onProbeFailed(const TargetId &target) = 0;
    virtual absl::Status onDigest(const Json::Value &digest) = 0;
    virtual absl::Status onAnnouncement(const Json::Value &message) = 0;
    /// Called when requests saw the target refuse connections or fail; a probe verifies it.
    virtual void onSuspectedDead(const TargetId &target) = 0;
    /// Called when a response of the target announced that the incarnation is leaving. An
    /// \a incarnation of 0 means the currently known one.
    virtual void onLeaving(const TargetId &target, Incarnation incarnation) = 0;
    /// Records the outcome of a request for outlier ejection. A refusal for lack of capacity must
    /// not be recorded as a failure.
    virtual void onOutcome(const TargetId &target, bool isSuccess) = 0;

    virtual const Target *find(const TargetId &target) const = 0;
    /// Returns the live targets of a pool, those of this zone first. Engines are included only
    /// after a report. Ejected and suspected targets are excluded unless their zone has no others.
    virtual std::vector<const Target *> candidates(std::string_view pool) const = 0;
    virtual std::vector<const Target *> all() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_TARGETTABLE_H
