#ifndef CURRANTWALK_LIMITS_OWNERSHIP_H
#define CURRANTWALK_LIMITS_OWNERSHIP_H

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace currantwalk {

/// Determines the owners of a limit by rendezvous hashing over the members: one node in each zone,
/// and one of the reachable zones as the coordinator zone. Earlier membership views are kept for as
/// long as grants made under them may be in force.
class Ownership
{
public:
    Ownership(VmId self, std::string zone, Duration viewRetention, TimePoint now);

    /// Updates the current view from the known members.
    void update(const std::vector<Member> &members, TimePoint now);

    std::optional<VmId> zoneOwner(const std::string &limit) const;
    std::optional<VmId> coordinator(const std::string &limit) const;
    std::string coordinatorZone(const std::string &limit) const;
    /// Returns whether this node has been the only owner of the limit in its zone for the last
    /// \a span.
    bool isStableZoneOwner(const std::string &limit, Duration span, TimePoint now) const;
    /// Returns whether this node has been the only owner in its zone, and this zone the only
    /// coordinator zone, for the last \a span.
    bool isStableCoordinator(const std::string &limit, Duration span, TimePoint now) const;
    /// Returns the minimum number of reachable zones during the last \a span.
    std::size_t minReachableZones(Duration span, TimePoint now) const;
    std::size_t nodesInZone() const { return m_views.back().nodes.size(); }

private:
    struct MembershipView
    {
        TimePoint startedAt{};
        std::vector<std::string> nodes; ///< Of this zone.
        std::vector<std::string> zones; ///< Reachable zones.
    };

    std::vector<const MembershipView *> viewsWithin(Duration span, TimePoint now) const;

    VmId m_self;
    std::string m_zone;
    Duration m_viewRetention;
    TimePoint m_startedAt;
    std::deque<MembershipView> m_views;
    std::vector<Member> m_members; ///< Alive.
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_OWNERSHIP_H
