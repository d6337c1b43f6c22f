#ifndef CURRANTWALK_LEASE_TESTS_NODETIMERS_H
#define CURRANTWALK_LEASE_TESTS_NODETIMERS_H

#include <map>
#include <utility>
#include <vector>

#include "base/timerservice.h"

namespace currantwalk {

/// Timer service of one simulated node: its clock has its own rate, and the node can be paused,
/// which defers its timers until it resumes.
class NodeTimers : public TimerService
{
public:
    NodeTimers(TimerService &base, double rate) : m_base(base), m_rate(rate) {}

    TimePoint now() const override
    {
        return TimePoint(scaled(m_base.now().time_since_epoch(), m_rate));
    }

    TimerId scheduleAt(TimePoint when, Callback callback) override
    {
        const TimerId id = ++m_lastId;
        const Duration rounding(1);
        const TimePoint baseWhen(scaled(when.time_since_epoch(), 1 / m_rate) + rounding);
        const TimerId baseId = m_base.scheduleAt(baseWhen, [this, id] { onTimer(id); });
        m_entries.emplace(id, Entry{baseId, std::move(callback)});
        return id;
    }

    void cancel(TimerId id) override
    {
        const auto it = m_entries.find(id);
        if (it == m_entries.end())
            return;
        m_base.cancel(it->second.baseId);
        m_entries.erase(it);
    }

    bool isPaused() const { return m_isPaused; }
    void pause() { m_isPaused = true; }

    void resume()
    {
        m_isPaused = false;
        for (const TimerId id : std::exchange(m_late, {}))
            onTimer(id);
    }

    /// Runs \a action now, or when the node resumes.
    void deliver(Callback action) { scheduleAt(now(), std::move(action)); }

private:
    struct Entry
    {
        TimerId baseId = NoTimer;
        Callback callback;
    };

    static Duration scaled(Duration span, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
    }

    void onTimer(TimerId id)
    {
        if (m_isPaused) {
            m_late.push_back(id);
            return;
        }
        auto node = m_entries.extract(id);
        if (!node.empty())
            node.mapped().callback();
    }

    TimerService &m_base;
    double m_rate;
    std::map<TimerId, Entry> m_entries;
    std::vector<TimerId> m_late;
    TimerId m_lastId = NoTimer;
    bool m_isPaused = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_LEASE_TESTS_NODETIMERS_H
