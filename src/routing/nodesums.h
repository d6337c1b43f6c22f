#ifndef CURRANTWALK_ROUTING_NODESUMS_H
#define CURRANTWALK_ROUTING_NODESUMS_H

#include <map>
#include <tuple>
#include <utility>

#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// Sums of what nodes have observed, by key, in which no observation counts twice. Each node keeps
/// its own observations; what it knows of other nodes is the last message of each, replaced as a
/// whole and forgotten without a newer one. A node whose observations are lost takes only them
/// along.
template<typename Key, typename Value>
class NodeSums
{
public:
    using Values = std::map<Key, Value>;

    /// Messages older than \a lifetime are ignored.
    explicit NodeSums(Duration lifetime) : m_lifetime(lifetime) {}

    Values &own() { return m_own; }
    const Values &own() const { return m_own; }
    /// Replaces the sum that \a vm reports. Ignores messages that are not newer than the last one.
    void updatePeer(const VmId &vm, Incarnation incarnation, std::uint64_t sequence, Values values,
                    TimePoint now)
    {
        Snapshot &peer = m_peers[vm];
        if (std::tie(incarnation, sequence) > std::tie(peer.incarnation, peer.sequence))
            peer = {incarnation, sequence, now, std::move(values)};
    }
    /// Replaces the sum of the nodes in \a zone, another one.
    void updateZone(const ZoneName &zone, Values values, TimePoint now)
    {
        m_zones[zone] = {0, 0, now, std::move(values)};
    }
    /// Replaces the sum of all nodes other than this one and those that report to it.
    void updateOthers(Values values, TimePoint now) { m_others = {0, 0, now, std::move(values)}; }

    /// Returns the sum of this node and of those that report to it.
    Values reported(TimePoint now) const { return inside(VmId(), now); }
    /// Returns the sum of all nodes but for what \a vm reported.
    Values besides(const VmId &vm, TimePoint now) const
    {
        Values sum = inside(vm, now);
        if (isCurrent(m_others, now)) {
            add(sum, m_others.values);
            return sum;
        }
        for (const auto &[zone, snapshot] : m_zones) {
            if (isCurrent(snapshot, now))
                add(sum, snapshot.values);
        }
        return sum;
    }
    Values total(TimePoint now) const { return besides(VmId(), now); }
    /// Returns the sum of all nodes for \a key.
    Value totalOf(const Key &key, TimePoint now) const
    {
        Value sum{};
        const auto addFrom = [&](const Values &values) {
            if (const auto found = values.find(key); found != values.end())
                sum += found->second;
        };
        addFrom(m_own);
        for (const auto &[vm, snapshot] : m_peers) {
            if (isCurrent(snapshot, now))
                addFrom(snapshot.values);
        }
        if (isCurrent(m_others, now)) {
            addFrom(m_others.values);
            return sum;
        }
        for (const auto &[zone, snapshot] : m_zones) {
            if (isCurrent(snapshot, now))
                addFrom(snapshot.values);
        }
        return sum;
    }
    /// Removes what has not been renewed.
    void expire(TimePoint now)
    {
        std::erase_if(m_peers, [&](const auto &each) { return !isCurrent(each.second, now); });
        std::erase_if(m_zones, [&](const auto &each) { return !isCurrent(each.second, now); });
    }

private:
    struct Snapshot
    {
        Incarnation incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint receivedAt{};
        Values values;
    };

    bool isCurrent(const Snapshot &snapshot, TimePoint now) const
    {
        return snapshot.receivedAt != TimePoint{} && now - snapshot.receivedAt < m_lifetime;
    }
    static void add(Values &sum, const Values &values)
    {
        for (const auto &[key, value] : values)
            sum[key] += value;
    }
    Values inside(const VmId &excluded, TimePoint now) const
    {
        Values sum = m_own;
        for (const auto &[vm, snapshot] : m_peers) {
            if (vm != excluded && isCurrent(snapshot, now))
                add(sum, snapshot.values);
        }
        return sum;
    }

    Duration m_lifetime;
    Values m_own;
    std::map<VmId, Snapshot> m_peers;
    std::map<ZoneName, Snapshot> m_zones;
    Snapshot m_others;
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_NODESUMS_H
