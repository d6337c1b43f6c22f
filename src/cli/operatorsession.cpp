#include "cli/operatorsession.h"

#include <optional>
#include <utility>

namespace currantwalk {

static constexpr Duration LoopTurn = std::chrono::milliseconds(100);

std::unique_ptr<OperatorSession> OperatorSession::create(const Options &options, EventLoop &loop)
{
    return std::unique_ptr<OperatorSession>(new OperatorSession(options, loop));
}

OperatorSession::OperatorSession(const Options &options, EventLoop &loop)
    : m_options(options),
      m_loop(loop),
      m_client(RpcClient::create(loop.client(), loop.timers(), options.key, options.useTls))
{
}

// Each method may be sent again to another node: reading ones change nothing, publications bear an
// id, and a drain is sent to one node alone.
absl::StatusOr<Json::Value> OperatorSession::call(const std::string &method,
                                                  const Json::Value &params)
{
    absl::StatusOr<Json::Value> answer = makeError(ErrorCode::InvalidRequest, "name a --node");
    for (const Endpoint &node : m_options.nodes) {
        answer = callNode(node, method, params);
        if (answer.ok() || errorCode(answer.status()) != ErrorCode::PeerUnreachable)
            return answer;
    }
    return answer;
}

absl::StatusOr<Json::Value> OperatorSession::callNode(const Endpoint &node,
                                                      const std::string &method,
                                                      const Json::Value &params)
{
    // Shared, because the callback outlives this call where the loop ends early.
    const auto answer = std::make_shared<std::optional<absl::StatusOr<Json::Value>>>();
    m_client->call(node, method, params, m_options.timeout,
                   [answer](absl::StatusOr<Json::Value> result) { *answer = std::move(result); });
    while (!*answer)
        m_loop.runOnce(LoopTurn);
    return **answer;
}

} // namespace currantwalk
