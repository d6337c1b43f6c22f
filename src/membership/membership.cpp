#include "membership/membership.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<MemberState>, 4> MemberStateNames{{
        {MemberState::Alive, "alive"},
        {MemberState::Suspected, "suspected"},
        {MemberState::Left, "left"},
        {MemberState::Dead, "dead"},
}};

std::string_view memberStateName(MemberState state)
{
    return enumName(MemberStateNames, state);
}

std::vector<Member> rendezvousMembers(const std::vector<Member> &members, const std::string &key,
                                      std::size_t count)
{
    const std::uint64_t seed = stableHash(key);
    std::vector<std::pair<std::uint64_t, const Member *>> ranked;
    ranked.reserve(members.size());
    for (const Member &member : members)
        ranked.emplace_back(stableHash(member.vm.text(), seed), &member);
    const std::size_t kept = std::min(count, ranked.size());
    const auto isBetter = [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second->vm < b.second->vm;
    };
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end(), isBetter);
    std::vector<Member> best;
    best.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        best.push_back(*ranked[i].second);
    return best;
}

} // namespace currantwalk
