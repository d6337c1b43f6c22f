#ifndef CURRANTWALK_BASE_JSON_H
#define CURRANTWALK_BASE_JSON_H

#include <cstdint>
#include <string>
#include <string_view>

#include <json/value.h>

#include "base/error.h"

namespace currantwalk {

/// Parses one JSON value. Trailing text, duplicate keys, invalid UTF-8 and a nesting depth over 64
/// are rejected with JsonInvalid.
absl::StatusOr<Json::Value> parseJson(std::string_view text);
/// Serialises \a value on one line.
std::string writeJson(const Json::Value &value);

/// Returns a member of \a object. Fails with JsonInvalid if it is absent or of another type.
absl::StatusOr<std::string> stringMember(const Json::Value &object, const char *name);
absl::StatusOr<std::uint64_t> unsignedMember(const Json::Value &object, const char *name);
absl::StatusOr<double> numberMember(const Json::Value &object, const char *name);
absl::StatusOr<bool> boolMember(const Json::Value &object, const char *name);

/// Returns whether \a text is well-formed UTF-8.
bool isValidUtf8(std::string_view text);
/// Returns \a text with each byte that is no part of well-formed UTF-8 replaced by U+FFFD.
std::string withValidUtf8(std::string_view text);

/// Returns withValidUtf8() of \a text, cut behind a whole character to at most \a maxBytes.
std::string shortenedUtf8(std::string_view text, std::size_t maxBytes);

} // namespace currantwalk

#endif // CURRANTWALK_BASE_JSON_H
