#include "daemon/peerlink.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace currantwalk {

static constexpr Duration NotifyTimeout = std::chrono::seconds(1);
static constexpr Duration CallTimeout = std::chrono::seconds(2);
// Of a reported death, in microseconds; what is older counts no more.
static constexpr std::uint64_t MaxReportAge = 24ULL * 3600 * 1000 * 1000;

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
    m_client->call(peer, method, params, CallTimeout, std::move(callback));
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

Json::Value encodePoisonReport(const PoisonReport &report)
{
    Json::Value json(Json::objectValue);
    json["fingerprint"] = Json::UInt64(report.fingerprint);
    json["target"] = report.target.text();
    json["incarnation"] = Json::UInt64(report.incarnation);
    json["neighbours"] = report.concurrentRequests;
    json["begun"] = report.hasStarted;
    json["answering"] = report.wasAnswering;
    json["subject"] = report.subject;
    json["age_us"] = Json::Int64(report.age.count());
    return json;
}

absl::StatusOr<PoisonReport> decodePoisonReport(const Json::Value &json)
{
    const absl::StatusOr<std::uint64_t> fingerprint = unsignedMember(json, "fingerprint");
    if (!fingerprint.ok())
        return fingerprint.status();
    const absl::StatusOr<std::string> target = stringMember(json, "target");
    if (!target.ok())
        return target.status();
    const absl::StatusOr<std::uint64_t> incarnation = unsignedMember(json, "incarnation");
    if (!incarnation.ok())
        return incarnation.status();
    const absl::StatusOr<std::uint64_t> neighbours = unsignedMember(json, "neighbours");
    if (!neighbours.ok())
        return neighbours.status();
    const absl::StatusOr<bool> hasStarted = boolMember(json, "begun");
    if (!hasStarted.ok())
        return hasStarted.status();
    PoisonReport report;
    report.hasStarted = *hasStarted;
    report.fingerprint = *fingerprint;
    report.target = TargetId(*target);
    report.incarnation = *incarnation;
    report.concurrentRequests = static_cast<std::uint32_t>(*neighbours);
    // Earlier versions don't send these.
    report.wasAnswering = boolMember(json, "answering").value_or(false);
    report.subject = stringMember(json, "subject").value_or("");
    const std::uint64_t age = unsignedMember(json, "age_us").value_or(0);
    report.age = Duration(static_cast<Duration::rep>(std::min(age, MaxReportAge)));
    return report;
}

} // namespace currantwalk
