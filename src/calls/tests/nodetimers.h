#ifndef CURRANTWALK_CALLS_TESTS_NODETIMERS_H
#define CURRANTWALK_CALLS_TESTS_NODETIMERS_H

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "base/timerservice.h"

namespace currantwalk {

/// The timers and incoming messages of one node on shared virtual time. They are deferred while the
/// node is paused and discarded when it is killed.
class NodeTimers : public TimerService
{
public:
    explicit NodeTimers(TimerService &shared) : m_shared(shared) {}

    TimePoint now() const override { return m_shared.now(); }

    TimerId scheduleAt(TimePoint when, Callback callback) override
    {
        const TimerId id = ++m_lastId;
        m_pending[id] = m_shared.scheduleAt(when, [this, id, callback = std::move(callback)] {
            const Callback action = [this, id, callback] {
                if (m_pending.erase(id) > 0)
                    callback();
            };
            if (m_isPaused)
                m_waiting.push_back({true, action});
            else
                action();
        });
        return id;
    }

    void cancel(TimerId id) override
    {
        const auto it = m_pending.find(id);
        if (it == m_pending.end())
            return;
        m_shared.cancel(it->second);
        m_pending.erase(it);
    }

    /// Runs \a action now, or after the node has resumed.
    void run(Callback action)
    {
        if (m_isPaused)
            m_waiting.push_back({false, std::move(action)});
        else
            action();
    }

    void pause() { m_isPaused = true; }

    /// Runs what has waited, in its order or, with \a areTimersFirst, the timers before the
    /// messages, as a process does whose timers are all due when it runs again.
    void resume(bool areTimersFirst = false)
    {
        m_isPaused = false;
        if (areTimersFirst)
            std::stable_partition(m_waiting.begin(), m_waiting.end(),
                                  [](const Waiting &each) { return each.isTimer; });
        while (!m_waiting.empty() && !m_isPaused) {
            const Callback action = std::move(m_waiting.front().action);
            m_waiting.pop_front();
            action();
        }
    }

    void dropAll()
    {
        for (const auto &[id, shared] : m_pending)
            m_shared.cancel(shared);
        m_pending.clear();
        m_waiting.clear();
        m_isPaused = false;
    }

    bool isPaused() const { return m_isPaused; }

private:
    struct Waiting
    {
        bool isTimer = false;
        Callback action;
    };

    TimerService &m_shared;
    TimerId m_lastId = NoTimer;
    std::map<TimerId, TimerId> m_pending; // Own ids to ids of the shared service.
    std::deque<Waiting> m_waiting;
    bool m_isPaused = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_NODETIMERS_H
