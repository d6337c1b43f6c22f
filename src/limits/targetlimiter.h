#ifndef CURRANTWALK_LIMITS_TARGETLIMITER_H
#define CURRANTWALK_LIMITS_TARGETLIMITER_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/timerservice.h"
#include "limits/grantmessages.h"

namespace currantwalk {

/// Holds this node's requests to what targets with limits take from all nodes together. A request
/// is asked for before it is sent, and its grant is used up when it is written.
class TargetLimiter
{
public:
    /// From when a grant was asked for until it lapses.
    static constexpr Duration GrantLifetime = std::chrono::milliseconds(500);

    struct Hooks
    {
        /// Asks the node that grants the target's requests. Calls \a done once, then or later.
        std::function<void(const GrantRequest &request,
                           std::function<void(const GrantAnswer &)> done)>
                ask;
        /// Returns the requests a second that one start of a target takes, if it is cold.
        std::function<std::optional<double>(const TargetId &target, std::uint64_t startedAt)>
                coldRate = nullptr;
    };
    using Done = std::function<void(bool isGranted)>;

    /// \a limits and \a timers must outlive the limiter.
    TargetLimiter(TargetLimits &limits, Hooks hooks, TimerService &timers)
        : m_limits(limits), m_hooks(std::move(hooks)), m_timers(timers)
    {
    }
    ~TargetLimiter() { *m_alive = false; }
    TargetLimiter(const TargetLimiter &) = delete;
    TargetLimiter &operator=(const TargetLimiter &) = delete;

    /// Asks for a request to one start of a target in \a zone. Calls \a done once: at once where
    /// the target has no limit or is known to take nothing more for now.
    void request(const TargetId &target, std::uint64_t startedAt, const ZoneName &zone,
                 GrantUse use, Done done);
    /// Called when a request is about to be written. Returns whether it may be; uses up a grant if
    /// the target has a limit.
    bool take(const TargetId &target, std::uint64_t startedAt);
    /// Returns how long it is not worth asking for another request; zero if it is.
    Duration remaining(const TargetId &target, std::uint64_t startedAt) const;
    /// Returns whether no target's requests are asked for.
    bool isEmpty() const { return m_entries.empty(); }
    /// Removes what is known of targets that nobody waits for.
    void expire();

private:
    struct Waiter
    {
        GrantUse use = GrantUse::First;
        Done done;
    };

    struct Entry
    {
        std::uint64_t startedAt = 0;
        ZoneName zone;
        std::vector<Waiter> waiters;
        bool isAsking = false;
        std::deque<TimePoint> grants; ///< The times at which they lapse.
        TimePoint waitUntil{};
    };

    const Entry *find(const TargetId &target, std::uint64_t startedAt) const;
    void ask(const TargetId &target);
    void onAnswer(const TargetId &target, const std::vector<Waiter> &asked, TimePoint askedAt,
                  const GrantAnswer &answer);
    void refuse(const TargetId &target);
    std::optional<double> coldRate(const TargetId &target, std::uint64_t startedAt) const;
    bool isRestricted(const TargetId &target, std::uint64_t startedAt) const;

    TargetLimits &m_limits;
    const Hooks m_hooks;
    TimerService &m_timers;
    std::map<TargetId, Entry> m_entries;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_TARGETLIMITER_H
