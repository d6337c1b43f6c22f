#include "base/endpoint.h"

#include <charconv>

#include <arpa/inet.h>

namespace currantwalk {

static absl::Status invalidEndpoint(std::string_view text)
{
    std::string detail = "expected a numeric IP address and a port, such as 127.0.0.1:8080, got \"";
    detail.append(text).append("\"");
    return makeError(ErrorCode::AddressInvalid, detail);
}

static bool isIpAddress(const std::string &address, int family)
{
    in6_addr buffer;
    return inet_pton(family, address.c_str(), &buffer) == 1;
}

absl::StatusOr<Endpoint> Endpoint::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalidEndpoint(text);
    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    Endpoint endpoint;
    endpoint.address = std::string(host);
    if (!isIpAddress(endpoint.address, isBracketed ? AF_INET6 : AF_INET))
        return invalidEndpoint(text);
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(first, last, endpoint.port);
    if (first == last || result.ec != std::errc() || result.ptr != last)
        return invalidEndpoint(text);
    return endpoint;
}

std::string Endpoint::toString() const
{
    const bool isIpv6 = address.find(':') != std::string::npos;
    const std::string host = isIpv6 ? "[" + address + "]" : address;
    return host + ":" + std::to_string(port);
}

} // namespace currantwalk
