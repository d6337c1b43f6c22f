#ifndef CURRANTWALK_MEMBERSHIP_READERSELECTOR_H
#define CURRANTWALK_MEMBERSHIP_READERSELECTOR_H

#include <optional>
#include <utility>
#include <vector>

#include "membership/peerbackoff.h"

namespace currantwalk {

/// Selects which nodes of an availability zone read the store for the others. All nodes rank the
/// zone's nodes in the same order by a hash of their ids; each asks the first that answers, and the
/// first of all reads the store itself. A node that is asked reads the store as long as it is
/// asked, so nodes whose views differ only cost further readers.
class ReaderSelector
{
public:
    struct Options
    {
        /// Peers that a node asks before it reads the store itself.
        std::size_t maxPeers = 2;
        Duration minBackoff = std::chrono::milliseconds(2000);
        Duration maxBackoff = std::chrono::seconds(30);
        /// How long a node goes on reading the store after it was last asked.
        Duration askedFor = std::chrono::seconds(3);
    };

    struct Peer
    {
        VmId vm;
        NodeRecord record;
    };

    ReaderSelector(const Options &options, VmId self, ZoneName zone, const NodeDirectory &nodes)
        : m_options(options),
          m_self(std::move(self)),
          m_zone(std::move(zone)),
          m_nodes(nodes),
          m_backoff(options.minBackoff, options.maxBackoff)
    {
    }

    /// Returns the peers to ask, in order; none if this node reads the store itself.
    std::vector<Peer> peersToAsk(TimePoint now) const;
    /// Returns whether this node reads the store.
    bool isReader(TimePoint now) const { return peersToAsk(now).empty(); }
    /// Returns the first peer that ranks before this node; nothing if this node is the first.
    std::optional<Peer> firstBefore(TimePoint now) const;
    /// Returns the first node of each other zone, which reads the store for it.
    std::vector<Peer> readersOfOtherZones(TimePoint now) const;
    /// Returns the number of the zone's nodes, including this one.
    std::size_t zoneSize() const { return m_nodes.peersIn(m_zone).size() + 1; }
    /// Called when a peer has asked this node.
    void onAsked(TimePoint now) { m_askedUntil = now + m_options.askedFor; }
    /// Called when a peer did not answer, or with an answer that is too old.
    void onFailure(const Peer &peer, TimePoint now)
    {
        m_backoff.onFailure(peer.vm, peer.record, now);
    }
    void onAnswer(const Peer &peer) { m_backoff.onAnswer(peer.vm); }

private:
    std::vector<Peer> peersBefore(TimePoint now) const;

    const Options m_options;
    const VmId m_self;
    const ZoneName m_zone;
    const NodeDirectory &m_nodes;
    PeerBackoff m_backoff;
    TimePoint m_askedUntil{};
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_READERSELECTOR_H
