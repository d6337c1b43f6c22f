#ifndef CURRANTWALK_NET_RPCCODEC_H
#define CURRANTWALK_NET_RPCCODEC_H

#include <functional>
#include <memory>
#include <string>

#include <json/value.h>

// The JSON-RPC library's headers need C++14, so this header keeps to that standard too.

namespace currantwalk {

/// An error of a JSON-RPC call.
struct RpcFault
{
    int code = 0;          ///< Of JSON-RPC; 0 where there is no error.
    std::string message;   ///< For people.
    std::string errorName; ///< The wire name of an error of this project, or empty.
};

/// The code of errors that this project names itself; one for which the library has no text.
constexpr int RpcServerErrorCode = -32050;

/// Reads JSON-RPC 2.0 requests and writes the answers to them.
class RpcServerCodec
{
public:
    /// Gives the result of one call, or sets the fault's code.
    using Invoke = std::function<void(const std::string &method, const Json::Value &params,
                                      Json::Value &result, RpcFault &fault)>;

    static std::unique_ptr<RpcServerCodec> create();

    virtual ~RpcServerCodec() = default;

    virtual void addMethod(const std::string &name) = 0;
    /// Calls \a invoke for each valid call in \a request, in order, and returns the answer; all
    /// else is answered with the errors of JSON-RPC.
    virtual std::string handle(const std::string &request, const Invoke &invoke) = 0;
};

/// Writes a request for one call.
std::string encodeRpcRequest(const std::string &method, const Json::Value &params);

/// Reads the answer to one call. Returns false where \a answer is no JSON-RPC.
bool decodeRpcAnswer(const std::string &answer, Json::Value &result, RpcFault &fault);

} // namespace currantwalk

#endif // CURRANTWALK_NET_RPCCODEC_H
