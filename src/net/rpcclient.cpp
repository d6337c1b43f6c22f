#include <algorithm>
#include <utility>

#include "base/json.h"
#include "net/fetcher.h"
#include "net/rpc.h"
#include "net/rpccodec.h"

namespace currantwalk {

static constexpr std::size_t MaxAnswerBytes = std::size_t{16} * 1024 * 1024;
static constexpr std::string_view StatusLine = "HTTP/1.1 200 OK\r\n\r\n";
static constexpr std::size_t FieldOverhead = 4; ///< A colon, a space and the line's end.

namespace {

class RpcClientImpl final : public RpcClient
{
public:
    RpcClientImpl(HttpClient &client, TimerService &timers, std::string sharedKey, bool useTls)
        : m_fetcher(client, timers, MaxAnswerBytes),
          m_sharedKey(std::move(sharedKey)),
          m_useTls(useTls)
    {
    }

    void call(const Endpoint &peer, const std::string &method, Json::Value params, Duration timeout,
              Callback callback) override;
    std::uint64_t bytesSent() const override { return m_bytesSent; }
    std::uint64_t bytesReceived() const override { return m_bytesReceived; }

private:
    HttpRequest requestFor(const Endpoint &peer, const std::string &method,
                           const Json::Value &params) const;

    Fetcher m_fetcher;
    std::string m_sharedKey;
    bool m_useTls;
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

static std::size_t responseBytes(const HttpResponse &response)
{
    return StatusLine.size() + fieldBytes(response.head.headers) + response.body.size();
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

static absl::StatusOr<Json::Value> readAnswer(const FetchResult &fetched)
{
    if (!fetched.status.ok())
        return transportError(fetched.status);
    const int status = fetched.response.head.status;
    const std::string &body = fetched.response.body;
    if (status == 401 || status == 403)
        return makeError(ErrorCode::PeerRefused, "the peer refused the shared key");
    Json::Value result;
    RpcFault fault;
    if (status != 200 || !parseJson(body).ok() || !decodeRpcAnswer(body, result, fault))
        return makeError(ErrorCode::PeerUnreachable, "the peer's answer is no JSON-RPC");
    if (fault.code != 0)
        return faultStatus(fault);
    return result;
}

void RpcClientImpl::call(const Endpoint &peer, const std::string &method, Json::Value params,
                         Duration timeout, Callback callback)
{
    HttpRequest request = requestFor(peer, method, params);
    m_bytesSent += requestBytes(request);
    HttpCallOptions options;
    options.endpoint = peer;
    options.useTls = m_useTls;
    options.connectTimeout = std::min(options.connectTimeout, timeout);
    options.headTimeout = timeout;
    options.idleTimeout = timeout;
    m_fetcher.fetch(options, std::move(request), timeout,
                    [this, callback = std::move(callback)](const FetchResult &fetched) {
                        if (fetched.status.ok())
                            m_bytesReceived += responseBytes(fetched.response);
                        callback(readAnswer(fetched));
                    });
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

std::unique_ptr<RpcClient> RpcClient::create(HttpClient &client, TimerService &timers,
                                             std::string sharedKey, bool useTls)
{
    return std::make_unique<RpcClientImpl>(client, timers, std::move(sharedKey), useTls);
}

} // namespace currantwalk
