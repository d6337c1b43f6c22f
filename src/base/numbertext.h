#ifndef CURRANTWALK_BASE_NUMBERTEXT_H
#define CURRANTWALK_BASE_NUMBERTEXT_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace currantwalk {

/// Returns the decimal number that is all of \a text; nothing where it is none or too large.
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace currantwalk

#endif // CURRANTWALK_BASE_NUMBERTEXT_H
