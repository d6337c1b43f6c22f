#ifndef CURRANTWALK_BASE_PARSEUNSIGNED_H
#define CURRANTWALK_BASE_PARSEUNSIGNED_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace currantwalk {

/// Parses \a text as an unsigned decimal integer. Returns std::nullopt if it contains anything else
/// or the value does not fit into 64 bits.
std::optional<std::uint64_t> parseUnsigned(std::string_view text);

} // namespace currantwalk

#endif // CURRANTWALK_BASE_PARSEUNSIGNED_H
