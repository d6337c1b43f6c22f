#ifndef CURRANTWALK_ROUTING_PREFIXINDEX_H
#define CURRANTWALK_ROUTING_PREFIXINDEX_H

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "routing/policy.h"

namespace currantwalk {

/// Records which engines have announced that they cache which prompt prefixes. Announcements may be
/// delayed or lost, so the results are estimates. State is bounded: the least recently announced
/// prefix is evicted.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t limit = 32768) : m_limit(limit) {}

    void onEvent(const TargetId &target, std::uint64_t prefixHash, bool isCached);
    void onTargetGone(const TargetId &target);
    /// Returns an estimate of the number of prompt tokens of the request cached at the target.
    std::uint32_t cachedTokens(const RoutingRequest &request, const TargetId &target) const;
    std::size_t size() const { return m_prefixes.size(); }

private:
    struct Prefix
    {
        std::vector<TargetId> holders;
        std::list<std::uint64_t>::iterator recency;
    };

    void erase(std::uint64_t prefixHash);

    std::size_t m_limit;
    std::unordered_map<std::uint64_t, Prefix> m_prefixes;
    std::list<std::uint64_t> m_recency; // Most recently announced first.
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_PREFIXINDEX_H
