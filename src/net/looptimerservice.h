#ifndef CURRANTWALK_NET_LOOPTIMERSERVICE_H
#define CURRANTWALK_NET_LOOPTIMERSERVICE_H

#include "base/timerqueue.h"
#include "net/h2oapi.h"

namespace currantwalk {

/// The timer service of a process: one ordered queue, run from a timeout list of the loop. After a
/// pause of the process, what it has received meanwhile is handled before the timers that came due.
class LoopTimerService final : public TimerService
{
public:
    /// A round that takes this much longer than its wait counts as a pause of the process.
    static constexpr Duration MinPause = std::chrono::milliseconds(250);
    /// Time after a pause for what was received during it.
    static constexpr Duration ReceiveTime = std::chrono::milliseconds(20);
    /// Shortest time between two postponements, so that timers run also where each round is long.
    static constexpr Duration PostponementGap = std::chrono::seconds(1);

    explicit LoopTimerService(h2o_loop_t *loop);
    ~LoopTimerService() override;
    LoopTimerService(const LoopTimerService &) = delete;
    LoopTimerService &operator=(const LoopTimerService &) = delete;

    TimePoint now() const override;
    TimerId scheduleAt(TimePoint when, Callback callback) override;
    void cancel(TimerId id) override;

    /// Returns how long the loop may wait before the next subscription falls due, at most
    /// \a limit.
    Duration waitBudget(Duration limit) const;
    /// Drops all subscriptions; later ones never run.
    void close();
    /// Has the loop's next round run what is due, without waiting.
    void requestRound();
    /// Called before a round that waits for \a wait at most.
    void onRoundBegin(Duration wait);
    /// Called after a round.
    void onRoundEnd() { postponeAfterPause(); }

private:
    struct Entry : h2o_timeout_entry_t
    {
        LoopTimerService *service;
    };

    static void onTimeout(h2o_timeout_entry_t *entry);
    void runDue();
    void postponeAfterPause();

    h2o_loop_t *m_loop;
    h2o_timeout_t m_timeout{};
    Entry m_entry{};
    TimerQueue m_queue;
    TimePoint m_roundBegin{};
    Duration m_roundWait{0};
    TimerId m_lastIdBefore = NoTimer; ///< Of the timers that were inserted before the round.
    TimePoint m_nextPostponement{};
    bool m_isClosed = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_LOOPTIMERSERVICE_H
