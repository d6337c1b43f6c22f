#include "net/looptimerservice.h"

#include <algorithm>
#include <ctime>

namespace currantwalk {

// The library's timeout lists have one duration each. The list used here has a duration of zero:
// its entry is linked when something is due, so that subscribers run within the loop's round, where
// the library completes the writes that they start.
LoopTimerService::LoopTimerService(h2o_loop_t *loop) : m_loop(loop)
{
    h2o_timeout_init(m_loop, &m_timeout, 0);
    m_entry.cb = &LoopTimerService::onTimeout;
    m_entry.service = this;
}

LoopTimerService::~LoopTimerService()
{
    h2o_timeout_unlink(&m_entry);
    h2o_timeout_dispose(m_loop, &m_timeout);
}

// The steady clock stands still while a VM is suspended, but leases and proofs of freshness go on
// ageing. The boot clock counts that time too.
TimePoint LoopTimerService::now() const
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    const auto sinceBoot =
            std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

TimerId LoopTimerService::scheduleAt(TimePoint when, Callback callback)
{
    return m_queue.insert(when, std::move(callback));
}

void LoopTimerService::cancel(TimerId id)
{
    m_queue.remove(id);
}

Duration LoopTimerService::waitBudget(Duration limit) const
{
    const std::optional<TimePoint> earliest = m_queue.earliest();
    if (!earliest)
        return limit;
    return std::clamp(*earliest - now(), Duration::zero(), limit);
}

void LoopTimerService::close()
{
    m_isClosed = true;
    m_queue.clear();
}

void LoopTimerService::requestRound()
{
    if (!h2o_timeout_is_linked(&m_entry))
        h2o_timeout_link(m_loop, &m_timeout, &m_entry);
}

void LoopTimerService::onTimeout(h2o_timeout_entry_t *entry)
{
    static_cast<Entry *>(entry)->service->runDue();
}

void LoopTimerService::onRoundBegin(Duration wait)
{
    m_roundBegin = now();
    m_roundWait = wait;
    m_lastIdBefore = m_queue.lastId();
}

// After a pause all timers are due at once. A time-out would then be taken for the silence of
// another process, though its answer has arrived and waits to be read. Timers that were inserted
// since the pause, as those that deliver answers, are not postponed.
void LoopTimerService::postponeAfterPause()
{
    const TimePoint time = now();
    if (time - m_roundBegin <= m_roundWait + MinPause || time < m_nextPostponement)
        return;
    m_nextPostponement = time + PostponementGap;
    m_queue.postpone(m_lastIdBefore, time, time + ReceiveTime);
}

// The time is read once, so that a callback which subscribes again without delay can't keep the
// sockets from being served.
void LoopTimerService::runDue()
{
    postponeAfterPause();
    const TimePoint start = now();
    while (!m_isClosed && m_queue.earliest() && *m_queue.earliest() <= start) {
        const Callback callback = m_queue.take();
        callback();
    }
}

} // namespace currantwalk
