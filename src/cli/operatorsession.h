#ifndef CURRANTWALK_CLI_OPERATORSESSION_H
#define CURRANTWALK_CLI_OPERATORSESSION_H

#include <memory>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/endpoint.h"
#include "base/error.h"
#include "net/eventloop.h"
#include "net/rpc.h"

namespace currantwalk {

/// Calls methods of the operators' listener of a daemon and waits for the answer.
class OperatorSession
{
public:
    struct Options
    {
        std::vector<Endpoint> nodes; ///< Tried in order.
        std::string key;
        bool useTls = false;
        Duration timeout = std::chrono::seconds(30);
    };

    /// \a loop must outlive the result.
    static std::unique_ptr<OperatorSession> create(const Options &options, EventLoop &loop);

    /// Returns the answer of the first node that can be reached. Fails with what the node said, or
    /// with PeerUnreachable or DeadlineExceeded.
    absl::StatusOr<Json::Value> call(const std::string &method, const Json::Value &params);

private:
    OperatorSession(const Options &options, EventLoop &loop);

    absl::StatusOr<Json::Value> callNode(const Endpoint &node, const std::string &method,
                                         const Json::Value &params);

    const Options m_options;
    EventLoop &m_loop;
    std::unique_ptr<RpcClient> m_client;
};

} // namespace currantwalk

#endif // CURRANTWALK_CLI_OPERATORSESSION_H
