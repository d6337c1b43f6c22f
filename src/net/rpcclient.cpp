#include <algorithm>
#include <map>
#include <utility>

#include "base/json.h"
#include "net/rpc.h"
#include "net/rpccodec.h"

namespace currantwalk {

static constexpr std::size_t MaxAnswerBytes = std::size_t{16} * 1024 * 1024;
static constexpr std::string_view StatusLine = "HTTP/1.1 200 OK\r\n";
static constexpr std::size_t FieldOverhead = 4; ///< A colon, a space and the line's end.

namespace {

class RpcClientImpl final : public RpcClient
{
public:
    RpcClientImpl(HttpClient &client, TimerService &timers, std::string sharedKey, bool useTls)
        : m_client(client), m_timers(timers), m_sharedKey(std::move(sharedKey)), m_useTls(useTls)
    {
    }
    ~RpcClientImpl() override;
    RpcClientImpl(const RpcClientImpl &) = delete;
    RpcClientImpl &operator=(const RpcClientImpl &) = delete;

    void call(const Endpoint &peer, const std::string &method, Json::Value params, Duration timeout,
              Callback callback) override;
    std::uint64_t bytesSent() const override { return m_bytesSent; }
    std::uint64_t bytesReceived() const override { return m_bytesReceived; }

private:
    using CallNumber = std::uint64_t;

    struct Pending
    {
        std::unique_ptr<HttpCall> call;
        Callback callback;
        TimerId deadline = NoTimer;
        int status = 0;
        std::string body;
    };

    HttpRequest requestFor(const Endpoint &peer, const std::string &method,
                           const Json::Value &params) const;
    HttpCallHooks hooksFor(CallNumber number);
    void receiveHead(CallNumber number, const HttpResponseHead &head);
    void receiveBody(CallNumber number, std::string_view part);
    void end(CallNumber number, const absl::Status &status);
    void complete(CallNumber number, absl::StatusOr<Json::Value> outcome);

    HttpClient &m_client;
    TimerService &m_timers;
    std::string m_sharedKey;
    bool m_useTls;
    CallNumber m_lastNumber = 0;
    std::map<CallNumber, Pending> m_pending;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace

static std::size_t fieldBytes(const HttpHeaders &headers)
{
    std::size_t sum = 0;
    for (const HttpHeader &header : headers)
        sum += header.name.size() + header.value.size() + FieldOverhead;
    return sum;
}

static std::size_t requestBytes(const HttpRequest &request)
{
    static constexpr std::string_view StartLine = "POST /rpc HTTP/1.1\r\n\r\n";
    static constexpr std::string_view LengthField = "content-length: ";
    const std::size_t length = LengthField.size() + std::to_string(request.body.size()).size() + 2;
    return StartLine.size() + fieldBytes(request.headers) + length + request.body.size();
}

static absl::Status transportError(const absl::Status &status)
{
    if (errorCode(status) == ErrorCode::DeadlineExceeded)
        return status;
    const absl::string_view message = status.message();
    return makeError(ErrorCode::PeerUnreachable, {message.data(), message.size()});
}

static absl::Status faultStatus(const RpcFault &fault)
{
    const std::optional<ErrorCode> code = errorFromName(fault.errorName);
    if (code)
        return makeError(*code, fault.message);
    return makeError(ErrorCode::PeerRefused,
                     "JSON-RPC error " + std::to_string(fault.code) + ": " + fault.message);
}

static absl::StatusOr<Json::Value> readAnswer(int status, const std::string &body)
{
    if (status == 401 || status == 403)
        return makeError(ErrorCode::PeerRefused, "the peer refused the shared key");
    if (status != 200 || !parseJson(body).ok())
        return makeError(ErrorCode::PeerUnreachable, "the peer's answer is no JSON-RPC");
    Json::Value result;
    RpcFault fault;
    if (!decodeRpcAnswer(body, result, fault))
        return makeError(ErrorCode::PeerUnreachable, "the peer's answer is no JSON-RPC");
    if (fault.code != 0)
        return faultStatus(fault);
    return result;
}

RpcClientImpl::~RpcClientImpl()
{
    for (const auto &[number, pending] : m_pending)
        m_timers.cancel(pending.deadline);
}

void RpcClientImpl::call(const Endpoint &peer, const std::string &method, Json::Value params,
                         Duration timeout, Callback callback)
{
    const CallNumber number = ++m_lastNumber;
    HttpRequest request = requestFor(peer, method, params);
    m_bytesSent += requestBytes(request);
    HttpCallOptions options;
    options.endpoint = peer;
    options.useTls = m_useTls;
    options.connectTimeout = std::min(options.connectTimeout, timeout);
    options.headTimeout = timeout;
    options.idleTimeout = timeout;
    Pending &pending = m_pending[number];
    pending.callback = std::move(callback);
    pending.deadline = m_timers.subscribeAfter(timeout, [this, number] {
        complete(number, makeError(ErrorCode::DeadlineExceeded, "the peer gave no answer in time"));
    });
    pending.call = m_client.send(options, std::move(request), hooksFor(number));
}

HttpRequest RpcClientImpl::requestFor(const Endpoint &peer, const std::string &method,
                                      const Json::Value &params) const
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/rpc";
    request.headers = {{"host", peer.toString()},
                       {"authorization", "Bearer " + m_sharedKey},
                       {"content-type", "application/json"}};
    request.body = encodeRpcRequest(method, params);
    return request;
}

HttpCallHooks RpcClientImpl::hooksFor(CallNumber number)
{
    return {[this, number](const HttpResponseHead &head) { receiveHead(number, head); },
            [this, number](std::string_view part) { receiveBody(number, part); },
            [this, number](const absl::Status &status) { end(number, status); }};
}

void RpcClientImpl::receiveHead(CallNumber number, const HttpResponseHead &head)
{
    m_bytesReceived += StatusLine.size() + fieldBytes(head.headers) + 2;
    m_pending.at(number).status = head.status;
}

void RpcClientImpl::receiveBody(CallNumber number, std::string_view part)
{
    m_bytesReceived += part.size();
    std::string &body = m_pending.at(number).body;
    if (body.size() + part.size() > MaxAnswerBytes) {
        complete(number, makeError(ErrorCode::PeerUnreachable, "the peer's answer is too large"));
        return;
    }
    body += part;
}

void RpcClientImpl::end(CallNumber number, const absl::Status &status)
{
    if (!status.ok()) {
        complete(number, transportError(status));
        return;
    }
    const Pending &pending = m_pending.at(number);
    complete(number, readAnswer(pending.status, pending.body));
}

void RpcClientImpl::complete(CallNumber number, absl::StatusOr<Json::Value> outcome)
{
    auto node = m_pending.extract(number);
    if (node.empty())
        return;
    m_timers.cancel(node.mapped().deadline);
    const Callback callback = std::move(node.mapped().callback);
    // Taken down first: the callback may destroy this client.
    node = {};
    callback(std::move(outcome));
}

std::unique_ptr<RpcClient> RpcClient::create(HttpClient &client, TimerService &timers,
                                             std::string sharedKey, bool useTls)
{
    return std::make_unique<RpcClientImpl>(client, timers, std::move(sharedKey), useTls);
}

} // namespace currantwalk
