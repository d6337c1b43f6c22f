#include <array>
#include <memory>
#include <string>
#include <vector>

#include "daemon/targetlink.h"
#include "daemon/tests/loopnode.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// Targets that break off their answers, or write answers that nobody asked for.
TEST_GROUP_BASE(BrokenAnswers, LoopNode)
{
    static constexpr const char *Refusal =
            "HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    static constexpr const char *Answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

    /// Reads until the node has ended its answer or the connection.
    void awaitEndOfAnswer(const std::string &what)
    {
        const bool hasEnded = bench.runUntil([this] {
            caller->receive();
            const std::string &received = caller->received();
            return caller->isClosed() || received.find("Content-Length: 0") != std::string::npos
                   || received.find("0\r\n\r\n") != std::string::npos
                   || received.find("hello") != std::string::npos;
        });
        if (!hasEnded)
            FAIL((what + ": the answer did not end: " + caller->received()).c_str());
    }

    bool hasSuccess() const
    {
        return caller->received().rfind("HTTP/1.1 200", 0) == 0;
    }
};

TEST(BrokenAnswers, answerThatEndsWithinItsHeadIsNoSuccess)
{
    static constexpr std::array<const char *, 4> Heads{
            "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\n",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n",
            "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    };
    for (const char *path : {"/once/x", "/stream/x"}) {
        for (const std::string head : Heads) {
            for (std::size_t size = 0; size < head.size(); ++size) {
                for (const End how : {End::Closed, End::Reset}) {
                    request(path);
                    std::unique_ptr<RawSocket> target = takeRequest(first, "from: none");
                    write(*target, head.substr(0, size));
                    // Bytes that have not been read are lost by a reset.
                    for (int round = 0; round < 3; ++round)
                        bench.loop->runOnce(1ms);
                    end(std::move(target), how);
                    const std::string what = std::string(path) + ", cut at " + std::to_string(size)
                                             + " of " + head
                                             + (how == End::Reset ? " by a reset" : "");
                    awaitEndOfAnswer(what);
                    if (hasSuccess())
                        FAIL((what + ": " + caller->received()).c_str());
                }
            }
        }
    }
}

TEST(BrokenAnswers, refusalThatIsWrittenOnceMoreMeetsNoOtherRequest)
{
    request("/once/x");
    const std::unique_ptr<RawSocket> refusing = takeRequest(first, "from: none");
    write(*refusing, Refusal);
    write(*refusing, Refusal);
    awaitCaller("HTTP/1.1 503");
    for (int round = 0; round < 5; ++round) {
        request("/once/x");
        const std::unique_ptr<RawSocket> next = takeRequest(first, "from: none");
        static_cast<void>(refusing->send(Refusal));
        write(*next, Answer);
        awaitEndOfAnswer("");
        CHECK(hasSuccess());
        CHECK(caller->received().find("503") == std::string::npos);
    }
}

// Guards against a head that is no answer and reaches the caller, or passes for a refusal.
TEST(BrokenAnswers, headThatIsNoAnswerBecomesAFailureOfUnknownOutcome)
{
    using namespace std::string_literals;
    for (const std::string &head :
         {"HTTP/1.1 000 OK\r\n"s, "HTTP/1.1 101 OK\r\n"s, "HTTP/1.1 600 OK\r\n"s,
          "HTTP/1.1 503 Busy\r\nnot-run: 1\r\na b: c\r\n"s,
          "HTTP/1.1 503 Busy\r\nnot-run: 1\r\na\1: c\r\n"s,
          "HTTP/1.1 103 Early\r\na b: c\r\n\r\nHTTP/1.1 200 OK\r\n"s}) {
        for (const char *framing : {"content-length: 5\r\n\r\nhello", "\r\nhello",
                                    "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"}) {
            for (const char *path : {"/once/x", "/stream/x"}) {
                request(path);
                std::unique_ptr<RawSocket> target = takeRequest(first, "from: none");
                write(*target, head + framing);
                awaitEndOfAnswer(head);
                CHECK_TEXT(caller->received().rfind("HTTP/1.1 502", 0) == 0,
                           (head + framing + caller->received()).c_str());
                CHECK(caller->received().find("hello") == std::string::npos);
                LONGS_EQUAL(-1, first.accept());
            }
        }
    }
}

TEST(BrokenAnswers, idempotentRequestLeavesATargetWhoseHeadIsNoAnswer)
{
    renewTargets();
    request("/safe/x");
    std::unique_ptr<RawSocket> target = takeRequest(first, "from: none");
    publish(secondId(), second.endpoint().toString());
    write(*target, "HTTP/1.1 000 OK\r\ncontent-length: 5\r\n\r\nwrong");
    const std::unique_ptr<RawSocket> next = takeRequest(second, "from: none");
    write(*next, Answer);
    awaitEndOfAnswer("");
    CHECK(hasSuccess());
    CHECK(caller->received().find("wrong") == std::string::npos);
}

// The request that follows on the connection would be taken for refused while it runs.
TEST(BrokenAnswers, refusalBeforeTheRequestIsNoAnswerToIt)
{
    request("/once/x");
    std::unique_ptr<RawSocket> target;
    CHECK(bench.runUntil([&] {
        const int fd = first.accept();
        if (fd >= 0)
            target = std::make_unique<RawSocket>(fd);
        return target != nullptr;
    }));
    write(*target, Refusal);
    awaitEndOfAnswer("");
    target->receive();
    CHECK_EQUAL(std::string(), target->received());
}

// The own interface, whose answers do not name their requests.
TEST(BrokenAnswers, refusalOfAPlainServiceThatIsWrittenOnceMoreMeetsNoOtherRequest)
{
    constexpr std::size_t MaxBodyBytes = 1000;
    Fetcher fetcher(bench.loop->client(), bench.loop->timers(), MaxBodyBytes);
    TargetLink link(bench.loop->client(), fetcher, bench.loop->timers());
    Target target;
    target.endpoint = first.endpoint();
    PlainRequest plain;
    plain.method = "POST";
    plain.path = "/x";
    std::vector<int> statuses;
    const auto send = [&] {
        link.send(target, plain, 5s, [&](absl::StatusOr<PlainResponse> response, bool) {
            statuses.push_back(response.ok() ? response->status : 0);
        });
        return takeRequest(first, "POST /x");
    };
    const std::unique_ptr<RawSocket> refusing = send();
    write(*refusing, Refusal);
    CHECK(bench.runUntil([&] { return statuses.size() == 1; }));
    const std::unique_ptr<RawSocket> next = send();
    static_cast<void>(refusing->send(Refusal));
    write(*next, Answer);
    CHECK(bench.runUntil([&] { return statuses.size() == 2; }));
    LONGS_EQUAL(200, statuses.back());
}
