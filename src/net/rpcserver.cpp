#include <cassert>
#include <map>
#include <optional>
#include <vector>

#include <openssl/crypto.h>

#include "base/json.h"
#include "net/rpc.h"
#include "net/rpccodec.h"

namespace currantwalk {

static constexpr std::string_view RpcPath = "/rpc";
static constexpr std::string_view BearerPrefix = "Bearer ";

namespace {

/// One HTTP request whose calls have been started and not all answered.
struct PendingAnswer
{
    std::shared_ptr<RpcServerCodec> codec;
    std::shared_ptr<HttpExchange> exchange;
    std::string request;
    std::vector<std::optional<absl::StatusOr<Json::Value>>> results; ///< In the order of the calls.
    std::size_t missing = 0;
    bool isStarting = true; ///< The calls are being started; the answer follows.
};

class RpcServerImpl final : public RpcServer
{
public:
    explicit RpcServerImpl(std::string sharedKey)
        : m_sharedKey(std::move(sharedKey)), m_codec(RpcServerCodec::create())
    {
    }

    void addMethod(const std::string &name, RpcMethod method) override;
    void handle(std::shared_ptr<HttpExchange> exchange) override;

private:
    bool isAuthorised(const HttpRequest &request) const;
    void startCalls(const std::shared_ptr<PendingAnswer> &pending);

    std::string m_sharedKey;
    std::shared_ptr<RpcServerCodec> m_codec;
    std::map<std::string, RpcMethod> m_methods;
};

} // namespace

static void refuse(HttpExchange &exchange, int status, ErrorCode code, const char *message)
{
    Json::Value body;
    body["error"]["code"] = std::string(errorName(code));
    body["error"]["message"] = message;
    respond(exchange, status, "application/json", writeJson(body));
}

static void fillIn(const absl::StatusOr<Json::Value> &outcome, Json::Value &result, RpcFault &fault)
{
    if (outcome.ok()) {
        result = *outcome;
        return;
    }
    fault.code = RpcServerErrorCode;
    fault.message = std::string(outcome.status().message());
    fault.errorName = std::string(errorName(errorCode(outcome.status())));
}

static void sendAnswer(HttpExchange &exchange, std::string answer)
{
    // JSON-RPC has no answer to notifications.
    if (answer.empty())
        respond(exchange, 204, "application/json", {});
    else
        respond(exchange, 200, "application/json", std::move(answer));
}

// The library builds an answer while it reads the request. Where a method answered later, the
// request is read a second time, now with all results at hand.
static void replay(PendingAnswer &pending)
{
    std::size_t next = 0;
    std::string answer =
            pending.codec->handle(pending.request, [&](const std::string &, const Json::Value &,
                                                       Json::Value &result, RpcFault &fault) {
                fillIn(*pending.results[next++], result, fault);
            });
    assert(next == pending.results.size() && "the same request gives the same calls");
    sendAnswer(*pending.exchange, std::move(answer));
}

static void complete(PendingAnswer &pending, std::size_t index, absl::StatusOr<Json::Value> outcome)
{
    if (pending.results[index])
        return;
    pending.results[index] = std::move(outcome);
    --pending.missing;
    if (pending.missing == 0 && !pending.isStarting)
        replay(pending);
}

void RpcServerImpl::addMethod(const std::string &name, RpcMethod method)
{
    m_codec->addMethod(name);
    m_methods[name] = std::move(method);
}

bool RpcServerImpl::isAuthorised(const HttpRequest &request) const
{
    if (m_sharedKey.empty())
        return false;
    const std::optional<std::string_view> field = findHeader(request.headers, "authorization");
    if (!field || field->substr(0, BearerPrefix.size()) != BearerPrefix)
        return false;
    const std::string_view key = field->substr(BearerPrefix.size());
    return key.size() == m_sharedKey.size()
           && CRYPTO_memcmp(key.data(), m_sharedKey.data(), key.size()) == 0;
}

void RpcServerImpl::handle(std::shared_ptr<HttpExchange> exchange)
{
    const HttpRequest &request = exchange->request();
    if (!isAuthorised(request)) {
        refuse(*exchange, 401, ErrorCode::PeerRefused, "the shared key is missing or wrong");
        return;
    }
    if (request.path != RpcPath) {
        refuse(*exchange, 404, ErrorCode::NotFound, "only /rpc is served here");
        return;
    }
    if (request.method != "POST") {
        refuse(*exchange, 405, ErrorCode::MethodNotAllowed, "only POST is served here");
        return;
    }
    auto pending = std::make_shared<PendingAnswer>();
    pending->codec = m_codec;
    pending->request = request.body;
    // The library's reader is lenient; what the strict one refuses is given to it as no text.
    if (!parseJson(request.body).ok())
        pending->request.clear();
    pending->exchange = std::move(exchange);
    startCalls(pending);
}

void RpcServerImpl::startCalls(const std::shared_ptr<PendingAnswer> &pending)
{
    bool isAnswered = true;
    std::string answer = m_codec->handle(
            pending->request, [&](const std::string &name, const Json::Value &params,
                                  Json::Value &result, RpcFault &fault) {
                const std::size_t index = pending->results.size();
                pending->results.emplace_back();
                ++pending->missing;
                const auto it = m_methods.find(name);
                assert(it != m_methods.end() && "the codec knows the same methods");
                it->second(params, [pending, index](absl::StatusOr<Json::Value> outcome) {
                    complete(*pending, index, std::move(outcome));
                });
                if (pending->results[index])
                    fillIn(*pending->results[index], result, fault);
                else
                    isAnswered = false;
            });
    pending->isStarting = false;
    if (isAnswered)
        sendAnswer(*pending->exchange, std::move(answer));
    else if (pending->missing == 0)
        replay(*pending);
}

std::unique_ptr<RpcServer> RpcServer::create(std::string sharedKey)
{
    return std::make_unique<RpcServerImpl>(std::move(sharedKey));
}

} // namespace currantwalk
