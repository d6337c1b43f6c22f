#include "base/virtualtimerservice.h"

#include <algorithm>

namespace currantwalk {

TimerId VirtualTimerService::scheduleAt(TimePoint when, Callback callback)
{
    return m_queue.insert(when, std::move(callback));
}

void VirtualTimerService::cancel(TimerId id)
{
    m_queue.remove(id);
}

void VirtualTimerService::advance(Duration span)
{
    const TimePoint end = m_now + span;
    while (m_queue.earliest() && *m_queue.earliest() <= end)
        runNext();
    m_now = end;
}

bool VirtualTimerService::runNext()
{
    const std::optional<TimePoint> when = m_queue.earliest();
    if (!when)
        return false;
    m_now = std::max(m_now, *when);
    const Callback callback = m_queue.take();
    callback();
    return true;
}

} // namespace currantwalk
