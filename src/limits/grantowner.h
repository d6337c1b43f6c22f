#ifndef CURRANTWALK_LIMITS_GRANTOWNER_H
#define CURRANTWALK_LIMITS_GRANTOWNER_H

#include <optional>

#include "membership/peerbackoff.h"

namespace currantwalk {

/// A node that grants the requests to a target with a limit.
struct GrantOwner
{
    VmId vm;
    NodeRecord record;
};

/// Returns the peer that grants requests to \a target, or nothing if the node \a self does so. It
/// is a node of the target's availability zone where one answers: whoever can reach the target can
/// reach it too, also while the zone is cut off from others.
std::optional<GrantOwner> findGrantOwner(const NodeDirectory &nodes, const PeerBackoff &backoff,
                                         const VmId &self, const ZoneName &ownZone,
                                         const TargetId &target, const ZoneName &targetZone,
                                         TimePoint now);

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_GRANTOWNER_H
