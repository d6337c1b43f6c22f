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

/// The records of all members, by zone, with hashes by which two nodes compare theirs.
class MemberTable
{
public:
    using Zone = std::map<VmId, Member>;

    /// Puts \a member in place of what is known of it.
    void put(const Member &member);
    /// Takes an update if it supersedes what is known: a higher incarnation does, and within one
    /// the graver state. Returns whether anything changed for the users of the table.
    bool apply(const MemberUpdate &update, TimePoint now);
    /// Notes the version that a member said is in force there; returns whether it rose.
    bool raiseVersion(const VmId &vm, LogOffset version);
    /// Drops members that left or died long ago.
    void forgetOld(TimePoint now);
    void dropZone(const std::string &zone);

    const Member *find(const VmId &vm) const;
    const std::map<std::string, Zone> &zones() const { return m_zones; }
    /// Returns the zone's members, or none.
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

/// Whether the member takes part: alive or suspected.
bool isPresent(const Member &member);

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_MEMBERTABLE_H
