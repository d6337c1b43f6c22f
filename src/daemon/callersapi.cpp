#include "daemon/callersapi.h"

#include <algorithm>
#include <utility>

#include "base/json.h"
#include "calls/resumetoken.h"
#include "observe/logging.h"
#include "targets/prompt.h"

namespace currantwalk {

/// When to come back to a node that is not ready, or through another one while it drains.
static constexpr Duration NotReadyRetryAfter = std::chrono::seconds(1);

static constexpr std::string_view ServicesPrefix = "/services/";
static constexpr std::string_view OutcomesPrefix = "/outcomes/";
/// Longest wait for a share of a limit; some round trips within the zone.
static constexpr Duration GrantWait = std::chrono::milliseconds(250);
static constexpr Duration OutcomeTimeout = std::chrono::seconds(5);

CallersApi::CallersApi(Options options, Hooks hooks, const RequestServices &services)
    : m_options(std::move(options)), m_hooks(std::move(hooks)), m_services(services)
{
}

CallersApi::~CallersApi()
{
    *m_isAlive = false;
}

static void refuse(HttpExchange &exchange, const absl::Status &status,
                   const std::string &requestId = "", Duration retryAfter = Duration(0))
{
    // Nothing was placed yet, so nothing can have run.
    respondError(exchange, status, Outcome::NotRun, requestId, retryAfter);
}

static Duration retryAfterOf(const absl::Status &status)
{
    const ErrorCode code = errorCode(status);
    const bool isPassing = code == ErrorCode::NotReady || code == ErrorCode::Draining;
    return isPassing ? NotReadyRetryAfter : Duration(0);
}

void CallersApi::handle(std::shared_ptr<HttpExchange> exchange)
{
    const HttpRequest &request = exchange->request();
    const std::string path = request.path.substr(0, request.path.find('?'));
    if (path == "/healthz")
        return handleHealth(*exchange, true);
    if (path == "/readyz")
        return handleHealth(*exchange, m_hooks.isReady());
    if (path == "/metrics") {
        m_hooks.refreshGauges();
        return respond(*exchange, 200, "text/plain; version=0.0.4",
                       m_services.metrics.exposition());
    }
    m_services.metrics.count("currantwalk_requests_total");
    if (path == "/v1/completions")
        return handleCompletion(CompletionForm::Text, exchange);
    if (path == "/v1/chat/completions")
        return handleCompletion(CompletionForm::Chat, exchange);
    if (path.starts_with(ServicesPrefix))
        return handleService(exchange);
    if (path.starts_with(OutcomesPrefix))
        return handleOutcome(exchange);
    refuse(*exchange, makeError(ErrorCode::NotFound, "no such resource"));
}

void CallersApi::handleHealth(HttpExchange &exchange, bool isGood) const
{
    respond(exchange, isGood ? 200 : 503, "text/plain", isGood ? "ok\n" : "not ready\n");
}

absl::StatusOr<const OrganisationObject *> CallersApi::admit(const HttpRequest &request) const
{
    if (!m_hooks.isTakingWork())
        return makeError(ErrorCode::Draining, "this node is being replaced");
    const ObjectIndex *index = m_hooks.index();
    if (!index)
        return makeError(ErrorCode::NotReady, "no published set is known yet");
    return index->organisation(bearerKey(request.headers).value_or(""));
}

absl::StatusOr<std::string> CallersApi::requestIdOf(const HttpRequest &request)
{
    const std::optional<std::string_view> given = findHeader(request.headers, "x-request-id");
    if (given && !isValidToken(*given))
        return makeError(ErrorCode::InvalidRequest, "x-request-id: expected at most 128 letters, "
                                                    "digits, '.', '_', ':' or '-'");
    // An id chosen by a caller may repeat, so it is only the first part of the one used here.
    const std::string base = given ? std::string(*given) : m_options.vm;
    return base + "." + std::to_string(m_options.incarnation) + "."
           + std::to_string(++m_lastSession);
}

void CallersApi::handleCompletion(CompletionForm form,
                                  const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    const absl::StatusOr<std::string> requestId = requestIdOf(request);
    if (!requestId.ok())
        return refuse(*exchange, requestId.status());
    const absl::StatusOr<const OrganisationObject *> organisation = admit(request);
    if (!organisation.ok())
        return refuse(*exchange, organisation.status(), *requestId,
                      retryAfterOf(organisation.status()));
    if (request.method != "POST" && request.method != "GET")
        return refuse(*exchange, makeError(ErrorCode::MethodNotAllowed, "expected POST"),
                      *requestId);
    const absl::StatusOr<CompletionRequest> completion = parseCompletionRequest(form, request);
    if (!completion.ok())
        return refuse(*exchange, completion.status(), *requestId);
    absl::StatusOr<GenerationOrder> order = makeOrder(**organisation, *completion, *requestId);
    if (!order.ok())
        return refuse(*exchange, order.status(), *requestId);
    const bool isResume = order->resume.has_value();
    const bool isRefused =
            m_services.poison.suspicion(order->request.fingerprint) == Suspicion::Refused;
    if (isRefused && !isResume)
        return refuse(
                *exchange,
                makeError(ErrorCode::PoisonousRequest, "targets died while running this request"),
                *requestId);
    if (isResume)
        return startGeneration(exchange, *std::move(order));
    const LimitQuery query{exchange,
                           *requestId,
                           order->request.organisation,
                           order->request.service,
                           true,
                           m_services.timers.now() + GrantWait};
    passLimits(query, [this, exchange, order = *std::move(order)](AdmissionHandle grant) {
        GenerationOrder admitted = order;
        admitted.grant = grant;
        startGeneration(exchange, std::move(admitted));
    });
}

// A node that has not used a limit of late asks its owner for a share; the request waits for that
// one round trip rather than being refused while the fleet has room.
void CallersApi::passLimits(const LimitQuery &query,
                            const std::function<void(AdmissionHandle)> &proceed)
{
    if (query.exchange->isClosed())
        return;
    const AdmissionResult verdict =
            m_services.limiter.admit(query.organisation, query.service, query.isStream);
    if (verdict.isAdmitted)
        return proceed(verdict.grant);
    if (m_services.timers.now() + verdict.retryAfter > query.waitUntil)
        return refuse(*query.exchange, makeError(ErrorCode::RateLimited, "a limit is reached"),
                      query.requestId, verdict.retryAfter);
    ++m_waitingForLimits;
    m_services.timers.scheduleAfter(verdict.retryAfter,
                                    [this, query, proceed, isAlive = m_isAlive] {
                                        if (!*isAlive)
                                            return;
                                        --m_waitingForLimits;
                                        passLimits(query, proceed);
                                    });
}

absl::Status CallersApi::resumeInto(const CompletionRequest &completion,
                                    GenerationOrder *order) const
{
    const absl::StatusOr<ResumeToken> token =
            verifyResumeToken(completion.lastEventId, m_services.resumeKey);
    if (!token.ok())
        return token.status();
    if (token->organisation != order->request.organisation)
        return makeError(ErrorCode::PermissionDenied, "the stream is another organisation's");
    order->request.service = token->service;
    order->request.model = token->model;
    order->resume = token->point;
    order->resumedFrom = token->vm;
    return absl::OkStatus();
}

absl::StatusOr<GenerationOrder> CallersApi::makeOrder(const OrganisationObject &organisation,
                                                      const CompletionRequest &completion,
                                                      const std::string &requestId)
{
    GenerationOrder order;
    GenerationRequest &request = order.request;
    request.id = RequestId(requestId);
    request.organisation = organisation.name;
    request.prompt = completion.prompt;
    request.promptTokens = estimatePromptTokens(completion.prompt);
    request.maxTokens = completion.maxTokens;
    request.delivery = completion.isStream ? Delivery::Streamed : Delivery::Buffered;
    request.lossPolicy = completion.lossPolicy;
    std::string name = completion.model;
    if (!completion.lastEventId.empty()) {
        const absl::Status status = resumeInto(completion, &order);
        if (!status.ok())
            return status;
        request.delivery = Delivery::Streamed;
        name = request.model;
    }
    const ObjectIndex &index = *m_hooks.index();
    const absl::StatusOr<ModelChoice> choice = index.model(organisation, name);
    if (!choice.ok())
        return choice.status();
    const ServiceObject &service = *choice->service;
    const PriorityObject priority = index.priority(organisation, service);
    request.service = service.name;
    request.model = choice->model;
    request.priorityRank = priority.rank;
    request.fingerprint = stableHash(choice->model + "\n" + completion.prompt);
    request.deadline = m_services.timers.now() + completion.timeout.value_or(service.deadline);
    order.pool = choice->pool;
    order.maxHold = priority.maxHold;
    const auto objective = index.objects().objectives.find(service.objective);
    if (objective != index.objects().objectives.end())
        order.objective = objective->second;
    order.info = {completion.form, requestId, choice->model, m_hooks.wallClock()};
    return order;
}

void CallersApi::startGeneration(const std::shared_ptr<HttpExchange> &exchange,
                                 GenerationOrder order)
{
    if (order.resume) {
        onTakenOver(order.resume->generation);
        m_services.tellTakenOver(order.resumedFrom, order.resume->generation);
    }
    const std::uint64_t id = ++m_lastSession;
    logRequest(LogPart::Callers, LogLevel::Debug, order.request.id.text(),
               order.resume ? "Stream resumed." : "Generation accepted.");
    auto session = std::make_unique<GenerationSession>(m_services, exchange, std::move(order),
                                                       [this, id] { m_generations.erase(id); });
    GenerationSession *started = session.get();
    m_generations.emplace(id, std::move(session));
    started->start();
}

void CallersApi::handleService(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    const absl::StatusOr<std::string> requestId = requestIdOf(request);
    if (!requestId.ok())
        return refuse(*exchange, requestId.status());
    const absl::StatusOr<const OrganisationObject *> organisation = admit(request);
    if (!organisation.ok())
        return refuse(*exchange, organisation.status(), *requestId,
                      retryAfterOf(organisation.status()));
    absl::StatusOr<PlainOrder> order = makePlainOrder(**organisation, request, *requestId);
    if (!order.ok())
        return refuse(*exchange, order.status(), *requestId);
    const LimitQuery query{exchange,
                           *requestId,
                           order->request.organisation,
                           order->request.service,
                           false,
                           m_services.timers.now() + GrantWait};
    passLimits(query, [this, exchange, order = *std::move(order)](AdmissionHandle grant) {
        PlainOrder admitted = order;
        admitted.grant = grant;
        startPlain(exchange, std::move(admitted));
    });
}

static Outcome outcomeOf(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::Done:
        return Outcome::Done;
    case ClaimVerdict::NotClaimed:
        return Outcome::NotRun;
    case ClaimVerdict::Won:
    case ClaimVerdict::Unknown:
    case ClaimVerdict::Conflict:
        break;
    }
    return Outcome::Unknown;
}

static std::string outcomeBody(const ClaimAnswer &answer)
{
    Json::Value json(Json::objectValue);
    json["outcome"] = std::string(outcomeName(outcomeOf(answer.verdict)));
    if (answer.result) {
        json["status"] = answer.result->status;
        json["body"] = answer.result->body;
    }
    return writeJson(json);
}

void CallersApi::handleOutcome(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    const absl::StatusOr<const OrganisationObject *> organisation = admit(request);
    if (!organisation.ok())
        return refuse(*exchange, organisation.status());
    const std::string rest = request.path.substr(OutcomesPrefix.size());
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    const absl::StatusOr<const ServiceObject *> service =
            m_hooks.index()->plainService(**organisation, name);
    if (!service.ok())
        return refuse(*exchange, service.status());
    ClaimRequest claim;
    claim.organisation = (*organisation)->name;
    claim.service = name;
    claim.key = slash == std::string::npos ? "" : rest.substr(slash + 1);
    claim.deadline = m_services.timers.now() + OutcomeTimeout;
    claim.keyWindow = (*service)->keyWindow;
    if (!isValidToken(claim.key))
        return refuse(*exchange, makeError(ErrorCode::InvalidRequest, "expected a key"));
    m_services.claims.lookUp(claim, [exchange](const ClaimAnswer &answer) {
        if (!exchange->isClosed())
            respond(*exchange, 200, "application/json", outcomeBody(answer));
    });
}

static bool isIdempotentMethod(const ServiceObject &service, const std::string &method)
{
    const std::vector<std::string> &declared = service.idempotentMethods;
    return method == "GET" || method == "HEAD"
           || std::find(declared.begin(), declared.end(), method) != declared.end();
}

absl::StatusOr<PlainOrder> CallersApi::makePlainOrder(const OrganisationObject &organisation,
                                                      const HttpRequest &request,
                                                      const std::string &requestId)
{
    const std::string rest = request.path.substr(ServicesPrefix.size());
    const std::size_t nameEnd = rest.find_first_of("/?");
    const std::string name = rest.substr(0, nameEnd);
    const std::string path = nameEnd == std::string::npos ? "/" : rest.substr(nameEnd);
    const ObjectIndex &index = *m_hooks.index();
    const absl::StatusOr<const ServiceObject *> service = index.plainService(organisation, name);
    if (!service.ok())
        return service.status();
    const std::string_view key = findHeader(request.headers, "idempotency-key").value_or("");
    if (!key.empty() && !isValidToken(key))
        return makeError(ErrorCode::InvalidRequest,
                         "idempotency-key: expected at most 128 letters, digits, '.', '_', ':' "
                         "or '-'");
    const absl::StatusOr<std::optional<Duration>> timeout = parseTimeout(request.headers);
    if (!timeout.ok())
        return timeout.status();
    const auto pool = index.objects().pools.find((*service)->pool);
    const PriorityObject priority = index.priority(organisation, **service);
    PlainOrder order;
    order.pool = (*service)->pool;
    const auto objective = index.objects().objectives.find((*service)->objective);
    if (objective != index.objects().objectives.end())
        order.objective = objective->second;
    order.priorityRank = priority.rank;
    order.maxHold = priority.maxHold;
    order.request.id = RequestId(requestId);
    order.request.organisation = organisation.name;
    order.request.service = name;
    order.request.method = request.method;
    order.request.path = path.starts_with('/') ? path : "/" + path;
    order.request.contentType =
            std::string(findHeader(request.headers, "content-type").value_or(""));
    order.request.body = request.body;
    order.request.idempotencyKey = std::string(key);
    order.request.isIdempotent = isIdempotentMethod(**service, request.method);
    order.request.targetChecksKeys = pool != index.objects().pools.end() && pool->second.checksKeys;
    order.request.deadline = m_services.timers.now() + timeout->value_or((*service)->deadline);
    order.request.keyWindow = (*service)->keyWindow;
    return order;
}

void CallersApi::startPlain(const std::shared_ptr<HttpExchange> &exchange, PlainOrder order)
{
    const std::uint64_t id = ++m_lastSession;
    auto session = std::make_unique<PlainSession>(m_services, exchange, std::move(order),
                                                  [this, id] { m_plainCalls.erase(id); });
    PlainSession *started = session.get();
    m_plainCalls.emplace(id, std::move(session));
    started->start();
}

void CallersApi::onTargetGone(const TargetId &target, Incarnation incarnation)
{
    for (const auto &[id, session] : m_generations)
        session->onTargetGone(target, incarnation);
    for (const auto &[id, session] : m_plainCalls)
        session->onTargetGone(target);
}

bool CallersApi::isReading(const GenerationId &generation) const
{
    return std::any_of(m_generations.begin(), m_generations.end(), [&](const auto &entry) {
        return entry.second->generationRead() == generation;
    });
}

void CallersApi::onTakenOver(const GenerationId &generation)
{
    for (const auto &[id, session] : m_generations) {
        if (session->generation() == generation)
            session->onTakenOver();
    }
}

std::size_t CallersApi::requestsInProgress() const
{
    return m_generations.size() + m_plainCalls.size() + m_waitingForLimits;
}

} // namespace currantwalk
