#include "targets/prompt.h"

#include "base/ids.h"

namespace currantwalk {

static constexpr std::size_t BytesPerToken = 4;
static constexpr std::size_t MaxPrefixBlocks = 64;

std::uint32_t estimatePromptTokens(const std::string &prompt)
{
    return static_cast<std::uint32_t>((prompt.size() + BytesPerToken - 1) / BytesPerToken);
}

std::vector<std::uint64_t> promptPrefixHashes(const std::string &prompt)
{
    constexpr std::size_t BlockBytes = PrefixBlockTokens * BytesPerToken;
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = 0;
    for (std::size_t start = 0; start + BlockBytes <= prompt.size(); start += BlockBytes) {
        if (hashes.size() == MaxPrefixBlocks)
            break;
        hash = stableHash(prompt.substr(start, BlockBytes), hash);
        hashes.push_back(hash);
    }
    return hashes;
}

} // namespace currantwalk
