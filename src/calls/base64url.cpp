#include "calls/base64url.h"

#include <cstdint>

namespace currantwalk {

static constexpr std::string_view Alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

std::string toBase64Url(std::string_view bytes)
{
    std::string text;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : bytes) {
        bits = bits << 8 | static_cast<unsigned char>(c);
        count += 8;
        while (count >= 6) {
            count -= 6;
            text += Alphabet[bits >> count & 63];
        }
    }
    if (count > 0)
        text += Alphabet[bits << (6 - count) & 63];
    return text;
}

// Unused trailing bits must be zero, so that each value has exactly one encoding.
std::optional<std::string> fromBase64Url(std::string_view text)
{
    std::string bytes;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        const std::size_t digit = Alphabet.find(c);
        if (digit == std::string_view::npos)
            return std::nullopt;
        bits = bits << 6 | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count < 8)
            continue;
        count -= 8;
        bytes += static_cast<char>(bits >> count & 255);
    }
    if (count >= 6 || (bits & ((1U << count) - 1)) != 0)
        return std::nullopt;
    return bytes;
}

} // namespace currantwalk
