#include "membership/membertable.h"

#include <cassert>

namespace currantwalk {

constexpr Duration LeftRetention = std::chrono::minutes(5);
constexpr Duration DeadRetention = std::chrono::hours(1); ///< May only be unreachable.
constexpr std::uint64_t HashMask = 0xFFFFFF;

bool isPresent(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspected;
}

static int statePrecedence(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Suspected:
        return 1;
    case MemberState::Left:
    case MemberState::Dead:
        break;
    }
    return 2;
}

static Member memberOf(const MemberUpdate &update, TimePoint now)
{
    return {update.vm,
            update.zone,
            update.endpoint,
            update.incarnation,
            update.state,
            update.configVersion,
            now};
}

void MemberTable::put(const Member &member)
{
    assert(!member.vm.isEmpty() && "member without an id");
    if (Member *known = findMutable(member.vm)) {
        toggleHash(*known);
        m_zones[known->zone].erase(member.vm);
    }
    m_zones[member.zone][member.vm] = member;
    m_zoneOf[member.vm] = member.zone;
    toggleHash(member);
}

bool MemberTable::apply(const MemberUpdate &update, TimePoint now)
{
    Member *known = findMutable(update.vm);
    if (!known) {
        if (!update.isFull)
            return false;
        const Member member = memberOf(update, now);
        put(member);
        return isPresent(member);
    }
    if (update.incarnation < known->incarnation)
        return false;
    if (update.incarnation == known->incarnation
        && statePrecedence(update.state) <= statePrecedence(known->state))
        return false;
    Member changed = update.isFull ? memberOf(update, now) : *known;
    changed.incarnation = update.incarnation;
    changed.state = update.state;
    changed.changedAt = now;
    changed.configVersion = std::max(known->configVersion, changed.configVersion);
    put(changed);
    return true;
}

bool MemberTable::advanceConfigVersion(const VmId &vm, LogOffset version)
{
    Member *known = findMutable(vm);
    if (!known || known->configVersion >= version)
        return false;
    known->configVersion = version;
    return true;
}

void MemberTable::removeExpired(TimePoint now)
{
    for (auto &[name, members] : m_zones) {
        for (auto it = members.begin(); it != members.end();) {
            const Duration retention =
                    it->second.state == MemberState::Left ? LeftRetention : DeadRetention;
            if (isPresent(it->second) || now - it->second.changedAt < retention) {
                ++it;
                continue;
            }
            m_zoneOf.erase(it->first);
            it = members.erase(it);
        }
    }
}

void MemberTable::removeZone(const std::string &zone)
{
    for (const auto &[vm, member] : m_zones[zone])
        m_zoneOf.erase(vm);
    m_zones.erase(zone);
    m_hashes.erase(zone);
}

const Member *MemberTable::find(const VmId &vm) const
{
    const auto it = m_zoneOf.find(vm);
    return it == m_zoneOf.end() ? nullptr : &m_zones.at(it->second).at(vm);
}

Member *MemberTable::findMutable(const VmId &vm)
{
    const auto it = m_zoneOf.find(vm);
    return it == m_zoneOf.end() ? nullptr : &m_zones.at(it->second).at(vm);
}

const MemberTable::Zone &MemberTable::zone(const std::string &name) const
{
    static const Zone None;
    const auto it = m_zones.find(name);
    return it == m_zones.end() ? None : it->second;
}

std::uint32_t MemberTable::zoneHash(const std::string &name) const
{
    const auto it = m_hashes.find(name);
    return it == m_hashes.end() ? 0 : static_cast<std::uint32_t>(it->second & HashMask);
}

std::uint32_t MemberTable::hash() const
{
    std::uint64_t all = 0;
    for (const auto &[name, hash] : m_hashes)
        all ^= hash;
    return static_cast<std::uint32_t>(all & HashMask);
}

// Suspicions and incarnations are excluded from the hash, because other zones need neither.
void MemberTable::toggleHash(const Member &member)
{
    if (isPresent(member))
        m_hashes[member.zone] ^= stableHash(member.vm.text() + member.endpoint.toString());
}

} // namespace currantwalk
