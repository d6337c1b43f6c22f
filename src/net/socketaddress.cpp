#include "net/socketaddress.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace currantwalk {

absl::StatusOr<SocketAddress> SocketAddress::fromEndpoint(const Endpoint &endpoint)
{
    SocketAddress address;
    sockaddr_in ipv4{};
    if (inet_pton(AF_INET, endpoint.address.c_str(), &ipv4.sin_addr) == 1) {
        ipv4.sin_family = AF_INET;
        ipv4.sin_port = htons(endpoint.port);
        std::memcpy(&address.m_storage, &ipv4, sizeof(ipv4));
        address.m_size = sizeof(ipv4);
        return address;
    }
    sockaddr_in6 ipv6{};
    if (inet_pton(AF_INET6, endpoint.address.c_str(), &ipv6.sin6_addr) == 1) {
        ipv6.sin6_family = AF_INET6;
        ipv6.sin6_port = htons(endpoint.port);
        std::memcpy(&address.m_storage, &ipv6, sizeof(ipv6));
        address.m_size = sizeof(ipv6);
        return address;
    }
    return makeError(ErrorCode::AddressInvalid,
                     "expected an IP number, got \"" + endpoint.address + "\"");
}

absl::StatusOr<SocketAddress> SocketAddress::ofSocket(int fd)
{
    SocketAddress address;
    address.m_size = sizeof(address.m_storage);
    if (getsockname(fd, address.data(), &address.m_size) != 0)
        return systemCallError("getsockname");
    return address;
}

Endpoint SocketAddress::endpoint() const
{
    Endpoint endpoint;
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (family() == AF_INET) {
        sockaddr_in ipv4{};
        std::memcpy(&ipv4, &m_storage, sizeof(ipv4));
        inet_ntop(AF_INET, &ipv4.sin_addr, text.data(), text.size());
        endpoint.port = ntohs(ipv4.sin_port);
    } else {
        sockaddr_in6 ipv6{};
        std::memcpy(&ipv6, &m_storage, sizeof(ipv6));
        inet_ntop(AF_INET6, &ipv6.sin6_addr, text.data(), text.size());
        endpoint.port = ntohs(ipv6.sin6_port);
    }
    endpoint.address = text.data();
    return endpoint;
}

absl::Status systemCallError(std::string_view call)
{
    std::string detail(call);
    detail += ": " + std::error_code(errno, std::generic_category()).message();
    return makeError(ErrorCode::SystemCallFailed, detail);
}

} // namespace currantwalk
