#ifndef CURRANTWALK_DAEMON_OPERATORSAPI_H
#define CURRANTWALK_DAEMON_OPERATORSAPI_H

#include <memory>
#include <string>

#include "net/rpc.h"

namespace currantwalk {

class Node;

/// Serves operators' orders and questions by JSON-RPC; see docs/OPERATORS.md.
class OperatorsApi
{
public:
    /// \a node must outlive the result.
    OperatorsApi(Node &node, const std::string &operatorKey);

    void handle(std::shared_ptr<HttpExchange> exchange);

private:
    void addMethod(const char *name,
                   absl::StatusOr<Json::Value> (OperatorsApi::*method)(const Json::Value &));
    absl::StatusOr<Json::Value> status(const Json::Value &params);
    absl::StatusOr<Json::Value> targets(const Json::Value &params);
    absl::StatusOr<Json::Value> history(const Json::Value &params);
    absl::StatusOr<Json::Value> config(const Json::Value &params);
    absl::StatusOr<Json::Value> drain(const Json::Value &params);
    absl::StatusOr<Json::Value> explain(const Json::Value &params);
    absl::StatusOr<Json::Value> poison(const Json::Value &params);
    absl::StatusOr<Json::Value> clearPoison(const Json::Value &params);
    void outcome(const Json::Value &params, const RpcResponder &respondTo);
    void publish(const Json::Value &params, const RpcResponder &respondTo);

    Node &m_node;
    std::unique_ptr<RpcServer> m_server;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_OPERATORSAPI_H
