#include "daemon/peerlink.h"

#include <utility>

#include "base/json.h"

namespace currantwalk {

static constexpr Duration NotifyTimeout = std::chrono::seconds(1);
static constexpr Duration CallTimeout = std::chrono::seconds(2);

PeerLink::PeerLink(HttpClient &client, TimerService &timers, const std::string &sharedKey,
                   bool useTls, Metrics &metrics)
    : m_metrics(metrics),
      m_client(RpcClient::create(client, timers, sharedKey, useTls)),
      m_server(RpcServer::create(sharedKey))
{
}

void PeerLink::notify(const Endpoint &peer, const std::string &method, const Json::Value &message)
{
    m_client->call(peer, method, message, NotifyTimeout,
                   [this, method](const absl::StatusOr<Json::Value> &result) {
                       if (!result.ok())
                           m_metrics.count("currantwalk_peer_failures_total", {{"method", method}});
                   });
}

void PeerLink::call(const Endpoint &peer, const std::string &method, const Json::Value &params,
                    RpcClient::Callback callback)
{
    call(peer, method, params, CallTimeout, std::move(callback));
}

void PeerLink::call(const Endpoint &peer, const std::string &method, const Json::Value &params,
                    Duration timeout, RpcClient::Callback callback)
{
    m_client->call(peer, method, params, timeout, std::move(callback));
}

void PeerLink::askReaders(const std::vector<Member> &members, const GenerationId &generation,
                          const std::function<void(bool isRead)> &callback)
{
    struct Poll
    {
        std::size_t outstanding = 0;
        bool isRead = false;
    };
    const auto poll = std::make_shared<Poll>();
    poll->outstanding = members.size();
    for (const Member &member : members) {
        call(member.endpoint, "reading", encodeGeneration(generation),
             [poll, callback](const absl::StatusOr<Json::Value> &result) {
                 const bool isNot = result.ok() && result->isBool() && !result->asBool();
                 poll->isRead = poll->isRead || !isNot;
                 if (--poll->outstanding == 0)
                     callback(poll->isRead);
             });
    }
}

Json::Value encodeGeneration(const GenerationId &generation)
{
    Json::Value json(Json::objectValue);
    json["target"] = generation.target.text();
    json["incarnation"] = Json::UInt64(generation.incarnation);
    json["number"] = Json::UInt64(generation.number);
    return json;
}

absl::StatusOr<GenerationId> decodeGeneration(const Json::Value &json)
{
    const absl::StatusOr<std::string> target = stringMember(json, "target");
    if (!target.ok())
        return target.status();
    const absl::StatusOr<std::uint64_t> incarnation = unsignedMember(json, "incarnation");
    if (!incarnation.ok())
        return incarnation.status();
    const absl::StatusOr<std::uint64_t> number = unsignedMember(json, "number");
    if (!number.ok())
        return number.status();
    return GenerationId{TargetId(*target), *incarnation, *number};
}

} // namespace currantwalk
