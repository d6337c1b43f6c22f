#ifndef CURRANTWALK_NET_TESTS_RAWSOCKET_H
#define CURRANTWALK_NET_TESTS_RAWSOCKET_H

#include <array>
#include <cerrno>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include "net/socketaddress.h"

namespace currantwalk {

/// A non-blocking socket that sends and receives bytes as they are, for tests.
class RawSocket
{
public:
    /// Connects to \a endpoint; with \a receiveBytes the system keeps about as much that is not
    /// read.
    explicit RawSocket(const Endpoint &endpoint, int receiveBytes = 0)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        if (receiveBytes != 0)
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
        const SocketAddress address = SocketAddress::fromEndpoint(endpoint).value();
        m_isClosed = ::connect(m_fd, address.data(), address.size()) != 0 && errno != EINPROGRESS;
    }
    /// Takes over \a fd.
    explicit RawSocket(int fd) : m_fd(fd) {}
    ~RawSocket()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    /// Sends as much of \a bytes as the socket takes and returns the rest.
    std::string_view send(std::string_view bytes)
    {
        const ssize_t sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != ENOTCONN)
            m_isClosed = true;
        return bytes.substr(sent > 0 ? static_cast<std::size_t>(sent) : 0);
    }

    /// Adds what has arrived to received().
    void receive()
    {
        std::array<char, 65536> buffer;
        for (;;) {
            const ssize_t size = ::recv(m_fd, buffer.data(), buffer.size(), 0);
            if (size > 0) {
                m_received.append(buffer.data(), static_cast<std::size_t>(size));
                continue;
            }
            const bool isFailed = size < 0 && errno != EAGAIN && errno != ENOTCONN;
            m_isReset = m_isReset || (isFailed && errno == ECONNRESET);
            m_isClosed = m_isClosed || size == 0 || isFailed;
            return;
        }
    }

    /// Closes the connection by a reset.
    void reset()
    {
        const linger now{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::close(std::exchange(m_fd, -1));
    }

    const std::string &received() const { return m_received; }
    /// Returns whether receive() or send() found the connection closed by the other side.
    bool isClosed() const { return m_isClosed; }
    /// Returns whether receive() found the connection reset by the other side.
    bool isReset() const { return m_isReset; }

private:
    int m_fd;
    std::string m_received;
    bool m_isClosed = false;
    bool m_isReset = false;
};

/// A listening socket on the loopback, for tests of the client.
class RawListener
{
public:
    explicit RawListener(int backlog = SOMAXCONN)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        const SocketAddress address = SocketAddress::fromEndpoint({"127.0.0.1", 0}).value();
        if (::bind(m_fd, address.data(), address.size()) != 0 || ::listen(m_fd, backlog) != 0)
            std::abort();
    }
    ~RawListener() { ::close(m_fd); }
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    Endpoint endpoint() const { return SocketAddress::ofSocket(m_fd).value().endpoint(); }
    /// Returns the next connection, or -1.
    int accept() { return ::accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK); }

private:
    int m_fd;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_TESTS_RAWSOCKET_H
