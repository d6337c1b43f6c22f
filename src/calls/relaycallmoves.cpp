#include "calls/relaycall.h"

namespace currantwalk {

void RelayCall::onTargetLeaving()
{
    if (isSettled() || !isStream(m_request.rule))
        return;
    m_isTargetLeaving = true;
    beginMove();
}

bool RelayCall::isMovable() const
{
    return m_state == RelayState::Answering && m_isForwarding && m_lastEvent && !m_isSourceLost
           && m_pendingMove == 0 && !m_copy && m_resumeExchange == 0 && m_moves < MaxMoves;
}

// The copy is made while the stream continues. A stream without an event has not started to run, so
// it is moved after its first event.
void RelayCall::beginMove()
{
    if (!isMovable())
        return;
    const std::optional<TargetId> destination =
            m_hooks.chooseMoveTarget(m_target, m_triedDestinations);
    if (!destination) {
        m_isTargetLeaving = false;
        return;
    }
    m_pendingMove = ++m_lastExchange;
    ++m_moves;
    ++m_openCopyCalls;
    m_triedDestinations.push_back(*destination);
    m_hooks.requestCopy(m_pendingMove, m_target, *destination);
}

void RelayCall::onCopyResult(std::uint64_t move, const absl::StatusOr<StreamCopy> &copy,
                             bool isCallOver)
{
    if (move != m_pendingMove || isSettled()) {
        if (copy.ok())
            m_hooks.freeCopy(*copy);
        return;
    }
    m_pendingMove = 0;
    // A target makes one copy of a run at a time, so one that is complete was the last.
    if (copy.ok())
        m_openCopyCalls = 0;
    else if (isCallOver)
        --m_openCopyCalls;
    if (!m_isSourceLost) {
        if (copy.ok())
            endRunOfMove(*copy);
        else
            beginMove();
        return;
    }
    if (copy.ok())
        m_copy = *copy;
    if (m_endingExchange == 0)
        goOnElsewhere();
    else if (!m_copy && !mayResumeElsewhere())
        abortAnswer(m_sourceFailure);
    else if (m_openCopyCalls == 0)
        limitWaitForEnd();
}

// Only a run that has ended can't run beside the one that takes its place: each call that ends it
// may be lost. Until then its events are forwarded, so that the caller notices no pause.
void RelayCall::endRunOfMove(const StreamCopy &copy)
{
    if (!m_hooks.mayResumeAt(copy.holder)) {
        m_hooks.freeCopy(copy);
        beginMove();
        return;
    }
    m_copy = copy;
    // The end of a run that is told to end would pass for the end of the whole stream.
    if (m_endsWithConnection) {
        endRunFirst(makeError(ErrorCode::ConnectionLost,
                              "the stream moves to the target that holds its copy"));
        return;
    }
    m_endingExchange = m_exchange;
    m_hooks.endMovedRun(m_exchange, copy);
}

bool RelayCall::isRunOfMoveEnding() const
{
    return m_exchange != 0 && m_copy.has_value();
}

// A stream must not go on elsewhere beside a run whose connection alone was lost. The copy in
// progress, if it is complete first, is the shorter way on; a target can't end a run while it
// copies it.
bool RelayCall::endRunFirst(const absl::Status &reason)
{
    if (m_exchange == 0 || !m_isForwarding
        || (m_pendingMove == 0 && !m_copy && !mayResumeElsewhere()))
        return false;
    m_isSourceLost = true;
    m_sourceFailure = reason;
    m_events.reset();
    m_excluded.push_back(m_target);
    m_endingExchange = std::exchange(m_exchange, 0);
    if (m_openCopyCalls == 0)
        limitWaitForEnd();
    m_hooks.endRun(m_endingExchange);
    return true;
}

// The target may have begun to resume the stream before its connection was lost.
bool RelayCall::endResumedRunFirst(const absl::Status &reason)
{
    if (!mayResumeElsewhere())
        return false;
    m_sourceFailure = reason;
    freeUnusedCopy();
    m_endingExchange = std::exchange(m_resumeExchange, 0);
    limitWaitForEnd();
    m_hooks.endRun(m_endingExchange);
    return true;
}

// A target that accepts connections and answers nothing can't be told from one that has crashed.
void RelayCall::limitWaitForEnd()
{
    if (m_releaseTimer != NoTimer)
        return;
    m_releaseTimer = m_timers.scheduleAfter(ReleaseTimeout, [this] {
        m_releaseTimer = NoTimer;
        onRunReleased(m_endingExchange, false);
    });
}

bool RelayCall::mayResumeElsewhere() const
{
    return m_lastEvent && (m_backup || m_request.rule == RetrySemantics::ResumableStream);
}

// A run that is moved and can't be ended goes on as long as its events come; its copy is of use
// when it is lost. Its target can't be reached if there are none.
void RelayCall::watchMovedRun()
{
    m_timers.cancel(m_releaseTimer);
    m_releaseTimer = m_timers.scheduleAfter(ReleaseTimeout, [this] {
        m_releaseTimer = NoTimer;
        onSourceLost(makeError(ErrorCode::ConnectionLost, "the target can't be reached"));
        goOnElsewhere();
    });
}

void RelayCall::onRunReleased(std::uint64_t exchange, bool hasEnded)
{
    if (isSettled() || exchange != m_endingExchange || exchange == 0)
        return;
    if (isRunOfMoveEnding()) {
        if (!hasEnded) {
            watchMovedRun();
            return;
        }
        onSourceLost(makeError(ErrorCode::ConnectionLost,
                               "the stream moves to the target that holds its copy"));
    }
    goOnElsewhere();
}

// The run before has ended or can't be ended.
void RelayCall::goOnElsewhere()
{
    m_endingExchange = 0;
    m_timers.cancel(std::exchange(m_releaseTimer, NoTimer));
    if (m_copy) {
        resumeFrom(*m_copy);
        return;
    }
    if (resumeFromBackup(m_sourceFailure) || resumeWithoutCopy(m_sourceFailure))
        return;
    if (m_pendingMove == 0)
        abortAnswer(m_sourceFailure);
}

void RelayCall::resumeFrom(const StreamCopy &copy)
{
    m_copy = copy;
    m_endingExchange = 0;
    m_resumeSends = 0;
    m_nextBackup = m_hooks.chooseBackupTarget(copy.holder);
    sendResume();
}

void RelayCall::sendResume()
{
    m_resumeExchange = ++m_lastExchange;
    ++m_sends;
    ++m_resumeSends;
    m_hooks.send(
            {m_resumeExchange, m_copy->holder, StreamResume{m_copy, *m_lastEvent}, m_nextBackup});
}

// A request that has not reached its target has not used the copy. Returns whether it is sent
// again.
bool RelayCall::resumeLater(const absl::Status &reason)
{
    if (!m_copy || m_resumeSends >= MaxResumeSends || errorCode(reason) == ErrorCode::Cancelled)
        return false;
    m_hooks.abandon(std::exchange(m_resumeExchange, 0));
    m_resumeTimer = m_timers.scheduleAfter(ResumeRetryGap, [this] {
        m_resumeTimer = NoTimer;
        sendResume();
    });
    return true;
}

// Called when the run before is over or can't be ended.
bool RelayCall::resumeFromBackup(const absl::Status &reason)
{
    const std::optional<TargetId> holder = std::exchange(m_backup, std::nullopt);
    if (!holder || !m_isForwarding || !m_lastEvent)
        return false;
    const std::optional<StreamCopy> copy = m_hooks.findBackup(*holder);
    if (!copy)
        return false;
    m_pendingMove = 0;
    onSourceLost(reason);
    resumeFrom(*copy);
    return true;
}

// Another run of the request generates the same events, so it can take the place of the lost one.
// The target processes the prompt again, which takes longer than going on from a copy.
bool RelayCall::resumeWithoutCopy(const absl::Status &reason)
{
    if (m_request.rule != RetrySemantics::ResumableStream || !m_lastEvent || !mayRunAgain()
        || m_unexecutedSends >= MaxUnexecutedSends)
        return false;
    const std::optional<TargetId> target = m_hooks.chooseTarget(m_excluded);
    if (!target || !m_hooks.takeRetry())
        return false;
    m_pendingMove = 0;
    onSourceLost(reason);
    m_target = *target;
    m_resumeExchange = ++m_lastExchange;
    ++m_sends;
    ++m_possibleRuns;
    m_nextBackup = m_hooks.chooseBackupTarget(m_target);
    m_hooks.send(
            {m_resumeExchange, m_target, StreamResume{std::nullopt, *m_lastEvent}, m_nextBackup});
    return true;
}

// A run that goes on from a copy is not counted as another one.
void RelayCall::onResumeNotRun()
{
    ++m_unexecutedSends;
    if (!m_copy)
        --m_possibleRuns;
}

void RelayCall::onResumeHead(const RelayAnswerHead &head)
{
    if (head.isMismatched || !isSuccessStatus(head.status) || !head.isSigned) {
        if (!head.isMismatched && (head.isNotRun || head.isTargetReplaced))
            onResumeNotRun();
        onResumeFailed(
                makeError(ErrorCode::TargetRefused, "the target refused to resume the stream"));
        return;
    }
    m_exchange = std::exchange(m_resumeExchange, 0);
    m_endsWithConnection = head.endsWithConnection;
    if (m_copy)
        m_target = m_copy->holder;
    m_backup = std::exchange(m_nextBackup, std::nullopt);
    m_isFirstEventAfterResume = true;
    m_copy.reset();
    m_events.reset();
    m_triedDestinations.clear();
    m_moves = 0;
    m_isTargetLeaving = false;
    m_isSourceLost = false;
    m_openCopyCalls = 0;
}

void RelayCall::onResumeFailed(const absl::Status &status)
{
    cancelResume();
    freeUnusedCopy();
    onUnusableAnswer(m_sourceFailure.ok() ? status : m_sourceFailure);
}

void RelayCall::onSourceLost(const absl::Status &status)
{
    m_isSourceLost = true;
    m_sourceFailure = status;
    if (m_exchange != 0)
        m_hooks.abandon(std::exchange(m_exchange, 0));
    m_events.reset();
}

void RelayCall::cancelResume()
{
    m_timers.cancel(std::exchange(m_resumeTimer, NoTimer));
    if (m_resumeExchange != 0)
        m_hooks.abandon(std::exchange(m_resumeExchange, 0));
}

void RelayCall::freeUnusedCopy()
{
    const std::optional<StreamCopy> copy = std::exchange(m_copy, std::nullopt);
    if (copy && !copy->isBackup)
        m_hooks.freeCopy(*copy);
}

} // namespace currantwalk
