#ifndef CURRANTWALK_NET_RPC_H
#define CURRANTWALK_NET_RPC_H

#include <functional>
#include <memory>
#include <string>

#include <json/value.h>

#include "base/endpoint.h"
#include "base/error.h"
#include "net/http.h"

namespace currantwalk {

/// Answers one JSON-RPC method. It must call the responder once, then or later.
using RpcResponder = std::function<void(absl::StatusOr<Json::Value>)>;
using RpcMethod = std::function<void(const Json::Value &params, RpcResponder responder)>;

/// Serves JSON-RPC 2.0 over `POST /rpc` to peers that know the shared key.
class RpcServer
{
public:
    /// \a sharedKey must be shown by each request; an empty one refuses all.
    static std::unique_ptr<RpcServer> create(std::string sharedKey);

    virtual ~RpcServer() = default;

    virtual void addMethod(const std::string &name, RpcMethod method) = 0;
    /// Handles a request that came to the listener for peers or operators.
    virtual void handle(std::shared_ptr<HttpExchange> exchange) = 0;
};

/// Calls JSON-RPC 2.0 methods of peers.
class RpcClient
{
public:
    using Callback = std::function<void(absl::StatusOr<Json::Value>)>;

    /// \a client and \a timers must outlive the result.
    static std::unique_ptr<RpcClient> create(HttpClient &client, TimerService &timers,
                                             std::string sharedKey, bool useTls);

    virtual ~RpcClient() = default;

    /// Calls \a callback once: with the result, with the error that the peer named, or with
    /// PeerUnreachable or DeadlineExceeded.
    virtual void call(const Endpoint &peer, const std::string &method, Json::Value params,
                      Duration timeout, Callback callback) = 0;
    /// Returns the bytes sent and received, for the control budget.
    virtual std::uint64_t bytesSent() const = 0;
    virtual std::uint64_t bytesReceived() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_RPC_H
