// How an entry node chooses among the targets of a service.
#include "daemon/entrynode.h"

#include <algorithm>

namespace currantwalk {

// Returns the requests a second that a start of a target takes, if it is cold and a bound is set.
std::optional<double> EntryNode::coldRate(const TargetId &id, std::uint64_t startedAt) const
{
    const ServiceTarget *const target = m_settings.coldBound ? m_targets.find(id) : nullptr;
    if (!target || target->entry.startedAt != startedAt || !m_catalog.current()
        || m_loop.timers().now() >= target->coldUntil)
        return std::nullopt;
    const CatalogService *const service = m_catalog.current()->findService(target->entry.service);
    if (!service || service->coldPerSecond <= 0)
        return std::nullopt;
    return service->coldPerSecond;
}

// Answers load beyond what targets turn away or take from all nodes together.
Duration EntryNode::timeUntilTaking(const ServiceTarget &target) const
{
    const Duration heldOff =
            m_holdOffs.remaining(target.id, target.entry.startedAt, m_loop.timers().now());
    return std::max(heldOff, m_limiter.remaining(target.id, target.entry.startedAt));
}

// How long the operator keeps zones emptied is not known. Callers wait at most a third of the time
// that they have left, whatever they are told.
static constexpr Duration EmptiedRetryAfter = std::chrono::seconds(2);

// Answers load that targets turn away: the callers come back spread over the time after the first
// of the targets takes work again.
Duration EntryNode::timeUntilReturn(const std::string &service)
{
    constexpr int SpreadDivisor = 4;
    if (m_targets.isServiceEmptied(service))
        return EmptiedRetryAfter + m_random.jitter(EmptiedRetryAfter / 2);
    std::optional<Duration> shortest;
    for (const ServiceTarget *target : m_targets.usable(service)) {
        const Duration left = timeUntilTaking(*target);
        shortest = std::min(left, shortest.value_or(left));
    }
    if (!shortest || *shortest == Duration::zero())
        return Duration::zero();
    return *shortest + m_random.jitter(*shortest / SpreadDivisor);
}

// Returns the usable targets that may be sent requests.
std::vector<const ServiceTarget *> EntryNode::takingTargets(const std::string &service) const
{
    std::vector<const ServiceTarget *> targets = m_targets.usable(service);
    if (hasRestrictedTargets())
        std::erase_if(targets, [this](const ServiceTarget *each) {
            return timeUntilTaking(*each) > Duration::zero();
        });
    return targets;
}

bool EntryNode::hasRestrictedTargets() const
{
    return !m_holdOffs.isEmpty() || !m_limits.isEmpty() || !m_limiter.isEmpty();
}

std::vector<const ServiceTarget *>
EntryNode::withoutEjected(const std::vector<const ServiceTarget *> &targets) const
{
    std::vector<const ServiceTarget *> sound;
    const TimePoint now = m_loop.timers().now();
    for (const ServiceTarget *target : targets) {
        if (!m_outliers.isEjected(target->id, now))
            sound.push_back(target);
    }
    return sound;
}

// Of services whose routes all have to begin soon, nothing waits: engines are chosen by load.
RoomDecision EntryNode::chooseByLoad(const std::string &service,
                                     const std::vector<TargetId> &excluded,
                                     const RoomRequest &request)
{
    // All nodes look for destinations at the same moment, before they hear of one another's
    // choices: each one's load is taken as up to this much higher, in requests.
    constexpr double MoveSpread = 3;
    constexpr Duration RetryAfter = std::chrono::milliseconds(500);
    const bool hasRoom = request.isMoved
                         || m_placer.hasRoom(withoutEjected(takingTargets(service)), request.load,
                                             request.memoryTokens, m_loop.timers().now());
    RoomDecision decision;
    decision.kind = hasRoom ? RoomDecision::Kind::Admit : RoomDecision::Kind::Refuse;
    decision.target = choose(service, excluded, request.zone, request.isMoved ? MoveSpread : 0);
    decision.time = RetryAfter;
    return decision;
}

// Ejected targets are used again where no other is left; those that want nothing are not.
RoomDecision EntryNode::askRoom(const std::string &service, const std::vector<TargetId> &excluded,
                                const RoomRequest &request)
{
    if (!request.isShared)
        return chooseByLoad(service, excluded, request);
    const std::vector<const ServiceTarget *> taking = takingTargets(service);
    if (hasRestrictedTargets() && taking.size() < m_targets.usable(service).size())
        m_metrics.count("currantwalk_diverted_choices_total", {{"service", service}});
    const TimePoint now = m_loop.timers().now();
    updateRampLimits(service);
    const auto roomOf = [&](const std::vector<const ServiceTarget *> &targets) {
        std::vector<EngineRoom> engines;
        for (const ServiceTarget *target : targets) {
            if (std::find(excluded.begin(), excluded.end(), target->id) == excluded.end())
                engines.push_back({target, m_placer.totalLoadAt(target->id, now),
                                   m_placer.speedOf(*target), m_placer.rampPenalty(*target, now)});
        }
        return engines;
    };
    const RoomDecision room = m_room.decide(request, roomOf(withoutEjected(taking)), now);
    return room.target ? room : m_room.decide(request, roomOf(taking), now);
}

// Ejected targets are used again where no other is left; those that want nothing are not.
const ServiceTarget *EntryNode::choose(const std::string &service,
                                       const std::vector<TargetId> &excluded, const ZoneName &zone,
                                       double spread)
{
    const std::vector<const ServiceTarget *> taking = takingTargets(service);
    if (hasRestrictedTargets() && taking.size() < m_targets.usable(service).size())
        m_metrics.count("currantwalk_diverted_choices_total", {{"service", service}});
    const TimePoint now = m_loop.timers().now();
    updateRampLimits(service);
    const ServiceTarget *const best =
            m_placer.choose(withoutEjected(taking), excluded, now, zone, spread);
    return best ? best : m_placer.choose(taking, excluded, now, zone, spread);
}

} // namespace currantwalk
