#ifndef CURRANTWALK_NET_MESSAGEHEAD_H
#define CURRANTWALK_NET_MESSAGEHEAD_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace currantwalk {

/// Checks the head of a request as it was received, which \a input begins with. Fails with
/// RequestTooLarge, or with InvalidRequest where the length of the body is given in two ways.
absl::Status checkRequestHead(std::string_view input, std::size_t maxHeadBytes);

/// Checks the heads of an answer, interim ones included, as far as they have been received; \a
/// input begins with them. Fails with TargetProtocolError where a head is too large or is no head
/// of HTTP/1: the status is neither that of a final answer (200 to 599) nor of an interim one (100
/// to 199, but for a change of the protocol), a field's name is no token, a text holds a control
/// character, or the length of the body is malformed or given in two ways. Every answer that the
/// client reads is checked before a part of it is passed on.
absl::Status checkResponseHead(std::string_view input, std::size_t maxHeadBytes);

/// Returns where the head that \a input begins with ends, or nothing if it is not whole; its first
/// \a searched bytes are known to hold no end.
std::optional<std::size_t> findHeadEnd(std::string_view input, std::size_t searched);

/// Returns the length of the body that the whole head \a head tells; 0 if it tells none.
std::size_t declaredBodyBytes(std::string_view head);

/// Writes the body of an answer to a request that was refused before anything handled it.
std::string refusalBody(const absl::Status &status);

} // namespace currantwalk

#endif // CURRANTWALK_NET_MESSAGEHEAD_H
