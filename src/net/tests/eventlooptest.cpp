#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>

#include "net/eventloop.h"
#include "net/fetcher.h"
#include "net/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static constexpr int MaxRounds = 20000;

TEST_GROUP(EventLoop)
{
    std::unique_ptr<EventLoop> loop;
    Endpoint server;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    HttpResponseHead head;
    std::string body;
    std::optional<absl::Status> status;

    void setup() override
    {
        absl::StatusOr<std::unique_ptr<EventLoop>> created = EventLoop::create({});
        CHECK(created.ok());
        loop = std::move(*created);
        HttpListenerOptions options;
        options.endpoint = {"127.0.0.1", 0};
        const absl::StatusOr<Endpoint> endpoint =
                loop->server().listen(options, [this](std::shared_ptr<HttpExchange> exchange) {
                    exchanges.push_back(std::move(exchange));
                });
        CHECK(endpoint.ok());
        server = *endpoint;
    }

    void teardown() override
    {
        exchanges.clear();
        loop.reset();
        status.reset();
    }

    template<typename Predicate>
    bool runUntil(Predicate predicate)
    {
        for (int round = 0; round < MaxRounds; ++round) {
            if (predicate())
                return true;
            loop->runOnce(1ms);
        }
        return false;
    }

    HttpCallHooks hooks()
    {
        return {[this](const HttpResponseHead &received) { head = received; },
                [this](std::string_view part) { body += part; },
                [this](const absl::Status &ended) { status = ended; }};
    }

    std::unique_ptr<HttpCall> send(HttpRequest request)
    {
        HttpCallOptions options;
        options.endpoint = server;
        return loop->client().send(options, std::move(request), hooks());
    }

    HttpExchange &accept()
    {
        const std::size_t before = exchanges.size();
        CHECK(runUntil([&] { return exchanges.size() > before; }));
        return *exchanges.back();
    }
};

TEST(EventLoop, timersRunInOrder)
{
    std::vector<int> fired;
    loop->timers().scheduleAfter(3ms, [&] { fired.push_back(2); });
    loop->timers().scheduleAfter(1ms, [&] { fired.push_back(1); });
    const TimerId cancelled = loop->timers().scheduleAfter(2ms, [&] { fired.push_back(9); });
    loop->timers().cancel(cancelled);
    CHECK(runUntil([&] { return fired.size() == 2; }));
    CHECK((fired == std::vector<int>{1, 2}));
}

// Guards against a pause of the process that passes for the silence of another one: the answer has
// arrived meanwhile, and the timer that waits for it has come due.
TEST(EventLoop, answersThatArrivedInAPauseComeBeforeTimersThatCameDue)
{
    static constexpr Duration Pause = 600ms;
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const SocketAddress any = SocketAddress::fromEndpoint({"127.0.0.1", 0}).value();
    CHECK(::bind(listener, any.data(), any.size()) == 0 && ::listen(listener, 1) == 0);
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &size);
    Fetcher fetcher(loop->client(), loop->timers(), 100);
    std::vector<std::string> order;
    std::unique_ptr<RawSocket> answerer;
    HttpCallOptions options;
    options.endpoint = {"127.0.0.1", ntohs(bound.sin_port)};
    const TimerId overdue =
            loop->timers().scheduleAfter(400ms, [&order] { order.emplace_back("overdue"); });
    loop->timers().scheduleAfter(200ms, [&order] { order.emplace_back("due"); });
    fetcher.fetch(options, {"GET", "/", {}, ""}, 500ms, [&](const FetchResult &result) {
        order.emplace_back(result.status.ok() ? "answer" : "failure");
        loop->timers().cancel(overdue);
    });
    loop->timers().scheduleAfter(100ms, [listener, &answerer] {
        answerer = std::make_unique<RawSocket>(::accept(listener, nullptr, nullptr));
        answerer->send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        std::this_thread::sleep_for(Pause);
    });
    CHECK(runUntil([&order] { return order.size() >= 2; }));
    STRCMP_EQUAL("answer", order.at(0).c_str());
    STRCMP_EQUAL("due", order.at(1).c_str());
    ::close(listener);
}

// Guards against timers that never run where each round of the loop takes long.
TEST(EventLoop, timersRunAlsoWhereRoundsAreLong)
{
    int rounds = 0;
    bool hasRun = false;
    loop->timers().scheduleAfter(10ms, [&hasRun] { hasRun = true; });
    const std::function<void()> work = [&] {
        std::this_thread::sleep_for(300ms);
        if (++rounds < 4 && !hasRun)
            loop->timers().scheduleAfter(0ms, work);
    };
    loop->timers().scheduleAfter(0ms, work);
    CHECK(runUntil([&] { return hasRun || rounds >= 4; }));
    CHECK(hasRun);
}

TEST(EventLoop, runEndsOnStop)
{
    int rounds = 0;
    loop->timers().scheduleAfter(1ms, [&] {
        ++rounds;
        loop->stop();
    });
    loop->run();
    CHECK_EQUAL(1, rounds);
}

TEST(EventLoop, signalArrivesAsCallback)
{
    int count = 0;
    CHECK(loop->onSignal(SIGUSR1, [&] { ++count; }).ok());
    raise(SIGUSR1);
    CHECK(runUntil([&] { return count == 1; }));
}

TEST(EventLoop, wholeExchange)
{
    const std::unique_ptr<HttpCall> call =
            send({"POST", "/echo?x=1", {{"x-a", "b"}, {"content-type", "text/plain"}}, "hello"});
    HttpExchange &exchange = accept();
    STRCMP_EQUAL("POST", exchange.request().method.c_str());
    STRCMP_EQUAL("/echo?x=1", exchange.request().path.c_str());
    STRCMP_EQUAL("hello", exchange.request().body.c_str());
    CHECK(findHeader(exchange.request().headers, "x-a") == "b");
    STRCMP_EQUAL("127.0.0.1", exchange.remoteAddress().c_str());
    respond(exchange, 201, "text/plain", "world");
    CHECK(runUntil([&] { return status.has_value(); }));
    CHECK(status->ok());
    CHECK_EQUAL(201, head.status);
    CHECK(findHeader(head.headers, "content-type") == "text/plain");
    STRCMP_EQUAL("world", body.c_str());
}

TEST(EventLoop, streamedAnswerArrivesInParts)
{
    const std::unique_ptr<HttpCall> call = send({"GET", "/", {}, {}});
    HttpExchange &exchange = accept();
    exchange.start({200, {{"content-type", "text/event-stream"}}});
    for (int i = 0; i < 5; ++i) {
        const std::string part = "data: " + std::to_string(i) + "\n\n";
        const std::string expected = body + part;
        exchange.write(part);
        CHECK(runUntil([&] { return body == expected; }));
        CHECK(!status);
    }
    exchange.finish();
    CHECK(runUntil([&] { return status.has_value(); }));
    CHECK(status->ok());
}

TEST(EventLoop, connectionIsReusedAfterAWholeAnswer)
{
    for (int i = 0; i < 3; ++i) {
        status.reset();
        const std::unique_ptr<HttpCall> call = send({"GET", "/", {}, {}});
        respond(accept(), 200, "text/plain", "x");
        CHECK(runUntil([&] { return status.has_value(); }));
        CHECK(status->ok());
    }
    CHECK_EQUAL(1U, loop->server().connections());
}

TEST(EventLoop, abandonedExchangeClosesItsConnection)
{
    std::unique_ptr<HttpCall> call = send({"GET", "/", {}, {}});
    HttpExchange &exchange = accept();
    int closed = 0;
    exchange.onClosed([&] { ++closed; });
    exchange.start({});
    exchange.write("part");
    CHECK(runUntil([&] { return body == "part"; }));
    call.reset();
    CHECK(runUntil([&] { return closed == 1 && loop->server().connections() == 0; }));
    CHECK(exchange.isClosed());
    CHECK(!status);
}

TEST(EventLoop, callerThatLeavesBeforeTheAnswerIsNoticed)
{
    std::unique_ptr<HttpCall> call = send({"GET", "/", {}, {}});
    HttpExchange &exchange = accept();
    int closed = 0;
    exchange.onClosed([&] { ++closed; });
    call.reset();
    CHECK(runUntil([&] { return closed == 1 && loop->server().connections() == 0; }));
    exchange.write("too late");
    exchange.finish();
    loop->runOnce(1ms);
}

TEST(EventLoop, abortIsSeenAsConnectionLost)
{
    for (const bool isChunked : {true, false}) {
        status.reset();
        body.clear();
        const std::unique_ptr<HttpCall> call = send({"GET", "/", {}, {}});
        HttpExchange &exchange = accept();
        exchange.start({200, isChunked ? HttpHeaders{} : HttpHeaders{{"content-length", "10"}}});
        exchange.write("part");
        CHECK(runUntil([&] { return body == "part"; }));
        exchange.abort();
        CHECK(runUntil([&] { return status.has_value(); }));
        CHECK(!status->ok());
        CHECK(errorCode(*status) == ErrorCode::ConnectionLost);
        CHECK(call->progress() == SendProgress::Sent);
    }
}

TEST(EventLoop, shortAnswerIsNotWhole)
{
    const std::unique_ptr<HttpCall> call = send({"GET", "/", {}, {}});
    HttpExchange &exchange = accept();
    exchange.start({200, {{"content-length", "10"}}});
    exchange.write("short");
    exchange.finish();
    CHECK(runUntil([&] { return status.has_value(); }));
    CHECK(errorCode(*status) == ErrorCode::ConnectionLost);
}

TEST(EventLoop, droppedExchangeEndsItsConnection)
{
    const std::unique_ptr<HttpCall> call = send({"GET", "/", {}, {}});
    accept();
    exchanges.clear();
    CHECK(runUntil([&] { return status.has_value(); }));
    CHECK(errorCode(*status) == ErrorCode::ConnectionLost);
    CHECK(call->progress() == SendProgress::Sent);
}

TEST(EventLoop, refusedConnectionSendsNothing)
{
    server.port = 1;
    const std::unique_ptr<HttpCall> call = send({"GET", "/", {}, {}});
    CHECK(!status);
    CHECK(runUntil([&] { return status.has_value(); }));
    CHECK(errorCode(*status) == ErrorCode::ConnectFailed);
    CHECK(call->progress() == SendProgress::NothingSent);
}

TEST(EventLoop, backPressureReachesTheWriter)
{
    constexpr std::size_t PartSize = std::size_t{256} * 1024;
    constexpr std::size_t Total = 64 * PartSize;
    std::unique_ptr<HttpCall> call = send({"GET", "/", {}, {}});
    HttpExchange &exchange = accept();
    std::size_t written = 0;
    const auto writePart = [&] {
        if (written == Total) {
            exchange.finish();
            return;
        }
        written += PartSize;
        exchange.write(std::string(PartSize, 'x'));
    };
    exchange.onDrained(writePart);
    call->pause();
    exchange.start({});
    writePart();
    std::size_t before = 0;
    int still = 0;
    CHECK(runUntil([&] {
        still = written == before ? still + 1 : 0;
        before = written;
        return still == 50;
    }));
    CHECK(written < Total);
    CHECK(exchange.pendingBytes() > 0);
    CHECK(body.empty());
    call->resume();
    CHECK(runUntil([&] { return status.has_value(); }));
    CHECK(status->ok());
    CHECK_EQUAL(Total, body.size());
}

TEST(EventLoop, serverListensOnIpv6)
{
    HttpListenerOptions options;
    options.endpoint = {"::1", 0};
    const absl::StatusOr<Endpoint> endpoint =
            loop->server().listen(options, [](const std::shared_ptr<HttpExchange> &exchange) {
                respond(*exchange, 200, "text/plain", exchange->remoteAddress());
            });
    CHECK(endpoint.ok());
    server = *endpoint;
    const std::unique_ptr<HttpCall> call = send({"GET", "/", {}, {}});
    CHECK(runUntil([&] { return status.has_value(); }));
    CHECK(status->ok());
    STRCMP_EQUAL("::1", body.c_str());
}

TEST(EventLoop, destructionReleasesOpenExchanges)
{
    const std::unique_ptr<HttpCall> call = send({"GET", "/", {}, {}});
    accept().start({});
    loop.reset();
    CHECK(exchanges.back()->isClosed());
}
