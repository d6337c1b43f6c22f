#ifndef CURRANTWALK_CALLS_BASE64URL_H
#define CURRANTWALK_CALLS_BASE64URL_H

#include <optional>
#include <string>
#include <string_view>

namespace currantwalk {

/// Encodes \a bytes as base64url without padding.
std::string toBase64Url(std::string_view bytes);
/// Decodes the output of toBase64Url(); returns nothing for any other text.
std::optional<std::string> fromBase64Url(std::string_view text);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_BASE64URL_H
