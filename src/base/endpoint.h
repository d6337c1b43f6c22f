#ifndef CURRANTWALK_BASE_ENDPOINT_H
#define CURRANTWALK_BASE_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace currantwalk {

/// An IPv4 or IPv6 address by number, and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    /// Reads "127.0.0.1:80" or "[::1]:80"; names are refused. Fails with AddressInvalid.
    static absl::StatusOr<Endpoint> parse(std::string_view text);
    /// Writes what parse() reads.
    std::string toString() const;

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace currantwalk

#endif // CURRANTWALK_BASE_ENDPOINT_H
