#ifndef CURRANTWALK_NET_LOOPTIMERSERVICE_H
#define CURRANTWALK_NET_LOOPTIMERSERVICE_H

#include "base/timerqueue.h"
#include "net/h2oapi.h"

namespace currantwalk {

/// The timer service of a process: one ordered queue, run from a timeout list of the loop.
class LoopTimerService final : public TimerService
{
public:
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

private:
    struct Entry : h2o_timeout_entry_t
    {
        LoopTimerService *service;
    };

    static void onTimeout(h2o_timeout_entry_t *entry);
    void runDue();

    h2o_loop_t *m_loop;
    h2o_timeout_t m_timeout{};
    Entry m_entry{};
    TimerQueue m_queue;
    bool m_isClosed = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_LOOPTIMERSERVICE_H
