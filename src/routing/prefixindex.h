#ifndef CURRANTWALK_ROUTING_PREFIXINDEX_H
#define CURRANTWALK_ROUTING_PREFIXINDEX_H

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "routing/policy.h"

namespace currantwalk {

/// Which engines announced which prompt prefixes. Announcements come late and some are lost, so
/// what it says is likely, not certain. State is bounded: what was announced longest ago is
/// forgotten.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t limit = 32768) : m_limit(limit) {}

    void onEvent(const TargetId &target, std::uint64_t prefixHash, bool isCached);
    void onTargetGone(const TargetId &target);
    /// Returns how many tokens of the request's prompt the target is likely to have cached.
    std::uint32_t cachedTokens(const RoutingRequest &request, const TargetId &target) const;
    std::size_t size() const { return m_prefixes.size(); }

private:
    struct Prefix
    {
        std::vector<TargetId> holders;
        std::list<std::uint64_t>::iterator age;
    };

    void erase(std::uint64_t prefixHash);

    std::size_t m_limit;
    std::unordered_map<std::uint64_t, Prefix> m_prefixes;
    std::list<std::uint64_t> m_ages; // Last announced first.
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_PREFIXINDEX_H
