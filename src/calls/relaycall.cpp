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

bool isSuccessStatus(int status)
{
    return status >= 200 && status < 300;
}

// Statuses that tell the caller that its request has not run and will not run.
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
    : m_request(std::move(request)),
      m_hooks(std::move(hooks)),
      m_timers(timers),
      m_lastEvent(m_request.lastEvent)
{
}

RelayCall::~RelayCall()
{
    m_timers.cancel(m_deadlineTimer);
    m_timers.cancel(m_attemptTimer);
    m_timers.cancel(m_resumeTimer);
    m_timers.cancel(m_releaseTimer);
}

void RelayCall::start()
{
    m_deadlineTimer = m_timers.scheduleAt(m_request.deadline, [this] {
        m_deadlineTimer = NoTimer;
        onDeadline();
    });
    place(makeError(ErrorCode::NoTarget, "no target of the service accepts work"));
}

// The caller gets \a reason if no target is left.
void RelayCall::place(const absl::Status &reason)
{
    const std::optional<TargetId> target = m_hooks.chooseTarget(m_excluded);
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
    m_bufferedBody.clear();
    m_events.reset();
    ++m_sends;
    ++m_possibleRuns;
    startAttemptTimer();
    m_backup = isStream(m_request.rule) ? m_hooks.chooseBackupTarget(m_target) : std::nullopt;
    m_hooks.send({m_exchange, m_target, std::nullopt, m_backup});
}

void RelayCall::startAttemptTimer()
{
    if (m_request.rule != RetrySemantics::Idempotent
        || m_request.attemptTimeout <= Duration::zero())
        return;
    m_timers.cancel(m_attemptTimer);
    m_attemptTimer = m_timers.scheduleAfter(m_request.attemptTimeout, [this] {
        m_attemptTimer = NoTimer;
        onAttemptTimeout();
    });
}

void RelayCall::onAttemptTimeout()
{
    if (m_state != RelayState::Settled && !m_isForwarding && mayRunAgain())
        sendToAnother();
}

void RelayCall::onDeadline()
{
    const absl::Status reason = makeError(ErrorCode::DeadlineExceeded, "the deadline has passed");
    if (m_isForwarding)
        abortAnswer(reason);
    else
        fail(reason);
}

bool RelayCall::mayRunAgain() const
{
    return isRepeatable(m_request.rule) && m_possibleRuns < m_request.maxTargets;
}

bool RelayCall::onConnected(std::uint64_t exchange)
{
    return isCurrent(exchange);
}

void RelayCall::onHead(std::uint64_t exchange, const RelayAnswerHead &head)
{
    if (!isCurrent(exchange))
        return;
    if (exchange == m_resumeExchange) {
        onResumeHead(head);
        return;
    }
    m_head = head;
    m_endsWithConnection = head.endsWithConnection;
    if (head.isMismatched) {
        onUnusableAnswer(
                makeError(ErrorCode::TargetProtocolError, "the answer does not match the request"));
        return;
    }
    if (head.isTargetReplaced) {
        m_hooks.reportTargetReplaced(m_target);
        onProvenNotRun(makeError(ErrorCode::NoTarget, "another target has taken over the address"),
                       {});
        return;
    }
    if (head.isNotRun) {
        onProvenNotRun(makeError(ErrorCode::TargetBusy, "the target refused the request"),
                       head.retryAfter);
        return;
    }
    // A caller would understand such a status as a guarantee that the request has not run, so it is
    // not forwarded without the target's guarantee. A success without a signature may not come from
    // the target.
    if (isNotRunStatus(head.status) || (isSuccessStatus(head.status) && !head.isSigned)) {
        onUnusableAnswer(makeError(ErrorCode::TargetProtocolError,
                                   "the target answered with an invalid head"));
        return;
    }
    if (head.status >= 500 && mayRunAgain() && sendToAnother())
        return;
    m_state = RelayState::Answering;
}

// Abandons the current target only if another can be tried; otherwise its answer is forwarded.
bool RelayCall::sendToAnother()
{
    std::vector<TargetId> excluded = m_excluded;
    excluded.push_back(m_target);
    const std::optional<TargetId> next = m_hooks.chooseTarget(excluded);
    if (!next || !m_hooks.takeRetry())
        return false;
    m_hooks.report(m_target, SendResult::Failed);
    m_excluded = std::move(excluded);
    closeExchange();
    sendTo(*next);
    return true;
}

void RelayCall::onBody(std::uint64_t exchange, std::string_view bytes)
{
    if (exchange != m_exchange || m_state != RelayState::Answering)
        return;
    if (isStream(m_request.rule) && isSuccessStatus(m_head.status)) {
        handleEvents(bytes);
        return;
    }
    if (m_isForwarding) {
        m_hooks.forwardBody(bytes);
        return;
    }
    m_bufferedBody.append(bytes);
    if (m_bufferedBody.size() > MaxBufferedBytes || !noteHeldBytes())
        forwardBufferedAnswer();
}

bool RelayCall::noteHeldBytes()
{
    return m_hooks.holdBytes(m_bufferedBody.size() + m_events.bufferedBytes());
}

// Forwards only complete events, so that an answer truncated within an event is detected.
void RelayCall::handleEvents(std::string_view bytes)
{
    const std::optional<std::vector<RawEvent>> events = m_events.feed(bytes);
    if (!events) {
        onUnusableAnswer(
                makeError(ErrorCode::TargetProtocolError, "an event of the stream is too large"));
        return;
    }
    for (const RawEvent &event : *events) {
        forwardEvent(event);
        if (isSettled())
            return;
    }
    if (!noteHeldBytes()) {
        onUnusableAnswer(makeError(ErrorCode::TargetProtocolError,
                                   "an event of the stream is too large for the memory left"));
        return;
    }
    if (m_releaseTimer != NoTimer && isRunOfMoveEnding())
        watchMovedRun();
    if (m_isTargetLeaving)
        beginMove();
}

// A resumed stream must continue after the last event that was forwarded; repeated events are
// dropped.
void RelayCall::forwardEvent(const RawEvent &event)
{
    if (event.number && m_lastEvent && *event.number <= *m_lastEvent)
        return;
    if (event.number && isAfterGap(*event.number)) {
        // The backup of this run lacks the same events.
        m_backup.reset();
        onUnusableAnswer(makeError(ErrorCode::TargetProtocolError,
                                   "events are missing from the resumed stream"));
        return;
    }
    if (!m_isForwarding) {
        m_isForwarding = true;
        m_hooks.forwardHead(m_exchange);
    }
    if (event.number)
        trackEventNumber(*event.number);
    m_hooks.forwardBody(event.bytes);
}

// Event numbers only have to increase. A gap is detectable only if they have increased by equal
// steps so far.
void RelayCall::trackEventNumber(std::uint64_t number)
{
    if (m_lastEvent) {
        const std::uint64_t step = number - *m_lastEvent;
        m_hasIrregularSteps = m_hasIrregularSteps || (m_eventStep != 0 && step != m_eventStep);
        m_eventStep = step;
    }
    m_lastEvent = number;
}

// Returns whether events are missing between the last forwarded one and the first after a resume.
bool RelayCall::isAfterGap(std::uint64_t number)
{
    const bool isFirst = std::exchange(m_isFirstEventAfterResume, false);
    return isFirst && !m_hasIrregularSteps && m_eventStep != 0
           && number > *m_lastEvent + m_eventStep;
}

void RelayCall::forwardBufferedAnswer()
{
    m_isForwarding = true;
    m_timers.cancel(std::exchange(m_attemptTimer, NoTimer));
    m_hooks.forwardHead(m_exchange);
    if (!m_bufferedBody.empty())
        m_hooks.forwardBody(m_bufferedBody);
    m_bufferedBody = {};
    noteHeldBytes();
}

void RelayCall::onEnd(std::uint64_t exchange, const absl::Status &status, bool wasSent)
{
    if (!isCurrent(exchange))
        return;
    if (exchange == m_resumeExchange) {
        if (wasSent && !status.ok() && errorCode(status) == ErrorCode::ConnectionLost)
            m_hooks.reportLost(exchange);
        if (!wasSent && resumeLater(status))
            return;
        if (!wasSent)
            onResumeNotRun();
        else if (endResumedRunFirst(status))
            return;
        onResumeFailed(status);
        return;
    }
    if (!wasSent) {
        if (errorCode(status) != ErrorCode::Cancelled
            && errorCode(status) != ErrorCode::RateLimited)
            m_hooks.report(m_target, SendResult::Unreachable);
        onProvenNotRun(status, {});
        return;
    }
    const bool isComplete =
            status.ok() && m_state == RelayState::Answering && !m_events.isWithinEvent();
    if (isComplete) {
        m_hooks.report(m_target, m_head.status < 500 ? SendResult::Answered : SendResult::Failed);
        finish();
        return;
    }
    const absl::Status failure =
            status.ok() ? makeError(ErrorCode::ConnectionLost, "the answer is incomplete") : status;
    // A run that is ended closes its stream without its end.
    if (isRunOfMoveEnding()) {
        onSourceLost(failure);
        goOnElsewhere();
        return;
    }
    if (errorCode(failure) == ErrorCode::ConnectionLost)
        m_hooks.reportLost(exchange);
    const bool hasCopy = m_backup || m_pendingMove != 0;
    if (!hasCopy || !endRunFirst(failure))
        onUnusableAnswer(failure);
}

void RelayCall::onProvenNotRun(const absl::Status &status, Duration retryAfter)
{
    const bool hasReachedTarget = m_head.isNotRun || m_head.isTargetReplaced;
    m_excluded.push_back(m_target);
    --m_possibleRuns;
    closeExchange();
    // A target whose limit is used up was not tried.
    const bool wasTried = errorCode(status) != ErrorCode::RateLimited;
    if (wasTried)
        ++m_unexecutedSends;
    else
        --m_sends;
    if (m_unexecutedSends >= MaxUnexecutedSends || (hasReachedTarget && !m_hooks.takeRetry())) {
        fail(status, retryAfter);
        return;
    }
    place(status);
}

// Called when the target may have run the request and its answer is unusable.
void RelayCall::onUnusableAnswer(const absl::Status &status)
{
    m_hooks.report(m_target, SendResult::Failed);
    m_excluded.push_back(m_target);
    if (m_isForwarding) {
        if (!endRunFirst(status) && !resumeFromBackup(status) && !resumeWithoutCopy(status))
            abortAnswer(status);
        return;
    }
    if (mayRunAgain() && m_hooks.takeRetry()) {
        closeExchange();
        place(status);
        return;
    }
    fail(status);
}

bool RelayCall::isCurrent(std::uint64_t exchange) const
{
    return m_state != RelayState::Settled && exchange != 0
           && (exchange == m_exchange || exchange == m_resumeExchange);
}

void RelayCall::finish()
{
    if (!m_isForwarding)
        forwardBufferedAnswer();
    m_hooks.forwardEnd();
    m_exchange = 0;
    cancelResume();
    freeUnusedCopy();
    settle();
}

void RelayCall::abortAnswer(const absl::Status &reason)
{
    closeExchange();
    m_hooks.forwardAbort(reason);
    settle();
}

void RelayCall::fail(const absl::Status &status, Duration retryAfter)
{
    const Outcome outcome = m_possibleRuns == 0 ? Outcome::NotRun : Outcome::Unknown;
    closeExchange();
    m_hooks.fail({status, outcome, retryAfter});
    settle();
}

void RelayCall::onCallerGone()
{
    if (isSettled())
        return;
    closeExchange();
    settle();
}

void RelayCall::onShutdown()
{
    if (isSettled())
        return;
    const absl::Status reason = makeError(ErrorCode::Draining, "the node is stopping");
    if (m_isForwarding)
        abortAnswer(reason);
    else
        fail(reason);
}

void RelayCall::closeExchange()
{
    m_timers.cancel(std::exchange(m_attemptTimer, NoTimer));
    cancelResume();
    freeUnusedCopy();
    if (m_exchange != 0)
        m_hooks.abandon(std::exchange(m_exchange, 0));
}

void RelayCall::settle()
{
    m_state = RelayState::Settled;
    m_hooks.holdBytes(0);
    m_timers.cancel(std::exchange(m_deadlineTimer, NoTimer));
    m_timers.cancel(std::exchange(m_attemptTimer, NoTimer));
    m_timers.cancel(std::exchange(m_releaseTimer, NoTimer));
}

} // namespace currantwalk
