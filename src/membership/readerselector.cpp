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
        if (rankOf(vm) < own && !m_backoff.isInBackoff(vm, record, now))
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
            if (!m_backoff.isInBackoff(vm, record, now)
                && (!first || rankOf(vm) < rankOf(first->vm)))
                first = Peer{vm, record};
        }
        if (first)
            readers.push_back(*first);
    }
    return readers;
}

} // namespace currantwalk
