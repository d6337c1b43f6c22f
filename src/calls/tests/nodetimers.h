#ifndef CURRANTWALK_CALLS_TESTS_NODETIMERS_H
#define CURRANTWALK_CALLS_TESTS_NODETIMERS_H

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
            run([this, id, callback] {
                if (m_pending.erase(id) > 0)
                    callback();
            });
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
            m_waiting.push_back(std::move(action));
        else
            action();
    }

    void pause() { m_isPaused = true; }

    void resume()
    {
        m_isPaused = false;
        while (!m_waiting.empty() && !m_isPaused) {
            const Callback action = std::move(m_waiting.front());
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
    TimerService &m_shared;
    TimerId m_lastId = NoTimer;
    std::map<TimerId, TimerId> m_pending; // Own ids to ids of the shared service.
    std::deque<Callback> m_waiting;
    bool m_isPaused = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_NODETIMERS_H
