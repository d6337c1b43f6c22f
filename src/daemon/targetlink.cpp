#include "daemon/targetlink.h"

#include <charconv>
#include <utility>

#include "base/json.h"
#include "net/sse.h"

namespace currantwalk {

static constexpr Duration CancelTimeout = std::chrono::seconds(3);
static constexpr Duration OrderTimeout = std::chrono::seconds(10);
static constexpr Duration LookUpTimeout = std::chrono::seconds(3);
static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
/// The life of a request is bounded by its own deadline; see GenerationCall.
static constexpr Duration EngineIdleTimeout = std::chrono::hours(1);
static constexpr std::size_t MaxErrorBodyBytes = std::size_t{16} * 1024;

static HttpCallOptions optionsFor(const Target &target)
{
    HttpCallOptions options;
    options.endpoint = target.endpoint;
    // An answer that a target writes once more would be read as that of the next request, which is
    // not told from it.
    options.isConnectionKept = false;
    options.connectTimeout = ConnectTimeout;
    options.headTimeout = EngineIdleTimeout;
    options.idleTimeout = EngineIdleTimeout;
    return options;
}

/// Returns the error that a target named in a JSON body, or one for the bare HTTP status.
static absl::Status targetError(int status, const std::string &body)
{
    const absl::StatusOr<Json::Value> json = parseJson(body);
    if (json.ok() && json->isObject() && (*json)["error"].isObject()) {
        const absl::StatusOr<std::string> name = stringMember((*json)["error"], "code");
        const std::optional<ErrorCode> code = name.ok() ? errorFromName(*name) : std::nullopt;
        if (code)
            return makeError(*code, "the target said " + *name);
    }
    return makeError(ErrorCode::TargetProtocolError,
                     "the target answered with HTTP status " + std::to_string(status));
}

static bool isFromTarget(const FetchResult &result, int status)
{
    return result.status.ok() && result.response.head.status == status;
}

static absl::Status failureOf(const FetchResult &result)
{
    if (!result.status.ok())
        return result.status;
    return targetError(result.response.head.status, result.response.body);
}

namespace {

/// Reads an engine's stream of events and reports it, each report from the loop.
class StreamExchange : public EngineExchange
{
public:
    StreamExchange(TimerService &timers, EngineExchangeHooks hooks)
        : m_timers(timers), m_hooks(std::move(hooks))
    {
    }

    ~StreamExchange() override
    {
        m_timers.cancel(m_failTimer);
        *m_isAlive = false;
    }

    void begin(HttpClient &client, const HttpCallOptions &options, HttpRequest request)
    {
        HttpCallHooks hooks;
        hooks.onHead = [this](const HttpResponseHead &head) { m_status = head.status; };
        hooks.onBody = [this](std::string_view part) { onBody(part); };
        hooks.onEnd = [this](const absl::Status &status) { onEnd(status); };
        m_call = client.send(options, std::move(request), std::move(hooks));
    }

private:
    void onBody(std::string_view part)
    {
        if (m_isOver)
            return;
        if (m_status != 200) {
            if (m_errorBody.size() < MaxErrorBodyBytes)
                m_errorBody.append(part);
            return;
        }
        const std::shared_ptr<bool> isAlive = m_isAlive;
        const absl::Status parsed = m_parser.feed(part, [this, isAlive](const SseEvent &event) {
            if (*isAlive && !m_isOver)
                onEvent(event);
        });
        if (*isAlive && !m_isOver && !parsed.ok())
            fail(makeError(ErrorCode::TargetProtocolError, std::string(parsed.message())));
    }

    void onEvent(const SseEvent &event)
    {
        const absl::StatusOr<Json::Value> data = parseJson(event.data);
        if (!data.ok())
            return fail(makeError(ErrorCode::TargetProtocolError, "an event's data is not JSON"));
        if (event.type == "start")
            return onStart(*data);
        if (event.type == "token")
            return onToken(*data);
        if (event.type == "end")
            return onFinished(*data);
        if (event.type == "cancelled")
            return fail(makeError(ErrorCode::GenerationLost, "the generation was cancelled"));
        fail(makeError(ErrorCode::TargetProtocolError, "an event of unknown type"));
    }

    void onStart(const Json::Value &data)
    {
        const absl::StatusOr<std::uint64_t> incarnation = unsignedMember(data, "incarnation");
        const absl::StatusOr<std::uint64_t> number = unsignedMember(data, "number");
        if (!incarnation.ok() || !number.ok())
            return fail(makeError(ErrorCode::TargetProtocolError, "a start without its id"));
        m_hooks.onOpened(*incarnation, *number);
    }

    void onToken(const Json::Value &data)
    {
        const absl::StatusOr<std::uint64_t> position = unsignedMember(data, "position");
        absl::StatusOr<std::string> text = stringMember(data, "text");
        if (!position.ok() || !text.ok())
            return fail(makeError(ErrorCode::TargetProtocolError, "a token without its position"));
        m_hooks.onToken(static_cast<std::uint32_t>(*position), *std::move(text));
    }

    void onFinished(const Json::Value &data)
    {
        const absl::StatusOr<std::uint64_t> tokens = unsignedMember(data, "tokens");
        const absl::StatusOr<std::string> reason = stringMember(data, "reason");
        if (!tokens.ok() || !reason.ok())
            return fail(makeError(ErrorCode::TargetProtocolError, "an end without its count"));
        m_isOver = true;
        const bool isLength = *reason == "length";
        m_hooks.onFinished(static_cast<std::uint32_t>(*tokens),
                           isLength ? FinishReason::Length : FinishReason::Stop);
    }

    void onEnd(const absl::Status &status)
    {
        if (m_isOver)
            return;
        if (!status.ok())
            return fail(status);
        if (m_status != 200)
            return fail(targetError(m_status, m_errorBody));
        fail(makeError(ErrorCode::ConnectionLost, "the stream ended without its end event"));
    }

    // Failures are reported from the timer service, so that none comes from within send().
    void fail(const absl::Status &status)
    {
        m_isOver = true;
        const bool wasSent = !m_call || m_call->progress() == SendProgress::Sent;
        m_failTimer = m_timers.scheduleAfter(Duration(0), [this, status, wasSent] {
            m_failTimer = NoTimer;
            m_hooks.onFailed(status, wasSent);
        });
    }

    TimerService &m_timers;
    EngineExchangeHooks m_hooks;
    std::unique_ptr<HttpCall> m_call;
    SseParser m_parser;
    std::string m_errorBody;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    TimerId m_failTimer = NoTimer;
    int m_status = 0;
    bool m_isOver = false;
};

} // namespace

TargetLink::TargetLink(HttpClient &client, Fetcher &fetcher, TimerService &timers)
    : m_client(client), m_fetcher(fetcher), m_timers(timers)
{
}

std::unique_ptr<EngineExchange> TargetLink::open(const Target &engine,
                                                 const GenerationAttempt &attempt,
                                                 const GenerationRequest &request,
                                                 EngineExchangeHooks hooks)
{
    Json::Value json(Json::objectValue);
    json["attempt"] = attempt.id;
    json["model"] = request.model;
    json["prompt"] = request.prompt;
    json["max_tokens"] = request.maxTokens;
    json["priority"] = request.priorityRank;
    HttpRequest http;
    http.method = "POST";
    http.path = "/generations";
    http.body = writeJson(json);
    auto exchange = std::make_unique<StreamExchange>(m_timers, std::move(hooks));
    exchange->begin(m_client, optionsFor(engine), std::move(http));
    return exchange;
}

static std::string generationPath(const GenerationId &generation)
{
    return "/generations/" + std::to_string(generation.incarnation) + "/"
           + std::to_string(generation.number);
}

std::unique_ptr<EngineExchange> TargetLink::resume(const Target &engine,
                                                   const GenerationId &generation,
                                                   std::uint32_t from, EngineExchangeHooks hooks)
{
    HttpRequest http;
    http.method = "GET";
    http.path = generationPath(generation) + "?from=" + std::to_string(from);
    auto exchange = std::make_unique<StreamExchange>(m_timers, std::move(hooks));
    exchange->begin(m_client, optionsFor(engine), std::move(http));
    return exchange;
}

void TargetLink::cancel(const Target &engine, const GenerationAttempt &attempt,
                        const std::optional<GenerationId> &generation,
                        std::function<void(absl::Status)> callback)
{
    HttpRequest http;
    http.method = "DELETE";
    http.path = generation ? generationPath(*generation) : "/attempts/" + attempt.id;
    m_fetcher.fetch(optionsFor(engine), std::move(http), CancelTimeout,
                    [callback = std::move(callback)](FetchResult result) {
                        if (isFromTarget(result, 200))
                            callback(absl::OkStatus());
                        else
                            callback(failureOf(result));
                    });
}

static absl::StatusOr<std::vector<LoadedModel>> parseLoadedModels(const Json::Value &json)
{
    if (!json.isArray())
        return makeError(ErrorCode::TargetProtocolError, "models: expected an array");
    std::vector<LoadedModel> models;
    for (const Json::Value &row : json) {
        const absl::StatusOr<std::string> name = stringMember(row, "name");
        const absl::StatusOr<std::string> version = stringMember(row, "version");
        if (!name.ok() || !version.ok())
            return makeError(ErrorCode::TargetProtocolError, "a model lacks name or version");
        models.push_back({*name, *version});
    }
    return models;
}

static absl::StatusOr<TargetReport> parseReport(const Target &target, const std::string &body,
                                                TimePoint now)
{
    const absl::StatusOr<Json::Value> json = parseJson(body);
    if (!json.ok())
        return json.status();
    TargetReport report;
    report.id = target.id;
    const absl::StatusOr<std::uint64_t> incarnation = unsignedMember(*json, "incarnation");
    if (!incarnation.ok())
        return incarnation.status();
    report.incarnation = *incarnation;
    const absl::StatusOr<bool> isLeaving = boolMember(*json, "leaving");
    if (!isLeaving.ok())
        return isLeaving.status();
    report.isLeaving = *isLeaving;
    if (target.kind == TargetKind::Plain)
        return report;
    absl::StatusOr<std::vector<LoadedModel>> models = parseLoadedModels((*json)["models"]);
    if (!models.ok())
        return models.status();
    report.models = *std::move(models);
    const absl::StatusOr<std::uint64_t> running = unsignedMember(*json, "running");
    const absl::StatusOr<std::uint64_t> waiting = unsignedMember(*json, "waiting");
    const absl::StatusOr<std::uint64_t> used = unsignedMember(*json, "used_tokens");
    const absl::StatusOr<std::uint64_t> capacity = unsignedMember(*json, "capacity_tokens");
    const absl::StatusOr<std::uint64_t> preemptions = unsignedMember(*json, "preemptions");
    const absl::StatusOr<std::uint64_t> generated = unsignedMember(*json, "generated_tokens");
    const absl::StatusOr<std::uint64_t> age = unsignedMember(*json, "age_ms");
    for (const absl::Status &status :
         {running.status(), waiting.status(), used.status(), capacity.status(),
          preemptions.status(), generated.status(), age.status()}) {
        if (!status.ok())
            return status;
    }
    report.load.running = static_cast<std::uint32_t>(*running);
    report.load.waiting = static_cast<std::uint32_t>(*waiting);
    report.load.usedTokens = *used;
    report.load.capacityTokens = *capacity;
    report.load.preemptions = *preemptions;
    report.load.generatedTokens = *generated;
    report.load.reportedAt = now - std::chrono::milliseconds(*age);
    return report;
}

void TargetLink::probe(const Target &target, Duration timeout,
                       std::function<void(absl::StatusOr<TargetReport>)> callback)
{
    HttpRequest http;
    http.method = "GET";
    http.path = "/load";
    m_fetcher.fetch(optionsFor(target), std::move(http), timeout,
                    [this, target, callback = std::move(callback)](FetchResult result) {
                        if (isFromTarget(result, 200))
                            callback(parseReport(target, result.response.body, m_timers.now()));
                        else
                            callback(failureOf(result));
                    });
}

static absl::StatusOr<std::vector<PrefixEvent>> parsePrefixEvents(const std::string &body)
{
    const absl::StatusOr<Json::Value> json = parseJson(body);
    if (!json.ok())
        return json.status();
    if (!json->isObject() || !(*json)["events"].isArray())
        return makeError(ErrorCode::TargetProtocolError, "events: expected an array");
    std::vector<PrefixEvent> events;
    for (const Json::Value &row : (*json)["events"]) {
        const absl::StatusOr<std::uint64_t> number = unsignedMember(row, "number");
        const absl::StatusOr<std::uint64_t> prefix = unsignedMember(row, "prefix");
        const absl::StatusOr<bool> isCached = boolMember(row, "cached");
        if (!number.ok() || !prefix.ok() || !isCached.ok())
            return makeError(ErrorCode::TargetProtocolError, "a cache event lacks a member");
        events.push_back({*number, *prefix, *isCached});
    }
    return events;
}

void TargetLink::fetchPrefixEvents(
        const Target &engine, std::uint64_t from,
        std::function<void(absl::StatusOr<std::vector<PrefixEvent>>)> callback)
{
    HttpRequest http;
    http.method = "GET";
    http.path = "/cache-events?from=" + std::to_string(from);
    m_fetcher.fetch(optionsFor(engine), std::move(http), CancelTimeout,
                    [callback = std::move(callback)](FetchResult result) {
                        if (isFromTarget(result, 200))
                            callback(parsePrefixEvents(result.response.body));
                        else
                            callback(failureOf(result));
                    });
}

void TargetLink::order(const Target &engine, LogOffset fence,
                       const std::vector<LoadedModel> &models,
                       std::function<void(absl::Status)> callback)
{
    Json::Value json(Json::objectValue);
    json["fence"] = Json::UInt64(fence);
    json["models"] = Json::Value(Json::arrayValue);
    for (const LoadedModel &model : models) {
        Json::Value row(Json::objectValue);
        row["name"] = model.name;
        row["version"] = model.version;
        json["models"].append(row);
    }
    HttpRequest http;
    http.method = "POST";
    http.path = "/orders";
    http.body = writeJson(json);
    m_fetcher.fetch(optionsFor(engine), std::move(http), OrderTimeout,
                    [callback = std::move(callback)](FetchResult result) {
                        if (isFromTarget(result, 200))
                            callback(absl::OkStatus());
                        else
                            callback(failureOf(result));
                    });
}

static Duration parseRetryAfter(const HttpHeaders &headers)
{
    const std::string_view text = findHeader(headers, "retry-after").value_or("");
    std::int64_t seconds = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, seconds);
    constexpr std::int64_t MaxSeconds = 86400;
    if (text.empty() || result.ec != std::errc() || result.ptr != end || seconds < 0)
        return Duration(0);
    return std::chrono::seconds(std::min(seconds, MaxSeconds));
}

static PlainResponse plainResponse(HttpResponse &&response)
{
    PlainResponse plain;
    plain.status = response.head.status;
    plain.contentType = std::string(findHeader(response.head.headers, "content-type").value_or(""));
    plain.retryAfter = parseRetryAfter(response.head.headers);
    plain.body = std::move(response.body);
    return plain;
}

// The protocol's own refusals are told as errors, for they prove that nothing ran.
static bool isProtocolRefusal(const absl::Status &status)
{
    const ErrorCode code = errorCode(status);
    return code == ErrorCode::TargetRefused || code == ErrorCode::TargetBusy;
}

static absl::StatusOr<PlainResponse> plainOutcome(FetchResult &&result)
{
    if (!result.status.ok())
        return result.status;
    if (result.response.head.status == 503) {
        const absl::Status refusal = targetError(503, result.response.body);
        if (isProtocolRefusal(refusal))
            return refusal;
    }
    return plainResponse(std::move(result.response));
}

FetchId TargetLink::send(const Target &target, const PlainRequest &request, Duration timeout,
                         PlainCallback callback)
{
    HttpRequest http;
    http.method = request.method;
    http.path = request.path;
    http.body = request.body;
    if (!request.contentType.empty())
        http.headers.push_back({"content-type", request.contentType});
    if (!request.idempotencyKey.empty())
        http.headers.push_back({"idempotency-key", request.idempotencyKey});
    return m_fetcher.fetch(optionsFor(target), std::move(http), timeout,
                           [callback = std::move(callback)](FetchResult result) {
                               const bool wasSent = result.progress == SendProgress::Sent;
                               callback(plainOutcome(std::move(result)), wasSent);
                           });
}

FetchId
TargetLink::lookUpKey(const Target &target, const std::string &key,
                      std::function<void(absl::StatusOr<std::optional<PlainResponse>>)> callback)
{
    HttpRequest http;
    http.method = "GET";
    http.path = "/idempotency-keys/" + key;
    return m_fetcher.fetch(
            optionsFor(target), std::move(http), LookUpTimeout,
            [callback = std::move(callback)](FetchResult result) {
                if (!result.status.ok())
                    return callback(result.status);
                if (result.response.head.status == 404)
                    return callback(std::optional<PlainResponse>());
                callback(std::optional<PlainResponse>(plainResponse(std::move(result.response))));
            });
}

} // namespace currantwalk
