#include "calls/generationmachine.h"

#include <utility>

#include "calls/retrybudget.h"

namespace currantwalk {

// How long a target that fails is tried. Starting over elsewhere costs little while the caller has
// nothing, and the answer otherwise.
static constexpr Duration PatienceUndelivered = std::chrono::seconds(5);
static constexpr Duration PatienceDelivered = ResumeWindow;

// Refusals to connect, in a row, after which a target is taken to be dead if another can take over.
static constexpr std::uint32_t MaxConnectFailures = 4;

// Sends of one attempt, each lost, after which the request may be what ends the engine.
static constexpr std::uint32_t MaxSendsLost = 2;

// The engine answered and says that it has no such generation, nor will it have.
static bool isGenerationForgotten(ErrorCode code)
{
    return code == ErrorCode::NotFound || code == ErrorCode::ResumeExpired
           || code == ErrorCode::GenerationLost;
}

// Another target may take what this one can't.
static bool isRefusal(ErrorCode code)
{
    return retryClass(code) == RetryClass::Sound || code == ErrorCode::UnknownModel
           || code == ErrorCode::NotFound;
}

// The request itself is at fault; every target would say the same.
static bool isRequestAtFault(ErrorCode code)
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
        return onOpenFailed(status, wasSent && !std::exchange(m_isProving, false));
    const ErrorCode code = errorCode(status);
    if (isGenerationForgotten(code)) {
        m_fate = AttemptFate::Ended;
        return lose(status, code != ErrorCode::ResumeExpired);
    }
    recover(status);
}

// An engine refuses only an attempt that it does not run, for a known one it attaches to; so a
// refusal clears an earlier send of the same attempt as well.
void GenerationMachine::onOpenFailed(const absl::Status &status, bool wasSent)
{
    const ErrorCode code = errorCode(status);
    if (wasSent && isRefusal(code)) {
        m_fate = AttemptFate::NotRun;
        return onRefused(status);
    }
    if (wasSent && isRequestAtFault(code)) {
        m_fate = AttemptFate::NotRun;
        return fail(status);
    }
    if (wasSent) {
        m_fate = AttemptFate::MayRun;
        ++m_sendsLost;
    }
    if (m_sendsLost >= MaxSendsLost && isRestartable())
        return lose(status, true);
    if (m_fate == AttemptFate::MayRun)
        return recover(status);
    onRefused(status);
}

void GenerationMachine::onRefused(const absl::Status &status)
{
    m_excluded.push_back(m_attempt.target);
    startOver(status);
}

Duration GenerationMachine::patience() const
{
    return m_delivered > 0 ? PatienceDelivered : PatienceUndelivered;
}

void GenerationMachine::recover(const absl::Status &status)
{
    if (!m_troubleSince)
        m_troubleSince = m_timers.now();
    const bool isRefusing = errorCode(status) == ErrorCode::ConnectFailed;
    m_connectFailures = isRefusing ? m_connectFailures + 1 : 0;
    const bool isTakenForDead = isRestartable() && m_connectFailures >= MaxConnectFailures;
    if (isTakenForDead || m_timers.now() - *m_troubleSince >= patience())
        return lose(status, true);
    ++m_tries;
    enter(GenerationState::Recovering);
    setTimer(retryDelay(m_tries, m_random), &GenerationMachine::reconnect);
}

// A target that can't be reached looks dead from here. Where a successor can take over, waiting is
// worse than a mistake; where the caller would only get an error, the target is tried on.
void GenerationMachine::onTargetGone(const TargetId &target, Incarnation incarnation)
{
    if (!isAtTarget() || m_attempt.target != target || m_finish)
        return;
    if (m_generation && m_generation->incarnation > incarnation)
        return;
    if (!isRestartable() || m_state == GenerationState::Detached)
        return;
    dropExchange();
    lose(makeError(ErrorCode::GenerationLost, "the engine died"), true);
}

bool GenerationMachine::isAtTarget() const
{
    switch (m_state) {
    case GenerationState::Sent:
    case GenerationState::Streaming:
    case GenerationState::Detached:
        return true;
    case GenerationState::Recovering:
        return m_fate == AttemptFate::MayRun;
    default:
        return false;
    }
}

bool GenerationMachine::isRestartable() const
{
    const bool isUnseen = m_delivered == 0 || m_request.lossPolicy == LossPolicy::Restart;
    return isUnseen && !m_request.prompt.empty();
}

// What the caller has of a lost generation can't be joined to another one's tokens.
void GenerationMachine::lose(const absl::Status &status, bool isTargetLost)
{
    const TargetId lost = m_attempt.target;
    if (isTargetLost)
        m_hooks.targetLost(lost);
    cancelAttempt();
    m_excluded.push_back(lost);
    if (!isRestartable()) {
        if (m_request.delivery == Delivery::Streamed)
            flush();
        return fail(makeError(ErrorCode::GenerationLost, std::string(status.message())));
    }
    startOver(status);
}

// Takes the request to another target. The caller of a stream is told only once a retry is sure.
void GenerationMachine::startOver(const absl::Status &status)
{
    if (!m_hooks.takeRetry())
        return fail(status);
    if (m_delivered > 0)
        m_hooks.restart();
    m_isUnknownBefore = m_isUnknownBefore || (m_fate == AttemptFate::MayRun && !m_generation);
    m_hasRun = m_hasRun || m_generation.has_value();
    m_generation.reset();
    m_fate = AttemptFate::NotRun;
    m_nextPosition = 0;
    m_delivered = 0;
    m_buffer.clear();
    m_bufferedBytes = 0;
    m_isPaused = false;
    m_tries = 0;
    m_connectFailures = 0;
    m_sendsLost = 0;
    m_stalls = 0;
    m_troubleSince.reset();
    if (m_state != GenerationState::Recovering)
        enter(GenerationState::Recovering);
    // The first move to another target is made at once; a crowd of refusals is spread out.
    const bool isFirst = m_attempt.number <= 1;
    setTimer(isFirst ? Duration(0) : retryDelay(m_attempt.number - 1, m_random),
             &GenerationMachine::place);
}

void GenerationMachine::cancelAttempt()
{
    if (m_fate != AttemptFate::MayRun)
        return;
    m_hooks.cancel(m_attempt, m_generation);
}

} // namespace currantwalk
