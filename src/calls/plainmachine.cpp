#include "calls/plainmachine.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include "base/enumtable.h"
#include "calls/invariant.h"
#include "calls/retrybudget.h"

namespace currantwalk {

// How long the answer of a target that was reported dead is still awaited: the report may be wrong.
static constexpr Duration DeadTargetGracePeriod = std::chrono::seconds(2);

static constexpr std::array<EnumName<PlainState>, 7> StateNames{{
        {PlainState::New, "new"},
        {PlainState::Claiming, "claiming"},
        {PlainState::Queued, "queued"},
        {PlainState::Sent, "sent"},
        {PlainState::Waiting, "waiting"},
        {PlainState::LookingUp, "looking-up"},
        {PlainState::Settled, "settled"},
}};

namespace {

struct Transition
{
    PlainState from;
    PlainState to;
};

} // namespace

static constexpr std::array<Transition, 16> Transitions{{
        {PlainState::New, PlainState::Claiming},
        {PlainState::New, PlainState::Queued},
        {PlainState::New, PlainState::Settled},
        {PlainState::Claiming, PlainState::Queued},
        {PlainState::Claiming, PlainState::Settled},
        {PlainState::Queued, PlainState::Sent},
        {PlainState::Queued, PlainState::Waiting},
        {PlainState::Queued, PlainState::Settled},
        {PlainState::Sent, PlainState::Waiting},
        {PlainState::Sent, PlainState::Settled},
        {PlainState::Waiting, PlainState::Queued},
        {PlainState::Waiting, PlainState::Sent},
        {PlainState::Waiting, PlainState::LookingUp},
        {PlainState::Waiting, PlainState::Settled},
        {PlainState::LookingUp, PlainState::Waiting},
        {PlainState::LookingUp, PlainState::Settled},
}};

std::string_view plainStateName(PlainState state)
{
    return enumName(StateNames, state);
}

static bool isAllowed(PlainState from, PlainState to)
{
    return std::any_of(Transitions.begin(), Transitions.end(), [from, to](const Transition &row) {
        return row.from == from && row.to == to;
    });
}

PlainMachine::PlainMachine(PlainRequest request, PlainHooks hooks, TimerService &timers,
                           RandomSource &random)
    : m_request(std::move(request)), m_hooks(std::move(hooks)), m_timers(timers), m_random(random)
{
}

PlainMachine::~PlainMachine()
{
    m_timers.cancel(m_timer);
    m_timers.cancel(m_deadlineTimer);
}

std::unique_ptr<PlainCall> PlainCall::create(PlainRequest request, PlainHooks hooks,
                                             TimerService &timers, RandomSource &random)
{
    return std::make_unique<PlainMachine>(std::move(request), std::move(hooks), timers, random);
}

void PlainMachine::transitionTo(PlainState next)
{
    requireInvariant(isAllowed(m_state, next), Invariant::AllowedTransition);
    m_timers.cancel(m_timer);
    m_timer = NoTimer;
    m_state = next;
}

bool PlainMachine::isCurrent(std::uint64_t exchange)
{
    if (exchange != 0 && exchange == m_exchange)
        return true;
    ++m_droppedAnswers;
    return false;
}

std::uint64_t PlainMachine::beginExchange()
{
    abandonExchange();
    m_exchange = ++m_lastExchange;
    return m_exchange;
}

void PlainMachine::abandonExchange()
{
    if (m_exchange == 0)
        return;
    m_hooks.abandonExchange(std::exchange(m_exchange, 0));
}

void PlainMachine::setTimer(Duration delay, void (PlainMachine::*step)())
{
    m_timers.cancel(m_timer);
    m_timer = m_timers.scheduleAfter(delay, [this, step] {
        m_timer = NoTimer;
        (this->*step)();
    });
}

// Duplicates of a request without a key cannot be recognised, so a claim could not prevent them.
// The only guarantee is that this node sends the request at most once.
bool PlainMachine::needsClaim() const
{
    return !m_request.isIdempotent && !m_request.idempotencyKey.empty();
}

bool PlainMachine::canLookUpKey() const
{
    return m_request.targetChecksKeys && !m_request.idempotencyKey.empty();
}

void PlainMachine::start()
{
    m_deadlineTimer = m_timers.scheduleAt(m_request.deadline, [this] { onDeadline(); });
    if (!needsClaim())
        return place();
    transitionTo(PlainState::Claiming);
    m_hooks.claimKey();
}

// The key is claimed before a target is requested: a target slot reserved earlier would be idle
// until the log answers.
void PlainMachine::onClaim(const ClaimAnswer &answer)
{
    if (m_state != PlainState::Claiming) {
        ++m_droppedAnswers;
        if (answer.verdict == ClaimVerdict::Won && !m_isClaimWon)
            m_hooks.recordNotRun();
        return;
    }
    switch (answer.verdict) {
    case ClaimVerdict::Won:
        m_isClaimWon = true;
        if (m_isCallerGone)
            return fail(makeError(ErrorCode::Cancelled, "the caller closed its connection"));
        return place();
    case ClaimVerdict::Done:
        if (answer.result)
            return finish(*answer.result);
        return settleWithError(
                makeError(ErrorCode::OutcomeUnknown,
                          "the request ran, but its response was too large to store"),
                Outcome::Done, Duration(0));
    case ClaimVerdict::Unknown:
        return settleWithError(answer.status.ok() ? makeError(
                                       ErrorCode::OutcomeUnknown,
                                       "another submission with this idempotency key may have run")
                                                  : answer.status,
                               Outcome::Unknown, Duration(0));
    case ClaimVerdict::Conflict:
        return settleWithError(answer.status.ok() ? makeError(
                                       ErrorCode::IdempotencyKeyConflict,
                                       "the idempotency key was used for a different request")
                                                  : answer.status,
                               Outcome::Failed, Duration(0));
    case ClaimVerdict::NotClaimed:
        return settleWithError(answer.status, Outcome::NotRun, Duration(0));
    }
}

void PlainMachine::place()
{
    transitionTo(PlainState::Queued);
    m_hooks.requestPlacement(beginExchange(), m_excluded);
}

void PlainMachine::onPlaced(std::uint64_t exchange, const TargetId &target)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    m_target = target;
    send();
}

void PlainMachine::onPlacementFailed(std::uint64_t exchange, const absl::Status &status,
                                     Duration retryAfter)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    if (errorCode(status) != ErrorCode::NoTarget || m_excluded.empty())
        return fail(status, retryAfter);
    m_excluded.clear();
    transitionTo(PlainState::Waiting);
    setTimer(retryDelay(m_retries + 1, m_random), &PlainMachine::place);
}

// After a pause of the process, the placement result may be handled before the deadline timer.
void PlainMachine::send()
{
    if (m_timers.now() >= m_request.deadline)
        return onDeadline();
    requireInvariant(!needsClaim() || m_isClaimWon, Invariant::ClaimedBeforeSending);
    requireInvariant(m_request.isIdempotent || m_unresolvedSends == 0 || canLookUpKey(),
                     Invariant::AtMostOneSend);
    transitionTo(PlainState::Sent);
    ++m_unresolvedSends;
    m_hooks.sendRequest(beginExchange(), m_target);
}

void PlainMachine::onResponse(std::uint64_t exchange, PlainResponse response)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    if (retryResponse(response))
        return;
    finish(response);
}

void PlainMachine::onExchangeFailed(std::uint64_t exchange, const absl::Status &status,
                                    bool wasSent)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    if (m_state == PlainState::LookingUp)
        return scheduleLookUp();
    const ErrorCode code = errorCode(status);
    const bool isRefused = code == ErrorCode::TargetRefused || code == ErrorCode::TargetBusy;
    if (!wasSent || isRefused)
        return onSendNotExecuted(status);
    onSendOutcomeUnknown(status);
}

void PlainMachine::onTargetGone(const TargetId &target)
{
    if (m_target != target || m_state != PlainState::Sent)
        return;
    m_hooks.reportTargetLost(target);
    if (!m_request.isIdempotent)
        return setTimer(DeadTargetGracePeriod, &PlainMachine::onGracePeriodExpired);
    abandonExchange();
    onSendOutcomeUnknown(makeError(ErrorCode::ConnectionLost, "the target was reported dead"));
}

void PlainMachine::onGracePeriodExpired()
{
    abandonExchange();
    onSendOutcomeUnknown(
            makeError(ErrorCode::ConnectionLost,
                      "the target was reported dead and did not answer within the grace period"));
}

// A non-idempotent request that was sent is not abandoned: its response is recorded for later
// submissions with the same key.
void PlainMachine::onCallerGone()
{
    if (isSettled())
        return;
    m_isCallerGone = true;
    if (m_state == PlainState::Claiming)
        return;
    if (!m_request.isIdempotent && mayHaveRun())
        return;
    abandonExchange();
    fail(makeError(ErrorCode::Cancelled, "the caller closed its connection"));
}

void PlainMachine::onDeadline()
{
    abandonExchange();
    const absl::Status status =
            makeError(ErrorCode::DeadlineExceeded, "the target did not answer before the deadline");
    // The claim is still pending, so an earlier submission with this key may have run.
    if (m_state == PlainState::Claiming)
        return settleWithError(status, Outcome::Unknown, Duration(0));
    fail(status);
}

bool PlainMachine::mayHaveRun() const
{
    return m_unresolvedSends > 0;
}

void PlainMachine::finish(const PlainResponse &response)
{
    if (m_isClaimWon)
        m_hooks.recordResult(response);
    settle();
    m_hooks.finish(response);
}

// Only the node that won the claim may send the request, so an unsent request has not run.
void PlainMachine::fail(const absl::Status &status, Duration retryAfter)
{
    if (mayHaveRun()) {
        if (m_isClaimWon && m_hooks.recordUnknown)
            m_hooks.recordUnknown();
        const absl::Status &unknownStatus =
                m_unknownOutcomeStatus ? *m_unknownOutcomeStatus : status;
        return settleWithError(m_request.isIdempotent ? status : unknownStatus, Outcome::Unknown,
                               retryAfter);
    }
    if (m_isClaimWon)
        m_hooks.recordNotRun();
    settleWithError(status, Outcome::NotRun, retryAfter);
}

void PlainMachine::settleWithError(const absl::Status &status, Outcome outcome, Duration retryAfter)
{
    requireInvariant(outcome != Outcome::NotRun || !mayHaveRun(), Invariant::NotRunIsProven);
    settle();
    m_hooks.fail(status, outcome, retryAfter);
}

void PlainMachine::settle()
{
    requireInvariant(!isSettled(), Invariant::OneOutcome);
    abandonExchange();
    transitionTo(PlainState::Settled);
    m_timers.cancel(m_deadlineTimer);
    m_deadlineTimer = NoTimer;
}

} // namespace currantwalk
