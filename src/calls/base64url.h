#ifndef CURRANTWALK_CALLS_BASE64URL_H
#define CURRANTWALK_CALLS_BASE64URL_H

#include <optional>
#include <string>
#include <string_view>

namespace currantwalk {

/// Writes \a bytes in the URL-safe alphabet, without padding.
std::string toBase64Url(std::string_view bytes);
/// Reads what toBase64Url() wrote; nothing for any other spelling.
std::optional<std::string> fromBase64Url(std::string_view text);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_BASE64URL_H
