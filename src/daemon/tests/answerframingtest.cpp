#include <memory>
#include <string>

#include "daemon/tests/loopnode.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

// Guards against answers that end early and that their callers take for whole, since nothing but
// the end of the connection tells where such an answer ends.
TEST_GROUP_BASE(AnswerFraming, LoopNode)
{
    static constexpr const char *Event1 = "id: 1\ndata: x\n\n";
    static constexpr const char *Event2 = "id: 2\ndata: y\n\n";
    static constexpr const char *LastChunk = "\r\n0\r\n\r\n";
    /// More than a node holds back of a plain answer.
    static constexpr std::size_t LargeBytes = 300000;

    static std::string headOf(const std::string &status)
    {
        return "HTTP/1.1 " + status + " Status\r\n\r\n";
    }

    bool hasText(const std::string &text) const
    {
        return caller->received().find(text) != std::string::npos;
    }

    /// Waits until the caller has its answer's end or its connection's, and returns whether the
    /// rules of HTTP/1 make the answer whole.
    bool isWhole()
    {
        const std::string &received = caller->received();
        const auto endsInLastChunk = [&received] {
            const std::string_view last = LastChunk;
            return received.size() >= last.size()
                   && received.compare(received.size() - last.size(), last.size(), last) == 0;
        };
        CHECK(bench.runUntil([&] {
            caller->receive();
            return endsInLastChunk() || caller->isClosed();
        }));
        CHECK(!hasText("Content-Length"));
        if (hasText("transfer-encoding: chunked"))
            return endsInLastChunk();
        return !caller->isReset();
    }

    /// Has a target answer with one event and break off.
    void breakOffStream(const std::string &status, const std::string &version, End how)
    {
        renewTargets();
        request("/stream/x", version);
        std::unique_ptr<RawSocket> target = takeRequest(first, "from: none");
        write(*target, headOf(status) + Event1);
        awaitCaller("id: 1");
        write(*target, "id: 2\nda");
        bench.runUntil([rounds = 0]() mutable { return ++rounds > 20; });
        end(std::move(target), how);
        CHECK(!isWhole());
        CHECK(hasText(" " + status + " "));
    }
};

// Answers of other statuses are no streams.
TEST(AnswerFraming, brokenOffStreamOfAnySuccessIsNotWhole)
{
    for (const char *status : {"200", "201", "202", "206", "299"}) {
        breakOffStream(status, "HTTP/1.1", End::Closed);
        breakOffStream(status, "HTTP/1.1", End::Reset);
    }
}

TEST(AnswerFraming, brokenOffStreamOfACallerWithoutChunksIsNotWhole)
{
    for (const char *status : {"200", "201"}) {
        breakOffStream(status, "HTTP/1.0", End::Closed);
        breakOffStream(status, "HTTP/1.0", End::Reset);
    }
}

TEST(AnswerFraming, brokenOffPlainAnswerOfAnyStatusIsNotWhole)
{
    for (const char *status : {"200", "201", "404", "500"}) {
        renewTargets();
        request("/once/x");
        std::unique_ptr<RawSocket> target = takeRequest(first, "from: none");
        std::string bytes = headOf(status) + std::string(LargeBytes, 'a');
        std::string_view rest = bytes;
        CHECK(bench.runUntil([&] {
            caller->receive();
            rest = target->send(rest);
            return rest.empty() && hasText("aaaa");
        }));
        end(std::move(target), End::Reset);
        CHECK(!isWhole());
    }
}

TEST(AnswerFraming, streamThatEndsIsWhole)
{
    for (const char *version : {"HTTP/1.1", "HTTP/1.0"}) {
        for (const char *status : {"200", "201"}) {
            renewTargets();
            request("/stream/x", version);
            std::unique_ptr<RawSocket> target = takeRequest(first, "from: none");
            write(*target, headOf(status) + Event1);
            awaitCaller("id: 1");
            write(*target, Event2);
            end(std::move(target), End::Closed);
            CHECK(isWhole());
            CHECK(hasText(Event2));
        }
    }
}

// Guards against a connection that is closed in place of an answer: the length is that of the body
// which a status of 200 would have had.
TEST(AnswerFraming, notModifiedWithALengthIsWhole)
{
    request("/safe/x");
    std::unique_ptr<RawSocket> target = takeRequest(first, "from: none");
    write(*target, "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n");
    awaitCaller("Content-Length: 5\r\n");
    awaitCaller("\r\n\r\n");
    CHECK(hasText("HTTP/1.1 304"));
    end(std::move(target), End::Closed);
    bench.runUntil([rounds = 0]() mutable { return ++rounds > 20; });
    write(*caller, "GET /safe/y HTTP/1.1\r\nhost: h\r\n\r\n");
    target = takeRequest(first, "from: none");
    write(*target, "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
    awaitCaller("\r\n\r\nwhole");
}
