#include "daemon/generationsession.h"

#include <algorithm>
#include <utility>

#include "observe/logging.h"
#include "targets/prompt.h"

namespace currantwalk {

/// Bytes that wait for a caller's connection before the call is told to hold back.
static constexpr std::size_t MaxPendingBytes = std::size_t{64} * 1024;

/// Of the question whether an engine lives: as long as a connection may take to open.
static constexpr Duration ProofTimeout = std::chrono::seconds(1);

GenerationSession::GenerationSession(const RequestServices &services,
                                     std::shared_ptr<HttpExchange> exchange, GenerationOrder order,
                                     std::function<void()> onSettled)
    : m_services(services),
      m_exchange(std::move(exchange)),
      m_order(std::move(order)),
      m_onSettled(std::move(onSettled)),
      m_times(m_order.objective, services.timers.now())
{
    m_call = GenerationCall::create(m_order.request, makeHooks(), services.timers, services.random);
}

GenerationSession::~GenerationSession()
{
    *m_isAlive = false;
    m_services.timers.cancel(m_blockedTimer);
    m_services.dispatcher.cancel(m_ticket);
}

GenerationHooks GenerationSession::makeHooks()
{
    GenerationHooks hooks;
    hooks.requestPlacement = [this](std::uint64_t exchange, const std::vector<TargetId> &excluded) {
        place(exchange, excluded);
    };
    hooks.openGeneration = [this](std::uint64_t exchange, const GenerationAttempt &attempt) {
        open(exchange, attempt);
    };
    hooks.isSuspect = [this] {
        return m_services.poison.suspicion(m_order.request.fingerprint) == Suspicion::Suspect;
    };
    hooks.probeLiveness = [this](std::uint64_t exchange, const TargetId &target) {
        probeLiveness(exchange, target);
    };
    hooks.resumeGeneration = [this](std::uint64_t exchange, const GenerationId &generation,
                                    std::uint32_t from) { resume(exchange, generation, from); };
    hooks.abandonExchange = [this](std::uint64_t exchange) { abandon(exchange); };
    hooks.cancelGeneration = [this](const GenerationAttempt &attempt,
                                    const std::optional<GenerationId> &generation) {
        m_services.cancel(attempt, generation);
    };
    hooks.deliverToken = [this](const GenerationId &generation, std::uint32_t position,
                                const std::string &text) { deliver(generation, position, text); };
    hooks.notifyRestart = [this] { restart(); };
    hooks.finish = [this](FinishReason reason) { finish(reason); };
    hooks.fail = [this](const absl::Status &status, Outcome outcome, Duration retryAfter) {
        fail(status, outcome, retryAfter);
    };
    hooks.reportTargetLost = [this](const TargetId &target) {
        m_services.metrics.count("currantwalk_targets_lost_total");
        m_services.targets.onSuspectedDead(target);
        if (m_runningAt)
            m_services.poison.onLost(m_order.request.fingerprint, target, *m_runningAt);
    };
    hooks.takeRetry = [this] {
        const bool isAllowed = m_services.retryBudget(m_order.request.service).tryConsume();
        m_services.metrics.count("currantwalk_retries_total",
                                 {{"allowed", isAllowed ? "yes" : "no"}});
        return isAllowed;
    };
    hooks.queryReaders = [this](const GenerationId &generation) {
        m_services.askReaders(generation, [this, isAlive = m_isAlive](bool isRead) {
            if (*isAlive)
                m_call->onReaderQueryResult(isRead);
        });
    };
    return hooks;
}

void GenerationSession::start()
{
    m_exchange->onClosed([this, isAlive = m_isAlive] {
        if (*isAlive)
            m_call->onCallerGone();
    });
    m_exchange->onDrained([this, isAlive = m_isAlive] {
        if (*isAlive)
            updateBlocked();
    });
    if (m_order.resume) {
        m_generation = m_order.resume->generation;
        m_call->startAt(*m_order.resume);
        return;
    }
    m_services.retryBudget(m_order.request.service).onFreshRequest();
    m_call->start();
}

void GenerationSession::onTargetGone(const TargetId &target, Incarnation incarnation)
{
    m_call->onTargetGone(target, incarnation);
}

void GenerationSession::onTakenOver()
{
    m_call->onTakenOver();
}

std::optional<GenerationId> GenerationSession::generationRead() const
{
    const GenerationState state = m_call->state();
    const bool isReading =
            state == GenerationState::Streaming || state == GenerationState::Recovering;
    return isReading ? m_generation : std::nullopt;
}

void GenerationSession::place(std::uint64_t exchange, const std::vector<TargetId> &excluded)
{
    release(false);
    const Suspicion suspicion = m_services.poison.suspicion(m_order.request.fingerprint);
    if (suspicion == Suspicion::Refused) {
        later([this, exchange] {
            m_call->onPlacementFailed(exchange,
                                      makeError(ErrorCode::PoisonousRequest,
                                                "targets died while running this request"),
                                      Duration(0));
        });
        return;
    }
    RoutingRequest request;
    request.id = m_order.request.id;
    request.model = m_order.request.model;
    request.service = m_order.request.service;
    request.organisation = m_order.request.organisation;
    request.priorityRank = m_order.request.priorityRank;
    request.promptTokens = m_order.request.promptTokens;
    request.maxTokens = m_order.request.maxTokens;
    request.prefixHashes = promptPrefixHashes(m_order.request.prompt);
    request.arrivedAt = m_services.timers.now();
    request.holdDeadline = std::min(m_order.request.deadline, request.arrivedAt + m_order.maxHold);
    request.excludedTargets = excluded;
    request.isSuspect = suspicion == Suspicion::Suspect;
    m_ticket = m_services.dispatcher.submit(std::move(request),
                                            [this, exchange](const PlacementResult &placement) {
                                                m_ticket = 0;
                                                onPlacement(exchange, placement);
                                            });
}

void GenerationSession::onPlacement(std::uint64_t exchange, const PlacementResult &placement)
{
    m_services.decisions.add(m_order.request.id.text(), placement);
    m_services.metrics.observe("currantwalk_hold_seconds", {{"service", m_order.request.service}},
                               placement.held);
    if (!placement.status.ok()) {
        m_call->onPlacementFailed(exchange, placement.status, placement.retryAfter);
        return;
    }
    m_placedAt = placement.target;
    m_call->onPlaced(exchange, placement.target);
}

void GenerationSession::open(std::uint64_t exchange, const GenerationAttempt &attempt)
{
    const Target *engine = m_services.targets.find(attempt.target);
    if (!engine)
        return failLater(exchange, ErrorCode::ConnectFailed, "the engine is no longer known");
    // A repeated open of one attempt is the same run.
    if (!m_runningAt) {
        m_runningAt = engine->incarnation;
        m_services.poison.onSent(m_order.request.fingerprint, engine->id, *m_runningAt);
    }
    m_engineExchangeNumber = exchange;
    m_engineExchange = m_services.link.open(*engine, attempt, m_order.request,
                                            exchangeHooks(exchange, engine->id));
}

void GenerationSession::probeLiveness(std::uint64_t exchange, const TargetId &id)
{
    const Target *engine = m_services.targets.find(id);
    if (!engine)
        return failLater(exchange, ErrorCode::ConnectFailed, "the engine is no longer known");
    m_services.link.probe(
            *engine, ProofTimeout,
            [this, isAlive = m_isAlive, exchange, id](const absl::StatusOr<TargetReport> &report) {
                if (!*isAlive)
                    return;
                if (!report.ok())
                    return m_call->onExchangeFailed(exchange, report.status(), false);
                noteRunning(id, report->incarnation);
                m_call->onProbeSucceeded(exchange);
            });
}

void GenerationSession::noteRunning(const TargetId &target, Incarnation incarnation)
{
    if (m_placedAt != target)
        return;
    m_runningAt = incarnation;
    m_services.poison.onRunning(m_order.request.fingerprint, target, incarnation);
}

void GenerationSession::resume(std::uint64_t exchange, const GenerationId &generation,
                               std::uint32_t from)
{
    const Target *engine = m_services.targets.find(generation.target);
    if (!engine)
        return failLater(exchange, ErrorCode::ConnectFailed, "the engine is not known here");
    m_services.metrics.count("currantwalk_resumes_total");
    m_engineExchangeNumber = exchange;
    m_engineExchange =
            m_services.link.resume(*engine, generation, from, exchangeHooks(exchange, engine->id));
}

EngineExchangeHooks GenerationSession::exchangeHooks(std::uint64_t exchange, const TargetId &target)
{
    EngineExchangeHooks hooks;
    hooks.onOpened = [this, exchange, target](Incarnation incarnation, std::uint64_t number) {
        m_generation = GenerationId{target, incarnation, number};
        noteRunning(target, incarnation);
        m_call->onOpened(exchange, *m_generation);
    };
    hooks.onToken = [this, exchange](std::uint32_t position, std::string text) {
        m_generated = std::max(m_generated, position + 1);
        m_services.policy.onToken(m_order.request.id, position + 1, m_services.timers.now());
        m_call->onToken(exchange, position, std::move(text));
    };
    hooks.onFinished = [this, exchange, target](std::uint32_t tokens, FinishReason reason) {
        m_services.targets.onOutcome(target, true);
        m_call->onFinished(exchange, tokens, reason);
    };
    hooks.onFailed = [this, exchange, target](const absl::Status &status, bool wasSent) {
        const ErrorCode code = errorCode(status);
        if (code == ErrorCode::ConnectFailed || code == ErrorCode::ConnectionLost)
            m_services.targets.onSuspectedDead(target);
        if (code != ErrorCode::TargetBusy && code != ErrorCode::TargetRefused)
            m_services.targets.onOutcome(target, false);
        const Target *known = m_services.targets.find(target);
        if (code == ErrorCode::TargetRefused && known)
            m_services.targets.onLeaving(target, known->incarnation);
        m_call->onExchangeFailed(exchange, status, wasSent);
    };
    return hooks;
}

void GenerationSession::failLater(std::uint64_t exchange, ErrorCode code, const char *detail)
{
    later([this, exchange, status = makeError(code, detail)] {
        m_call->onExchangeFailed(exchange, status, false);
    });
}

void GenerationSession::later(std::function<void()> action)
{
    m_services.timers.scheduleAfter(Duration(0), [isAlive = m_isAlive, action = std::move(action)] {
        if (*isAlive)
            action();
    });
}

// The exchange may be the one whose callback is running, so it is destroyed later.
void GenerationSession::abandon(std::uint64_t exchange)
{
    m_services.dispatcher.cancel(std::exchange(m_ticket, 0));
    if (!m_engineExchange || m_engineExchangeNumber != exchange)
        return;
    std::shared_ptr<EngineExchange> abandoned = std::move(m_engineExchange);
    m_services.timers.scheduleAfter(Duration(0), [abandoned] {});
}

void GenerationSession::deliver(const GenerationId &generation, std::uint32_t position,
                                const std::string &text)
{
    noteTokenTime();
    ++m_delivered;
    m_services.limiter.charge(m_order.grant, 1);
    if (m_order.request.delivery == Delivery::Buffered)
        m_text += text;
    else
        writeToken(generation, position, text);
}

void GenerationSession::writeToken(const GenerationId &generation, std::uint32_t position,
                                   const std::string &text)
{
    startAnswer();
    ResumeToken token;
    token.request = m_order.request.id;
    token.organisation = m_order.request.organisation;
    token.service = m_order.request.service;
    token.model = m_order.request.model;
    token.point = ResumePosition{generation, position + 1};
    token.vm = m_services.vm;
    const std::string signature = signResumeToken(token, m_services.resumeKey);
    m_exchange->write(tokenEvent(m_order.info, text, signature, position == 0));
    // The call may not be called back from within its own hook.
    const bool isOverfull = m_exchange->pendingBytes() > MaxPendingBytes;
    if (isOverfull && !m_isBlocked && m_blockedTimer == NoTimer)
        m_blockedTimer = m_services.timers.scheduleAfter(Duration(0), [this] {
            m_blockedTimer = NoTimer;
            updateBlocked();
        });
}

void GenerationSession::updateBlocked()
{
    const bool isBlocked = m_exchange->pendingBytes() > MaxPendingBytes;
    if (std::exchange(m_isBlocked, isBlocked) != isBlocked)
        m_call->onCallerBlocked(isBlocked);
}

void GenerationSession::noteTokenTime()
{
    const TimePoint now = m_services.timers.now();
    const MetricLabels labels{{"service", m_order.request.service}};
    m_times.onToken(now);
    if (m_lastTokenAt) {
        const Duration gap = std::chrono::duration_cast<Duration>(now - *m_lastTokenAt);
        m_services.metrics.observe("currantwalk_token_gap_seconds", labels, gap);
    } else {
        m_services.metrics.observe("currantwalk_first_token_seconds", labels, m_times.firstToken());
    }
    m_lastTokenAt = now;
}

void GenerationSession::startAnswer()
{
    if (std::exchange(m_isAnswerStarted, true))
        return;
    HttpResponseHead head;
    head.headers.push_back({"content-type", "text/event-stream"});
    head.headers.push_back({"cache-control", "no-cache"});
    head.headers.push_back({"x-request-id", m_order.request.id.text()});
    m_exchange->start(std::move(head));
}

void GenerationSession::restart()
{
    m_text.clear();
    m_generated = 0;
    m_services.metrics.count("currantwalk_restarts_total");
    logRequest(LogPart::Calls, LogLevel::Warning, m_order.request.id.text(),
               "The engine is lost. The answer starts again.");
    if (m_order.request.delivery == Delivery::Streamed && m_isAnswerStarted)
        m_exchange->write(restartEvent());
}

void GenerationSession::finish(FinishReason reason)
{
    if (m_order.request.delivery == Delivery::Buffered) {
        respond(*m_exchange, 200, "application/json",
                wholeAnswer(m_order.info, m_text, reason, m_order.request.promptTokens,
                            m_generated));
    } else {
        startAnswer();
        m_exchange->write(finishEvents(m_order.info, reason));
        m_exchange->finish();
    }
    settle(Ending::Whole);
}

void GenerationSession::fail(const absl::Status &status, Outcome outcome, Duration retryAfter)
{
    const std::string &id = m_order.request.id.text();
    logRequest(LogPart::Calls, LogLevel::Info, id,
               "Request ended: " + std::string(errorName(errorCode(status))) + ", outcome "
                       + std::string(outcomeName(outcome)) + ".");
    m_services.metrics.count("currantwalk_failures_total",
                             {{"code", std::string(errorName(errorCode(status)))}});
    if (m_isAnswerStarted) {
        m_exchange->write(errorEvent(status, outcome, id, retryAfter));
        m_exchange->finish();
    } else if (!m_exchange->isClosed()) {
        respondError(*m_exchange, status, outcome, id, retryAfter);
    }
    settle(errorCode(status) == ErrorCode::Cancelled ? Ending::GivenUp : Ending::Broken);
}

void GenerationSession::settle(Ending ending)
{
    const bool isWhole = ending == Ending::Whole;
    release(isWhole);
    m_services.limiter.release(m_order.grant);
    if (ending != Ending::GivenUp)
        m_services.record(
                {m_order.request.service, m_order.request.organisation, m_times, isWhole});
    m_services.timers.scheduleAfter(Duration(0), [this, isAlive = m_isAlive] {
        if (*isAlive)
            m_onSettled();
    });
}

void GenerationSession::release(bool isComplete)
{
    if (!m_placedAt)
        return;
    const TargetId target = *std::exchange(m_placedAt, std::nullopt);
    m_services.policy.onReleased(m_order.request.id, isComplete, m_generated,
                                 m_services.timers.now());
    m_services.poison.onReleased(m_order.request.fingerprint, target, isComplete);
    m_runningAt.reset();
    m_services.dispatcher.onCapacityChange();
}

} // namespace currantwalk
