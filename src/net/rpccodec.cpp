#include "net/rpccodec.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace currantwalk {

namespace {

/// Joins the library's synchronous protocol handler to one invocation function.
class LibraryServerCodec final : public RpcServerCodec, private jsonrpc::IProcedureInvokationHandler
{
public:
    LibraryServerCodec()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
                jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void addMethod(const std::string &name) override
    {
        m_protocol->AddProcedure(
                jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    }

    std::string handle(const std::string &request, const Invoke &invoke) override
    {
        m_invoke = &invoke;
        std::string answer;
        m_protocol->HandleRequest(request, answer);
        m_invoke = nullptr;
        return answer;
    }

private:
    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &params,
                          Json::Value &result) override
    {
        RpcFault fault;
        (*m_invoke)(procedure.GetProcedureName(), params, result, fault);
        if (fault.code == 0)
            return;
        Json::Value data(Json::objectValue);
        data["code"] = fault.errorName;
        throw jsonrpc::JsonRpcException(fault.code, fault.message, data);
    }

    // Every procedure is registered as a method, so the library calls no notification.
    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override {}

    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    const Invoke *m_invoke = nullptr;
};

/// Takes the request that the library wrote; the exchange itself is done elsewhere.
class RequestTaker final : public jsonrpc::IClientConnector
{
public:
    void SendRPCMessage(const std::string &message,
                        std::string &) throw(jsonrpc::JsonRpcException) override
    {
        request = message;
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }

    std::string request;
};

/// Gives the library an answer that has already arrived.
class AnswerGiver final : public jsonrpc::IClientConnector
{
public:
    explicit AnswerGiver(const std::string &answer) : m_answer(answer) {}

    void SendRPCMessage(const std::string &,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        result = m_answer;
    }

private:
    const std::string &m_answer;
};

} // namespace

static RpcFault faultOf(const jsonrpc::JsonRpcException &exception)
{
    RpcFault fault;
    fault.code = exception.GetCode();
    fault.message = exception.GetMessage();
    const Json::Value &data = exception.GetData();
    if (data.isObject() && data["code"].isString())
        fault.errorName = data["code"].asString();
    return fault;
}

std::unique_ptr<RpcServerCodec> RpcServerCodec::create()
{
    return std::unique_ptr<RpcServerCodec>(new LibraryServerCodec);
}

std::string encodeRpcRequest(const std::string &method, const Json::Value &params)
{
    RequestTaker taker;
    jsonrpc::Client client(taker, jsonrpc::JSONRPC_CLIENT_V2);
    Json::Value unused;
    try {
        client.CallMethod(method, params, unused);
    } catch (const jsonrpc::JsonRpcException &) {
        // Always thrown by the connector, once it has the request.
    }
    return taker.request;
}

bool decodeRpcAnswer(const std::string &answer, Json::Value &result, RpcFault &fault)
{
    AnswerGiver giver(answer);
    jsonrpc::Client client(giver, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        client.CallMethod("", Json::Value(), result);
    } catch (const jsonrpc::JsonRpcException &exception) {
        const int code = exception.GetCode();
        if (code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE
            || code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR || code == 0)
            return false;
        fault = faultOf(exception);
    } catch (const Json::Exception &) {
        return false;
    }
    return true;
}

} // namespace currantwalk
