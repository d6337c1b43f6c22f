#include "daemon/operatorsapi.h"

#include <charconv>
#include <utility>

#include "base/json.h"
#include "config/objectcodec.h"
#include "daemon/burncollector.h"
#include "daemon/node.h"

namespace currantwalk {

static constexpr Duration OutcomeTimeout = std::chrono::seconds(5);

static std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

OperatorsApi::OperatorsApi(Node &node, const std::string &operatorKey)
    : m_node(node), m_server(RpcServer::create(operatorKey))
{
    addMethod("status", &OperatorsApi::status);
    addMethod("targets", &OperatorsApi::targets);
    addMethod("history", &OperatorsApi::history);
    addMethod("config", &OperatorsApi::config);
    addMethod("drain", &OperatorsApi::drain);
    addMethod("explain", &OperatorsApi::explain);
    addMethod("poison", &OperatorsApi::poison);
    addMethod("poison_clear", &OperatorsApi::clearPoison);
    m_server->addMethod("outcome",
                        [this](const Json::Value &params, const RpcResponder &respondTo) {
                            outcome(params, respondTo);
                        });
    m_server->addMethod("burn", [this](const Json::Value &params, const RpcResponder &respondTo) {
        burn(params, respondTo);
    });
    m_server->addMethod("publish",
                        [this](const Json::Value &params, const RpcResponder &respondTo) {
                            publish(params, respondTo);
                        });
}

void OperatorsApi::addMethod(
        const char *name, absl::StatusOr<Json::Value> (OperatorsApi::*method)(const Json::Value &))
{
    m_server->addMethod(name,
                        [this, method](const Json::Value &params, const RpcResponder &respondTo) {
                            respondTo((this->*method)(params));
                        });
}

void OperatorsApi::handle(std::shared_ptr<HttpExchange> exchange)
{
    m_server->handle(std::move(exchange));
}

static Json::Value encodeMember(const Member &member)
{
    Json::Value json(Json::objectValue);
    json["vm"] = member.vm.text();
    json["zone"] = member.zone;
    json["state"] = std::string(memberStateName(member.state));
    json["incarnation"] = Json::UInt64(member.incarnation);
    json["config_version"] = Json::UInt64(member.configVersion);
    json["endpoint"] = member.endpoint.toString();
    return json;
}

absl::StatusOr<Json::Value> OperatorsApi::status(const Json::Value &)
{
    ConfigStore &config = m_node.config();
    Json::Value json(Json::objectValue);
    json["vm"] = m_node.settings().vm;
    json["zone"] = m_node.settings().zone;
    json["incarnation"] = Json::UInt64(m_node.incarnation());
    json["phase"] = std::string(drainPhaseName(m_node.drain().phase()));
    json["ready"] = m_node.isReady();
    json["config_version"] = Json::UInt64(config.current() ? config.current()->version : 0);
    json["config_age_ms"] = Json::Int64(toMilliseconds(config.currentAge()));
    constexpr Duration FreshLog = std::chrono::seconds(10);
    const std::optional<TimePoint> caughtUp = config.lastCaughtUp();
    json["log_ok"] = caughtUp && m_node.timers().now() - *caughtUp < FreshLog;
    json["members"] = Json::Value(Json::arrayValue);
    for (const Member &member : m_node.membership().members())
        json["members"].append(encodeMember(member));
    return json;
}

static Json::Value encodeTarget(const Target &target, TimePoint now)
{
    Json::Value json(Json::objectValue);
    json["id"] = target.id.text();
    json["kind"] = target.kind == TargetKind::Engine ? "engine" : "plain";
    json["zone"] = target.zone;
    json["pool"] = target.pool;
    json["state"] = std::string(targetStateName(target.state));
    json["incarnation"] = Json::UInt64(target.incarnation);
    json["endpoint"] = target.endpoint.toString();
    json["models"] = Json::Value(Json::arrayValue);
    for (const LoadedModel &model : target.models) {
        Json::Value row(Json::objectValue);
        row["name"] = model.name;
        row["version"] = model.version;
        json["models"].append(row);
    }
    json["running"] = target.load.running;
    json["waiting"] = target.load.waiting;
    json["used_tokens"] = Json::UInt64(target.load.usedTokens);
    json["capacity_tokens"] = Json::UInt64(target.load.capacityTokens);
    json["preemptions"] = Json::UInt64(target.load.preemptions);
    const Duration age = std::chrono::duration_cast<Duration>(now - target.load.reportedAt);
    if (target.load.reportedAt != TimePoint())
        json["report_age_ms"] = Json::Int64(toMilliseconds(age));
    return json;
}

absl::StatusOr<Json::Value> OperatorsApi::targets(const Json::Value &)
{
    Json::Value json(Json::objectValue);
    json["targets"] = Json::Value(Json::arrayValue);
    for (const Target *target : m_node.targets().all())
        json["targets"].append(encodeTarget(*target, m_node.timers().now()));
    return json;
}

static Json::Value encodeVerdict(const PublicationVerdict &verdict)
{
    Json::Value json(Json::objectValue);
    json["offset"] = Json::UInt64(verdict.offset);
    json["base"] = Json::UInt64(verdict.base);
    json["author"] = verdict.author;
    json["publication_id"] = verdict.publicationId;
    json["accepted"] = verdict.isAccepted;
    json["reason"] = verdict.reason;
    return json;
}

absl::StatusOr<Json::Value> OperatorsApi::history(const Json::Value &)
{
    Json::Value json(Json::objectValue);
    json["verdicts"] = Json::Value(Json::arrayValue);
    for (const PublicationVerdict &verdict : m_node.config().verdicts())
        json["verdicts"].append(encodeVerdict(verdict));
    return json;
}

absl::StatusOr<Json::Value> OperatorsApi::config(const Json::Value &)
{
    const ConfigVersion *current = m_node.config().current();
    Json::Value json(Json::objectValue);
    json["version"] = Json::UInt64(current ? current->version : 0);
    json["objects"] = encodeObjects(current ? current->objects : ObjectSet());
    return json;
}

absl::StatusOr<Json::Value> OperatorsApi::drain(const Json::Value &params)
{
    m_node.beginDrain();
    if (params.isObject() && params.isMember("deadline_ms")) {
        const absl::StatusOr<std::uint64_t> deadline = unsignedMember(params, "deadline_ms");
        if (!deadline.ok())
            return deadline.status();
        m_node.drain().setDeadline(std::chrono::milliseconds(static_cast<std::int64_t>(*deadline)));
    }
    Json::Value json(Json::objectValue);
    json["phase"] = std::string(drainPhaseName(m_node.drain().phase()));
    return json;
}

static Json::Value encodePlacement(const PlacementResult &placement)
{
    Json::Value json(Json::objectValue);
    json["target"] = placement.target.text();
    json["rule"] = placement.reason.rule;
    json["score"] = placement.reason.score;
    json["candidates"] = placement.reason.candidates;
    json["expected_tokens"] = placement.reason.expectedTokens;
    json["reserved_tokens"] = placement.reason.reservedTokens;
    json["headroom_tokens"] = placement.reason.headroomTokens;
    json["prefix_tokens"] = placement.reason.prefixTokens;
    json["held_ms"] = Json::Int64(toMilliseconds(placement.held));
    return json;
}

absl::StatusOr<Json::Value> OperatorsApi::explain(const Json::Value &params)
{
    const absl::StatusOr<std::string> request = stringMember(params, "request");
    if (!request.ok())
        return request.status();
    const std::vector<PlacementResult> placements = m_node.decisions().find(*request);
    if (placements.empty())
        return makeError(ErrorCode::NotFound, "this node remembers no request " + *request);
    Json::Value json(Json::objectValue);
    json["attempts"] = Json::Value(Json::arrayValue);
    for (const PlacementResult &placement : placements)
        json["attempts"].append(encodePlacement(placement));
    return json;
}

absl::StatusOr<Json::Value> OperatorsApi::poison(const Json::Value &)
{
    Json::Value json(Json::objectValue);
    json["entries"] = Json::Value(Json::arrayValue);
    for (const PoisonTracker::Entry &entry : m_node.poison().entries()) {
        Json::Value row(Json::objectValue);
        row["fingerprint"] = std::to_string(entry.fingerprint);
        row["suspicion"] = std::string(suspicionName(entry.suspicion));
        row["deaths"] = Json::Value(Json::arrayValue);
        for (const TargetId &target : entry.deaths)
            row["deaths"].append(target.text());
        json["entries"].append(row);
    }
    return json;
}

absl::StatusOr<Json::Value> OperatorsApi::clearPoison(const Json::Value &params)
{
    const absl::StatusOr<std::string> text = stringMember(params, "fingerprint");
    if (!text.ok())
        return text.status();
    std::uint64_t fingerprint = 0;
    const char *end = text->data() + text->size();
    const std::from_chars_result result = std::from_chars(text->data(), end, fingerprint);
    if (text->empty() || result.ec != std::errc() || result.ptr != end)
        return makeError(ErrorCode::InvalidRequest, "fingerprint: expected a whole number");
    m_node.poison().clear(fingerprint);
    return Json::Value(Json::objectValue);
}

static Json::Value encodePublicationResult(const PublicationResult &result)
{
    Json::Value json(Json::objectValue);
    json["accepted"] = result.isAccepted;
    json["version"] = Json::UInt64(result.version);
    json["reason"] = result.reason;
    json["winner"] = result.winner;
    json["changes"] = encodeChanges(result.changes);
    return json;
}

static absl::StatusOr<PublicationRequest> decodePublication(const Json::Value &params)
{
    const absl::StatusOr<std::uint64_t> base = unsignedMember(params, "base");
    const absl::StatusOr<std::string> author = stringMember(params, "author");
    const absl::StatusOr<std::string> id = stringMember(params, "publication_id");
    for (const absl::Status &status : {base.status(), author.status(), id.status()}) {
        if (!status.ok())
            return status;
    }
    PublicationRequest request;
    request.base = *base;
    request.author = *author;
    request.publicationId = *id;
    request.objects = params["objects"];
    if (params.isMember("recovery")) {
        const absl::StatusOr<bool> isRecovery = boolMember(params, "recovery");
        if (!isRecovery.ok())
            return isRecovery.status();
        request.isRecovery = *isRecovery;
    }
    return request;
}

void OperatorsApi::publish(const Json::Value &params, const RpcResponder &respondTo)
{
    const absl::StatusOr<PublicationRequest> request = decodePublication(params);
    if (!request.ok())
        return respondTo(request.status());
    m_node.publisher().publish(*request,
                               [respondTo](const absl::StatusOr<PublicationResult> &result) {
                                   if (result.ok())
                                       respondTo(encodePublicationResult(*result));
                                   else
                                       respondTo(result.status());
                               });
}

void OperatorsApi::burn(const Json::Value &params, const RpcResponder &respondTo)
{
    const absl::StatusOr<BurnQuery> query = BurnQuery::fromJson(params);
    if (!query.ok())
        return respondTo(query.status());
    m_node.collectBurn([this, query = *query, respondTo](const BurnSnapshot &snapshot,
                                                         std::size_t missing) {
        const ObjectIndex *index = m_node.index();
        const ObjectSet none;
        respondTo(encodeBurnReport(snapshot, index ? index->objects() : none, query, missing));
    });
}

static Json::Value encodeClaimAnswer(const ClaimAnswer &answer)
{
    Json::Value json(Json::objectValue);
    switch (answer.verdict) {
    case ClaimVerdict::Done:
        json["outcome"] = std::string(outcomeName(Outcome::Done));
        json["status"] = answer.result ? answer.result->status : 0;
        break;
    case ClaimVerdict::NotClaimed:
        json["outcome"] = std::string(outcomeName(Outcome::NotRun));
        json["status"] = 0;
        break;
    default:
        json["outcome"] = std::string(outcomeName(Outcome::Unknown));
        json["status"] = 0;
        break;
    }
    return json;
}

void OperatorsApi::outcome(const Json::Value &params, const RpcResponder &respondTo)
{
    const absl::StatusOr<std::string> organisation = stringMember(params, "organisation");
    const absl::StatusOr<std::string> service = stringMember(params, "service");
    const absl::StatusOr<std::string> key = stringMember(params, "key");
    for (const absl::Status &status : {organisation.status(), service.status(), key.status()}) {
        if (!status.ok())
            return respondTo(status);
    }
    ClaimRequest request;
    request.organisation = *organisation;
    request.service = *service;
    request.key = *key;
    request.deadline = m_node.timers().now() + OutcomeTimeout;
    const ObjectIndex *index = m_node.index();
    if (index && index->objects().services.contains(*service))
        request.keyWindow = index->objects().services.at(*service).keyWindow;
    m_node.claims().lookUp(request, [respondTo](const ClaimAnswer &answer) {
        respondTo(encodeClaimAnswer(answer));
    });
}

} // namespace currantwalk
