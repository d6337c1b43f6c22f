#include "limits/grantowner.h"

#include <algorithm>
#include <tuple>

namespace currantwalk {

namespace {

struct RankedNode
{
    std::uint64_t rank = 0;
    VmId vm;
    std::optional<NodeRecord> record; ///< Nothing for the node itself.

    bool operator<(const RankedNode &other) const
    {
        return std::tie(rank, vm) < std::tie(other.rank, other.vm);
    }
};

} // namespace

static void addPeers(std::vector<RankedNode> &ranked, const NodeDirectory &nodes,
                     const ZoneName &zone, std::uint64_t seed)
{
    for (const auto &[vm, record] : nodes.peersIn(zone))
        ranked.push_back({stableHash(vm.text(), seed), vm, record});
}

// Returns the first of the nodes that answers, and lists those before it.
static const RankedNode *findFirst(std::vector<RankedNode> &ranked, const PeerBackoff &backoff,
                                   TimePoint now, std::vector<GrantOwner> &silent)
{
    std::sort(ranked.begin(), ranked.end());
    for (const RankedNode &node : ranked) {
        if (!node.record || !backoff.isInBackoff(node.vm, *node.record, now))
            return &node;
        silent.push_back({node.vm, *node.record});
    }
    return nullptr;
}

static std::optional<GrantOwner> ownerFrom(const RankedNode &node)
{
    return node.record ? std::optional(GrantOwner{node.vm, *node.record}) : std::nullopt;
}

GrantDuty findGrantDuty(const NodeDirectory &nodes, const PeerBackoff &backoff, const VmId &self,
                        const ZoneName &ownZone, const TargetId &target, const ZoneName &targetZone,
                        TimePoint now)
{
    const std::uint64_t seed = stableHash(target.text());
    GrantDuty duty;
    std::vector<RankedNode> ranked;
    addPeers(ranked, nodes, targetZone, seed);
    if (ownZone == targetZone)
        ranked.push_back({stableHash(self.text(), seed), self, std::nullopt});
    if (const RankedNode *const first = findFirst(ranked, backoff, now, duty.silent)) {
        duty.owner = ownerFrom(*first);
        return duty;
    }
    duty.isStandIn = !ranked.empty();
    ranked.clear();
    for (const ZoneName &zone : nodes.zones()) {
        if (zone != targetZone)
            addPeers(ranked, nodes, zone, seed);
    }
    ranked.push_back({stableHash(self.text(), seed), self, std::nullopt});
    duty.owner = ownerFrom(*findFirst(ranked, backoff, now, duty.silent));
    return duty;
}

GrantRank grantRank(const NodeDirectory &nodes, const VmId &self, const ZoneName &ownZone,
                    const TargetId &target, const ZoneName &targetZone)
{
    const std::uint64_t seed = stableHash(target.text());
    const bool isStandIn = ownZone != targetZone;
    std::vector<RankedNode> others;
    for (const ZoneName &zone : nodes.zones()) {
        if ((zone != targetZone) == isStandIn)
            addPeers(others, nodes, zone, seed);
    }
    const RankedNode own{stableHash(self.text(), seed), self, std::nullopt};
    const auto before = std::count_if(others.begin(), others.end(),
                                      [&own](const RankedNode &each) { return each < own; });
    return {static_cast<std::size_t>(before), isStandIn};
}

} // namespace currantwalk
