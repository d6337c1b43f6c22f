#include "daemon/plainsession.h"

#include <algorithm>
#include <utility>

#include "base/ids.h"
#include "daemon/callerformat.h"
#include "observe/logging.h"

namespace currantwalk {

ClaimRequest claimOf(const PlainRequest &request)
{
    ClaimRequest claim;
    claim.organisation = request.organisation;
    claim.service = request.service;
    claim.key = request.idempotencyKey;
    claim.fingerprint = stableHash(request.method + "\n" + request.path + "\n" + request.body);
    claim.deadline = request.deadline;
    claim.keyWindow = request.keyWindow;
    return claim;
}

/// Keys of two organisations never meet at a target.
static std::string targetKey(const PlainRequest &request)
{
    if (request.idempotencyKey.empty())
        return "";
    return request.organisation + ":" + request.idempotencyKey;
}

PlainSession::PlainSession(const RequestServices &services, std::shared_ptr<HttpExchange> exchange,
                           PlainOrder order, std::function<void()> onSettled)
    : m_services(services),
      m_exchange(std::move(exchange)),
      m_order(std::move(order)),
      m_onSettled(std::move(onSettled)),
      m_times(m_order.objective, services.timers.now())
{
    m_call = PlainCall::create(m_order.request, makeHooks(), services.timers, services.random);
}

PlainSession::~PlainSession()
{
    *m_isAlive = false;
    m_services.dispatcher.cancel(m_ticket);
    m_services.link.abandon(m_fetch);
}

PlainHooks PlainSession::makeHooks()
{
    PlainHooks hooks;
    hooks.requestPlacement = [this](std::uint64_t exchange, const std::vector<TargetId> &excluded) {
        place(exchange, excluded);
    };
    hooks.sendRequest = [this](std::uint64_t exchange, const TargetId &target) {
        send(exchange, target);
    };
    hooks.abandonExchange = [this](std::uint64_t exchange) { abandon(exchange); };
    hooks.claimKey = [this] {
        m_services.claims.claim(claimOf(m_order.request),
                                [this, isAlive = m_isAlive](const ClaimAnswer &answer) {
                                    if (*isAlive)
                                        m_call->onClaim(answer);
                                });
    };
    hooks.recordResult = [this](const PlainResponse &response) {
        m_services.claims.recordResult(claimOf(m_order.request), response);
    };
    hooks.recordNotRun = [this] {
        m_services.claims.recordNotRun(claimOf(m_order.request),
                                       makeError(ErrorCode::Cancelled, "the claim was not used"));
    };
    hooks.recordUnknown = [this] { m_services.claims.recordUnknown(claimOf(m_order.request)); };
    hooks.lookUpKey = [this](std::uint64_t exchange, const TargetId &target) {
        lookUpKey(exchange, target);
    };
    hooks.finish = [this](const PlainResponse &response) { finish(response); };
    hooks.fail = [this](const absl::Status &status, Outcome outcome, Duration retryAfter) {
        fail(status, outcome, retryAfter);
    };
    hooks.reportTargetLost = [this](const TargetId &target) {
        m_services.targets.onSuspectedDead(target);
    };
    hooks.takeRetry = [this] {
        return m_services.retryBudget(m_order.request.service).tryConsume();
    };
    return hooks;
}

void PlainSession::start()
{
    m_exchange->onClosed([this, isAlive = m_isAlive] {
        if (*isAlive)
            m_call->onCallerGone();
    });
    m_services.retryBudget(m_order.request.service).onFreshRequest();
    m_call->start();
}

void PlainSession::onTargetGone(const TargetId &target)
{
    m_call->onTargetGone(target);
}

void PlainSession::place(std::uint64_t exchange, const std::vector<TargetId> &excluded)
{
    release(false);
    RoutingRequest request;
    request.id = m_order.request.id;
    request.service = m_order.request.service;
    request.organisation = m_order.request.organisation;
    request.priorityRank = m_order.priorityRank;
    request.arrivedAt = m_services.timers.now();
    request.holdDeadline = std::min(m_order.request.deadline, request.arrivedAt + m_order.maxHold);
    request.excludedTargets = excluded;
    m_ticket = m_services.dispatcher.submit(std::move(request),
                                            [this, exchange](const PlacementResult &placement) {
                                                m_ticket = 0;
                                                onPlacement(exchange, placement);
                                            });
}

void PlainSession::onPlacement(std::uint64_t exchange, const PlacementResult &placement)
{
    m_services.decisions.add(m_order.request.id.text(), placement);
    if (!placement.status.ok()) {
        m_call->onPlacementFailed(exchange, placement.status, placement.retryAfter);
        return;
    }
    m_placedAt = placement.target;
    m_call->onPlaced(exchange, placement.target);
}

void PlainSession::send(std::uint64_t exchange, const TargetId &target)
{
    const Target *known = m_services.targets.find(target);
    if (!known) {
        return later([this, exchange] {
            m_call->onExchangeFailed(exchange,
                                     makeError(ErrorCode::ConnectFailed, "the target is not known"),
                                     false);
        });
    }
    PlainRequest request = m_order.request;
    request.idempotencyKey = targetKey(request);
    const TimePoint now = m_services.timers.now();
    const Duration timeout = std::chrono::duration_cast<Duration>(request.deadline - now);
    m_fetch = m_services.link.send(*known, request, timeout,
                                   [this, exchange, target, isAlive = m_isAlive](
                                           absl::StatusOr<PlainResponse> response, bool wasSent) {
                                       if (*isAlive)
                                           onAnswer(exchange, target, std::move(response), wasSent);
                                   });
}

void PlainSession::onAnswer(std::uint64_t exchange, const TargetId &target,
                            absl::StatusOr<PlainResponse> response, bool wasSent)
{
    m_fetch = 0;
    if (response.ok()) {
        m_services.targets.onOutcome(target, response->status < 500);
        return m_call->onResponse(exchange, *std::move(response));
    }
    const ErrorCode code = errorCode(response.status());
    if (code == ErrorCode::ConnectFailed || code == ErrorCode::ConnectionLost)
        m_services.targets.onSuspectedDead(target);
    if (code != ErrorCode::TargetBusy && code != ErrorCode::TargetRefused)
        m_services.targets.onOutcome(target, false);
    const Target *known = m_services.targets.find(target);
    if (code == ErrorCode::TargetRefused && known)
        m_services.targets.onLeaving(target, known->incarnation);
    m_call->onExchangeFailed(exchange, response.status(), wasSent);
}

void PlainSession::abandon(std::uint64_t)
{
    m_services.dispatcher.cancel(std::exchange(m_ticket, 0));
    m_services.link.abandon(std::exchange(m_fetch, 0));
}

void PlainSession::lookUpKey(std::uint64_t exchange, const TargetId &target)
{
    const Target *known = m_services.targets.find(target);
    if (!known) {
        return later([this, exchange] {
            m_call->onKeyLookup(exchange,
                                makeError(ErrorCode::ConnectFailed, "the target is not known"));
        });
    }
    m_fetch = m_services.link.lookUpKey(
            *known, targetKey(m_order.request),
            [this, exchange,
             isAlive = m_isAlive](absl::StatusOr<std::optional<PlainResponse>> response) {
                if (*isAlive)
                    m_call->onKeyLookup(exchange, std::move(response));
            });
}

void PlainSession::finish(const PlainResponse &response)
{
    HttpResponseHead head;
    head.status = response.status;
    if (!response.contentType.empty())
        head.headers.push_back({"content-type", response.contentType});
    head.headers.push_back({"content-length", std::to_string(response.body.size())});
    head.headers.push_back({"x-request-id", m_order.request.id.text()});
    head.headers.push_back({"x-outcome", std::string(outcomeName(Outcome::Done))});
    if (!m_exchange->isClosed()) {
        m_exchange->start(std::move(head));
        m_exchange->write(response.body);
        m_exchange->finish();
    }
    settle(true, false);
}

void PlainSession::fail(const absl::Status &status, Outcome outcome, Duration retryAfter)
{
    const std::string &id = m_order.request.id.text();
    logRequest(LogPart::Calls, LogLevel::Info, id,
               "Request ended: " + std::string(errorName(errorCode(status))) + ", outcome "
                       + std::string(outcomeName(outcome)) + ".");
    m_services.metrics.count("currantwalk_failures_total",
                             {{"code", std::string(errorName(errorCode(status)))}});
    if (!m_exchange->isClosed())
        respondError(*m_exchange, status, outcome, id, retryAfter);
    settle(false, errorCode(status) == ErrorCode::Cancelled);
}

void PlainSession::settle(bool isWhole, bool isGivenUp)
{
    if (isWhole)
        m_times.onToken(m_services.timers.now());
    m_services.metrics.observe("currantwalk_plain_seconds", {{"service", m_order.request.service}},
                               m_times.firstToken());
    release(isWhole);
    m_services.limiter.release(m_order.grant);
    if (!isGivenUp)
        m_services.record(
                {m_order.request.service, m_order.request.organisation, m_times, isWhole});
    later([this] { m_onSettled(); });
}

void PlainSession::release(bool isComplete)
{
    if (!m_placedAt)
        return;
    m_placedAt.reset();
    m_services.policy.onReleased(m_order.request.id, isComplete, 0, m_services.timers.now());
    m_services.dispatcher.onCapacityChange();
}

void PlainSession::later(std::function<void()> action)
{
    m_services.timers.scheduleAfter(Duration(0), [isAlive = m_isAlive, action = std::move(action)] {
        if (*isAlive)
            action();
    });
}

} // namespace currantwalk
