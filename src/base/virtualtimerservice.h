#ifndef CURRANTWALK_BASE_VIRTUALTIMERSERVICE_H
#define CURRANTWALK_BASE_VIRTUALTIMERSERVICE_H

#include "base/timerqueue.h"

namespace currantwalk {

/// A timer service whose time moves only when told to; for tests and benchmarks.
class VirtualTimerService : public TimerService
{
public:
    TimePoint now() const override { return m_now; }
    TimerId subscribeAt(TimePoint when, Callback callback) override;
    void cancel(TimerId id) override;

    /// Runs all that falls due in the next \a span, each at its own time.
    void advance(Duration span);
    /// Runs the earliest subscription, moving time to it; false if there is none.
    bool runNext();
    std::size_t pending() const { return m_queue.size(); }

private:
    TimerQueue m_queue;
    TimePoint m_now{};
};

} // namespace currantwalk

#endif // CURRANTWALK_BASE_VIRTUALTIMERSERVICE_H
