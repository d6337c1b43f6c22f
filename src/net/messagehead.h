#ifndef CURRANTWALK_NET_MESSAGEHEAD_H
#define CURRANTWALK_NET_MESSAGEHEAD_H

#include <cstddef>
#include <string>
#include <string_view>

#include "base/error.h"

namespace currantwalk {

/// Checks the head of a request as it was received, which \a input begins with. Fails with
/// RequestTooLarge, or with InvalidRequest where the length of the body is given in two ways.
absl::Status checkRequestHead(std::string_view input, std::size_t maxHeadBytes);

/// Checks the head of an answer, as far as it has been received; \a input begins with it. Fails
/// with TargetProtocolError where it is too large, or where the length of the body is malformed or
/// given in two ways.
absl::Status checkResponseHead(std::string_view input, std::size_t maxHeadBytes);

/// Writes the body of an answer to a request that was refused before anything handled it.
std::string refusalBody(const absl::Status &status);

} // namespace currantwalk

#endif // CURRANTWALK_NET_MESSAGEHEAD_H
