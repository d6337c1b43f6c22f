#ifndef CURRANTWALK_TARGETS_SERVICETARGETS_H
#define CURRANTWALK_TARGETS_SERVICETARGETS_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

enum class TargetPhase {
    Ready,
    Lapsed,  ///< Its entry expired during a store outage; the target may still be running.
    Leaving, ///< Accepts no new requests.
};

/// Returns "ready", "lapsed" or "leaving".
std::string_view targetPhaseName(TargetPhase phase);

/// The entry that a target writes about itself to the store.
struct TargetEntry
{
    std::string service;
    Endpoint endpoint;
    ZoneName zone;
    std::uint32_t slots = 1;
    bool isLeaving = false;
    Duration coldRemaining{0};   ///< Remaining time of slow responses after its start.
    std::uint64_t startedAt = 0; ///< Unix time in milliseconds; 0 if unknown.
};

/// The state of a service's target as known to this node.
struct ServiceTarget
{
    TargetId id;
    TargetEntry entry;
    TargetPhase phase = TargetPhase::Ready;
    TimePoint phaseSince{};
    TimePoint coldUntil{};
    /// Until when it counts as cold, whatever its entry says.
    TimePoint assumedColdUntil{};
    bool isLeavingAnnounced = false; ///< Set if the target itself announced that it is leaving.
    bool hasEntry = true;            ///< Whether the store still has its entry.
    TimePoint lapsedUntil{};         ///< When a lapsed target's entry should have reappeared.
};

/// Identifies one start of a target that has announced that it is leaving.
struct LeavingNotice
{
    TargetId id;
    std::uint64_t startedAt = 0; ///< Unix time in milliseconds; 0 if unknown.
};

/// Tracks the targets of all services from their entries in the store.
class ServiceTargets
{
public:
    struct Options
    {
        /// How long after the store has recovered an entry that expired during the outage may take
        /// to reappear. The platform's documentation states about two seconds. An entry removed
        /// later has not expired during the outage.
        Duration lapseGrace = std::chrono::milliseconds(2000);
        /// Entries don't expire in a shorter outage, which may be this node's alone.
        Duration minOutage = std::chrono::milliseconds(1000);
        /// How long peers are notified of a leaving target. It stops within about two seconds, and
        /// a message may be lost.
        Duration leavingNoticePeriod = std::chrono::milliseconds(3000);
        /// How long a leaving target is kept, as its last requests are still running there. One
        /// whose entry says that it is ready is kept as long as the entry.
        Duration leavingRetention = std::chrono::seconds(30);
    };

    struct Hooks
    {
        /// Called when a target stops accepting new requests or has restarted under the same id.
        std::function<void(const ServiceTarget &)> onLeaving;
        /// Called with the earlier start of a target that has restarted under the same id.
        std::function<void(const ServiceTarget &)> onRestarted = nullptr;
        /// Returns whether the targets of a zone are to get nothing. Empty: none is.
        std::function<bool(const ZoneName &)> isZoneEmptied = nullptr;
    };

    ServiceTargets(const Options &options, Hooks hooks, TimerService &timers)
        : m_options(options), m_hooks(std::move(hooks)), m_timers(timers)
    {
    }

    /// Applies a target's entry. A leaving target becomes ready again only by a restart, which
    /// shows as a new start time or endpoint.
    void update(const TargetId &id, const TargetEntry &entry);
    /// Called when the target's entry was removed or no longer describes a target.
    void remove(const TargetId &id);
    /// Treats the targets of \a zone as cold for the time that \a coldTime returns for their
    /// services: their entries may not tell yet that they have become cold while the zone was
    /// emptied.
    void assumeCold(const ZoneName &zone,
                    const std::function<Duration(const std::string &service)> &coldTime);
    void onStoreLost();
    void onStoreRecovered();
    /// Called when the peer that reads the store for this node could not do so until
    /// \a sinceOutage ago.
    void onPeerOutage(Duration sinceOutage);
    /// Called when the target has reported that it is leaving. What its entry says does not matter
    /// from then on.
    void markLeaving(const TargetId &id);
    /// Called when another target answers at the target's endpoint.
    void markReplaced(const TargetId &id);
    /// Applies a peer's notice that one start of a target is leaving; ignored for other starts.
    void applyLeavingNotice(const LeavingNotice &notice);
    /// Returns the targets that have announced recently that they are leaving.
    std::vector<LeavingNotice> leavingNotices() const;
    /// Ends the grace period of lapsed targets and removes targets that left long enough ago. Must
    /// be called periodically.
    void expire();

    /// Returns the ready targets of \a service, or its lapsed ones if none is ready; without those
    /// in zones that are emptied.
    std::vector<const ServiceTarget *> usable(const std::string &service) const;
    /// Returns whether the target's zone is emptied.
    bool isEmptied(const ServiceTarget &target) const { return isEmptied(target.entry.zone); }
    bool isEmptied(const ZoneName &zone) const
    {
        return m_hooks.isZoneEmptied && m_hooks.isZoneEmptied(zone);
    }
    /// Returns whether \a service has targets, and all are in zones that are emptied.
    bool isServiceEmptied(const std::string &service) const;
    const ServiceTarget *find(const TargetId &id) const;
    /// Returns a target at another endpoint than \a endpoint, whether or not it takes work; where
    /// possible one of \a service, outside emptied zones, and ready. nullptr where none is known.
    const ServiceTarget *findOther(const std::string &service, const Endpoint &endpoint) const;
    std::size_t size() const { return m_targets.size(); }
    std::size_t countLeaving() const;
    std::size_t countCold() const;

private:
    void leave(ServiceTarget &target);
    std::optional<TimePoint> lapseEnd() const;
    bool isLapseOver(const ServiceTarget &target) const;

    Options m_options;
    Hooks m_hooks;
    TimerService &m_timers;
    std::map<TargetId, ServiceTarget> m_targets;
    std::optional<TimePoint> m_storeRecoveredAt;
    std::optional<TimePoint> m_storeLostAt; ///< Set while the store can't be read.
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_SERVICETARGETS_H
