#include <memory>
#include <string>

#include "daemon/tests/loopnode.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

/// A node on a real loop; its targets answer with neither a length nor chunks.
TEST_GROUP_BASE(CloseDelimitedAnswers, LoopNode)
{
    static constexpr const char *Head = "HTTP/1.1 200 OK\r\n\r\n";
    static constexpr const char *Event1 = "id: 1\ndata: x\n\n";
    static constexpr const char *Event2 = "id: 2\ndata: y\n\n";
    static constexpr const char *PartOfEvent = "id: 3\nda";
    static constexpr const char *LastChunk = "0\r\n\r\n";

    bool isWhole() const
    {
        return caller->received().find(LastChunk) != std::string::npos;
    }

    void checkWhole(const std::string &text)
    {
        awaitCaller(LastChunk);
        CHECK(caller->received().find("HTTP/1.1 200") == 0);
        CHECK(caller->received().find(text) != std::string::npos);
    }

    void checkBrokenOff()
    {
        CHECK(bench.runUntil([this] {
            caller->receive();
            return caller->isClosed();
        }));
        CHECK(!isWhole());
        CHECK(caller->received().find("id: 3") == std::string::npos);
    }

    /// Answers a stream with one event, and waits until its caller has it.
    std::unique_ptr<RawSocket> startStream(const std::string &path)
    {
        request(path);
        std::unique_ptr<RawSocket> source = takeRequest(first, "from: none");
        publish(secondId(), second.endpoint().toString());
        write(*source, std::string(Head) + Event1);
        awaitCaller(Event1);
        return source;
    }

    /// Has the first target leave and copy its stream, which goes on at the second one.
    std::unique_ptr<RawSocket> moveStream()
    {
        const std::unique_ptr<RawSocket> source = startStream("/stream/x");
        publish(firstId(), "leaving " + first.endpoint().toString());
        const std::unique_ptr<RawSocket> copy = takeRequest(first, "POST /copy");
        write(*copy, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        std::unique_ptr<RawSocket> destination = takeRequest(second, "from: 1");
        write(*destination, std::string(Head) + Event2);
        awaitCaller(Event2);
        return destination;
    }
};

TEST(CloseDelimitedAnswers, plainAnswerThatEndsWithItsConnectionIsWhole)
{
    for (const char *path : {"/once/x", "/safe/x"}) {
        request(path);
        std::unique_ptr<RawSocket> target = takeRequest(first, "from: none");
        write(*target, std::string(Head) + "whole answer");
        end(std::move(target), End::Closed);
        checkWhole("whole answer");
    }
}

TEST(CloseDelimitedAnswers, plainAnswerWhoseConnectionIsResetIsNotPassedOn)
{
    request("/once/x");
    std::unique_ptr<RawSocket> target = takeRequest(first, "from: none");
    write(*target, std::string(Head) + "half");
    bench.runUntil([rounds = 0]() mutable { return ++rounds > 20; });
    end(std::move(target), End::Reset);
    awaitCaller("HTTP/1.1 502");
    CHECK(caller->received().find("half") == std::string::npos);
}

TEST(CloseDelimitedAnswers, idempotentRequestWhoseAnswerIsResetIsAnsweredByAnotherTarget)
{
    request("/safe/x");
    std::unique_ptr<RawSocket> target = takeRequest(first, "from: none");
    publish(secondId(), second.endpoint().toString());
    write(*target, std::string(Head) + "half");
    bench.runUntil([rounds = 0]() mutable { return ++rounds > 20; });
    end(std::move(target), End::Reset);
    std::unique_ptr<RawSocket> other = takeRequest(second, "from: none");
    write(*other, std::string(Head) + "whole answer");
    end(std::move(other), End::Closed);
    checkWhole("whole answer");
    CHECK(caller->received().find("half") == std::string::npos);
}

TEST(CloseDelimitedAnswers, streamThatEndsBehindAnEventIsWhole)
{
    for (const char *path : {"/stream/x", "/resumable/x"}) {
        renewTargets();
        std::unique_ptr<RawSocket> source = startStream(path);
        write(*source, Event2);
        end(std::move(source), End::Closed);
        checkWhole(Event2);
    }
}

TEST(CloseDelimitedAnswers, streamWhoseConnectionIsResetBehindAnEventIsBrokenOff)
{
    end(startStream("/stream/x"), End::Reset);
    checkBrokenOff();
}

TEST(CloseDelimitedAnswers, streamThatEndsInsideAnEventIsBrokenOff)
{
    for (const End how : {End::Closed, End::Reset}) {
        renewTargets();
        std::unique_ptr<RawSocket> source = startStream("/stream/x");
        write(*source, PartOfEvent);
        bench.runUntil([rounds = 0]() mutable { return ++rounds > 20; });
        end(std::move(source), how);
        checkBrokenOff();
    }
}

TEST(CloseDelimitedAnswers, resumableStreamThatIsBrokenOffGoesOnAtAnotherTarget)
{
    for (const End how : {End::Closed, End::Reset}) {
        renewTargets();
        std::unique_ptr<RawSocket> source = startStream("/resumable/x");
        write(*source, "id: 2\nda");
        bench.runUntil([rounds = 0]() mutable { return ++rounds > 20; });
        end(std::move(source), how);
        std::unique_ptr<RawSocket> other = takeRequest(second, "from: 1");
        write(*other, std::string(Head) + Event2);
        end(std::move(other), End::Closed);
        checkWhole(Event2);
    }
}

TEST(CloseDelimitedAnswers, resumedStreamThatIsBrokenOffAgainIsNotWhole)
{
    for (const End how : {End::Closed, End::Reset}) {
        renewTargets();
        end(startStream("/resumable/x"), End::Reset);
        std::unique_ptr<RawSocket> other = takeRequest(second, "from: 1");
        write(*other, std::string(Head) + Event2 + PartOfEvent);
        awaitCaller(Event2);
        end(std::move(other), how);
        checkBrokenOff();
    }
}

TEST(CloseDelimitedAnswers, movedStreamThatEndsBehindAnEventIsWhole)
{
    end(moveStream(), End::Closed);
    checkWhole(Event2);
}

TEST(CloseDelimitedAnswers, movedStreamWhoseConnectionIsResetIsBrokenOff)
{
    end(moveStream(), End::Reset);
    checkBrokenOff();
}

TEST(CloseDelimitedAnswers, movedStreamThatEndsInsideAnEventIsBrokenOff)
{
    std::unique_ptr<RawSocket> destination = moveStream();
    write(*destination, PartOfEvent);
    bench.runUntil([rounds = 0]() mutable { return ++rounds > 20; });
    end(std::move(destination), End::Closed);
    checkBrokenOff();
}

// The copy is under way when the source ends; its caller must not take the stream for whole.
TEST(CloseDelimitedAnswers, streamThatEndsInsideAnEventWhileItMovesGoesOnFromTheCopy)
{
    for (const End how : {End::Closed, End::Reset}) {
        renewTargets();

        std::unique_ptr<RawSocket> source = startStream("/stream/x");
        publish(firstId(), "leaving " + first.endpoint().toString());
        const std::unique_ptr<RawSocket> copy = takeRequest(first, "POST /copy");
        write(*source, "id: 2\nda");
        bench.runUntil([rounds = 0]() mutable { return ++rounds > 20; });
        end(std::move(source), how);
        bench.runUntil([rounds = 0]() mutable { return ++rounds > 20; });
        write(*copy, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        std::unique_ptr<RawSocket> destination = takeRequest(second, "from: 1");
        write(*destination, std::string(Head) + Event2);
        end(std::move(destination), End::Closed);
        checkWhole(Event2);
    }
}
