#ifndef CURRANTWALK_TARGETS_PROMPT_H
#define CURRANTWALK_TARGETS_PROMPT_H

#include <cstdint>
#include <string>
#include <vector>

namespace currantwalk {

/// Returns the number of tokens in \a prompt, estimated as the engine protocol defines.
std::uint32_t estimatePromptTokens(const std::string &prompt);

/// Returns the cumulative hashes of the leading blocks of \a prompt, as used in the cache events of
/// the engine protocol. Returns at most 64 hashes, and none for an incomplete block.
std::vector<std::uint64_t> promptPrefixHashes(const std::string &prompt);

/// Number of tokens in a block of promptPrefixHashes().
constexpr std::uint32_t PrefixBlockTokens = 64;

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_PROMPT_H
