#include "calls/tests/simdaemon.h"

#include <utility>

namespace currantwalk {

std::string SimDaemon::plainTag(const PlainRequest &request) const
{
    return request.idempotencyKey.empty() ? request.id.text() : request.idempotencyKey;
}

SimDaemon::CallId SimDaemon::callPlain(PlainRequest request, CallerEvents caller)
{
    const CallId id = ++m_lastCall;
    m_budget.onFreshRequest();
    Plain &row = m_plain[id];
    row.caller = std::move(caller);
    row.claim.organisation = request.organisation;
    row.claim.service = request.service;
    row.claim.key = request.idempotencyKey;
    row.claim.fingerprint = stableHash(request.method + request.path + request.body);
    row.claim.deadline = request.deadline;
    row.claim.keyWindow = request.keyWindow;
    row.call = PlainCall::create(std::move(request), plainHooks(id), m_timers, m_random);
    row.call->start();
    return id;
}

PlainHooks SimDaemon::plainHooks(CallId id)
{
    PlainHooks hooks;
    hooks.requestPlacement = [this, id](std::uint64_t exchange,
                                        const std::vector<TargetId> &excluded) {
        schedule([this, id, exchange, excluded] {
            PlainCall *call = plainCall(id);
            if (!call || call->isSettled())
                return;
            SimTarget *target = pickService(excluded);
            if (target)
                return call->onPlaced(exchange, target->id());
            call->onPlacementFailed(exchange, makeError(ErrorCode::NoTarget, "no service"),
                                    std::chrono::seconds(1));
        });
        m_world.onStep(SimRequestStep::Queued);
    };
    hooks.sendRequest = [this, id](std::uint64_t exchange, const TargetId &target) {
        sendPlain(id, exchange, target);
    };
    hooks.lookUpKey = [this, id](std::uint64_t exchange, const TargetId &target) {
        lookUpPlain(id, exchange, target);
    };
    hooks.abandonExchange = [this, id](std::uint64_t exchange) {
        auto &connections = m_plain.at(id).connections;
        const auto it = connections.find(exchange);
        if (it != connections.end())
            it->second->isOpen = false;
    };
    hooks.claimKey = [this, id] { claimPlain(id); };
    hooks.recordResult = [this, id](const PlainResponse &response) {
        m_claims->recordResult(m_plain.at(id).claim, response);
        m_world.onStep(SimRequestStep::Recording);
    };
    hooks.recordNotRun = [this, id] {
        m_claims->recordNotRun(m_plain.at(id).claim, absl::OkStatus());
    };
    hooks.recordUnknown = [this, id] { m_claims->recordUnknown(m_plain.at(id).claim); };
    hooks.finish = [this, id](const PlainResponse &response) {
        m_plain.at(id).caller.response(response);
    };
    hooks.fail = [this, id](const absl::Status &status, Outcome outcome, Duration) {
        m_plain.at(id).caller.fail(status, outcome);
    };
    hooks.reportTargetLost = [](const TargetId &) {};
    hooks.takeRetry = [this] { return m_budget.tryConsume(); };
    return hooks;
}

void SimDaemon::claimPlain(CallId id)
{
    const auto onAnswer = [this, id](const ClaimAnswer &answer) {
        m_plain.at(id).call->onClaim(answer);
    };
    m_claims->claim(m_plain.at(id).claim, onAnswer);
    if (m_world.isClaimReadBackSkipped) {
        // The injected defect that the randomised run must detect.
        m_timers.scheduleAfter(std::chrono::milliseconds(8), [this, id] {
            PlainCall *call = plainCall(id);
            if (call->state() == PlainState::Claiming)
                call->onClaim(ClaimAnswer{ClaimVerdict::Won, std::nullopt, absl::OkStatus()});
        });
    }
    m_world.onStep(SimRequestStep::Claiming);
}

void SimDaemon::sendPlain(CallId id, std::uint64_t exchange, const TargetId &to)
{
    Plain &row = m_plain.at(id);
    SimService &target = service(to);
    const ConnectionPtr opened = connection(target.place);
    row.connections[exchange] = opened;
    opened->onBroken = [this, id, exchange](const absl::Status &status, bool wasSent) {
        m_plain.at(id).call->onExchangeFailed(exchange, status, wasSent);
    };
    opened->onCrossed = [this, id] {
        PlainResponse other;
        other.status = 200;
        other.body = "other";
        m_plain.at(id).call->onResponse(NoSuchExchange, other);
    };
    const auto answer = [this, id, exchange](const PlainResponse &response) {
        m_plain.at(id).call->onResponse(exchange, response);
    };
    m_world.network->connect(
            opened, [&target] { return target.isAlive; },
            [&target, opened, answer, tag = plainTag(row.call->request())] {
                target.call(opened, tag, answer);
            });
    m_world.onStep(SimRequestStep::Sent);
}

void SimDaemon::lookUpPlain(CallId id, std::uint64_t exchange, const TargetId &to)
{
    Plain &row = m_plain.at(id);
    SimService &target = service(to);
    const ConnectionPtr opened = connection(target.place);
    opened->isControlCall = true;
    row.connections[exchange] = opened;
    opened->onBroken = [this, id, exchange](const absl::Status &status, bool) {
        m_plain.at(id).call->onKeyLookup(exchange, status);
    };
    m_world.network->connect(
            opened, [&target] { return target.isAlive; },
            [this, &target, opened, id, exchange, tag = plainTag(row.call->request())] {
                const std::optional<PlainResponse> stored = target.stored(tag);
                m_world.network->answer(opened, [this, id, exchange, stored] {
                    m_plain.at(id).call->onKeyLookup(exchange, stored);
                });
            });
}

} // namespace currantwalk
