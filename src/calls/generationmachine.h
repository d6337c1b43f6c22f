#ifndef CURRANTWALK_CALLS_GENERATIONMACHINE_H
#define CURRANTWALK_CALLS_GENERATIONMACHINE_H

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "calls/generationcall.h"

namespace currantwalk {

/// The state machine behind GenerationCall.
class GenerationMachine : public GenerationCall
{
public:
    GenerationMachine(GenerationRequest request, GenerationHooks hooks, TimerService &timers,
                      RandomSource &random);
    ~GenerationMachine() override;

    GenerationMachine(const GenerationMachine &) = delete;
    GenerationMachine &operator=(const GenerationMachine &) = delete;

    void start() override;
    void startAt(const ResumePoint &point) override;
    void onPlaced(std::uint64_t exchange, const TargetId &target) override;
    void onPlacementFailed(std::uint64_t exchange, const absl::Status &status,
                           Duration retryAfter) override;
    void onOpened(std::uint64_t exchange, const GenerationId &generation) override;
    void onToken(std::uint64_t exchange, std::uint32_t position, std::string text) override;
    void onAlive(std::uint64_t exchange) override;
    void onFinished(std::uint64_t exchange, std::uint32_t tokens, FinishReason reason) override;
    void onExchangeFailed(std::uint64_t exchange, const absl::Status &status,
                          bool wasSent) override;
    void onTargetGone(const TargetId &target, Incarnation incarnation) override;
    void onCallerGone() override;
    void onTakenOver() override;
    void onReadElsewhere(bool isRead) override;
    void onCallerBlocked(bool isBlocked) override;

    bool isSettled() const override { return m_state == GenerationState::Settled; }
    GenerationState state() const override { return m_state; }
    const std::optional<GenerationId> &generation() const override { return m_generation; }
    const GenerationRequest &request() const override { return m_request; }
    std::uint64_t droppedAnswers() const override { return m_droppedAnswers; }

private:
    /// What is known of whether the current attempt runs at its target.
    enum class AttemptFate {
        NotRun, ///< Proven: nothing was sent, or the target refused it.
        MayRun,
        Ended, ///< It ran and is known to run no more.
    };

    void enter(GenerationState next);
    bool isCurrent(std::uint64_t exchange);
    std::uint64_t beginExchange();
    void dropExchange();
    void setTimer(Duration delay, void (GenerationMachine::*step)());

    void place();
    void open();
    void send();
    void resume();
    void reconnect();
    void watchForStall();
    void onStall();

    void onOpenFailed(const absl::Status &status, bool wasSent);
    void onRefused(const absl::Status &status);
    void recover(const absl::Status &status);
    void lose(const absl::Status &status, bool isTargetLost);
    void startOver(const absl::Status &status);
    void cancelAttempt();
    bool isAtTarget() const;
    bool isRestartable() const;

    void pauseForCaller();
    bool isHeldBack() const;
    bool isBufferFull() const;
    void flush();
    void finishIfDelivered();
    void onDeadline();
    void onResumeWindowClosed();
    Duration patience() const;
    Outcome failureOutcome() const;
    void fail(const absl::Status &status, Duration retryAfter = Duration(0));
    void settle();

    const GenerationRequest m_request;
    const GenerationHooks m_hooks;
    TimerService &m_timers;
    RandomSource &m_random;

    GenerationState m_state = GenerationState::New;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_exchange = 0; // Current one; 0 while there is none.
    std::uint64_t m_droppedAnswers = 0;

    GenerationAttempt m_attempt;
    AttemptFate m_fate = AttemptFate::NotRun;
    bool m_hasRun = false;          // An earlier attempt ran and ended.
    bool m_isUnknownBefore = false; // An earlier attempt may have run.
    std::optional<GenerationId> m_generation;
    std::vector<TargetId> m_excluded;

    std::uint32_t m_nextPosition = 0; // That the engine sends next.
    std::uint32_t m_delivered = 0;    // Tokens of this generation that the caller has.
    std::deque<std::string> m_buffer; // Tokens m_delivered to m_nextPosition.
    std::size_t m_bufferedBytes = 0;
    std::optional<FinishReason> m_finish;
    bool m_isCallerBlocked = false;
    bool m_isPaused = false; // Not reading, for the caller takes nothing.

    std::uint32_t m_tries = 0;           // Since the last progress.
    std::uint32_t m_connectFailures = 0; // In a row.
    std::uint32_t m_sendsLost = 0;       // Of this attempt, before the engine named the generation.
    bool m_isProving = false;            // The exchange asks for a sign of life and sends nothing.
    std::uint32_t m_stalls = 0;
    std::optional<TimePoint> m_troubleSince;
    TimerId m_timer = NoTimer; // Of the state: backoff, stall or resume window.
    TimerId m_deadlineTimer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_GENERATIONMACHINE_H
