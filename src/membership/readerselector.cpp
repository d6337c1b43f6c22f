#include "membership/readerselector.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace currantwalk {

static auto rankOf(const VmId &vm)
{
    return std::make_tuple(stableHash(vm.text()), vm);
}

// Nodes in backoff are passed over, so a node behind only such nodes is the first.
std::vector<ReaderSelector::Peer> ReaderSelector::peersBefore(TimePoint now) const
{
    std::vector<Peer> before;
    const auto own = rankOf(m_self);
    for (auto &[vm, record] : m_nodes.peersIn(m_zone)) {
        if (rankOf(vm) < own && !isInBackoff(vm, record, now))
            before.push_back({vm, record});
    }
    std::sort(before.begin(), before.end(),
              [](const Peer &a, const Peer &b) { return rankOf(a.vm) < rankOf(b.vm); });
    return before;
}

std::vector<ReaderSelector::Peer> ReaderSelector::peersToAsk(TimePoint now) const
{
    if (now < m_askedUntil)
        return {};
    std::vector<Peer> peers = peersBefore(now);
    if (peers.size() > m_options.maxPeers)
        peers.resize(m_options.maxPeers);
    return peers;
}

std::optional<ReaderSelector::Peer> ReaderSelector::firstBefore(TimePoint now) const
{
    std::vector<Peer> peers = peersBefore(now);
    return peers.empty() ? std::nullopt : std::optional<Peer>(std::move(peers.front()));
}

std::vector<ReaderSelector::Peer> ReaderSelector::readersOfOtherZones(TimePoint now) const
{
    std::vector<Peer> readers;
    for (const ZoneName &zone : m_nodes.zones()) {
        if (zone == m_zone)
            continue;
        std::optional<Peer> first;
        for (auto &[vm, record] : m_nodes.peersIn(zone)) {
            if (!isInBackoff(vm, record, now) && (!first || rankOf(vm) < rankOf(first->vm)))
                first = Peer{vm, record};
        }
        if (first)
            readers.push_back(*first);
    }
    return readers;
}

// A node that has started again is asked at once.
bool ReaderSelector::isInBackoff(const VmId &vm, const NodeRecord &record, TimePoint now) const
{
    const auto failure = m_failures.find(vm);
    return failure != m_failures.end() && failure->second.incarnation == record.incarnation
           && now < failure->second.until;
}

// Records of nodes that were killed stay in the directory, so the backoff grows.
void ReaderSelector::onFailure(const Peer &peer, TimePoint now)
{
    Failure &failure = m_failures[peer.vm];
    if (failure.incarnation != peer.record.incarnation)
        failure = {peer.record.incarnation, Duration::zero(), TimePoint{}};
    if (now < failure.until)
        return;
    failure.backoff = failure.backoff == Duration::zero()
                              ? m_options.minBackoff
                              : std::min(2 * failure.backoff, m_options.maxBackoff);
    failure.until = now + failure.backoff;
}

} // namespace currantwalk
