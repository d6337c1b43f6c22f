#include "calls/plainmachine.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include "base/enumtable.h"
#include "calls/invariant.h"
#include "calls/retrybudget.h"

namespace currantwalk {

// An answer may still come from a target that is taken to be dead.
static constexpr Duration SilentTargetGrace = std::chrono::seconds(2);

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

void PlainMachine::enter(PlainState next)
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
    dropExchange();
    m_exchange = ++m_lastExchange;
    return m_exchange;
}

void PlainMachine::dropExchange()
{
    if (m_exchange == 0)
        return;
    m_hooks.abandon(std::exchange(m_exchange, 0));
}

void PlainMachine::setTimer(Duration delay, void (PlainMachine::*step)())
{
    m_timers.cancel(m_timer);
    m_timer = m_timers.subscribeAfter(delay, [this, step] {
        m_timer = NoTimer;
        (this->*step)();
    });
}

// A request without a key can't be told from any other, so no claim could keep a duplicate of it
// from running; this node sends it at most once and that is all there is to keep.
bool PlainMachine::needsClaim() const
{
    return !m_request.isIdempotent && !m_request.idempotencyKey.empty();
}

bool PlainMachine::canAskTarget() const
{
    return m_request.targetChecksKeys && !m_request.idempotencyKey.empty();
}

void PlainMachine::start()
{
    m_deadlineTimer = m_timers.subscribeAt(m_request.deadline, [this] { onDeadline(); });
    if (!needsClaim())
        return place();
    enter(PlainState::Claiming);
    m_hooks.claim();
}

// The claim comes before the target: a slot held while the log answers would be idle.
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
            return fail(makeError(ErrorCode::Cancelled, "the caller went away"));
        return place();
    case ClaimVerdict::Done:
        if (answer.result)
            return finish(*answer.result);
        return end(makeError(ErrorCode::OutcomeUnknown, "it ran; its answer was not kept"),
                   Outcome::Done, Duration(0));
    case ClaimVerdict::Unknown:
        return end(answer.status.ok() ? makeError(ErrorCode::OutcomeUnknown,
                                                  "another submission of this key may have run")
                                      : answer.status,
                   Outcome::Unknown, Duration(0));
    case ClaimVerdict::Conflict:
        return end(answer.status.ok() ? makeError(ErrorCode::IdempotencyKeyConflict,
                                                  "the key was used for another request")
                                      : answer.status,
                   Outcome::Failed, Duration(0));
    case ClaimVerdict::NotClaimed:
        return end(answer.status, Outcome::NotRun, Duration(0));
    }
}

void PlainMachine::place()
{
    enter(PlainState::Queued);
    m_hooks.place(beginExchange(), m_excluded);
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
    enter(PlainState::Waiting);
    setTimer(retryDelay(m_retries + 1, m_random), &PlainMachine::place);
}

// After a pause of the process the answer to a placement may be read before the deadline's timer.
void PlainMachine::send()
{
    if (m_timers.now() >= m_request.deadline)
        return onDeadline();
    requireInvariant(!needsClaim() || m_isClaimWon, Invariant::ClaimedBeforeSending);
    requireInvariant(m_request.isIdempotent || m_sendsInDoubt == 0 || canAskTarget(),
                     Invariant::AtMostOneSend);
    enter(PlainState::Sent);
    ++m_sendsInDoubt;
    m_hooks.send(beginExchange(), m_target);
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
        return waitToLookUp();
    const ErrorCode code = errorCode(status);
    const bool isRefused = code == ErrorCode::TargetRefused || code == ErrorCode::TargetBusy;
    if (!wasSent || isRefused)
        return onSendProvenUnrun(status);
    onSendInDoubt(status);
}

void PlainMachine::onTargetGone(const TargetId &target)
{
    if (m_target != target || m_state != PlainState::Sent)
        return;
    m_hooks.targetLost(target);
    if (!m_request.isIdempotent)
        return setTimer(SilentTargetGrace, &PlainMachine::onTargetSilent);
    dropExchange();
    onSendInDoubt(makeError(ErrorCode::ConnectionLost, "the target died"));
}

void PlainMachine::onTargetSilent()
{
    dropExchange();
    onSendInDoubt(makeError(ErrorCode::ConnectionLost, "the target died before it answered"));
}

// A non-idempotent request that was sent goes on, for its answer is kept for others with its key.
void PlainMachine::onCallerGone()
{
    if (isSettled())
        return;
    m_isCallerGone = true;
    if (m_state == PlainState::Claiming)
        return;
    if (!m_request.isIdempotent && mayHaveRun())
        return;
    dropExchange();
    fail(makeError(ErrorCode::Cancelled, "the caller went away"));
}

void PlainMachine::onDeadline()
{
    dropExchange();
    const absl::Status status =
            makeError(ErrorCode::DeadlineExceeded, "no answer came by the deadline");
    // The claim's own answer is due now; till it is read, an earlier submission may have run.
    if (m_state == PlainState::Claiming)
        return end(status, Outcome::Unknown, Duration(0));
    fail(status);
}

bool PlainMachine::mayHaveRun() const
{
    return m_sendsInDoubt > 0;
}

void PlainMachine::finish(const PlainResponse &response)
{
    if (m_isClaimWon)
        m_hooks.recordResult(response);
    settle();
    m_hooks.finish(response);
}

// Only this node may send under its claim, so what it did not send has not run.
void PlainMachine::fail(const absl::Status &status, Duration retryAfter)
{
    if (mayHaveRun()) {
        if (m_isClaimWon && m_hooks.recordUnknown)
            m_hooks.recordUnknown();
        const absl::Status &doubt = m_doubt ? *m_doubt : status;
        return end(m_request.isIdempotent ? status : doubt, Outcome::Unknown, retryAfter);
    }
    if (m_isClaimWon)
        m_hooks.recordNotRun();
    end(status, Outcome::NotRun, retryAfter);
}

void PlainMachine::end(const absl::Status &status, Outcome outcome, Duration retryAfter)
{
    requireInvariant(outcome != Outcome::NotRun || !mayHaveRun(), Invariant::NotRunIsProven);
    settle();
    m_hooks.fail(status, outcome, retryAfter);
}

void PlainMachine::settle()
{
    requireInvariant(!isSettled(), Invariant::OneOutcome);
    dropExchange();
    enter(PlainState::Settled);
    m_timers.cancel(m_deadlineTimer);
    m_deadlineTimer = NoTimer;
}

} // namespace currantwalk
