#include "calls/relaycall.h"

#include <array>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<RelayState>, 4> RelayStateNames{{
        {RelayState::New, "new"},
        {RelayState::Sent, "sent"},
        {RelayState::Answering, "answering"},
        {RelayState::Settled, "settled"},
}};

std::string_view relayStateName(RelayState state)
{
    return enumName(RelayStateNames, state);
}

static bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

// Statuses that tell the caller that its request has not run and never will.
static bool isNotRunStatus(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::unique_ptr<RelayCall> RelayCall::create(RelayRequest request, RelayHooks hooks,
                                             TimerService &timers)
{
    return std::unique_ptr<RelayCall>(new RelayCall(std::move(request), std::move(hooks), timers));
}

RelayCall::RelayCall(RelayRequest request, RelayHooks hooks, TimerService &timers)
    : m_request(std::move(request)), m_hooks(std::move(hooks)), m_timers(timers)
{
}

RelayCall::~RelayCall()
{
    m_timers.cancel(m_deadlineTimer);
    m_timers.cancel(m_patienceTimer);
    m_timers.cancel(m_resumeTimer);
}

void RelayCall::start()
{
    m_deadlineTimer = m_timers.subscribeAt(m_request.deadline, [this] {
        m_deadlineTimer = NoTimer;
        onDeadline();
    });
    place(makeError(ErrorCode::NoTarget, "no target of the service takes work"));
}

// \a reason is given to the caller where no target is left.
void RelayCall::place(const absl::Status &reason)
{
    const std::optional<TargetId> target = m_hooks.place(m_excluded);
    if (!target) {
        fail(reason);
        return;
    }
    sendTo(*target);
}

void RelayCall::sendTo(const TargetId &target)
{
    m_exchange = ++m_lastExchange;
    m_target = target;
    m_state = RelayState::Sent;
    m_head = {};
    m_held.clear();
    m_events.reset();
    ++m_sends;
    ++m_runsBegun;
    armPatience();
    m_backup = m_request.rule == RepeatRule::Stream ? m_hooks.placeBackup(m_target) : std::nullopt;
    m_hooks.send({m_exchange, m_target, std::nullopt, m_backup});
}

void RelayCall::armPatience()
{
    if (m_request.rule != RepeatRule::Idempotent || m_request.patience <= Duration::zero())
        return;
    m_timers.cancel(m_patienceTimer);
    m_patienceTimer = m_timers.subscribeAfter(m_request.patience, [this] {
        m_patienceTimer = NoTimer;
        onPatienceOver();
    });
}

void RelayCall::onPatienceOver()
{
    if (m_state != RelayState::Settled && !m_isPassing && mayRunAgain())
        sendToAnother();
}

void RelayCall::onDeadline()
{
    const absl::Status reason = makeError(ErrorCode::DeadlineExceeded, "the time limit has passed");
    if (m_isPassing)
        breakOff(reason);
    else
        fail(reason);
}

bool RelayCall::mayRunAgain() const
{
    return m_request.rule == RepeatRule::Idempotent && m_runsBegun < m_request.maxTargets;
}

// The old target may be cut off at any moment, and then would go on with a run that can't be
// stopped any more. It is left as soon as the new one is known to be reachable, before that one can
// begin.
bool RelayCall::onConnected(std::uint64_t exchange)
{
    if (!isCurrent(exchange))
        return false;
    if (exchange == m_resume && m_exchange != 0)
        onSourceLost(makeError(ErrorCode::ConnectionLost, "left for the target of its copy"));
    return true;
}

void RelayCall::onHead(std::uint64_t exchange, const RelayAnswerHead &head)
{
    if (!isCurrent(exchange))
        return;
    if (exchange == m_resume) {
        onResumeHead(head);
        return;
    }
    m_head = head;
    if (head.isForeign) {
        onUnusable(makeError(ErrorCode::TargetProtocol, "the answer is not this request's"));
        return;
    }
    if (head.isOtherTarget) {
        m_hooks.targetReplaced(m_target);
        onProvenNotRun(makeError(ErrorCode::NoTarget, "another target has the address"), {});
        return;
    }
    if (head.isNotRun) {
        onProvenNotRun(makeError(ErrorCode::TargetBusy, "the target refused"), head.retryAfter);
        return;
    }
    // Without the target's promise such a status must not reach the caller, who would take it for
    // one; without the signature a success is not the target's.
    if (isNotRunStatus(head.status) || (isSuccess(head.status) && !head.isSigned)) {
        onUnusable(makeError(ErrorCode::TargetProtocol, "the answer's head contradicts itself"));
        return;
    }
    if (head.status >= 500 && mayRunAgain() && sendToAnother())
        return;
    m_state = RelayState::Answering;
}

// Leaves the current target only where another can be tried: else what it answers is the answer.
bool RelayCall::sendToAnother()
{
    std::vector<TargetId> excluded = m_excluded;
    excluded.push_back(m_target);
    const std::optional<TargetId> next = m_hooks.place(excluded);
    if (!next || !m_hooks.takeRetry())
        return false;
    m_hooks.report(m_target, TargetService::Failed);
    m_excluded = std::move(excluded);
    dropExchange();
    sendTo(*next);
    return true;
}

void RelayCall::onBody(std::uint64_t exchange, std::string_view bytes)
{
    if (exchange != m_exchange || m_state != RelayState::Answering)
        return;
    if (m_request.rule == RepeatRule::Stream && isSuccess(m_head.status)) {
        takeEvents(bytes);
        return;
    }
    if (m_isPassing) {
        m_hooks.answerBody(bytes);
        return;
    }
    m_held.append(bytes);
    if (m_held.size() > MaxHeldBytes)
        passHeldAnswer();
}

// Only whole events go on, so that an answer cut off within one can be told from a whole answer.
void RelayCall::takeEvents(std::string_view bytes)
{
    const std::optional<std::vector<RawEvent>> events = m_events.feed(bytes);
    if (!events) {
        onUnusable(makeError(ErrorCode::TargetProtocol, "an event is too large"));
        return;
    }
    for (const RawEvent &event : *events) {
        if (m_resume != 0)
            m_heldEvents.push_back(event);
        else
            passEvent(event);
        if (isSettled())
            return;
    }
    if (m_isTargetLeaving)
        beginMove();
}

// A stream that goes on elsewhere begins behind the last event that was passed on; what it sends
// again is dropped.
void RelayCall::passEvent(const RawEvent &event)
{
    if (event.number && m_lastEvent && *event.number <= *m_lastEvent)
        return;
    if (event.number && isBehindGap(*event.number)) {
        // A copy of this run lacks the same events.
        m_backup.reset();
        onUnusable(
                makeError(ErrorCode::TargetProtocol, "the stream does not go on where it ended"));
        return;
    }
    if (!m_isPassing) {
        m_isPassing = true;
        m_hooks.answerHead(m_exchange);
    }
    if (event.number)
        noteNumber(*event.number);
    m_hooks.answerBody(event.bytes);
}

// Numbers only have to grow; a gap can be told where they have grown evenly so far.
void RelayCall::noteNumber(std::uint64_t number)
{
    if (m_lastEvent) {
        const std::uint64_t step = number - *m_lastEvent;
        m_isUneven = m_isUneven || (m_eventStep != 0 && step != m_eventStep);
        m_eventStep = step;
    }
    m_lastEvent = number;
}

// Tells whether events are missing between the last one and the first of a stream that goes on.
bool RelayCall::isBehindGap(std::uint64_t number)
{
    const bool isFirst = std::exchange(m_isResumed, false);
    return isFirst && !m_isUneven && m_eventStep != 0 && number > *m_lastEvent + m_eventStep;
}

void RelayCall::passHeldAnswer()
{
    m_isPassing = true;
    m_timers.cancel(std::exchange(m_patienceTimer, NoTimer));
    m_hooks.answerHead(m_exchange);
    if (!m_held.empty())
        m_hooks.answerBody(m_held);
    m_held.clear();
}

void RelayCall::onEnd(std::uint64_t exchange, const absl::Status &status, bool wasSent)
{
    if (!isCurrent(exchange))
        return;
    if (exchange == m_resume) {
        onResumeFailed(status);
        return;
    }
    if (!wasSent) {
        if (errorCode(status) != ErrorCode::Cancelled)
            m_hooks.report(m_target, TargetService::Unreachable);
        onProvenNotRun(status, {});
        return;
    }
    const bool isWhole =
            status.ok() && m_state == RelayState::Answering && !m_events.isWithinEvent();
    if (isWhole) {
        m_hooks.report(m_target,
                       m_head.status < 500 ? TargetService::Answered : TargetService::Failed);
        for (const RawEvent &event : std::exchange(m_heldEvents, {}))
            passEvent(event);
        finish();
        return;
    }
    const absl::Status failure =
            status.ok() ? makeError(ErrorCode::ConnectionLost, "the answer is not whole") : status;
    if (m_resume == 0 && resumeFromBackup(failure))
        return;
    if (m_move != 0 || m_resume != 0)
        onSourceLost(failure);
    else
        onUnusable(failure);
}

void RelayCall::onProvenNotRun(const absl::Status &status, Duration retryAfter)
{
    const bool wasArrival = m_head.isNotRun || m_head.isOtherTarget;
    m_excluded.push_back(m_target);
    --m_runsBegun;
    dropExchange();
    if (++m_fruitless >= MaxFruitlessSends || (wasArrival && !m_hooks.takeRetry())) {
        fail(status, retryAfter);
        return;
    }
    place(status);
}

// The target may have run the request, and its answer is of no use.
void RelayCall::onUnusable(const absl::Status &status)
{
    m_hooks.report(m_target, TargetService::Failed);
    m_excluded.push_back(m_target);
    if (m_isPassing) {
        if (!resumeFromBackup(status))
            breakOff(status);
        return;
    }
    if (mayRunAgain() && m_hooks.takeRetry()) {
        dropExchange();
        place(status);
        return;
    }
    fail(status);
}

bool RelayCall::isCurrent(std::uint64_t exchange) const
{
    return m_state != RelayState::Settled && exchange != 0
           && (exchange == m_exchange || exchange == m_resume);
}

void RelayCall::onTargetLeaving()
{
    if (isSettled() || m_request.rule != RepeatRule::Stream)
        return;
    m_isTargetLeaving = true;
    beginMove();
}

bool RelayCall::isMovable() const
{
    return m_state == RelayState::Answering && m_isPassing && m_lastEvent && m_move == 0
           && m_resume == 0 && m_moves < MaxMoves;
}

// The copy is made while the stream goes on. A stream that has sent no event yet has not begun to
// run; it is moved after its first one.
void RelayCall::beginMove()
{
    if (!isMovable())
        return;
    const std::optional<TargetId> destination = m_hooks.placeMove(m_target, m_fullTargets);
    if (!destination) {
        m_isTargetLeaving = false;
        return;
    }
    m_move = ++m_lastExchange;
    ++m_moves;
    m_fullTargets.push_back(*destination);
    m_hooks.copy(m_move, m_target, *destination);
}

void RelayCall::onCopied(std::uint64_t move, const absl::StatusOr<StreamCopy> &copy)
{
    if (move != m_move || isSettled()) {
        if (copy.ok())
            m_hooks.dropCopy(m_target, *copy);
        return;
    }
    m_move = 0;
    if (copy.ok()) {
        resumeFrom(*copy);
        return;
    }
    if (m_isSourceLost)
        onUnusable(m_sourceFailure);
    else
        beginMove();
}

// The old target's events are held back, not dropped, until the new one has taken over: where it
// refuses, the stream goes on as before.
void RelayCall::resumeFrom(const StreamCopy &copy)
{
    m_copy = copy;
    m_resume = ++m_lastExchange;
    ++m_sends;
    m_resumeTimer = m_timers.subscribeAfter(ResumePatience, [this] {
        m_resumeTimer = NoTimer;
        if (!m_isSourceLost)
            onResumeFailed(makeError(ErrorCode::DeadlineExceeded, "the stream did not go on"));
    });
    m_nextBackup = m_hooks.placeBackup(copy.holder);
    m_hooks.send({m_resume, copy.holder, StreamResume{copy, *m_lastEvent}, m_nextBackup});
}

// The target died or broke off without a notice. What is under way with it is of no use any more: a
// copy that it is asked for can only be told by itself.
bool RelayCall::resumeFromBackup(const absl::Status &reason)
{
    const std::optional<TargetId> holder = std::exchange(m_backup, std::nullopt);
    if (!holder || !m_isPassing || !m_lastEvent)
        return false;
    const std::optional<StreamCopy> copy = m_hooks.findBackup(*holder);
    if (!copy)
        return false;
    m_move = 0;
    onSourceLost(reason);
    resumeFrom(*copy);
    return true;
}

void RelayCall::onResumeHead(const RelayAnswerHead &head)
{
    if (head.isForeign || !isSuccess(head.status) || !head.isSigned) {
        onResumeFailed(makeError(ErrorCode::TargetRefused, "the stream can't go on there"));
        return;
    }
    m_timers.cancel(std::exchange(m_resumeTimer, NoTimer));
    if (m_exchange != 0)
        m_hooks.abandon(m_exchange);
    m_exchange = std::exchange(m_resume, 0);
    m_target = m_copy->holder;
    m_backup = std::exchange(m_nextBackup, std::nullopt);
    m_isResumed = true;
    m_copy.reset();
    m_heldEvents.clear();
    m_events.reset();
    m_fullTargets.clear();
    m_moves = 0;
    m_isTargetLeaving = false;
    m_isSourceLost = false;
}

void RelayCall::onResumeFailed(const absl::Status &status)
{
    dropResume();
    dropUnusedCopy();
    if (m_isSourceLost) {
        onUnusable(m_sourceFailure.ok() ? status : m_sourceFailure);
        return;
    }
    for (const RawEvent &event : std::exchange(m_heldEvents, {}))
        passEvent(event);
    beginMove();
}

void RelayCall::onSourceLost(const absl::Status &status)
{
    m_isSourceLost = true;
    m_sourceFailure = status;
    m_hooks.abandon(std::exchange(m_exchange, 0));
    m_events.reset();
}

void RelayCall::dropResume()
{
    m_timers.cancel(std::exchange(m_resumeTimer, NoTimer));
    if (m_resume != 0)
        m_hooks.abandon(std::exchange(m_resume, 0));
}

void RelayCall::dropUnusedCopy()
{
    const std::optional<StreamCopy> copy = std::exchange(m_copy, std::nullopt);
    if (copy && !copy->isBackup)
        m_hooks.dropCopy(m_target, *copy);
}

void RelayCall::finish()
{
    if (!m_isPassing)
        passHeldAnswer();
    m_hooks.answerEnd();
    m_exchange = 0;
    dropResume();
    dropUnusedCopy();
    settle();
}

void RelayCall::breakOff(const absl::Status &reason)
{
    dropExchange();
    m_hooks.answerAbort(reason);
    settle();
}

void RelayCall::fail(const absl::Status &status, Duration retryAfter)
{
    const Outcome outcome = m_runsBegun == 0 ? Outcome::NotRun : Outcome::Unknown;
    dropExchange();
    m_hooks.fail({status, outcome, retryAfter});
    settle();
}

void RelayCall::onCallerGone()
{
    if (isSettled())
        return;
    dropExchange();
    settle();
}

void RelayCall::onShutdown()
{
    if (isSettled())
        return;
    const absl::Status reason = makeError(ErrorCode::Draining, "the node is stopping");
    if (m_isPassing)
        breakOff(reason);
    else
        fail(reason);
}

void RelayCall::dropExchange()
{
    m_timers.cancel(std::exchange(m_patienceTimer, NoTimer));
    dropResume();
    dropUnusedCopy();
    if (m_exchange != 0)
        m_hooks.abandon(std::exchange(m_exchange, 0));
}

void RelayCall::settle()
{
    m_state = RelayState::Settled;
    m_timers.cancel(std::exchange(m_deadlineTimer, NoTimer));
    m_timers.cancel(std::exchange(m_patienceTimer, NoTimer));
}

} // namespace currantwalk
