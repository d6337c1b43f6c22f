#include <string>

#include "net/tests/looptesting.h"
#include "net/tests/testkeys.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

static constexpr const char *LoopbackName = "IP:127.0.0.1";

TEST_GROUP(Tls)
{
    TestKeys keys;
    std::unique_ptr<LoopBench> bench;
    CallRecord record;

    void open(const TlsFiles &server, const TlsFiles &client)
    {
        HttpListenerOptions listener;
        listener.tls = server;
        EventLoop::Options options;
        options.clientTls = client;
        bench = std::make_unique<LoopBench>(listener, options);
        bench->handler = [](const std::shared_ptr<HttpExchange> &exchange) {
            respond(*exchange, 200, "text/plain", exchange->request().body);
        };
    }

    absl::Status call(const std::string &body = "hello", bool useTls = true)
    {
        record = {};
        HttpCallOptions options;
        options.endpoint = bench->server;
        options.useTls = useTls;
        const std::unique_ptr<HttpCall> sent =
                bench->loop->client().send(options, {"POST", "/", {}, body}, record.hooks());
        CHECK(bench->runUntil([this] { return record.status.has_value(); }));
        return *record.status;
    }

    TlsFiles trusting(TlsFiles files)
    {
        files.authorities = keys.authority();
        return files;
    }
};

TEST(Tls, exchangeIsEncryptedAndReused)
{
    open(keys.makeCertificate(LoopbackName), trusting({}));
    const std::string large(1000000, 'x');
    for (const std::string &body : {std::string("hello"), large, std::string()}) {
        const absl::Status status = call(body);
        CHECK_TEXT(status.ok(), status.ToString().c_str());
        CHECK(record.body == body);
    }
    CHECK_EQUAL(1U, bench->loop->server().connections());
}

TEST(Tls, serverMustShowItsNameAndAuthority)
{
    const TestKeys others;
    open(keys.makeCertificate("DNS:example.test,IP:127.0.0.2"), trusting({}));
    CHECK(errorCode(call()) == ErrorCode::ConnectFailed);
    open(keys.makeCertificate(LoopbackName), {{}, {}, others.authority()});
    CHECK(errorCode(call()) == ErrorCode::ConnectFailed);
    open(keys.makeCertificate(LoopbackName), {});
    CHECK(errorCode(call()) == ErrorCode::ConnectFailed);
}

TEST(Tls, clientMustShowACertificateWhereAuthoritiesAreSet)
{
    TestKeys others;
    const TlsFiles server = trusting(keys.makeCertificate(LoopbackName));
    open(server, trusting({}));
    CHECK(!call().ok());
    open(server, trusting(others.makeCertificate("")));
    CHECK(!call().ok());
    open(server, trusting(keys.makeCertificate("")));
    CHECK(call().ok());
}

TEST(Tls, plainRequestToATlsListenerFails)
{
    open(keys.makeCertificate(LoopbackName), trusting({}));
    CHECK(!call("hello", false).ok());
    CHECK(call().ok());
}

TEST(Tls, callWithoutClientSettingsSendsNothing)
{
    bench = std::make_unique<LoopBench>();
    CHECK(errorCode(call()) == ErrorCode::ConnectFailed);
}

TEST(Tls, cutAnswerIsConnectionLost)
{
    open(keys.makeCertificate(LoopbackName), trusting({}));
    for (const HttpHeaders &headers : {HttpHeaders{}, HttpHeaders{{"content-length", "10"}}}) {
        bench->handler = [this, &headers](const std::shared_ptr<HttpExchange> &exchange) {
            exchange->start({200, headers});
            exchange->write("part");
            bench->loop->timers().scheduleAfter(std::chrono::milliseconds(5),
                                                [exchange] { exchange->abort(); });
        };
        CHECK(errorCode(call()) == ErrorCode::ConnectionLost);
        STRCMP_EQUAL("part", record.body.c_str());
    }
}

TEST(Tls, callerThatLeavesIsNoticed)
{
    open(keys.makeCertificate(LoopbackName), trusting({}));
    bench->handler = nullptr;
    HttpCallOptions options;
    options.endpoint = bench->server;
    options.useTls = true;
    std::unique_ptr<HttpCall> sent =
            bench->loop->client().send(options, {"GET", "/", {}, {}}, record.hooks());
    CHECK(bench->runUntil([this] { return !bench->exchanges.empty(); }));
    bool isClosed = false;
    bench->exchanges.front()->onClosed([&isClosed] { isClosed = true; });
    sent.reset();
    CHECK(bench->runUntil([&isClosed] { return isClosed; }));
}

TEST(Tls, pausedAnswerFeelsBackPressure)
{
    constexpr std::size_t PartSize = std::size_t{256} * 1024;
    constexpr std::size_t Parts = 64;
    open(keys.makeCertificate(LoopbackName), trusting({}));
    bench->handler = nullptr;
    HttpCallOptions options;
    options.endpoint = bench->server;
    options.useTls = true;
    const std::unique_ptr<HttpCall> sent =
            bench->loop->client().send(options, {"GET", "/", {}, {}}, record.hooks());
    CHECK(bench->runUntil([this] { return !bench->exchanges.empty(); }));
    HttpExchange &exchange = *bench->exchanges.front();
    sent->pause();
    for (std::size_t i = 0; i < Parts; ++i)
        exchange.write(std::string(PartSize, 'x'));
    exchange.finish();
    int rounds = 0;
    CHECK(bench->runUntil([&rounds] { return ++rounds == 200; }));
    CHECK(exchange.pendingBytes() > 0);
    CHECK(record.body.empty());
    sent->resume();
    CHECK(bench->runUntil([this] { return record.status.has_value(); }));
    CHECK(record.status->ok());
    CHECK_EQUAL(Parts * PartSize, record.body.size());
}

TEST(Tls, badFilesAreTypedErrors)
{
    const TlsFiles good = keys.makeCertificate(LoopbackName);
    const TlsFiles other = keys.makeCertificate(LoopbackName);
    for (const TlsFiles &files :
         {TlsFiles{"/nowhere", good.privateKey, {}}, TlsFiles{good.certificate, "/nowhere", {}},
          TlsFiles{good.certificate, other.privateKey, {}},
          TlsFiles{good.certificate, good.privateKey, good.privateKey}}) {
        EventLoop::Options options;
        options.clientTls = files;
        CHECK(errorCode(EventLoop::create(options).status()) == ErrorCode::TlsInvalid);
        bench = std::make_unique<LoopBench>();
        HttpListenerOptions listener;
        listener.endpoint = {"127.0.0.1", 0};
        listener.tls = files;
        CHECK(errorCode(bench->loop->server().listen(listener, nullptr).status())
              == ErrorCode::TlsInvalid);
    }
}
