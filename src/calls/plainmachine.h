#ifndef CURRANTWALK_CALLS_PLAINMACHINE_H
#define CURRANTWALK_CALLS_PLAINMACHINE_H

#include <optional>
#include <string>
#include <vector>

#include "calls/plaincall.h"

namespace currantwalk {

/// The state machine that implements PlainCall.
class PlainMachine : public PlainCall
{
public:
    PlainMachine(PlainRequest request, PlainHooks hooks, TimerService &timers,
                 RandomSource &random);
    ~PlainMachine() override;

    PlainMachine(const PlainMachine &) = delete;
    PlainMachine &operator=(const PlainMachine &) = delete;

    void start() override;
    void onPlaced(std::uint64_t exchange, const TargetId &target) override;
    void onPlacementFailed(std::uint64_t exchange, const absl::Status &status,
                           Duration retryAfter) override;
    void onClaim(const ClaimAnswer &answer) override;
    void onResponse(std::uint64_t exchange, PlainResponse response) override;
    void onExchangeFailed(std::uint64_t exchange, const absl::Status &status,
                          bool wasSent) override;
    void onKeyLookup(std::uint64_t exchange,
                     absl::StatusOr<std::optional<PlainResponse>> response) override;
    void onTargetGone(const TargetId &target) override;
    void onCallerGone() override;

    bool isSettled() const override { return m_state == PlainState::Settled; }
    PlainState state() const override { return m_state; }
    const PlainRequest &request() const override { return m_request; }
    std::uint64_t droppedAnswers() const override { return m_droppedAnswers; }

private:
    void transitionTo(PlainState next);
    bool isCurrent(std::uint64_t exchange);
    std::uint64_t beginExchange();
    void abandonExchange();
    void setTimer(Duration delay, void (PlainMachine::*step)());

    bool needsClaim() const;
    bool canLookUpKey() const;
    void place();
    void send();
    void lookUp();
    void onSendNotExecuted(const absl::Status &status);
    void onSendOutcomeUnknown(const absl::Status &status);
    void retryElsewhere(const absl::Status &status, Duration delay);
    bool retryResponse(const PlainResponse &response);
    void scheduleLookUp();
    void onDeadline();
    void onGracePeriodExpired();

    bool mayHaveRun() const;
    void finish(const PlainResponse &response);
    void fail(const absl::Status &status, Duration retryAfter = Duration(0));
    void settleWithError(const absl::Status &status, Outcome outcome, Duration retryAfter);
    void settle();

    const PlainRequest m_request;
    const PlainHooks m_hooks;
    TimerService &m_timers;
    RandomSource &m_random;

    PlainState m_state = PlainState::New;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_exchange = 0; // The current exchange; 0 if there is none.
    std::uint64_t m_droppedAnswers = 0;

    bool m_isClaimWon = false;
    bool m_isCallerGone = false;
    TargetId m_target;
    std::vector<TargetId> m_excluded;
    // Sends with neither an answer nor a proof of non-execution.
    std::uint32_t m_unresolvedSends = 0;
    std::optional<absl::Status> m_unknownOutcomeStatus; // Reported if the outcome stays unknown.
    std::uint32_t m_retries = 0;
    std::uint32_t m_lookUps = 0;
    TimerId m_timer = NoTimer;
    TimerId m_deadlineTimer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_PLAINMACHINE_H
