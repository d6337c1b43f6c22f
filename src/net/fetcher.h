#ifndef CURRANTWALK_NET_FETCHER_H
#define CURRANTWALK_NET_FETCHER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "base/error.h"
#include "base/timerservice.h"
#include "net/http.h"

namespace currantwalk {

/// How a fetch ended. `progress` tells what a failure proves.
struct FetchResult
{
    absl::Status status;
    /// Whole where status is ok(), whatever its HTTP status; else what has arrived, with the HTTP
    /// status 0 if the head has not.
    HttpResponse response;
    SendProgress progress = SendProgress::NothingSent;
};

/// Names a fetch; 0 names none.
using FetchId = std::uint64_t;

/// Sends requests whose answers are small, and collects each answer whole.
class Fetcher
{
public:
    using Callback = std::function<void(FetchResult)>;

    /// \a client and \a timers must outlive the fetcher.
    Fetcher(HttpClient &client, TimerService &timers, std::size_t maxBodyBytes);
    ~Fetcher();

    Fetcher(const Fetcher &) = delete;
    Fetcher &operator=(const Fetcher &) = delete;

    /// Calls \a callback once, later. \a timeout covers the whole exchange; past it the result is
    /// DeadlineExceeded.
    FetchId fetch(const HttpCallOptions &options, HttpRequest request, Duration timeout,
                  Callback callback);
    /// Drops a fetch and closes its connection; its callback is not called.
    void abandon(FetchId id);

private:
    struct Fetch;

    void end(FetchId id, absl::Status status);
    void deliver(FetchId id);

    HttpClient &m_client;
    TimerService &m_timers;
    const std::size_t m_maxBodyBytes;
    std::map<FetchId, std::unique_ptr<Fetch>> m_fetches;
    FetchId m_lastId = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_FETCHER_H
