#include <string>
#include <vector>

#include "net/tests/looptesting.h"
#include "net/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static constexpr std::size_t MaxHeadBytes = 4096;

static EventLoop::Options smallHeads()
{
    EventLoop::Options options;
    options.maxHeadBytes = MaxHeadBytes;
    return options;
}

/// The client against a server that writes what a test says, byte by byte.
TEST_GROUP(Client)
{
    LoopBench bench{{}, smallHeads()};
    RawListener listener;
    HttpCallOptions options;
    CallRecord record;
    std::unique_ptr<HttpCall> sent;
    std::unique_ptr<RawSocket> peer;

    void setup() override
    {
        options.endpoint = listener.endpoint();
    }

    void send(HttpRequest request = {"GET", "/", {}, {}})
    {
        record = {};
        sent = bench.loop->client().send(options, std::move(request), record.hooks());
    }

    void acceptPeer()
    {
        CHECK(bench.runUntil([this] {
            const int fd = listener.accept();
            if (fd < 0)
                return false;
            peer = std::make_unique<RawSocket>(fd);
            return true;
        }));
    }

    void awaitRequest()
    {
        CHECK(bench.runUntil([this] {
            peer->receive();
            return peer->received().find("\r\n\r\n") != std::string::npos;
        }));
    }

    absl::Status end()
    {
        CHECK(bench.runUntil([this] { return record.status.has_value(); }));
        return *record.status;
    }

    /// Lets the peer answer with \a bytes and close, and returns how the exchange ended.
    absl::Status answerAndClose(std::string_view bytes)
    {
        send();
        acceptPeer();
        awaitRequest();
        peer->send(bytes);
        peer.reset();
        return end();
    }
};

TEST(Client, malformedAnswersAreTypedErrors)
{
    for (const char *answer :
         {"nonsense\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length:\r\n\r\n", "HTTP/1.1 200 OK\ncontent-length: -1\n\n",
          "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
          "HTTP/1.1 200 OK\r\na: b\r\n c\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: other\r\n\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"}) {
        const absl::Status status = answerAndClose(answer);
        CHECK(!status.ok());
        CHECK_TEXT(errorCode(status) == ErrorCode::TargetProtocolError, answer);
        CHECK(sent->progress() == SendProgress::Sent);
    }
}

TEST(Client, truncatedAnswersAreConnectionLost)
{
    for (const char *answer :
         {"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\na: b\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcd",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabc",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0"}) {
        const absl::Status status = answerAndClose(answer);
        CHECK_TEXT(!status.ok(), answer);
        CHECK_TEXT(errorCode(status) == ErrorCode::ConnectionLost, answer);
    }
}

TEST(Client, wholeAnswersOfEachForm)
{
    for (const char *answer :
         {"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
          "HTTP/1.0 200 OK\r\n\r\nabc"}) {
        CHECK_TEXT(answerAndClose(answer).ok(), answer);
        STRCMP_EQUAL("abc", record.body.c_str());
        CHECK_EQUAL(200, record.head.status);
    }
}

// Guards against waiting for a body that such answers never have.
TEST(Client, answersWithoutABodyAreWholeBehindTheirHead)
{
    for (const char *answer : {"HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n",
                               "HTTP/1.1 304 Not Modified\r\n\r\n",
                               "HTTP/1.1 204 No Content\r\ntransfer-encoding: chunked\r\n\r\n"}) {
        send();
        acceptPeer();
        awaitRequest();
        peer->send(answer);
        CHECK_TEXT(end().ok(), answer);
        STRCMP_EQUAL("", record.body.c_str());
        peer.reset();
        bench.runUntil([rounds = 0]() mutable { return ++rounds > 5; });
    }
}

// Guards against a value that is taken for none, or for another one, because of such space.
TEST(Client, whiteSpaceAroundAValueIsNoPartOfIt)
{
    CHECK(answerAndClose("HTTP/1.1 200 OK\r\nretry-after:\t 6 \t\r\nempty: \r\n"
                         "content-length: 0\r\n\r\n")
                  .ok());
    CHECK(findHeader(record.head.headers, "retry-after") == "6");
    CHECK(findHeader(record.head.headers, "empty") == "");
}

TEST(Client, oversizedHeadIsATypedError)
{
    send();
    acceptPeer();
    awaitRequest();
    const std::string head = "HTTP/1.1 200 OK\r\na: " + std::string(2 * MaxHeadBytes, 'x');
    peer->send(head);
    CHECK(errorCode(end()) == ErrorCode::TargetProtocolError);
    CHECK(bench.runUntil([this] {
        peer->receive();
        return peer->isClosed();
    }));
}

TEST(Client, headTimeoutExceedsTheDeadline)
{
    options.headTimeout = 20ms;
    send();
    acceptPeer();
    awaitRequest();
    peer->send("HTTP/1.1 200 OK\r\n");
    CHECK(errorCode(end()) == ErrorCode::DeadlineExceeded);
    CHECK(sent->progress() == SendProgress::Sent);
}

TEST(Client, idleTimeoutExceedsTheDeadline)
{
    options.idleTimeout = 20ms;
    send();
    acceptPeer();
    awaitRequest();
    peer->send("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab");
    CHECK(errorCode(end()) == ErrorCode::DeadlineExceeded);
    STRCMP_EQUAL("ab", record.body.c_str());
}

TEST(Client, pausedAnswerIsNotIdle)
{
    options.idleTimeout = 20ms;
    send();
    acceptPeer();
    awaitRequest();
    sent->pause();
    peer->send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab");
    bool isLater = false;
    bench.loop->timers().scheduleAfter(100ms, [&isLater] { isLater = true; });
    CHECK(bench.runUntil([&isLater] { return isLater; }));
    CHECK(!record.status);
    CHECK(record.body.empty());
    sent->resume();
    CHECK(end().ok());
    STRCMP_EQUAL("ab", record.body.c_str());
}

TEST(Client, connectTimeoutSendsNothing)
{
    // The kernel drops further attempts to connect once the queue of a listener is full.
    const RawListener full(0);
    std::vector<std::unique_ptr<RawSocket>> waiting;
    for (int i = 0; i < 4; ++i)
        waiting.push_back(std::make_unique<RawSocket>(full.endpoint()));
    options.endpoint = full.endpoint();
    options.connectTimeout = 20ms;
    send();
    CHECK(errorCode(end()) == ErrorCode::ConnectFailed);
    CHECK(sent->progress() == SendProgress::NothingSent);
}

TEST(Client, answerWithTrailingBytesEndsTheConnection)
{
    send();
    acceptPeer();
    awaitRequest();
    peer->send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\n\r\nother");
    CHECK(end().ok());
    STRCMP_EQUAL("a", record.body.c_str());
    CHECK(bench.runUntil([this] {
        peer->receive();
        return peer->isClosed();
    }));
}

TEST(Client, bytesOnAnIdleConnectionEndIt)
{
    send();
    acceptPeer();
    awaitRequest();
    peer->send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na");
    CHECK(end().ok());
    const std::unique_ptr<RawSocket> first = std::move(peer);
    first->send("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate");
    send();
    acceptPeer();
    awaitRequest();
    peer->send("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nnew");
    CHECK(end().ok());
    STRCMP_EQUAL("new", record.body.c_str());
}

TEST(Client, reusedConnectionThatClosesIsLostAfterSending)
{
    send();
    acceptPeer();
    awaitRequest();
    peer->send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na");
    CHECK(end().ok());
    send();
    CHECK(sent->progress() == SendProgress::Sent);
    peer.reset();
    CHECK(errorCode(end()) == ErrorCode::ConnectionLost);
    CHECK(sent->progress() == SendProgress::Sent);
}

TEST(Client, malformedRequestsAreNotSent)
{
    for (const HttpRequest &request :
         {HttpRequest{"GET", "/a b", {}, {}}, HttpRequest{"GET", "", {}, {}},
          HttpRequest{"G T", "/", {}, {}}, HttpRequest{"GET", "/", {{"a", "b\r\nc: d"}}, {}},
          HttpRequest{"GET", "/", {{"a b", "c"}}, {}}}) {
        send(request);
        CHECK(errorCode(end()) == ErrorCode::InvalidRequest);
        CHECK(sent->progress() == SendProgress::NothingSent);
    }
    CHECK_EQUAL(-1, listener.accept());
}

TEST(Client, callCanBeDestroyedWithinEachOfItsHooks)
{
    for (int hook = 0; hook < 3; ++hook) {
        int calls = 0;
        const auto destroyAt = [&](int number) {
            ++calls;
            if (number == hook)
                sent.reset();
        };
        HttpCallHooks hooks{[&](const HttpResponseHead &) { destroyAt(0); },
                            [&](std::string_view) { destroyAt(1); },
                            [&](const absl::Status &) { destroyAt(2); }};
        options.endpoint = bench.server;
        bench.handler = [](const std::shared_ptr<HttpExchange> &exchange) {
            respond(*exchange, 200, "text/plain", "a");
        };
        sent = bench.loop->client().send(options, {"GET", "/", {}, {}}, std::move(hooks));
        CHECK(bench.runUntil([this] { return !sent; }));
        bench.loop->runOnce(1ms);
        CHECK_EQUAL(hook + 1, calls);
    }
}

TEST(Client, idleConnectionsAreBounded)
{
    EventLoop::Options loopOptions;
    loopOptions.maxIdleConnectionsPerEndpoint = 2;
    LoopBench bounded({}, loopOptions);
    options.endpoint = bounded.server;
    std::vector<CallRecord> records(5);
    std::vector<std::unique_ptr<HttpCall>> calls;
    for (CallRecord &each : records)
        calls.push_back(bounded.loop->client().send(options, {"GET", "/", {}, {}}, each.hooks()));
    CHECK(bounded.runUntil([&] { return bounded.exchanges.size() == records.size(); }));
    for (const std::shared_ptr<HttpExchange> &exchange : bounded.exchanges)
        respond(*exchange, 200, "text/plain", "x");
    CHECK(bounded.runUntil([&] { return bounded.loop->server().connections() == 2; }));
    for (const CallRecord &each : records)
        CHECK(each.status && each.status->ok());
}

// Without a length, the end of the connection is the end of the body; a reset is not.
TEST(Client, aResetWithinABodyWithoutLengthIsConnectionLost)
{
    for (const bool isBodySent : {true, false}) {
        send();
        acceptPeer();
        awaitRequest();
        peer->send("HTTP/1.1 200 OK\r\n\r\n");
        bench.runUntil([rounds = 0]() mutable { return ++rounds > 20; });
        if (isBodySent) {
            peer->send("part");
            CHECK(bench.runUntil([this] { return record.body == "part"; }));
        }
        peer->reset();
        const absl::Status status = end();
        CHECK(!status.ok());
        CHECK(errorCode(status) == ErrorCode::ConnectionLost);
    }
}

TEST(Client, aRequestThatIsWithdrawnBeforeItIsWrittenProvesThatNothingWasSent)
{
    record = {};
    HttpCallHooks hooks = record.hooks();
    hooks.mayWrite = [] { return false; };
    sent = bench.loop->client().send(options, {"GET", "/", {}, {}}, std::move(hooks));
    const absl::Status status = end();
    CHECK(errorCode(status) == ErrorCode::Cancelled);
    CHECK(sent->progress() == SendProgress::NothingSent);
}

TEST(Client, aConnectionThatIsNotKeptServesOneExchange)
{
    options.isConnectionKept = false;
    for (int round = 0; round < 2; ++round) {
        send();
        acceptPeer();
        awaitRequest();
        peer->send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        CHECK(end().ok());
    }
}
