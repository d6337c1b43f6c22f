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
    Lapsed,  ///< Its entry expired while the store was away; it may still be there.
    Leaving, ///< Takes no new work.
};

/// Returns "ready", "lapsed" or "leaving".
std::string_view targetPhaseName(TargetPhase phase);

/// What a target says of itself in the store.
struct TargetEntry
{
    std::string service;
    Endpoint endpoint;
    ZoneName zone;
    std::uint32_t slots = 1;
    bool isLeaving = false;
    Duration coldFor{0};         ///< How much longer it is slow after its start.
    std::uint64_t startedAt = 0; ///< Unix milliseconds of its start; 0 where not told.
};

/// A target of a service, as this node knows it.
struct ServiceTarget
{
    TargetId id;
    TargetEntry entry;
    TargetPhase phase = TargetPhase::Ready;
    TimePoint phaseSince{};
    TimePoint coldUntil{};
    bool isLeavingTold = false; ///< It has said that it is leaving; its entry is not just gone.
};

/// One start of a target that has said it is leaving.
struct LeavingTarget
{
    TargetId id;
    std::uint64_t startedAt = 0; ///< Unix milliseconds; 0 where not told.
};

/// The targets of all services, from their entries in the store.
class ServiceTargets
{
public:
    struct Options
    {
        /// How long an entry that expired while the store was away may take to come back after the
        /// store's return. The platform's pages give about two seconds.
        Duration lapseGrace = std::chrono::milliseconds(2000);
        /// Entries that go this soon after the store's return count as expired during its absence.
        Duration lapseWindow = std::chrono::milliseconds(2500);
        /// How long peers are told of a target that leaves. It is gone within two seconds or so,
        /// and a message may be lost.
        Duration leavingNews = std::chrono::milliseconds(3000);
        /// How long a target that leaves is remembered, since its last requests go on there.
        Duration leavingMemory = std::chrono::seconds(30);
    };

    struct Hooks
    {
        /// A target takes no new work any more, or has started anew under the same id.
        std::function<void(const ServiceTarget &)> onLeaving;
    };

    ServiceTargets(const Options &options, Hooks hooks, TimerService &timers)
        : m_options(options), m_hooks(std::move(hooks)), m_timers(timers)
    {
    }

    /// Takes a target's entry; one that left and says it is ready again has started anew.
    void update(const TargetId &id, const TargetEntry &entry);
    /// The target's entry is gone, or names no target any more.
    void remove(const TargetId &id);
    void storeLost() { m_isStoreLost = true; }
    void storeRegained();
    /// The target itself, or one that is where it was, has said that it is leaving or another.
    void markLeaving(const TargetId &id);
    /// A peer has heard that this start of a target is leaving.
    void takeNews(const LeavingTarget &news);
    /// Returns the targets that have said of late that they are leaving.
    std::vector<LeavingTarget> leavingNews() const;
    /// Drops what is no longer remembered; to be called now and then.
    void expire();

    /// Returns the targets of \a service that take new work; where none is ready, the lapsed ones.
    std::vector<const ServiceTarget *> usable(const std::string &service) const;
    const ServiceTarget *find(const TargetId &id) const;
    std::size_t size() const { return m_targets.size(); }

private:
    void leave(ServiceTarget &target);
    bool isLapse() const;

    Options m_options;
    Hooks m_hooks;
    TimerService &m_timers;
    std::map<TargetId, ServiceTarget> m_targets;
    std::optional<TimePoint> m_regainedAt;
    bool m_isStoreLost = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_SERVICETARGETS_H
