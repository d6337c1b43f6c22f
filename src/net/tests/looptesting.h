#ifndef CURRANTWALK_NET_TESTS_LOOPTESTING_H
#define CURRANTWALK_NET_TESTS_LOOPTESTING_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/eventloop.h"

namespace currantwalk {

/// A loop with one listener that keeps the exchanges it gets, for tests.
struct LoopBench
{
    explicit LoopBench(HttpListenerOptions options = {}, const EventLoop::Options &loopOptions = {})
    {
        loop = std::move(EventLoop::create(loopOptions).value());
        options.endpoint = {"127.0.0.1", 0};
        server = loop->server()
                         .listen(options,
                                 [this](std::shared_ptr<HttpExchange> exchange) {
                                     if (handler)
                                         handler(std::move(exchange));
                                     else
                                         exchanges.push_back(std::move(exchange));
                                 })
                         .value();
    }

    /// Runs the loop until \a predicate holds; false where it does not within many rounds.
    template<typename Predicate>
    bool runUntil(Predicate predicate)
    {
        static constexpr int MaxRounds = 20000;
        for (int round = 0; round < MaxRounds; ++round) {
            if (predicate())
                return true;
            loop->runOnce(std::chrono::milliseconds(1));
        }
        return false;
    }

    std::unique_ptr<EventLoop> loop;
    Endpoint server;
    HttpHandler handler; ///< Where set, takes the exchanges.
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
};

/// What a client exchange reported.
struct CallRecord
{
    HttpCallHooks hooks()
    {
        return {[this](const HttpResponseHead &received) { head = received; },
                [this](std::string_view part) { body += part; },
                [this](const absl::Status &ended) { status = ended; }};
    }

    HttpResponseHead head;
    std::string body;
    std::optional<absl::Status> status;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_TESTS_LOOPTESTING_H
