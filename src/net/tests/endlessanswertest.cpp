#include <string>
#include <vector>

#include "net/tests/looptesting.h"
#include "net/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// The client against a server whose bytes are no answer and never end until the client closes.
TEST_GROUP(EndlessAnswer)
{
    static constexpr std::size_t MaxHeadBytes = 4096;
    // What the sockets of both sides may hold besides.
    static constexpr std::size_t SocketBytes = std::size_t{8} * 1024 * 1024;

    LoopBench bench{{}, options()};
    RawListener listener;
    std::unique_ptr<RawSocket> peer;
    std::unique_ptr<HttpCall> call;
    std::optional<absl::Status> end;
    std::size_t bodyBytes = 0;
    std::size_t sentBytes = 0;

    static EventLoop::Options options()
    {
        EventLoop::Options options;
        options.maxHeadBytes = MaxHeadBytes;
        return options;
    }

    void start()
    {
        peer.reset();
        HttpCallOptions callOptions;
        callOptions.endpoint = listener.endpoint();
        callOptions.isConnectionKept = false;
        call = bench.loop->client().send(
                callOptions, {"GET", "/", {}, {}},
                {[](const HttpResponseHead &) {},
                 [this](std::string_view part) { bodyBytes += part.size(); },
                 [this](const absl::Status &status) { end = status; }});
        CHECK(bench.runUntil([this] {
            const int fd = listener.accept();
            if (fd >= 0)
                peer = std::make_unique<RawSocket>(fd);
            if (peer)
                peer->receive();
            // Nothing may be written before the request.
            return peer && peer->received().find("\r\n\r\n") != std::string::npos;
        }));
    }

    /// Sends \a beginning and then \a repeated until the client closes or has taken \a maxBytes.
    void sendEndlessly(std::string_view beginning, const std::string &repeated,
                       std::size_t maxBytes)
    {
        std::string_view rest = beginning;
        CHECK(bench.runUntil([&] {
            const std::size_t before = rest.size();
            rest = peer->send(rest);
            sentBytes += before - rest.size();
            if (rest.empty())
                rest = repeated;
            peer->receive();
            return end.has_value() || peer->isClosed() || sentBytes > maxBytes;
        }));
    }

    void checkIsRefused(const char *beginning, const std::string &repeated)
    {
        end.reset();
        sentBytes = 0;
        start();
        sendEndlessly(beginning, repeated, MaxHeadBytes + SocketBytes);
        CHECK_TEXT(end.has_value(), (std::string(beginning) + repeated.substr(0, 30)).c_str());
        CHECK_TEXT(errorCode(*end) == ErrorCode::TargetProtocolError, repeated.c_str());
        CHECK(bench.runUntil([this] {
            peer->receive();
            peer->send("x");
            return peer->isClosed();
        }));
    }
};

TEST(EndlessAnswer, headWithoutEndIsRefused)
{
    checkIsRefused("", std::string(1000, 'x'));
    checkIsRefused("HTTP/1.1 200 OK\r\nname: ", std::string(1000, 'x'));
    checkIsRefused("HTTP/1.1 200 OK\r\n", "name: value\r\n");
    checkIsRefused("HTTP/1.1 200 OK\r\n", std::string(1, '\0') + "\r");
    checkIsRefused("", "\r\n");
}

TEST(EndlessAnswer, interimHeadsWithoutEndAreRefused)
{
    checkIsRefused("", "HTTP/1.1 100 Continue\r\n\r\n");
    checkIsRefused("", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n");
}

TEST(EndlessAnswer, chunkFramingWithoutEndIsRefused)
{
    static constexpr const char *Head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    checkIsRefused(Head, "0");
    checkIsRefused((std::string(Head) + "5;").c_str(), std::string(1000, 'x'));
    checkIsRefused((std::string(Head) + "0\r\n").c_str(), "name: value\r\n");
    checkIsRefused((std::string(Head) + "0\r\n").c_str(), std::string(1000, 'x'));
}

TEST(EndlessAnswer, bodyWithoutEndWaitsWhileTheCallIsPaused)
{
    start();
    call->pause();
    sendEndlessly("HTTP/1.1 200 OK\r\n\r\n", std::string(100000, 'x'), std::size_t{1} << 20);
    CHECK(!end.has_value());
    const std::size_t taken = sentBytes;
    for (int round = 0; round < 2000; ++round) {
        peer->send(std::string(100000, 'x'));
        bench.loop->runOnce(0us);
    }
    CHECK_EQUAL(0U, bodyBytes);
    CHECK(taken < SocketBytes);
}
