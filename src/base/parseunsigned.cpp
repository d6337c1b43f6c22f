#include "base/parseunsigned.h"

#include <charconv>

namespace currantwalk {

std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    std::uint64_t value = 0;
    const char *const end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace currantwalk
