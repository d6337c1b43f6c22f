#include "routing/relayplacer.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace currantwalk {

// Equal loads are broken by chance, or all nodes would fill the targets in the same order.
static constexpr double TieBreak = 0.01;

RelayedLoad &RelayedLoad::operator+=(const RelayedLoad &other)
{
    requests += other.requests;
    tokens += other.tokens;
    waitingTokens += other.waitingTokens;
    return *this;
}

const ServiceTarget *RelayPlacer::choose(const std::vector<const ServiceTarget *> &candidates,
                                         const std::vector<TargetId> &excluded, TimePoint now,
                                         const ZoneName &zone, double spread) const
{
    const ServiceTarget *best = nullptr;
    double bestScore = 0;
    for (const ServiceTarget *target : candidates) {
        if (std::find(excluded.begin(), excluded.end(), target->id) != excluded.end())
            continue;
        double score = loadOf(target->id, now) + (TieBreak + spread) * m_random.uniform();
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

void RelayPlacer::onSent(const TargetId &target, const RelayLoad &load)
{
    RelayedLoad &sum = m_own[target];
    ++sum.requests;
    sum.tokens += load.promptTokens + load.expectedTokens;
    sum.waitingTokens += load.promptTokens;
}

void RelayPlacer::onFirstEvent(const TargetId &target, const RelayLoad &load)
{
    const auto it = m_own.find(target);
    assert(it != m_own.end() && "an event follows a send");
    it->second.waitingTokens -= load.promptTokens;
}

void RelayPlacer::onEnded(const TargetId &target, const RelayLoad &load, bool isWaiting)
{
    const auto it = m_own.find(target);
    assert(it != m_own.end() && it->second.requests > 0 && "each end follows a send");
    if (isWaiting)
        it->second.waitingTokens -= load.promptTokens;
    it->second.tokens -= load.promptTokens + load.expectedTokens;
    --it->second.requests;
    if (it->second.isEmpty())
        m_own.erase(it);
}

const ServiceTarget *RelayPlacer::chooseBackup(const std::vector<const ServiceTarget *> &candidates,
                                               const TargetId &target, const RelayLoad &load,
                                               std::uint32_t memoryTokens, TimePoint now,
                                               const ZoneName &zone) const
{
    const auto source =
            std::find_if(candidates.begin(), candidates.end(),
                         [&target](const ServiceTarget *each) { return each->id == target; });
    const bool isFar = source != candidates.end() && (*source)->entry.zone != zone;
    const double share = isFar ? m_options.otherZoneBackupShare : m_options.backupShare;
    const double limit = share * memoryTokens;
    std::vector<const ServiceTarget *> roomy;
    for (const ServiceTarget *candidate : candidates) {
        const std::uint64_t tokens = sumAt(candidate->id, now).tokens;
        if (static_cast<double>(tokens + load.promptTokens + load.expectedTokens) <= limit)
            roomy.push_back(candidate);
    }
    return choose(roomy, {target}, now, zone);
}

void RelayPlacer::onBackup(const TargetId &holder, const RelayLoad &load)
{
    m_own[holder].tokens += load.promptTokens + load.expectedTokens;
}

void RelayPlacer::onBackupEnded(const TargetId &holder, const RelayLoad &load)
{
    const auto it = m_own.find(holder);
    assert(it != m_own.end() && "each end follows a beginning");
    it->second.tokens -= load.promptTokens + load.expectedTokens;
    if (it->second.isEmpty())
        m_own.erase(it);
}

void RelayPlacer::takePeerLoads(const VmId &vm, Incarnation incarnation, std::uint64_t sequence,
                                RelayedLoads loads, TimePoint now)
{
    PeerLoads &peer = m_peers[vm];
    if (std::tie(incarnation, sequence) <= std::tie(peer.incarnation, peer.sequence))
        return;
    peer = {incarnation, sequence, now, std::move(loads)};
}

RelayedLoad RelayPlacer::sumAt(const TargetId &target, TimePoint now) const
{
    RelayedLoad sum;
    const auto add = [&sum, &target](const RelayedLoads &loads) {
        const auto it = loads.find(target);
        if (it != loads.end())
            sum += it->second;
    };
    add(m_own);
    for (const auto &[vm, peer] : m_peers) {
        if (now - peer.receivedAt < m_options.peerLoadLifetime)
            add(peer.loads);
    }
    return sum;
}

double RelayPlacer::loadOf(const TargetId &target, TimePoint now) const
{
    const RelayedLoad sum = sumAt(target, now);
    return sum.requests + static_cast<double>(sum.tokens) / m_options.tokensPerRequest
           + static_cast<double>(sum.waitingTokens) / m_options.waitingTokensPerRequest;
}

} // namespace currantwalk
