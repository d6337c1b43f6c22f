#include "limits/grantowner.h"

namespace currantwalk {

namespace {

/// Finds the first of the nodes that it is given, in the order by which a target ranks them.
class FirstNode
{
public:
    explicit FirstNode(const TargetId &target) : m_seed(stableHash(target.text())) {}

    void add(const VmId &vm, std::optional<GrantOwner> owner)
    {
        const std::uint64_t rank = stableHash(vm.text(), m_seed);
        if (m_isFound && rank >= m_rank)
            return;
        m_isFound = true;
        m_rank = rank;
        m_owner = std::move(owner);
    }

    void addPeers(const NodeDirectory &nodes, const PeerBackoff &backoff, const ZoneName &zone,
                  TimePoint now)
    {
        for (const auto &[vm, record] : nodes.peersIn(zone)) {
            if (!backoff.isInBackoff(vm, record, now))
                add(vm, GrantOwner{vm, record});
        }
    }

    bool isFound() const { return m_isFound; }
    const std::optional<GrantOwner> &owner() const { return m_owner; }

private:
    std::uint64_t m_seed;
    std::uint64_t m_rank = 0;
    bool m_isFound = false;
    std::optional<GrantOwner> m_owner; ///< Nothing for the node itself.
};

} // namespace

std::optional<GrantOwner> findGrantOwner(const NodeDirectory &nodes, const PeerBackoff &backoff,
                                         const VmId &self, const ZoneName &ownZone,
                                         const TargetId &target, const ZoneName &targetZone,
                                         TimePoint now)
{
    FirstNode first(target);
    first.addPeers(nodes, backoff, targetZone, now);
    if (ownZone == targetZone)
        first.add(self, std::nullopt);
    if (first.isFound())
        return first.owner();
    for (const ZoneName &zone : nodes.zones())
        first.addPeers(nodes, backoff, zone, now);
    first.add(self, std::nullopt);
    return first.owner();
}

} // namespace currantwalk
