#ifndef CURRANTWALK_NET_EVENTLOOP_H
#define CURRANTWALK_NET_EVENTLOOP_H

#include <memory>
#include <optional>

#include "base/error.h"
#include "base/timerservice.h"
#include "net/http.h"

namespace currantwalk {

/// The one loop of a process, with the timer service, the HTTP server and the HTTP client on it.
class EventLoop
{
public:
    /// TLS for the client side is set here because the library keeps one context for a loop.
    struct Options
    {
        std::optional<TlsFiles> clientTls;
        std::size_t maxIdleConnectionsPerEndpoint = 64;
        std::size_t maxHeadBytes = std::size_t{64} * 1024; ///< Of an answer's head.
    };

    static absl::StatusOr<std::unique_ptr<EventLoop>> create(const Options &options);

    virtual ~EventLoop() = default;

    virtual TimerService &timers() = 0;
    virtual HttpServer &server() = 0;
    virtual HttpClient &client() = 0;

    /// Runs until stop() is called. Callbacks run on this thread.
    virtual void run() = 0;
    /// Runs what is ready, waiting at most \a limit for something to become so.
    virtual void runOnce(Duration limit) = 0;
    virtual void stop() = 0;
    /// Calls \a callback on the loop when the process gets the signal \a number.
    virtual absl::Status onSignal(int number, std::function<void()> callback) = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_EVENTLOOP_H
