#ifndef CURRANTWALK_LIMITS_GRANTOWNER_H
#define CURRANTWALK_LIMITS_GRANTOWNER_H

#include <optional>
#include <vector>

#include "limits/coldgrants.h"
#include "membership/peerbackoff.h"

namespace currantwalk {

/// A node that may grant the requests to a target with a limit.
struct GrantOwner
{
    VmId vm;
    NodeRecord record;
};

/// Which node grants the requests to a target, as one node sees it.
struct GrantDuty
{
    std::optional<GrantOwner> owner; ///< Nothing if it is the node itself.
    /// Whether none of the nodes of the target's zone answers, so that a node of another zone
    /// grants.
    bool isStandIn = false;
    /// Nodes that would grant in its place if they answered.
    std::vector<GrantOwner> silent;
};

/// Returns which node grants requests to \a target, as seen by the node \a self. It is a node of
/// the target's availability zone where one answers: whoever can reach the target can reach it too,
/// also while the zone is cut off from others.
GrantDuty findGrantDuty(const NodeDirectory &nodes, const PeerBackoff &backoff, const VmId &self,
                        const ZoneName &ownZone, const TargetId &target, const ZoneName &targetZone,
                        TimePoint now);

/// Returns the place of the node \a self in the order of findGrantDuty(), whoever answers.
GrantRank grantRank(const NodeDirectory &nodes, const VmId &self, const ZoneName &ownZone,
                    const TargetId &target, const ZoneName &targetZone);

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_GRANTOWNER_H
