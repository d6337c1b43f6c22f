#include "routing/prefixindex.h"

#include <algorithm>
#include <cassert>

namespace currantwalk {

static constexpr std::size_t MaxLookups = 32; // Per request, spread evenly over its prompt.

void PrefixIndex::onEvent(const TargetId &target, std::uint64_t prefixHash, bool isCached)
{
    const auto known = m_prefixes.find(prefixHash);
    if (!isCached) {
        if (known == m_prefixes.end())
            return;
        std::erase(known->second.holders, target);
        if (known->second.holders.empty())
            erase(prefixHash);
        return;
    }
    if (known != m_prefixes.end()) {
        m_recency.splice(m_recency.begin(), m_recency, known->second.recency);
        std::vector<TargetId> &holders = known->second.holders;
        if (std::find(holders.begin(), holders.end(), target) == holders.end())
            holders.push_back(target);
        return;
    }
    if (m_prefixes.size() >= m_limit)
        erase(m_recency.back());
    m_recency.push_front(prefixHash);
    m_prefixes.emplace(prefixHash, Prefix{{target}, m_recency.begin()});
    assert(m_prefixes.size() <= m_limit && "state is bounded");
}

void PrefixIndex::erase(std::uint64_t prefixHash)
{
    const auto it = m_prefixes.find(prefixHash);
    m_recency.erase(it->second.recency);
    m_prefixes.erase(it);
}

void PrefixIndex::onTargetGone(const TargetId &target)
{
    for (auto it = m_prefixes.begin(); it != m_prefixes.end();) {
        std::erase(it->second.holders, target);
        const bool hasNoHolder = it->second.holders.empty();
        if (hasNoHolder)
            m_recency.erase(it->second.recency);
        it = hasNoHolder ? m_prefixes.erase(it) : std::next(it);
    }
}

// Hashes are cumulative, so the longest known prefix decides. A lost announcement of a shorter
// prefix therefore does no harm.
std::uint32_t PrefixIndex::cachedTokens(const RoutingRequest &request, const TargetId &target) const
{
    const std::size_t count = request.prefixHashes.size();
    if (count == 0 || m_prefixes.empty())
        return 0;
    const std::size_t stride = (count + MaxLookups - 1) / MaxLookups;
    for (std::size_t depth = count; depth > 0; depth -= std::min(depth, stride)) {
        const auto known = m_prefixes.find(request.prefixHashes[depth - 1]);
        if (known == m_prefixes.end())
            continue;
        const std::vector<TargetId> &holders = known->second.holders;
        if (std::find(holders.begin(), holders.end(), target) != holders.end())
            return static_cast<std::uint32_t>(request.promptTokens * depth / count);
    }
    return 0;
}

} // namespace currantwalk
