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

/// An answer to a probe of a target.
struct TargetReport
{
    TargetId id;
    Incarnation incarnation = 0;
    bool isLeaving = false;
    std::vector<LoadedModel> models;
    TargetLoad load;
};

/// One row of the platform's list of VMs that is a target.
struct ListedTarget
{
    TargetId id;
    TargetKind kind = TargetKind::Engine;
    Endpoint endpoint;
    std::string zone;
    std::string pool;
    bool isLeaving = false;
};

/// What this node knows of targets, from the platform's list, its own probes and its peers. Leaving
/// is sticky for an incarnation; whoever speaks first is believed.
class TargetTable
{
public:
    struct Options
    {
        std::string zone;
        Duration probeInterval = std::chrono::seconds(1);
        Duration probeTimeout = std::chrono::milliseconds(700);
        std::uint32_t probeFailuresToDie = 3;
        /// Between two digest rows of one target, whichever node sends them.
        Duration shareInterval = std::chrono::seconds(1);
        /// A report older than this makes a node that is no watcher ask for itself.
        Duration staleAfter = std::chrono::seconds(5);
        /// Between probes of the watched targets of other zones.
        Duration foreignInterval = std::chrono::seconds(10);
        std::size_t foreignTargets = 64; ///< Of other zones, that this zone watches.
        OutlierDetector::Options outliers;
    };

    struct Hooks
    {
        /// Asks a target for a report; onReport() or onProbeFailed() answers.
        std::function<void(const Target &target)> probe;
        /// Whether this node is one of the nodes of its own zone that watch the target, which may
        /// be of another zone; see rendezvousMembers().
        std::function<bool(const TargetId &target)> isWatcher;
        /// A target changed its state, incarnation or models.
        std::function<void(const Target &target)> onChange;
        /// A new load report is in.
        std::function<void(const Target &target)> onLoad;
        /// Sends a digest to the other nodes of the zone.
        std::function<void(const Json::Value &digest)> shareInZone;
        /// Tells the nodes of the zone at once of a target that leaves or is gone.
        std::function<void(const Json::Value &fact)> announce;
    };

    static std::unique_ptr<TargetTable> create(const Options &options, Hooks hooks,
                                               TimerService &timers);

    virtual ~TargetTable() = default;

    virtual void start() = 0;
    /// Takes the platform's list, which lags. An empty list is taken for a fault of the platform
    /// and ignored.
    virtual void onList(const std::vector<ListedTarget> &list) = 0;
    virtual void onReport(const TargetReport &report) = 0;
    virtual void onProbeFailed(const TargetId &target) = 0;
    virtual absl::Status onDigest(const Json::Value &digest) = 0;
    virtual absl::Status onAnnouncement(const Json::Value &fact) = 0;
    /// The data path saw the target refuse connections, die, or say that it leaves.
    virtual void onSuspectedDead(const TargetId &target) = 0;
    virtual void onLeaving(const TargetId &target, Incarnation incarnation) = 0;
    /// The outcome of a request, for outlier ejection. A refusal for want of room is no failure.
    virtual void onOutcome(const TargetId &target, bool isSuccess) = 0;

    virtual const Target *find(const TargetId &target) const = 0;
    /// Returns live targets of a pool, of this zone first; engines only where a report of theirs is
    /// known. Ejected ones are left out unless that would leave none of their zone.
    virtual std::vector<const Target *> candidates(std::string_view pool) const = 0;
    virtual std::vector<const Target *> all() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_TARGETTABLE_H
