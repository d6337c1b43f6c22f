#ifndef CURRANTWALK_NET_SIGNALWATCH_H
#define CURRANTWALK_NET_SIGNALWATCH_H

#include <csignal>
#include <functional>
#include <map>

#include "base/error.h"
#include "net/h2oapi.h"

namespace currantwalk {

/// Delivers signals of the process as callbacks on the loop.
class SignalWatch
{
public:
    explicit SignalWatch(h2o_loop_t *loop) : m_loop(loop) { sigemptyset(&m_mask); }
    ~SignalWatch();
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

    /// Replaces the callback of the signal \a number. Fails with SystemCallFailed.
    absl::Status watch(int number, std::function<void()> callback);

private:
    static void onReadable(h2o_socket_t *socket, const char *error);
    void deliver();

    h2o_loop_t *m_loop;
    h2o_socket_t *m_socket = nullptr;
    sigset_t m_mask;
    std::map<int, std::function<void()>> m_callbacks;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_SIGNALWATCH_H
