#ifndef CURRANTWALK_LIMITS_OWNERSHIP_H
#define CURRANTWALK_LIMITS_OWNERSHIP_H

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace currantwalk {

/// Who owns a limit, by rendezvous hashing on the members: in each zone one node, and among the
/// zones in reach one, the home. Earlier views are remembered for as long as grants made in them
/// may be in force.
class Ownership
{
public:
    Ownership(VmId self, std::string zone, Duration memory, TimePoint now);

    /// Takes the members as they are known now.
    void update(const std::vector<Member> &members, TimePoint now);

    std::optional<VmId> zoneOwner(const std::string &limit) const;
    std::optional<VmId> homeOwner(const std::string &limit) const;
    std::string homeZone(const std::string &limit) const;
    /// Whether this node alone has owned the limit in its zone for the last \a span.
    bool isZoneSettled(const std::string &limit, Duration span, TimePoint now) const;
    /// Whether this zone alone has been the home for the last \a span.
    bool isHomeSettled(const std::string &limit, Duration span, TimePoint now) const;
    /// Returns the least number of zones in reach during the last \a span.
    std::size_t leastZones(Duration span, TimePoint now) const;
    std::size_t nodesInZone() const { return m_views.back().nodes.size(); }

private:
    struct View
    {
        TimePoint since{};
        std::vector<std::string> nodes; ///< Of this zone.
        std::vector<std::string> zones; ///< In reach.
    };

    std::vector<const View *> viewsWithin(Duration span, TimePoint now) const;

    VmId m_self;
    std::string m_zone;
    Duration m_memory;
    TimePoint m_startedAt;
    std::deque<View> m_views;
    std::vector<Member> m_members; ///< Alive.
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_OWNERSHIP_H
