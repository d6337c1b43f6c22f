#include "routing/prefixindex.h"

#include <algorithm>
#include <cassert>

namespace currantwalk {

static constexpr std::size_t MostHashes = 32; // Looked up for one request, spread over its prompt.

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
        m_ages.splice(m_ages.begin(), m_ages, known->second.age);
        std::vector<TargetId> &holders = known->second.holders;
        if (std::find(holders.begin(), holders.end(), target) == holders.end())
            holders.push_back(target);
        return;
    }
    if (m_prefixes.size() >= m_limit)
        erase(m_ages.back());
    m_ages.push_front(prefixHash);
    m_prefixes.emplace(prefixHash, Prefix{{target}, m_ages.begin()});
    assert(m_prefixes.size() <= m_limit && "state is bounded");
}

void PrefixIndex::erase(std::uint64_t prefixHash)
{
    const auto it = m_prefixes.find(prefixHash);
    m_ages.erase(it->second.age);
    m_prefixes.erase(it);
}

void PrefixIndex::onTargetGone(const TargetId &target)
{
    for (auto it = m_prefixes.begin(); it != m_prefixes.end();) {
        std::erase(it->second.holders, target);
        const bool isUnheld = it->second.holders.empty();
        if (isUnheld)
            m_ages.erase(it->second.age);
        it = isUnheld ? m_prefixes.erase(it) : std::next(it);
    }
}

// Hashes are cumulative, so the deepest one known tells; a lost announcement hides no other.
std::uint32_t PrefixIndex::cachedTokens(const RoutingRequest &request, const TargetId &target) const
{
    const std::size_t count = request.prefixHashes.size();
    if (count == 0 || m_prefixes.empty())
        return 0;
    const std::size_t stride = (count + MostHashes - 1) / MostHashes;
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
