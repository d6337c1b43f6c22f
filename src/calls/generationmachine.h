#ifndef CURRANTWALK_CALLS_GENERATIONMACHINE_H
#define CURRANTWALK_CALLS_GENERATIONMACHINE_H

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "calls/generationcall.h"

namespace currantwalk {

/// The state machine that implements GenerationCall.
class GenerationMachine : public GenerationCall
{
public:
    GenerationMachine(GenerationRequest request, GenerationHooks hooks, TimerService &timers,
                      RandomSource &random);
    ~GenerationMachine() override;

    GenerationMachine(const GenerationMachine &) = delete;
    GenerationMachine &operator=(const GenerationMachine &) = delete;

    void start() override;
    void startAt(const ResumePosition &point) override;
    void onPlaced(std::uint64_t exchange, const TargetId &target) override;
    void onPlacementFailed(std::uint64_t exchange, const absl::Status &status,
                           Duration retryAfter) override;
    void onOpened(std::uint64_t exchange, const GenerationId &generation) override;
    void onToken(std::uint64_t exchange, std::uint32_t position, std::string text) override;
    void onProbeSucceeded(std::uint64_t exchange) override;
    void onFinished(std::uint64_t exchange, std::uint32_t tokens, FinishReason reason) override;
    void onExchangeFailed(std::uint64_t exchange, const absl::Status &status,
                          bool wasSent) override;
    void onTargetGone(const TargetId &target, Incarnation incarnation) override;
    void onCallerGone() override;
    void onTakenOver() override;
    void onReaderQueryResult(bool isRead) override;
    void onCallerBlocked(bool isBlocked) override;

    bool isSettled() const override { return m_state == GenerationState::Settled; }
    GenerationState state() const override { return m_state; }
    const std::optional<GenerationId> &generation() const override { return m_generation; }
    const GenerationRequest &request() const override { return m_request; }
    std::uint64_t droppedAnswers() const override { return m_droppedAnswers; }

private:
    /// What is known about the execution of the current attempt at its target.
    enum class ExecutionState {
        NotRun, ///< Proven: nothing was sent, or the target refused the attempt.
        MayRun,
        Ended, ///< It ran and is known to have ended.
    };

    void transitionTo(GenerationState next);
    bool isCurrent(std::uint64_t exchange);
    std::uint64_t beginExchange();
    void abandonExchange();
    void setTimer(Duration delay, void (GenerationMachine::*step)());

    void place();
    void open();
    void send();
    void resume();
    void reconnect();
    void startStallTimer();
    void onStall();

    void onOpenFailed(const absl::Status &status, bool wasSent);
    void onRefused(const absl::Status &status);
    void retryAtTarget(const absl::Status &status);
    void onAttemptLost(const absl::Status &status, bool isTargetLost);
    void retryElsewhere(const absl::Status &status);
    void cancelAttempt();
    bool mayRunAtTarget() const;
    bool isRestartable() const;

    void pauseReading();
    bool isDeliveryDeferred() const;
    bool isBufferFull() const;
    void flush();
    void finishIfDelivered();
    void onDeadline();
    void onResumeWindowClosed();
    Duration recoveryTimeout() const;
    Outcome failureOutcome() const;
    void fail(const absl::Status &status, Duration retryAfter = Duration(0));
    void settle();

    const GenerationRequest m_request;
    const GenerationHooks m_hooks;
    TimerService &m_timers;
    RandomSource &m_random;

    GenerationState m_state = GenerationState::New;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_exchange = 0; // The current exchange; 0 if there is none.
    std::uint64_t m_droppedAnswers = 0;

    GenerationAttempt m_attempt;
    ExecutionState m_executionState = ExecutionState::NotRun;
    bool m_hasEarlierAttemptRun = false;     // An earlier attempt ran and ended.
    bool m_mayEarlierAttemptHaveRun = false; // An earlier attempt may have run.
    std::optional<GenerationId> m_generation;
    std::vector<TargetId> m_excluded;

    std::uint32_t m_nextPosition = 0; // Position of the next token expected from the engine.
    std::uint32_t m_delivered = 0;    // Tokens of this generation delivered to the caller.
    std::deque<std::string> m_buffer; // Tokens [m_delivered, m_nextPosition).
    std::size_t m_bufferedBytes = 0;
    std::optional<FinishReason> m_finish;
    bool m_isCallerBlocked = false;
    bool m_isPaused = false; // Reading has stopped because the buffer for the caller is full.

    std::uint32_t m_retriesSinceProgress = 0; // Since the last token.
    std::uint32_t m_connectFailures = 0;      // Consecutive.
    std::uint32_t m_lostSends = 0; // Of this attempt, before the engine reported a generation id.
    bool m_isProbing = false; // The exchange is a liveness probe and does not send the request.
    std::uint32_t m_stalls = 0;
    std::optional<TimePoint> m_failingSince;
    TimerId m_timer = NoTimer; // Backoff, stall or resume-window timer of the current state.
    TimerId m_deadlineTimer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_GENERATIONMACHINE_H
