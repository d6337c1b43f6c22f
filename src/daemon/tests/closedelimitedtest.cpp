#include <memory>
#include <string>
#include <vector>

#include "daemon/entrynode.h"
#include "daemon/tests/looptopic.h"
#include "net/tests/looptesting.h"
#include "net/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static absl::StatusOr<CatalogContent> readCatalog(const std::string &)
{
    CatalogContent content;
    content.version = 1;
    CatalogRoute route;
    route.host = std::string("h");
    route.timeout = 20s;
    route.services = {{"s", 1}};
    const auto add = [&](const char *prefix, RetrySemantics rule, std::uint32_t maxTargets) {
        route.pathPrefix = prefix;
        route.rule = rule;
        route.maxTargets = maxTargets;
        content.routes.push_back(route);
    };
    add("/once/", RetrySemantics::AtMostOnce, 1);
    add("/safe/", RetrySemantics::Idempotent, 2);
    add("/stream/", RetrySemantics::Stream, 1);
    add("/resumable/", RetrySemantics::ResumableStream, 2);
    CatalogService service;
    service.name = std::string("s");
    service.engine = EngineCapabilities{8, 10000, true, false};
    content.services = {service};
    return content;
}

static absl::StatusOr<TargetEntry> readTarget(const std::string &text)
{
    static const std::string Leaving = "leaving ";
    TargetEntry entry;
    entry.service = std::string("s");
    entry.zone = ZoneName("z");
    entry.isLeaving = text.rfind(Leaving, 0) == 0;
    entry.endpoint = *Endpoint::parse(entry.isLeaving ? text.substr(Leaving.size()) : text);
    return entry;
}

/// A node on a real loop; its targets answer with neither a length nor chunks.
TEST_GROUP(CloseDelimitedAnswers)
{
    enum class End { Closed, Reset };

    static constexpr const char *Head = "HTTP/1.1 200 OK\r\n\r\n";
    static constexpr const char *Event1 = "id: 1\ndata: x\n\n";
    static constexpr const char *Event2 = "id: 2\ndata: y\n\n";
    static constexpr const char *PartOfEvent = "id: 3\nda";
    static constexpr const char *LastChunk = "0\r\n\r\n";

    LoopBench bench; ///< Its listener takes the calls about copies.
    RawListener first;
    RawListener second;
    LoopTopic catalog;
    LoopTopic targets;
    int starts = 1; ///< Of the targets.
    std::unique_ptr<EntryNode> node;
    std::unique_ptr<RawSocket> caller;

    void setup() override
    {
        catalog.append("config", "1");
        targets.append(firstId(), first.endpoint().toString());
        EntrySettings settings;
        settings.vm = VmId("n");
        settings.zone = ZoneName("z");
        settings.callers = {"127.0.0.1", 0};
        settings.readiness = {"127.0.0.1", 0};
        settings.maxKeyAge = 1min;
        settings.retrySlack = 1000;
        settings.retryWindow = 1ms;
        node = std::move(EntryNode::create(settings, bindings(), *bench.loop).value());
        CHECK(bench.runUntil([this] { return node->isReady(); }));
    }

    EntryBindings bindings()
    {
        EntryBindings bindings;
        bindings.readRequest = [](const HttpRequest &) -> absl::StatusOr<CallerRequest> {
            CallerRequest read;
            read.id = RequestId("r");
            read.host = std::string("h");
            return read;
        };
        bindings.writeSend = [](const HttpRequest &request, const TargetSend &send) {
            const std::string from = send.resume ? std::to_string(send.resume->lastEvent) : "none";
            return HttpRequest{request.method, request.path, {{"from", from}}, request.body};
        };
        bindings.readAnswerHead = [](const HttpResponseHead &head, const RequestId &) {
            RelayAnswerHead answer;
            answer.status = head.status;
            answer.isSigned = true;
            return answer;
        };
        bindings.writeRefusal = [](const EntryRefusal &refusal) {
            return HttpResponseHead{refusal.status, {{"content-length", "0"}}};
        };
        bindings.writeCopy = [](const RequestId &, const Endpoint &) {
            return HttpRequest{"POST", "/copy", {}, {}};
        };
        bindings.readCopy = [](const HttpResponse &) -> absl::StatusOr<std::string> {
            return std::string("handle");
        };
        bindings.writeDropCopy = [](const std::string &) {
            return HttpRequest{"DELETE", "/copy", {}, {}};
        };
        bindings.writeReportCall = [] { return HttpRequest{"GET", "/report", {}, {}}; };
        bindings.readIsLeaving = [](const HttpResponse &) { return false; };
        bindings.readinessPath = "/ready";
        bindings.catalogTopic = catalog.hooks(bench.loop->timers());
        bindings.targetsTopic = targets.hooks(bench.loop->timers());
        bindings.catalogKey = "config";
        bindings.readCatalog = &readCatalog;
        bindings.readTarget = &readTarget;
        return bindings;
    }

    std::string firstId() const
    {
        return "first" + std::to_string(starts);
    }
    std::string secondId() const
    {
        return "second" + std::to_string(starts);
    }

    /// Leaves the first target alone, under a new id.
    void renewTargets()
    {
        publish(firstId(), std::nullopt);
        publish(secondId(), std::nullopt);
        ++starts;
        publish(firstId(), first.endpoint().toString());
    }

    /// Changes the entry of a target and waits until the node has read it.
    void publish(const std::string &target, std::optional<std::string> entry)
    {
        constexpr Duration ReadTime = 250ms;
        targets.append(target, std::move(entry));
        const TimePoint until = bench.loop->timers().now() + ReadTime;
        bench.runUntil([&] { return bench.loop->timers().now() >= until; });
    }

    void request(const std::string &path)
    {
        caller = std::make_unique<RawSocket>(node->callersEndpoint());
        std::string_view rest;
        const std::string text =
                "GET " + path + std::to_string(starts) + " HTTP/1.1\r\nhost: h\r\n\r\n";
        CHECK(bench.runUntil([&] {
            rest = rest.empty() ? std::string_view(text) : rest;
            rest = caller->send(rest);
            return rest.empty();
        }));
    }

    /// Returns the connection of the next request with \a mark in its head.
    std::unique_ptr<RawSocket> takeRequest(RawListener & listener, const std::string &mark)
    {
        std::unique_ptr<RawSocket> peer;
        CHECK(bench.runUntil([&] {
            const int fd = peer ? -1 : listener.accept();
            if (fd >= 0)
                peer = std::make_unique<RawSocket>(fd);
            if (peer)
                peer->receive();
            return peer && peer->received().find("\r\n\r\n") != std::string::npos;
        }));
        CHECK(peer->received().find(mark) != std::string::npos);
        return peer;
    }

    void write(RawSocket & peer, const std::string &bytes)
    {
        CHECK(peer.send(bytes).empty());
    }

    static void end(std::unique_ptr<RawSocket> peer, End how)
    {
        if (how == End::Reset)
            peer->reset();
    }

    void awaitCaller(const std::string &text)
    {
        CHECK(bench.runUntil([&] {
            caller->receive();
            return caller->received().find(text) != std::string::npos;
        }));
    }

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
