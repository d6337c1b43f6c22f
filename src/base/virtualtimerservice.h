#ifndef CURRANTWALK_BASE_VIRTUALTIMERSERVICE_H
#define CURRANTWALK_BASE_VIRTUALTIMERSERVICE_H

#include "base/timerqueue.h"

namespace currantwalk {

/// A timer service with a simulated clock that only advance() and runNext() move. For tests and
/// benchmarks.
class VirtualTimerService : public TimerService
{
public:
    TimePoint now() const override { return m_now; }
    TimerId scheduleAt(TimePoint when, Callback callback) override;
    void cancel(TimerId id) override;

    /// Advances the clock by \a span and runs each timer that falls due, with now() at its due
    /// time.
    void advance(Duration span);
    /// Advances the clock to the earliest timer and runs it. Returns false if there is none.
    bool runNext();
    std::size_t pending() const { return m_queue.size(); }

private:
    TimerQueue m_queue;
    TimePoint m_now{};
};

} // namespace currantwalk

#endif // CURRANTWALK_BASE_VIRTUALTIMERSERVICE_H
