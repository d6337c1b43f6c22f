#ifndef CURRANTWALK_MEMBERSHIP_MEMBERTABLE_H
#define CURRANTWALK_MEMBERSHIP_MEMBERTABLE_H

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/membermessages.h"
#include "membership/membership.h"

namespace currantwalk {

/// The records of all members by zone, with hashes that allow two nodes to compare their tables.
class MemberTable
{
public:
    using Zone = std::map<VmId, Member>;

    /// Adds \a member, replacing any existing record.
    void put(const Member &member);
    /// Applies an update if it supersedes the known record: a higher incarnation does, or within
    /// the same incarnation a state of higher precedence (alive, suspected, then left or dead).
    /// Returns whether the change is relevant to the users of the table.
    bool apply(const MemberUpdate &update, TimePoint now);
    /// Records the config version that a member reported; returns whether it increased.
    bool advanceConfigVersion(const VmId &vm, LogOffset version);
    /// Removes the records of members that left or died once their retention has passed.
    void removeExpired(TimePoint now);
    void removeZone(const std::string &zone);

    const Member *find(const VmId &vm) const;
    const std::map<std::string, Zone> &zones() const { return m_zones; }
    /// Returns the members of a zone; empty if the zone is unknown.
    const Zone &zone(const std::string &name) const;
    std::uint32_t zoneHash(const std::string &name) const;
    std::uint32_t hash() const;
    std::size_t size() const { return m_zoneOf.size(); }

private:
    Member *findMutable(const VmId &vm);
    void toggleHash(const Member &member);

    std::map<std::string, Zone> m_zones;
    std::unordered_map<VmId, std::string> m_zoneOf;
    std::map<std::string, std::uint64_t> m_hashes;
};

/// Returns whether the member is alive or suspected.
bool isPresent(const Member &member);

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_MEMBERTABLE_H
