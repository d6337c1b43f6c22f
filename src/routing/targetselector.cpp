#include "routing/targetselector.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace currantwalk {

// Ties are broken at random, because otherwise all nodes would fill the targets in the same order.
static constexpr double TieBreakJitter = 0.01;

InFlightLoad &InFlightLoad::operator+=(const InFlightLoad &other)
{
    requests += other.requests;
    tokens += other.tokens;
    waitingTokens += other.waitingTokens;
    return *this;
}

const ServiceTarget *TargetSelector::choose(const std::vector<const ServiceTarget *> &candidates,
                                            const std::vector<TargetId> &excluded, TimePoint now,
                                            const ZoneName &zone, double jitter) const
{
    const ServiceTarget *best = nullptr;
    double bestScore = 0;
    for (const ServiceTarget *target : candidates) {
        if (std::find(excluded.begin(), excluded.end(), target->id) != excluded.end())
            continue;
        double score = relativeLoad(*target, now) + (TieBreakJitter + jitter) * m_random.uniform();
        if (!m_limits.empty())
            score += rampPenalty(*target, now);
        if (target->entry.zone != zone)
            score += m_options.otherZonePenalty;
        if (now < target->coldUntil)
            score += m_options.coldPenalty;
        if (!best || score < bestScore) {
            best = target;
            bestScore = score;
        }
    }
    return best;
}

double TargetSelector::speedOf(const ServiceTarget &target) const
{
    const auto speed = m_speeds.find({target.id, target.entry.startedAt});
    return speed == m_speeds.end() ? 1 : speed->second;
}

// The load in requests that a target of median speed would take as long for.
double TargetSelector::relativeLoad(const ServiceTarget &target, TimePoint now) const
{
    const double load = weightedLoad(target.id, now);
    const double speed = speedOf(target);
    return speed == 1 ? load : (load + m_options.requestLoad) / speed - m_options.requestLoad;
}

double TargetSelector::rampPenalty(const ServiceTarget &target, TimePoint now) const
{
    const auto found = m_limits.find({target.id, target.entry.startedAt});
    if (found == m_limits.end())
        return 0;
    const RampLimit &limit = found->second;
    const auto own = m_own.find(target.id);
    const double inFlight = !limit.isOwnOnly     ? totalLoadAt(target.id, now).requests
                            : own != m_own.end() ? own->second.requests
                                                 : 0;
    const double above = std::max(0.0, inFlight + 1 - limit.ceiling);
    const double refrained = m_random.chance(limit.share) ? 0 : std::max(limit.ceiling, 1.0);
    return m_options.ceilingPenalty * (above + refrained);
}

void TargetSelector::onSent(const TargetId &target, const RequestLoad &load)
{
    InFlightLoad &sum = m_own[target];
    ++sum.requests;
    sum.tokens += load.promptTokens + load.expectedTokens;
    sum.waitingTokens += load.promptTokens;
}

void TargetSelector::onFirstEvent(const TargetId &target, const RequestLoad &load)
{
    const auto it = m_own.find(target);
    assert(it != m_own.end() && "the request of an event has been sent");
    it->second.waitingTokens -= load.promptTokens;
}

void TargetSelector::onEnded(const TargetId &target, const RequestLoad &load, bool isWaiting)
{
    const auto it = m_own.find(target);
    assert(it != m_own.end() && it->second.requests > 0 && "a request that ends has been sent");
    if (isWaiting)
        it->second.waitingTokens -= load.promptTokens;
    it->second.tokens -= load.promptTokens + load.expectedTokens;
    --it->second.requests;
    if (it->second.isEmpty())
        m_own.erase(it);
}

const ServiceTarget *
TargetSelector::chooseBackup(const std::vector<const ServiceTarget *> &candidates,
                             const TargetId &target, const RequestLoad &load,
                             std::uint32_t memoryTokens, TimePoint now, const ZoneName &zone) const
{
    const auto source =
            std::find_if(candidates.begin(), candidates.end(),
                         [&target](const ServiceTarget *each) { return each->id == target; });
    const bool isInOtherZone = source != candidates.end() && (*source)->entry.zone != zone;
    const double share = isInOtherZone ? m_options.otherZoneBackupShare : m_options.backupShare;
    const double limit = share * memoryTokens;
    std::vector<const ServiceTarget *> withRoom;
    for (const ServiceTarget *candidate : candidates) {
        const std::uint64_t tokens = totalLoadAt(candidate->id, now).tokens;
        if (static_cast<double>(tokens + load.promptTokens + load.expectedTokens) <= limit)
            withRoom.push_back(candidate);
    }
    return choose(withRoom, {target}, now, zone);
}

bool TargetSelector::hasRoom(const std::vector<const ServiceTarget *> &candidates,
                             const RequestLoad &load, std::uint32_t memoryTokens,
                             TimePoint now) const
{
    const double limit = m_options.admissionShare * memoryTokens;
    const auto fits = [&](const ServiceTarget *target) {
        const std::uint64_t tokens = totalLoadAt(target->id, now).tokens;
        return static_cast<double>(tokens + load.promptTokens + load.expectedTokens) <= limit;
    };
    // A generation that is larger than any engine's memory is for the engine to refuse.
    const bool isTooLarge = static_cast<double>(load.promptTokens + load.expectedTokens) > limit;
    return candidates.empty() || isTooLarge
           || std::any_of(candidates.begin(), candidates.end(), fits);
}

void TargetSelector::onBackupStarted(const TargetId &holder, const RequestLoad &load)
{
    m_own[holder].tokens += load.promptTokens + load.expectedTokens;
}

void TargetSelector::onBackupEnded(const TargetId &holder, const RequestLoad &load)
{
    const auto it = m_own.find(holder);
    assert(it != m_own.end() && "a backup that ends has been started");
    it->second.tokens -= load.promptTokens + load.expectedTokens;
    if (it->second.isEmpty())
        m_own.erase(it);
}

void TargetSelector::updatePeerLoads(const VmId &vm, Incarnation incarnation,
                                     std::uint64_t sequence, InFlightLoads loads, TimePoint now)
{
    PeerLoads &peer = m_peers[vm];
    if (std::tie(incarnation, sequence) <= std::tie(peer.incarnation, peer.sequence))
        return;
    peer = {incarnation, sequence, now, std::move(loads)};
}

InFlightLoad TargetSelector::totalLoadAt(const TargetId &target, TimePoint now) const
{
    InFlightLoad sum;
    const auto add = [&sum, &target](const InFlightLoads &loads) {
        const auto it = loads.find(target);
        if (it != loads.end())
            sum += it->second;
    };
    add(m_own);
    for (const auto &[vm, peer] : m_peers) {
        if (isCurrent(peer, now))
            add(peer.loads);
    }
    for (const InFlightLoads *const loads : outsideLoads(now))
        add(*loads);
    return sum;
}

// A node that reports to a peer hears from it of all others; a node that reports to none hears from
// such nodes of other zones.
std::vector<const InFlightLoads *> TargetSelector::outsideLoads(TimePoint now) const
{
    if (m_others.receivedAt != TimePoint{} && isCurrent(m_others, now))
        return {&m_others.loads};
    std::vector<const InFlightLoads *> outside;
    for (const auto &[zone, loads] : m_zones) {
        if (isCurrent(loads, now))
            outside.push_back(&loads.loads);
    }
    return outside;
}

static void addLoads(InFlightLoads &sum, const InFlightLoads &loads)
{
    for (const auto &[target, load] : loads)
        sum[target] += load;
}

InFlightLoads TargetSelector::reportedLoads(TimePoint now) const
{
    InFlightLoads sum = m_own;
    for (const auto &[vm, peer] : m_peers) {
        if (isCurrent(peer, now))
            addLoads(sum, peer.loads);
    }
    return sum;
}

InFlightLoads TargetSelector::loadsBesides(const VmId &excluded, TimePoint now) const
{
    InFlightLoads sum = m_own;
    for (const auto &[vm, peer] : m_peers) {
        if (vm != excluded && isCurrent(peer, now))
            addLoads(sum, peer.loads);
    }
    for (const InFlightLoads *const loads : outsideLoads(now))
        addLoads(sum, *loads);
    return sum;
}

double TargetSelector::weightedLoad(const TargetId &target, TimePoint now) const
{
    const InFlightLoad sum = totalLoadAt(target, now);
    return sum.requests + static_cast<double>(sum.tokens) / m_options.tokensPerRequest
           + static_cast<double>(sum.waitingTokens) / m_options.waitingTokensPerRequest;
}

} // namespace currantwalk
