#include <string>
#include <vector>

#include "base/json.h"
#include "net/rpc.h"
#include "net/tests/looptesting.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static constexpr const char *Key = "a shared key";

TEST_GROUP(Rpc)
{
    LoopBench bench;
    std::unique_ptr<RpcServer> server = RpcServer::create(Key);
    std::unique_ptr<RpcClient> client = makeClient(Key);
    std::vector<RpcResponder> held;
    std::optional<absl::StatusOr<Json::Value>> outcome;

    void setup() override
    {
        bench.handler = [this](std::shared_ptr<HttpExchange> exchange) {
            server->handle(std::move(exchange));
        };
        server->addMethod("echo", [](const Json::Value &params, const RpcResponder &responder) {
            responder(params);
        });
        server->addMethod("hold", [this](const Json::Value &, RpcResponder responder) {
            held.push_back(std::move(responder));
        });
        server->addMethod("refuse", [](const Json::Value &, const RpcResponder &responder) {
            responder(makeError(ErrorCode::LeaseLost, "not the holder"));
        });
    }

    std::unique_ptr<RpcClient> makeClient(const char *key)
    {
        return RpcClient::create(bench.loop->client(), bench.loop->timers(), key, false);
    }

    void call(const std::string &method, const Json::Value &params, Duration timeout = 2s)
    {
        outcome.reset();
        client->call(bench.server, method, params, timeout,
                     [this](absl::StatusOr<Json::Value> result) { outcome = std::move(result); });
    }

    ErrorCode failureOf(const std::string &method, Duration timeout = 2s)
    {
        call(method, Json::Value(Json::objectValue), timeout);
        CHECK(bench.runUntil([this] { return outcome.has_value(); }));
        CHECK(!outcome->ok());
        return errorCode(outcome->status());
    }

    /// Posts \a body with the key and returns the answer's status and body.
    CallRecord post(std::string body, std::string path = "/rpc", std::string method = "POST")
    {
        CallRecord record;
        HttpCallOptions options;
        options.endpoint = bench.server;
        HttpRequest request{std::move(method),
                            std::move(path),
                            {{"authorization", std::string("Bearer ") + Key}},
                            std::move(body)};
        const std::unique_ptr<HttpCall> sent =
                bench.loop->client().send(options, std::move(request), record.hooks());
        CHECK(bench.runUntil([&] { return record.status.has_value(); }));
        CHECK(record.status->ok());
        return record;
    }
};

TEST(Rpc, answersAtOnce)
{
    Json::Value params;
    params["text"] = "caf\xC3\xA9";
    call("echo", params);
    CHECK(!outcome);
    CHECK(bench.runUntil([this] { return outcome.has_value(); }));
    CHECK(outcome->ok());
    CHECK(**outcome == params);
    CHECK(client->bytesSent() > 0);
    CHECK(client->bytesReceived() > 0);
}

TEST(Rpc, answersLater)
{
    call("hold", Json::Value(Json::objectValue));
    CHECK(bench.runUntil([this] { return !held.empty(); }));
    CHECK(!outcome);
    held.front()(Json::Value(7));
    held.front()(Json::Value(8));
    CHECK(bench.runUntil([this] { return outcome.has_value(); }));
    CHECK(outcome->ok());
    CHECK_EQUAL(7, (*outcome)->asInt());
}

TEST(Rpc, errorsKeepTheirType)
{
    CHECK(failureOf("refuse") == ErrorCode::LeaseLost);
    STRCMP_EQUAL("not the holder", std::string(outcome->status().message()).c_str());
    CHECK(failureOf("unknown") == ErrorCode::PeerRefused);
}

TEST(Rpc, strangerIsRefused)
{
    for (const char *key : {"", "a shared kez", "a shared key "}) {
        client = makeClient(key);
        CHECK(failureOf("echo") == ErrorCode::PeerRefused);
    }
    CHECK(held.empty());
}

TEST(Rpc, emptyKeyRefusesAll)
{
    server = RpcServer::create("");
    client = makeClient("");
    CHECK(failureOf("echo") == ErrorCode::PeerRefused);
}

TEST(Rpc, silentPeerExceedsTheDeadline)
{
    CHECK(failureOf("hold", 20ms) == ErrorCode::DeadlineExceeded);
    CHECK(bench.runUntil([this] { return bench.loop->server().connections() == 0; }));
    held.front()(Json::Value(1));
}

TEST(Rpc, absentPeerIsUnreachable)
{
    bench.server.port = 1;
    CHECK(failureOf("echo") == ErrorCode::PeerUnreachable);
}

TEST(Rpc, nonsenseFromThePeerIsATypedError)
{
    for (const char *answer : {"", "nonsense", "[]", "{}", "1", "null", "{\"jsonrpc\":\"2.0\"}",
                               "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":5}",
                               "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{}}",
                               "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{\"code\":\"x\"}}",
                               "{\"jsonrpc\":2,\"id\":1,\"result\":1}"}) {
        bench.handler = [answer](const std::shared_ptr<HttpExchange> &exchange) {
            respond(*exchange, 200, "application/json", answer);
        };
        CHECK(failureOf("echo") == ErrorCode::PeerUnreachable);
    }
}

TEST(Rpc, nonsenseFromThePeerIsAnswered)
{
    const std::string deep = std::string(5000, '[') + std::string(5000, ']');
    for (const std::string &body :
         {std::string(), std::string("nonsense"), std::string("[]"), std::string("{}"),
          std::string("7"), std::string("null"), std::string("[1,null]"), deep,
          std::string("{\"jsonrpc\":\"2.0\",\"method\":1,\"id\":1}"),
          std::string("{\"jsonrpc\":2,\"method\":\"echo\",\"id\":1}"),
          std::string("{\"jsonrpc\":\"2.0\",\"method\":\"echo\",\"params\":3,\"id\":1}"),
          std::string("{\"jsonrpc\":\"2.0\",\"method\":\"\xFF\",\"id\":1}")}) {
        const CallRecord record = post(body);
        CHECK_EQUAL(200, record.head.status);
        const absl::StatusOr<Json::Value> answer = parseJson(record.body);
        CHECK(answer.ok());
        const Json::Value &first = answer->isArray() ? (*answer)[0] : *answer;
        CHECK(first["error"]["code"].isInt());
    }
    CHECK_EQUAL(404, post("{}", "/other").head.status);
    CHECK_EQUAL(405, post("", "/rpc", "GET").head.status);
}

TEST(Rpc, batchIsAnsweredInOrder)
{
    CallRecord record;
    HttpCallOptions options;
    options.endpoint = bench.server;
    HttpRequest request{"POST", "/rpc", {{"authorization", std::string("Bearer ") + Key}}, {}};
    request.body = "[{\"jsonrpc\":\"2.0\",\"method\":\"hold\",\"id\":1},"
                   "{\"jsonrpc\":\"2.0\",\"method\":\"echo\",\"params\":{\"a\":1},\"id\":2}]";
    const std::unique_ptr<HttpCall> sent =
            bench.loop->client().send(options, std::move(request), record.hooks());
    CHECK(bench.runUntil([this] { return !held.empty(); }));
    held.front()(Json::Value("late"));
    CHECK(bench.runUntil([&] { return record.status.has_value(); }));
    const absl::StatusOr<Json::Value> answer = parseJson(record.body);
    CHECK(answer.ok());
    STRCMP_EQUAL("late", (*answer)[0]["result"].asCString());
    CHECK_EQUAL(1, (*answer)[1]["result"]["a"].asInt());
}
