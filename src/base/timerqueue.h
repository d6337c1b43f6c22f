#ifndef CURRANTWALK_BASE_TIMERQUEUE_H
#define CURRANTWALK_BASE_TIMERQUEUE_H

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/timerservice.h"

namespace currantwalk {

/// A queue of timers ordered by due time, then by id. Used by the real and the virtual timer
/// service.
class TimerQueue
{
public:
    TimerId insert(TimePoint when, TimerService::Callback callback)
    {
        const TimerId id = ++m_lastId;
        m_entries.emplace(Key{when, id}, std::move(callback));
        m_times.emplace(id, when);
        return id;
    }

    void remove(TimerId id)
    {
        const auto it = m_times.find(id);
        if (it == m_times.end())
            return;
        m_entries.erase(Key{it->second, id});
        m_times.erase(it);
    }

    std::optional<TimePoint> earliest() const
    {
        if (m_entries.empty())
            return std::nullopt;
        return m_entries.begin()->first.first;
    }

    /// Removes the earliest timer and returns its callback. \pre earliest() has a value.
    TimerService::Callback take()
    {
        auto node = m_entries.extract(m_entries.begin());
        m_times.erase(node.key().second);
        return std::move(node.mapped());
    }

    /// Returns the id of the timer that was inserted last.
    TimerId lastId() const { return m_lastId; }

    /// Has the timers up to \a lastId that are due at \a now fall due at \a later, in the same
    /// order. Returns their number.
    std::size_t postpone(TimerId lastId, TimePoint now, TimePoint later)
    {
        std::vector<std::pair<TimerId, TimerService::Callback>> due;
        for (auto it = m_entries.begin(); it != m_entries.end() && it->first.first <= now;) {
            const auto current = it++;
            if (current->first.second > lastId)
                continue;
            auto node = m_entries.extract(current);
            due.emplace_back(node.key().second, std::move(node.mapped()));
        }
        for (auto &[id, callback] : due) {
            m_times[id] = later;
            m_entries.emplace(Key{later, id}, std::move(callback));
            // Keeps the order of timers whose ids are in another one.
            later += Duration(1);
        }
        return due.size();
    }

    void clear()
    {
        m_entries.clear();
        m_times.clear();
    }

    std::size_t size() const { return m_entries.size(); }

private:
    using Key = std::pair<TimePoint, TimerId>;

    std::map<Key, TimerService::Callback> m_entries;
    std::unordered_map<TimerId, TimePoint> m_times;
    TimerId m_lastId = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_BASE_TIMERQUEUE_H
