#include "calls/generationmachine.h"

#include <utility>

#include "calls/retrybudget.h"

namespace currantwalk {

// How long a failing target is retried. Before the first token is delivered, restarting at another
// target is cheap; afterwards it would discard the delivered part of the answer.
static constexpr Duration RecoveryTimeoutBeforeDelivery = std::chrono::seconds(5);
static constexpr Duration RecoveryTimeoutAfterDelivery = ResumeWindow;

// Consecutive connect failures after which the target is presumed dead, if the request can be
// restarted at another one.
static constexpr std::uint32_t MaxConnectFailures = 4;

// Lost sends of one attempt after which the request itself is suspected of crashing the engine.
static constexpr std::uint32_t MaxLostSends = 2;

// Whether the engine reports that it no longer has the generation.
static bool isGenerationGone(ErrorCode code)
{
    return code == ErrorCode::NotFound || code == ErrorCode::ResumeExpired
           || code == ErrorCode::GenerationLost;
}

// Whether another target may accept what this one refused.
static bool isRefusal(ErrorCode code)
{
    return retryClass(code) == RetryClass::Safe || code == ErrorCode::UnknownModel
           || code == ErrorCode::NotFound;
}

// Whether the request itself is invalid, so that every target would refuse it.
static bool isRequestInvalid(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidRequest:
    case ErrorCode::RequestTooLarge:
    case ErrorCode::PermissionDenied:
    case ErrorCode::Unauthenticated:
    case ErrorCode::MethodNotAllowed:
        return true;
    default:
        return false;
    }
}

void GenerationMachine::onExchangeFailed(std::uint64_t exchange, const absl::Status &status,
                                         bool wasSent)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    if (!m_generation)
        return onOpenFailed(status, wasSent && !std::exchange(m_isProbing, false));
    const ErrorCode code = errorCode(status);
    if (isGenerationGone(code)) {
        m_executionState = ExecutionState::Ended;
        return onAttemptLost(status, code != ErrorCode::ResumeExpired);
    }
    retryAtTarget(status);
}

// An engine attaches to an attempt that it already runs and refuses only unknown ones. A refusal
// therefore also proves that no earlier send of the same attempt runs.
void GenerationMachine::onOpenFailed(const absl::Status &status, bool wasSent)
{
    const ErrorCode code = errorCode(status);
    if (wasSent && isRefusal(code)) {
        m_executionState = ExecutionState::NotRun;
        return onRefused(status);
    }
    if (wasSent && isRequestInvalid(code)) {
        m_executionState = ExecutionState::NotRun;
        return fail(status);
    }
    if (wasSent) {
        m_executionState = ExecutionState::MayRun;
        ++m_lostSends;
    }
    if (m_lostSends >= MaxLostSends && isRestartable())
        return onAttemptLost(status, true);
    if (m_executionState == ExecutionState::MayRun)
        return retryAtTarget(status);
    onRefused(status);
}

void GenerationMachine::onRefused(const absl::Status &status)
{
    m_excluded.push_back(m_attempt.target);
    retryElsewhere(status);
}

Duration GenerationMachine::recoveryTimeout() const
{
    return m_delivered > 0 ? RecoveryTimeoutAfterDelivery : RecoveryTimeoutBeforeDelivery;
}

void GenerationMachine::retryAtTarget(const absl::Status &status)
{
    if (!m_failingSince)
        m_failingSince = m_timers.now();
    const bool isConnectFailure = errorCode(status) == ErrorCode::ConnectFailed;
    m_connectFailures = isConnectFailure ? m_connectFailures + 1 : 0;
    const bool isPresumedDead = isRestartable() && m_connectFailures >= MaxConnectFailures;
    if (isPresumedDead || m_timers.now() - *m_failingSince >= recoveryTimeout())
        return onAttemptLost(status, true);
    ++m_retriesSinceProgress;
    transitionTo(GenerationState::Recovering);
    setTimer(retryDelay(m_retriesSinceProgress, m_random), &GenerationMachine::reconnect);
}

// An unreachable target is indistinguishable from a dead one. If the request can be restarted
// elsewhere, that is better than waiting, even if the target is alive; if the caller would only get
// an error, the target is retried instead.
void GenerationMachine::onTargetGone(const TargetId &target, Incarnation incarnation)
{
    if (!mayRunAtTarget() || m_attempt.target != target || m_finish)
        return;
    if (m_generation && m_generation->incarnation > incarnation)
        return;
    if (!isRestartable() || m_state == GenerationState::Detached)
        return;
    abandonExchange();
    onAttemptLost(makeError(ErrorCode::GenerationLost, "the engine was reported dead"), true);
}

bool GenerationMachine::mayRunAtTarget() const
{
    switch (m_state) {
    case GenerationState::Sent:
    case GenerationState::Streaming:
    case GenerationState::Detached:
        return true;
    case GenerationState::Recovering:
        return m_executionState == ExecutionState::MayRun;
    default:
        return false;
    }
}

bool GenerationMachine::isRestartable() const
{
    const bool canDiscardTokens = m_delivered == 0 || m_request.lossPolicy == LossPolicy::Restart;
    return canDiscardTokens && !m_request.prompt.empty();
}

// Tokens of different generations must not be mixed, so delivered tokens of a lost one are void.
void GenerationMachine::onAttemptLost(const absl::Status &status, bool isTargetLost)
{
    const TargetId lost = m_attempt.target;
    if (isTargetLost)
        m_hooks.reportTargetLost(lost);
    cancelAttempt();
    m_excluded.push_back(lost);
    if (!isRestartable()) {
        if (m_request.delivery == Delivery::Streamed)
            flush();
        return fail(makeError(ErrorCode::GenerationLost, std::string(status.message())));
    }
    retryElsewhere(status);
}

// Moves the request to another target. A streaming caller is told that its tokens are void only
// after the retry budget has allowed the retry.
void GenerationMachine::retryElsewhere(const absl::Status &status)
{
    if (!m_hooks.takeRetry())
        return fail(status);
    if (m_delivered > 0)
        m_hooks.notifyRestart();
    m_mayEarlierAttemptHaveRun = m_mayEarlierAttemptHaveRun
                                 || (m_executionState == ExecutionState::MayRun && !m_generation);
    m_hasEarlierAttemptRun = m_hasEarlierAttemptRun || m_generation.has_value();
    m_generation.reset();
    m_executionState = ExecutionState::NotRun;
    m_nextPosition = 0;
    m_delivered = 0;
    m_buffer.clear();
    m_bufferedBytes = 0;
    m_isPaused = false;
    m_retriesSinceProgress = 0;
    m_connectFailures = 0;
    m_lostSends = 0;
    m_stalls = 0;
    m_failingSince.reset();
    if (m_state != GenerationState::Recovering)
        transitionTo(GenerationState::Recovering);
    // The first retry at another target has no delay; later ones back off, so that many refused
    // requests do not retry at the same time.
    const bool isFirst = m_attempt.number <= 1;
    setTimer(isFirst ? Duration(0) : retryDelay(m_attempt.number - 1, m_random),
             &GenerationMachine::place);
}

void GenerationMachine::cancelAttempt()
{
    if (m_executionState != ExecutionState::MayRun)
        return;
    m_hooks.cancelGeneration(m_attempt, m_generation);
}

} // namespace currantwalk
