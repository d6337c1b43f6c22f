#include "standin/engineserver.h"

#include <utility>

#include "base/json.h"
#include "standin/replies.h"

namespace currantwalk::standin {

/// From the start of a generation to the death of the engine that it kills.
static constexpr Duration PoisonDelay = std::chrono::milliseconds(1);

static std::string sseEvent(const char *type, const Json::Value &data)
{
    return std::string("event: ") + type + "\ndata: " + writeJson(data) + "\n\n";
}

static absl::StatusOr<EngineRequest> parseEngineRequest(const std::string &body)
{
    const absl::StatusOr<Json::Value> json = parseJson(body);
    if (!json.ok())
        return json.status();
    const absl::StatusOr<std::string> attempt = stringMember(*json, "attempt");
    const absl::StatusOr<std::string> model = stringMember(*json, "model");
    const absl::StatusOr<std::string> prompt = stringMember(*json, "prompt");
    const absl::StatusOr<std::uint64_t> maxTokens = unsignedMember(*json, "max_tokens");
    const absl::StatusOr<std::uint64_t> priority = unsignedMember(*json, "priority");
    for (const absl::Status &status : {attempt.status(), model.status(), prompt.status(),
                                       maxTokens.status(), priority.status()}) {
        if (!status.ok())
            return status;
    }
    EngineRequest request;
    request.attempt = *attempt;
    request.model = *model;
    request.prompt = *prompt;
    request.maxTokens = static_cast<std::uint32_t>(*maxTokens);
    request.priority = static_cast<std::uint32_t>(*priority);
    return request;
}

static absl::StatusOr<std::vector<LoadedModel>> parseModels(const Json::Value &json)
{
    if (!json.isArray())
        return makeError(ErrorCode::InvalidRequest, "models: expected an array");
    std::vector<LoadedModel> models;
    for (const Json::Value &row : json) {
        const absl::StatusOr<std::string> name = stringMember(row, "name");
        if (!name.ok())
            return name.status();
        const absl::StatusOr<std::string> version = stringMember(row, "version");
        if (!version.ok())
            return version.status();
        models.push_back({*name, *version});
    }
    return models;
}

EngineServer::EngineServer(const Engine::Options &options, TimerService &timers,
                           RandomSource &random)
    : m_timers(timers), m_faults(timers, random), m_engine(options, timers, random.next64())
{
    m_faults.onCleared([this] { flushAll(); });
}

void EngineServer::handle(std::shared_ptr<HttpExchange> exchange)
{
    if (m_isDown) {
        exchange->abort();
        return;
    }
    m_faults.pass(std::move(exchange), [this](const std::shared_ptr<HttpExchange> &passed) {
        if (m_isDown)
            passed->abort();
        else
            dispatch(passed);
    });
}

void EngineServer::crash(Duration downTime)
{
    m_isDown = true;
    ++m_crashes;
    cutStreams();
    m_engine.crash();
    if (downTime == Duration(0))
        return;
    m_timers.scheduleAfter(downTime, [this] {
        m_isDown = false;
        ++m_incarnation;
    });
}

void EngineServer::dispatch(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    const RequestPath path = RequestPath::parse(request.path);
    const std::string resource = path.parts.empty() ? "" : path.parts[0];
    if (request.method == "POST" && resource == "generations")
        return openGeneration(exchange);
    if (resource == "generations" && path.parts.size() == 3) {
        const Incarnation incarnation = parseUnsigned(path.parts[1]).value_or(0);
        const std::uint64_t generation = parseUnsigned(path.parts[2]).value_or(0);
        if (request.method == "DELETE")
            return cancel(*exchange, incarnation, generation);
        const auto from = static_cast<std::uint32_t>(path.number("from", 0));
        return resumeGeneration(exchange, incarnation, generation, from);
    }
    if (request.method == "DELETE" && resource == "attempts" && path.parts.size() == 2)
        return cancelAttempt(*exchange, path.parts[1]);
    if (resource == "load")
        return replyLoad(*exchange);
    if (resource == "cache-events")
        return replyCacheEvents(*exchange, path.number("from", 1));
    if (request.method == "POST" && resource == "orders")
        return takeOrder(*exchange);
    replyError(*exchange, makeError(ErrorCode::NotFound, "the engine has no such resource"));
}

void EngineServer::openGeneration(const std::shared_ptr<HttpExchange> &exchange)
{
    const absl::StatusOr<EngineRequest> request = parseEngineRequest(exchange->request().body);
    if (!request.ok())
        return replyError(*exchange, request.status());
    const absl::StatusOr<std::uint64_t> generation = m_engine.open(*request);
    if (!generation.ok())
        return replyError(*exchange, generation.status());
    stream(exchange, *generation, 0);
    const bool isPoisonous =
            !m_poison.empty() && request->prompt.find(m_poison) != std::string::npos;
    if (isPoisonous)
        m_timers.scheduleAfter(PoisonDelay, [this] { crash(m_poisonDownTime); });
}

void EngineServer::setPoison(std::string text, Duration downTime)
{
    m_poison = std::move(text);
    m_poisonDownTime = downTime;
}

void EngineServer::resumeGeneration(const std::shared_ptr<HttpExchange> &exchange,
                                    Incarnation incarnation, std::uint64_t generation,
                                    std::uint32_t from)
{
    if (incarnation != m_incarnation)
        return replyError(*exchange, makeError(ErrorCode::ResumeExpired, "engine restarted"));
    stream(exchange, generation, from);
}

void EngineServer::stream(const std::shared_ptr<HttpExchange> &exchange, std::uint64_t generation,
                          std::uint32_t from)
{
    EngineReader reader;
    reader.onToken = [this, exchange, generation](std::uint32_t position, const std::string &text) {
        Json::Value data(Json::objectValue);
        data["position"] = position;
        data["text"] = text;
        send(generation, exchange, sseEvent("token", data), false);
    };
    reader.onEnd = [this, exchange, generation](const std::string &reason, std::uint32_t tokens) {
        Json::Value data(Json::objectValue);
        data["reason"] = reason;
        data["tokens"] = tokens;
        send(generation, exchange, sseEvent("end", data), true);
    };
    reader.onCancelled = [this, exchange, generation] {
        send(generation, exchange, sseEvent("cancelled", Json::Value(Json::objectValue)), true);
    };
    const absl::Status attached = m_engine.read(generation, from, std::move(reader));
    if (!attached.ok())
        return replyError(*exchange, attached);

    const auto previous = m_streams.find(generation);
    if (previous != m_streams.end())
        previous->second.exchange->abort();
    m_streams[generation] = Stream{exchange, "", false};
    // The exchange keeps the callback, which must not keep the exchange.
    exchange->onClosed([this, closed = exchange.get(), generation] {
        const auto it = m_streams.find(generation);
        if (it == m_streams.end() || it->second.exchange.get() != closed)
            return;
        m_streams.erase(it);
        m_engine.detach(generation);
    });
    HttpResponseHead head;
    head.headers.push_back({"content-type", "text/event-stream"});
    exchange->start(std::move(head));
    Json::Value data(Json::objectValue);
    data["incarnation"] = Json::UInt64(m_incarnation);
    data["number"] = Json::UInt64(generation);
    send(generation, exchange, sseEvent("start", data), false);
}

void EngineServer::send(std::uint64_t generation, const std::shared_ptr<HttpExchange> &exchange,
                        const std::string &event, bool isLast)
{
    const auto it = m_streams.find(generation);
    if (it == m_streams.end() || it->second.exchange != exchange)
        return;
    it->second.held += event;
    it->second.isEnded = isLast;
    if (!m_faults.isStalled())
        flush(generation);
}

void EngineServer::flush(std::uint64_t generation)
{
    const auto it = m_streams.find(generation);
    if (it == m_streams.end())
        return;
    const std::shared_ptr<HttpExchange> exchange = it->second.exchange;
    exchange->write(std::exchange(it->second.held, ""));
    if (!it->second.isEnded)
        return;
    m_streams.erase(it);
    exchange->finish();
}

void EngineServer::flushAll()
{
    std::vector<std::uint64_t> generations;
    for (const auto &[generation, stream] : m_streams)
        generations.push_back(generation);
    for (const std::uint64_t generation : generations)
        flush(generation);
}

void EngineServer::cutStreams()
{
    for (const auto &[generation, stream] : std::exchange(m_streams, {})) {
        m_engine.detach(generation);
        stream.exchange->abort();
    }
}

void EngineServer::cancel(HttpExchange &exchange, Incarnation incarnation, std::uint64_t generation)
{
    Json::Value json(Json::objectValue);
    const bool wasRunning = incarnation == m_incarnation && m_engine.cancel(generation);
    m_cancels += wasRunning ? 1 : 0;
    json["was_running"] = wasRunning;
    replyJson(exchange, json);
}

void EngineServer::cancelAttempt(HttpExchange &exchange, const std::string &attempt)
{
    Json::Value json(Json::objectValue);
    const bool wasRunning = m_engine.cancelAttempt(attempt);
    m_cancels += wasRunning ? 1 : 0;
    json["was_running"] = wasRunning;
    replyJson(exchange, json);
}

void EngineServer::replyLoad(HttpExchange &exchange) const
{
    const Engine::Load lagging = m_engine.laggingLoad();
    Json::Value json(Json::objectValue);
    json["incarnation"] = Json::UInt64(m_incarnation);
    json["leaving"] = m_engine.isLeaving();
    json["models"] = Json::Value(Json::arrayValue);
    for (const LoadedModel &model : m_engine.models()) {
        Json::Value row(Json::objectValue);
        row["name"] = model.name;
        row["version"] = model.version;
        json["models"].append(row);
    }
    json["running"] = lagging.load.running;
    json["waiting"] = lagging.load.waiting;
    json["used_tokens"] = Json::UInt64(lagging.load.usedTokens);
    json["capacity_tokens"] = Json::UInt64(lagging.load.capacityTokens);
    json["preemptions"] = Json::UInt64(lagging.load.preemptions);
    json["generated_tokens"] = Json::UInt64(lagging.load.generatedTokens);
    json["age_ms"] =
            Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(lagging.age).count());
    replyJson(exchange, json);
}

void EngineServer::replyCacheEvents(HttpExchange &exchange, std::uint64_t from) const
{
    Json::Value json(Json::objectValue);
    json["events"] = Json::Value(Json::arrayValue);
    for (const CacheEvent &event : m_engine.cacheEvents(from)) {
        Json::Value row(Json::objectValue);
        row["number"] = Json::UInt64(event.number);
        row["prefix"] = Json::UInt64(event.prefixHash);
        row["cached"] = event.isCached;
        json["events"].append(row);
    }
    replyJson(exchange, json);
}

void EngineServer::takeOrder(HttpExchange &exchange)
{
    const absl::StatusOr<Json::Value> json = parseJson(exchange.request().body);
    if (!json.ok())
        return replyError(exchange, json.status());
    const absl::StatusOr<std::uint64_t> fence = unsignedMember(*json, "fence");
    if (!fence.ok())
        return replyError(exchange, fence.status());
    absl::StatusOr<std::vector<LoadedModel>> models = parseModels((*json)["models"]);
    if (!models.ok())
        return replyError(exchange, models.status());
    const absl::Status status = m_engine.order(*fence, *std::move(models));
    if (!status.ok())
        return replyError(exchange, status);
    replyJson(exchange, Json::Value(Json::objectValue));
}

} // namespace currantwalk::standin
