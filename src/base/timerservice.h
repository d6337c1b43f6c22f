#ifndef CURRANTWALK_BASE_TIMERSERVICE_H
#define CURRANTWALK_BASE_TIMERSERVICE_H

#include <chrono>
#include <cstdint>
#include <functional>

namespace currantwalk {

using Duration = std::chrono::microseconds;
/// A time on the node's monotonic clock, which keeps running while the VM is suspended. Values of
/// different nodes cannot be compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Identifies a timer; 0 (NoTimer) identifies none.
using TimerId = std::uint64_t;
constexpr TimerId NoTimer = 0;

/// Runs callbacks at given times on the thread of the event loop, ordered by due time and then by
/// the order in which they were scheduled.
class TimerService
{
public:
    using Callback = std::function<void()>;

    virtual ~TimerService() = default;

    virtual TimePoint now() const = 0;
    /// Calls \a callback once, in the first iteration of the event loop at or after \a when.
    virtual TimerId scheduleAt(TimePoint when, Callback callback) = 0;
    /// Cancels a timer. Does nothing if the timer has run or \a id is NoTimer.
    virtual void cancel(TimerId id) = 0;

    /// Calls \a callback once, after \a delay.
    TimerId scheduleAfter(Duration delay, Callback callback)
    {
        return scheduleAt(now() + delay, std::move(callback));
    }
};

} // namespace currantwalk

#endif // CURRANTWALK_BASE_TIMERSERVICE_H
