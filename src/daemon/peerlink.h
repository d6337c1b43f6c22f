#ifndef CURRANTWALK_DAEMON_PEERLINK_H
#define CURRANTWALK_DAEMON_PEERLINK_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <json/value.h>

#include "calls/generationcall.h"
#include "membership/membership.h"
#include "net/rpc.h"
#include "observe/metrics.h"

namespace currantwalk {

/// Talks to the daemons of other VMs by JSON-RPC.
class PeerLink
{
public:
    PeerLink(HttpClient &client, TimerService &timers, const std::string &sharedKey, bool useTls,
             Metrics &metrics);

    /// Sends a message whose loss is made good by later ones.
    void notify(const Endpoint &peer, const std::string &method, const Json::Value &message);
    void call(const Endpoint &peer, const std::string &method, const Json::Value &params,
              RpcClient::Callback callback);
    /// Calls a method that may take up to \a timeout.
    void call(const Endpoint &peer, const std::string &method, const Json::Value &params,
              Duration timeout, RpcClient::Callback callback);
    /// Asks whether any of \a members reads the generation; also true where one did not answer.
    void askReaders(const std::vector<Member> &members, const GenerationId &generation,
                    const std::function<void(bool isRead)> &callback);

    /// Returns the bytes of control traffic that this node began, both ways.
    std::uint64_t bytesSent() const { return m_client->bytesSent(); }
    std::uint64_t bytesReceived() const { return m_client->bytesReceived(); }

    RpcServer &server() { return *m_server; }

private:
    Metrics &m_metrics;
    std::unique_ptr<RpcClient> m_client;
    std::unique_ptr<RpcServer> m_server;
};

Json::Value encodeGeneration(const GenerationId &generation);
/// Fails with JsonInvalid.
absl::StatusOr<GenerationId> decodeGeneration(const Json::Value &json);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_PEERLINK_H
