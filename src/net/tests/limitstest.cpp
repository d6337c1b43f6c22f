#include <algorithm>
#include <string>
#include <vector>

#include "base/json.h"
#include "net/tests/looptesting.h"
#include "net/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static constexpr std::size_t MaxHeadBytes = 2000;
static constexpr std::size_t MaxBodyBytes = 1000;
static constexpr std::size_t MaxConnections = 4;

static HttpListenerOptions tightLimits()
{
    HttpListenerOptions options;
    options.maxHeadBytes = MaxHeadBytes;
    options.maxBodyBytes = MaxBodyBytes;
    options.maxConnections = MaxConnections;
    options.requestTimeout = 100ms;
    return options;
}

TEST_GROUP(Limits)
{
    LoopBench bench{tightLimits()};
    std::vector<HttpRequest> requests;

    void setup() override
    {
        bench.handler = [this](const std::shared_ptr<HttpExchange> &exchange) {
            requests.push_back(exchange->request());
            respond(*exchange, 200, "text/plain", "served");
        };
    }

    /// Sends \a bytes and runs until the server closes the connection or has sent \a expected.
    std::string talk(std::string_view bytes, std::string_view expected)
    {
        RawSocket socket(bench.server);
        bool isExpected = false;
        const bool hasEnded = bench.runUntil([&] {
            bytes = socket.send(bytes);
            socket.receive();
            isExpected = bytes.empty() && socket.received().find(expected) != std::string::npos;
            return socket.isClosed() || isExpected;
        });
        CHECK(hasEnded);
        return socket.received();
    }

    /// Checks that \a request gets \a status and a closed connection, and reaches no handler.
    void checkRefused(const std::string &request, const std::string &status)
    {
        const std::string answer = talk(request, "never");
        STRCMP_CONTAINS(("HTTP/1.1 " + status).c_str(), answer.c_str());
        CHECK(requests.empty());
    }

    void checkStillServing()
    {
        requests.clear();
        STRCMP_CONTAINS("served", talk("GET / HTTP/1.1\r\nhost: a\r\n\r\n", "served").c_str());
        CHECK_EQUAL(1U, requests.size());
    }
};

TEST(Limits, malformedRequestsAreRefused)
{
    const std::string post = "POST / HTTP/1.1\r\n";
    for (const std::string &request :
         {std::string("\0\1\2\3\r\n\r\n", 8), std::string("nonsense\r\n\r\n"),
          std::string("GET\r\n\r\n"), std::string("GET / HTTP/9.9\r\n\r\n"),
          std::string("GET / HTTP/1.1\r\nno colon\r\n\r\n"),
          std::string("GET / HTTP/1.1\r\na: b\r\n c\r\n\r\n"),
          std::string("GET / HTTP/1.1\r\na\0b: c\r\n\r\n", 26),
          std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
          std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xFC\x03\x03", 11),
          post + "content-length: many\r\n\r\n", post + "content-length: -1\r\n\r\n",
          post + "content-length: 3, 4\r\n\r\nabcd",
          post + "content-length: 99999999999999999999999\r\n\r\n",
          post + "transfer-encoding: chunked\r\n\r\nzz\r\n",
          post + "transfer-encoding: other\r\n\r\n"})
        checkRefused(request, "400");
    checkStillServing();
}

TEST(Limits, bodyWithTwoLengthsIsRefused)
{
    const std::string post = "POST / HTTP/1.1\r\nhost: a\r\n";
    checkRefused("\r\n" + post + "content-length: 3\r\ncontent-length: 4\r\n\r\nabcd", "400");
    checkRefused(post + "content-length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400");
    checkRefused(
            post + "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
            "400");
    checkStillServing();
}

TEST(Limits, oversizedBodiesAreTypedErrors)
{
    const std::string post = "POST / HTTP/1.1\r\n";
    for (const std::string &request : {post + "content-length: 1001\r\n\r\n",
                                       post + "transfer-encoding: chunked\r\n\r\n400\r\n"
                                               + std::string(1024, 'x') + "\r\n0\r\n\r\n"}) {
        const std::string answer = talk(request, "never");
        STRCMP_CONTAINS("HTTP/1.1 413", answer.c_str());
        const absl::StatusOr<Json::Value> body = parseJson(answer.substr(answer.find("\r\n\r\n")));
        CHECK(body.ok());
        STRCMP_EQUAL("request_too_large", (*body)["error"]["code"].asCString());
        STRCMP_EQUAL("not-run", (*body)["error"]["outcome"].asCString());
    }
    CHECK(requests.empty());
    const std::string largest = post + "content-length: 1000\r\n\r\n" + std::string(1000, 'x');
    STRCMP_CONTAINS("served", talk(largest, "served").c_str());
}

TEST(Limits, oversizedHeadsAreRefused)
{
    const std::string start = "GET / HTTP/1.1\r\n";
    checkRefused(start + "a: " + std::string(MaxHeadBytes, 'x') + "\r\n\r\n", "413");
    std::string manyFields = start;
    for (int i = 0; i < 200; ++i)
        manyFields += "a: b\r\n";
    checkRefused(manyFields + "\r\n", "400");
    const std::string largest = start + "a: " + std::string(1900, 'x') + "\r\n\r\n";
    STRCMP_CONTAINS("served", talk(largest, "served").c_str());
}

TEST(Limits, headWithoutEndIsCutOff)
{
    const std::string start = "GET / HTTP/1.1\r\na: ";
    RawSocket socket(bench.server);
    const std::string filler(65536, 'x');
    std::string_view rest = start;
    std::size_t sent = 0;
    CHECK(bench.runUntil([&] {
        const std::size_t before = rest.size();
        rest = socket.send(rest);
        sent += before - rest.size();
        if (rest.empty())
            rest = filler;
        socket.receive();
        return socket.isClosed();
    }));
    CHECK(requests.empty());
    checkStillServing();
}

TEST(Limits, truncatedRequestsReachNoHandler)
{
    for (const char *request : {"", "GET", "GET / HTTP/1.1\r\nhost: a\r\n",
                                "POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc",
                                "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nab"}) {
        {
            RawSocket socket(bench.server);
            bench.runUntil([&] { return bench.loop->server().connections() == 1; });
            socket.send(request);
            bench.loop->runOnce(1ms);
        }
        CHECK(bench.runUntil([this] { return bench.loop->server().connections() == 0; }));
    }
    CHECK(requests.empty());
    checkStillServing();
}

TEST(Limits, slowSendersAreCutOff)
{
    for (const std::string &request :
         {std::string("GET / HTTP/1.1\r\n") + std::string(500, 'a') + ": b\r\n",
          std::string("POST / HTTP/1.1\r\ncontent-length: 900\r\n\r\n") + std::string(800, 'x')}) {
        RawSocket socket(bench.server);
        std::size_t at = 0;
        CHECK(bench.runUntil([&] {
            if (at < request.size() - 1)
                socket.send(std::string_view(request).substr(at++, 1));
            socket.receive();
            return socket.isClosed();
        }));
        CHECK(at > 1);
        CHECK(at < request.size() - 1);
    }
    CHECK(requests.empty());
    checkStillServing();
}

TEST(Limits, connectionsBeyondTheLimitAreClosed)
{
    std::vector<std::unique_ptr<RawSocket>> sockets;
    for (std::size_t i = 0; i < MaxConnections; ++i)
        sockets.push_back(std::make_unique<RawSocket>(bench.server));
    CHECK(bench.runUntil([this] { return bench.loop->server().connections() == MaxConnections; }));
    RawSocket beyond(bench.server);
    CHECK(bench.runUntil([&] {
        beyond.receive();
        return beyond.isClosed();
    }));
    CHECK(beyond.received().empty());
    sockets.clear();
    CHECK(bench.runUntil([this] { return bench.loop->server().connections() == 0; }));
    checkStillServing();
}

TEST(Limits, pipelinedRequestsAreAnsweredInOrder)
{
    std::vector<std::shared_ptr<HttpExchange>> held;
    bench.handler = [&held](std::shared_ptr<HttpExchange> exchange) {
        held.push_back(std::move(exchange));
    };
    RawSocket socket(bench.server);
    const std::string both = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
    std::string_view rest = both;
    CHECK(bench.runUntil([&] {
        rest = socket.send(rest);
        return held.size() == 1;
    }));
    bench.loop->runOnce(1ms);
    CHECK_EQUAL(1U, held.size());
    respond(*held[0], 200, "text/plain", "one");
    CHECK(bench.runUntil([&] { return held.size() == 2; }));
    STRCMP_EQUAL("/2", held[1]->request().path.c_str());
    respond(*held[1], 200, "text/plain", "two");
    CHECK(bench.runUntil([&] {
        socket.receive();
        return socket.received().find("two") != std::string::npos;
    }));
    CHECK(socket.received().find("one") < socket.received().find("two"));
}

TEST(Limits, callerThatPipelinesAndLeavesIsNoticed)
{
    std::vector<std::shared_ptr<HttpExchange>> held;
    int closed = 0;
    bench.handler = [&](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->onClosed([&closed] { ++closed; });
        held.push_back(exchange);
    };
    auto socket = std::make_unique<RawSocket>(bench.server);
    const std::string request = "GET /1 HTTP/1.1\r\n\r\n";
    std::string_view rest = request;
    CHECK(bench.runUntil([&] {
        rest = socket->send(rest);
        return held.size() == 1;
    }));
    CHECK(socket->send(request).empty());
    bench.loop->runOnce(1ms);
    socket.reset();
    CHECK(bench.runUntil([&closed] { return closed == 1; }));
    CHECK_EQUAL(1U, held.size());
}
