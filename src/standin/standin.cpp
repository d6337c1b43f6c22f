#include "standin/standin.h"

#include <algorithm>
#include <utility>

#include "base/json.h"
#include "standin/replies.h"

namespace currantwalk::standin {

static constexpr Duration WeightWindow = std::chrono::minutes(1);
static constexpr std::size_t DefaultLogPage = 500;

absl::StatusOr<std::unique_ptr<Standin>> Standin::create(const Layout &layout, HttpServer &server,
                                                         TimerService &timers)
{
    std::unique_ptr<Standin> standin(new Standin(layout, timers));
    const absl::Status status = standin->listen(server);
    if (!status.ok())
        return status;
    return standin;
}

Standin::Standin(Layout layout, TimerService &timers)
    : m_layout(std::move(layout)),
      m_timers(timers),
      m_random(m_layout.seed),
      m_log(m_layout.log, timers),
      m_logFaults(timers, m_random),
      m_vmFaults(timers, m_random),
      m_weightFaults(timers, m_random)
{
}

absl::Status Standin::listen(HttpServer &server)
{
    HttpListenerOptions options;
    options.endpoint = m_layout.platform;
    absl::StatusOr<Endpoint> endpoint =
            server.listen(options, [this](const std::shared_ptr<HttpExchange> &exchange) {
                handlePlatform(exchange);
            });
    if (!endpoint.ok())
        return endpoint.status();
    m_platformEndpoint = *endpoint;
    for (TargetLayout &target : m_layout.targets) {
        const absl::Status status = listenForTarget(target, server);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status Standin::listenForTarget(TargetLayout &target, HttpServer &server)
{
    HttpListenerOptions options;
    options.endpoint = target.endpoint;
    HttpHandler handler;
    if (target.kind == TargetKind::Engine) {
        auto engine = std::make_unique<EngineServer>(target.engine, m_timers, m_random);
        handler = [engine = engine.get()](std::shared_ptr<HttpExchange> exchange) {
            engine->handle(std::move(exchange));
        };
        m_engines[target.id] = std::move(engine);
    } else {
        m_plainTargets[target.id] =
                std::make_unique<PlainTarget>(target.checksKeys, m_timers, m_random);
        handler = [this, id = target.id](std::shared_ptr<HttpExchange> exchange) {
            handlePlain(id, std::move(exchange));
        };
    }
    const absl::StatusOr<Endpoint> endpoint = server.listen(options, std::move(handler));
    if (!endpoint.ok())
        return endpoint.status();
    target.endpoint = *endpoint;
    return absl::OkStatus();
}

EngineServer *Standin::engine(const std::string &id)
{
    const auto it = m_engines.find(id);
    return it == m_engines.end() ? nullptr : it->second.get();
}

const PlainService *Standin::plainService(const std::string &id) const
{
    const auto it = m_plainTargets.find(id);
    return it == m_plainTargets.end() ? nullptr : &it->second->service;
}

void Standin::handlePlatform(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::vector<std::string> parts = RequestPath::parse(exchange->request().path).parts;
    const std::string resource = parts.empty() ? "" : parts[0];
    if (resource == "log" && parts.size() == 2) {
        m_logFaults.pass(exchange, [this, parts](const std::shared_ptr<HttpExchange> &passed) {
            handleLog(*passed, parts[1]);
        });
        return;
    }
    if (resource == "vms") {
        m_vmFaults.pass(exchange,
                        [this](const std::shared_ptr<HttpExchange> &passed) { replyVms(*passed); });
        return;
    }
    if (resource == "weights" && parts.size() == 3) {
        m_weightFaults.pass(exchange, [this, parts](const std::shared_ptr<HttpExchange> &passed) {
            replyWeights(*passed, parts[1], parts[2]);
        });
        return;
    }
    if (resource == "standin")
        return handleControl(*exchange, parts);
    replyError(*exchange, makeError(ErrorCode::NotFound, "the platform has no such resource"));
}

static absl::StatusOr<std::vector<std::string>> parseRecords(const std::string &body)
{
    const absl::StatusOr<Json::Value> json = parseJson(body);
    if (!json.ok())
        return json.status();
    if (!json->isObject() || !(*json)["records"].isArray())
        return makeError(ErrorCode::InvalidRequest, "records: expected an array");
    std::vector<std::string> records;
    for (const Json::Value &record : (*json)["records"]) {
        if (!record.isString())
            return makeError(ErrorCode::InvalidRequest, "records: expected strings");
        records.push_back(record.asString());
    }
    return records;
}

void Standin::handleLog(HttpExchange &exchange, const std::string &stream)
{
    const HttpRequest &request = exchange.request();
    Json::Value json(Json::objectValue);
    if (request.method == "POST") {
        absl::StatusOr<std::vector<std::string>> records = parseRecords(request.body);
        if (!records.ok())
            return replyError(exchange, records.status());
        const absl::StatusOr<std::vector<LogOffset>> offsets =
                m_log.append(stream, *std::move(records));
        if (!offsets.ok())
            return replyError(exchange, offsets.status());
        json["offsets"] = Json::Value(Json::arrayValue);
        for (const LogOffset offset : *offsets)
            json["offsets"].append(Json::UInt64(offset));
        return replyJson(exchange, json);
    }
    const RequestPath path = RequestPath::parse(request.path);
    const absl::StatusOr<LogPage> page =
            m_log.read(stream, path.number("from", 1), path.number("limit", DefaultLogPage));
    if (!page.ok())
        return replyError(exchange, page.status());
    json["oldest"] = Json::UInt64(page->oldest);
    json["next"] = Json::UInt64(page->next);
    json["end"] = Json::UInt64(page->end);
    json["records"] = Json::Value(Json::arrayValue);
    for (const LogRecord &record : page->records) {
        Json::Value row(Json::objectValue);
        row["offset"] = Json::UInt64(record.offset);
        row["data"] = record.data;
        json["records"].append(row);
    }
    replyJson(exchange, json);
}

void Standin::handlePlain(const std::string &id, std::shared_ptr<HttpExchange> exchange)
{
    PlainTarget &target = *m_plainTargets[id];
    if (target.isDown) {
        exchange->abort();
        return;
    }
    target.faults.pass(std::move(exchange),
                       [this, &target](const std::shared_ptr<HttpExchange> &passed) {
                           answerPlain(target, *passed);
                       });
}

void Standin::answerPlain(PlainTarget &target, HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const RequestPath path = RequestPath::parse(request.path);
    const bool isLookUp = path.parts.size() == 2 && path.parts[0] == "idempotency-keys";
    if (isLookUp) {
        const std::optional<PlainService::Answer> stored =
                target.service.storedAnswer(path.parts[1]);
        if (!stored)
            return replyError(exchange, makeError(ErrorCode::NotFound, "the key did not run"));
        return respond(exchange, stored->status, "application/json", stored->body);
    }
    if (target.isLeaving)
        return replyError(exchange, makeError(ErrorCode::TargetRefused, "leaving"));
    if (request.path == "/load") {
        Json::Value json(Json::objectValue);
        json["incarnation"] = 1;
        json["leaving"] = false;
        return replyJson(exchange, json);
    }
    const std::string key(findHeader(request.headers, "idempotency-key").value_or(""));
    const PlainService::Answer answer =
            target.service.handle(request.method, request.path, key, request.body);
    respond(exchange, answer.status, "application/json", answer.body);
}

bool Standin::isShownLeaving(const std::string &id) const
{
    const auto it = m_listed.find(id);
    if (it == m_listed.end() || !it->second.isLeaving)
        return false;
    return m_timers.now() - it->second.changedAt >= m_layout.listLag;
}

void Standin::replyVms(HttpExchange &exchange) const
{
    Json::Value json(Json::objectValue);
    json["vms"] = Json::Value(Json::arrayValue);
    for (const EntryVm &vm : m_layout.entryVms) {
        Json::Value row(Json::objectValue);
        row["id"] = vm.id;
        row["role"] = "entry";
        row["zone"] = vm.zone;
        row["endpoint"] = vm.endpoint.toString();
        row["state"] = "live";
        json["vms"].append(row);
    }
    for (const TargetLayout &target : m_layout.targets) {
        Json::Value row(Json::objectValue);
        row["id"] = target.id;
        row["role"] = target.kind == TargetKind::Engine ? "engine" : "plain";
        row["zone"] = target.zone;
        row["pool"] = target.pool;
        row["endpoint"] = target.endpoint.toString();
        row["state"] = isShownLeaving(target.id) ? "leaving" : "live";
        json["vms"].append(row);
    }
    replyJson(exchange, json);
}

void Standin::replyWeights(HttpExchange &exchange, const std::string &name,
                           const std::string &version)
{
    const TimePoint windowStart = m_timers.now() - WeightWindow;
    std::erase_if(m_weightLoads, [&](TimePoint loadedAt) { return loadedAt < windowStart; });
    if (m_weightLoads.size() >= m_layout.weightLoadsPerMinute)
        return replyError(exchange, makeError(ErrorCode::RateLimited, "weight store limit"));
    m_weightLoads.push_back(m_timers.now());
    Json::Value json(Json::objectValue);
    json["name"] = name;
    json["version"] = version;
    replyJson(exchange, json);
}

void Standin::handleControl(HttpExchange &exchange, const std::vector<std::string> &parts)
{
    const std::string action = parts.size() > 1 ? parts[1] : "";
    if (action == "counts")
        return replyCounts(exchange);
    if (action == "faults" && parts.size() == 3) {
        FaultGate *faults = gate(parts[2]);
        if (!faults)
            return replyError(exchange, makeError(ErrorCode::NotFound, "no such part"));
        if (exchange.request().method == "DELETE") {
            faults->clear();
            return replyJson(exchange, Json::Value(Json::objectValue));
        }
        return setFault(exchange);
    }
    if (action == "targets" && parts.size() == 4)
        return controlTarget(exchange, parts[2], parts[3]);
    replyError(exchange, makeError(ErrorCode::NotFound, "the stand-in has no such control"));
}

void Standin::setFault(HttpExchange &exchange)
{
    const std::string part = RequestPath::parse(exchange.request().path).parts[2];
    const absl::StatusOr<Json::Value> json = parseJson(exchange.request().body);
    if (!json.ok())
        return replyError(exchange, json.status());
    const absl::StatusOr<Fault> fault = Fault::fromJson(*json);
    if (!fault.ok())
        return replyError(exchange, fault.status());
    gate(part)->set(*fault);
    EngineServer *struck = engine(part);
    if (struck && fault->kind == FaultKind::Reset)
        struck->cutStreams();
    replyJson(exchange, Json::Value(Json::objectValue));
}

void Standin::controlTarget(HttpExchange &exchange, const std::string &id,
                            const std::string &action)
{
    const std::uint64_t downMilliseconds =
            RequestPath::parse(exchange.request().path).number("down_ms", 0);
    const Duration downTime = std::chrono::milliseconds(downMilliseconds);
    EngineServer *engineServer = engine(id);
    const auto plain = m_plainTargets.find(id);
    if (!engineServer && plain == m_plainTargets.end())
        return replyError(exchange, makeError(ErrorCode::NotFound, "no such target"));
    if (action == "leave") {
        m_listed[id] = {m_timers.now(), true};
        if (engineServer)
            engineServer->leave();
        else
            plain->second->isLeaving = true;
    } else if (action == "crash") {
        if (engineServer)
            engineServer->crash(downTime);
        else
            crashPlain(*plain->second, downTime);
    } else {
        return replyError(exchange, makeError(ErrorCode::NotFound, "no such action"));
    }
    replyJson(exchange, Json::Value(Json::objectValue));
}

void Standin::crashPlain(PlainTarget &target, Duration downTime)
{
    target.isDown = true;
    if (downTime > Duration(0))
        m_timers.scheduleAfter(downTime, [&target] { target.isDown = false; });
}

void Standin::replyCounts(HttpExchange &exchange) const
{
    Json::Value json(Json::objectValue);
    for (const auto &[id, server] : m_engines) {
        Json::Value row(Json::objectValue);
        row["generations"] = Json::UInt64(server->engine().generationsRun());
        row["tokens"] = Json::UInt64(server->engine().tokensGenerated());
        row["cancels"] = Json::UInt64(server->cancels());
        json[id] = row;
    }
    for (const auto &[id, target] : m_plainTargets)
        json[id]["writes"] = Json::UInt64(target->service.writes());
    replyJson(exchange, json);
}

FaultGate *Standin::gate(const std::string &part)
{
    if (part == "log")
        return &m_logFaults;
    if (part == "vms")
        return &m_vmFaults;
    if (part == "weights")
        return &m_weightFaults;
    if (EngineServer *server = engine(part))
        return &server->faults();
    const auto plain = m_plainTargets.find(part);
    return plain == m_plainTargets.end() ? nullptr : &plain->second->faults;
}

} // namespace currantwalk::standin
