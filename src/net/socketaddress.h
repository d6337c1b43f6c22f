#ifndef CURRANTWALK_NET_SOCKETADDRESS_H
#define CURRANTWALK_NET_SOCKETADDRESS_H

#include <sys/socket.h>

#include "base/endpoint.h"

namespace currantwalk {

/// An endpoint in the form that the system calls take.
class SocketAddress
{
public:
    /// Fails with AddressInvalid where the address is no IP number.
    static absl::StatusOr<SocketAddress> fromEndpoint(const Endpoint &endpoint);
    /// Returns the local address of the socket \a fd; fails with SystemCallFailed.
    static absl::StatusOr<SocketAddress> ofSocket(int fd);

    Endpoint endpoint() const;
    int family() const { return m_storage.ss_family; }
    sockaddr *data() { return reinterpret_cast<sockaddr *>(&m_storage); }
    const sockaddr *data() const { return reinterpret_cast<const sockaddr *>(&m_storage); }
    socklen_t size() const { return m_size; }

private:
    sockaddr_storage m_storage{};
    socklen_t m_size = 0;
};

/// Makes a SystemCallFailed error that names \a call and tells errno.
absl::Status systemCallError(std::string_view call);

} // namespace currantwalk

#endif // CURRANTWALK_NET_SOCKETADDRESS_H
