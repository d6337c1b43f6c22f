#include "net/signalwatch.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include "net/socketaddress.h"

namespace currantwalk {

SignalWatch::~SignalWatch()
{
    if (!m_socket)
        return;
    h2o_socket_close(m_socket);
    sigprocmask(SIG_UNBLOCK, &m_mask, nullptr);
}

absl::Status SignalWatch::watch(int number, std::function<void()> callback)
{
    sigset_t mask = m_mask;
    if (sigaddset(&mask, number) != 0)
        return systemCallError("sigaddset");
    if (sigprocmask(SIG_BLOCK, &mask, nullptr) != 0)
        return systemCallError("sigprocmask");
    const int existing = m_socket ? h2o_socket_get_fd(m_socket) : -1;
    const int fd = signalfd(existing, &mask, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd < 0)
        return systemCallError("signalfd");
    m_mask = mask;
    m_callbacks[number] = std::move(callback);
    if (m_socket)
        return absl::OkStatus();
    m_socket = h2o_evloop_socket_create(m_loop, fd, H2O_SOCKET_FLAG_DONT_READ);
    m_socket->data = this;
    h2o_socket_read_start(m_socket, &SignalWatch::onReadable);
    return absl::OkStatus();
}

void SignalWatch::onReadable(h2o_socket_t *socket, const char *error)
{
    if (!error)
        static_cast<SignalWatch *>(socket->data)->deliver();
}

void SignalWatch::deliver()
{
    signalfd_siginfo info;
    while (read(h2o_socket_get_fd(m_socket), &info, sizeof(info)) == sizeof(info)) {
        const auto it = m_callbacks.find(static_cast<int>(info.ssi_signo));
        if (it == m_callbacks.end())
            continue;
        const std::function<void()> callback = it->second;
        callback();
    }
}

} // namespace currantwalk
