#ifndef CURRANTWALK_TARGETS_PROMPT_H
#define CURRANTWALK_TARGETS_PROMPT_H

#include <cstdint>
#include <string>
#include <vector>

namespace currantwalk {

/// Returns the tokens that \a prompt takes, by the engine protocol's approximation.
std::uint32_t promptTokens(const std::string &prompt);

/// Returns the cumulative hashes of the leading blocks of \a prompt, as the engine protocol's cache
/// events name them; at most 64, and none for a part of a block.
std::vector<std::uint64_t> promptPrefixHashes(const std::string &prompt);

/// Tokens in one block of promptPrefixHashes().
constexpr std::uint32_t PrefixBlockTokens = 64;

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_PROMPT_H
