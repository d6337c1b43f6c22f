#ifndef CURRANTWALK_BASE_ENDPOINT_H
#define CURRANTWALK_BASE_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace currantwalk {

/// A numeric IPv4 or IPv6 address and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    /// Parses text such as "127.0.0.1:80" or "[::1]:80". Host names are rejected. Fails with
    /// AddressInvalid.
    static absl::StatusOr<Endpoint> parse(std::string_view text);
    /// Returns the endpoint in the format that parse() accepts.
    std::string toString() const;

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace currantwalk

#endif // CURRANTWALK_BASE_ENDPOINT_H
