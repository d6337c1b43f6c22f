#include <memory>
#include <string>
#include <thread>

#include "net/tests/looptesting.h"
#include "net/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

// What handlers and subscriptions refer to may be destroyed before the loop, as a daemon is.
TEST_GROUP(Closing)
{
    std::unique_ptr<EventLoop> serverLoop = *EventLoop::create({});
    int calls = 0;
};

TEST(Closing, loopThatEndsRunsNoSubscription)
{
    serverLoop->timers().scheduleAfter(Duration(0), [this] { ++calls; });
    serverLoop.reset();
    CHECK_EQUAL(0, calls);
}

// The end of a server while its callers read slowly, or not at all.
TEST_GROUP(ClosingAnswers)
{
    // More than the system keeps for a connection of the loopback.
    static constexpr std::size_t AnswerBytes = std::size_t{32} * 1024 * 1024;

    std::unique_ptr<LoopBench> bench = std::make_unique<LoopBench>();
    std::unique_ptr<RawSocket> caller;

    // Sends a request and ends its answer, of which the caller has read nothing then.
    void answer(const std::string &version)
    {
        caller = std::make_unique<RawSocket>(bench->server);
        const std::string text = "GET / " + version + "\r\nhost: h\r\n\r\n";
        std::string_view rest = text;
        CHECK(bench->runUntil([&] {
            rest = rest.empty() ? rest : caller->send(rest);
            return rest.empty() && !bench->exchanges.empty();
        }));
        bench->exchanges.back()->start({200, {}});
        // What is written behind a first part goes to the library with the answer's end.
        bench->exchanges.back()->write("x");
        bench->exchanges.back()->write(std::string(AnswerBytes, 'x'));
        bench->exchanges.back()->finish();
        bench->exchanges.clear();
        for (int i = 0; i < 10; ++i)
            bench->loop->runOnce(std::chrono::milliseconds(1));
    }
};

// Guards against a planned stop that does not know of answers that callers have not taken.
TEST(ClosingAnswers, anAnswerIsUnsentUntilItsCallerHasReadIt)
{
    for (const char *version : {"HTTP/1.1", "HTTP/1.0"}) {
        answer(version);
        LONGS_EQUAL(1, bench->loop->server().unsentAnswers().answers);
        CHECK(bench->loop->server().unsentAnswers().bytes >= AnswerBytes);
        CHECK(bench->runUntil([&] {
            caller->receive();
            return bench->loop->server().unsentAnswers().answers == 0;
        }));
        CHECK(bench->runUntil([&] {
            caller->receive();
            return caller->received().size() > AnswerBytes;
        }));
        LONGS_EQUAL(0, bench->loop->server().unsentAnswers().bytes);
    }
}

TEST(ClosingAnswers, anAnswerIsNotUnsentOnceItsCallerHasLeft)
{
    answer("HTTP/1.1");
    caller.reset();
    CHECK(bench->runUntil([&] { return bench->loop->server().unsentAnswers().answers == 0; }));
}

// Guards against a reset that loses what the system has yet to send of an answer, since the caller
// has sent a further request that nobody reads.
TEST(ClosingAnswers, aFurtherRequestDoesNotLoseTheEndOfTheLastAnswer)
{
    // Fits what the system keeps to send, but not what it keeps of a caller that doesn't read.
    static constexpr std::size_t Bytes = 150'000;
    static constexpr int ReceiveBytes = 4096;
    static constexpr std::string_view Request = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    caller = std::make_unique<RawSocket>(bench->server, ReceiveBytes);
    CHECK(bench->runUntil([&] { return caller->send(Request).empty(); }));
    CHECK(bench->runUntil([&] { return !bench->exchanges.empty(); }));
    CHECK(caller->send(Request).empty());
    HttpExchange &exchange = *bench->exchanges.back();
    exchange.closeAfterAnswer();
    exchange.start({200, {{"content-length", std::to_string(Bytes)}}});
    exchange.write(std::string(Bytes, 'x'));
    exchange.finish();
    CHECK(bench->runUntil([&] { return bench->loop->server().connections() == 0; }));
    for (int i = 0; i < 2000 && !caller->isClosed(); ++i) {
        caller->receive();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(caller->received().size() > Bytes);
    CHECK(!caller->isReset());
}

// Guards against an answer that ends with its connection, is cut off by the end of the process, and
// looks whole to its caller.
TEST(ClosingAnswers, anAnswerCutOffByTheEndOfTheProcessDoesNotLookWhole)
{
    answer("HTTP/1.0");
    bench.reset();
    for (int i = 0; i < 1000 && !caller->isClosed(); ++i) {
        caller->receive();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(caller->isClosed());
    CHECK(caller->received().size() < AnswerBytes);
    CHECK(caller->isReset());
}
