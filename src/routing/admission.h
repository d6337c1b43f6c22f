#ifndef CURRANTWALK_ROUTING_ADMISSION_H
#define CURRANTWALK_ROUTING_ADMISSION_H

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <tuple>
#include <unordered_map>

#include "routing/policy.h"

namespace currantwalk {

/// Holds requests at the node while the policy finds no room for them, and lets them go by
/// priority, short before long, then by arrival. A request that is held blocks those of its own or
/// a lower priority that are as long or longer, and no others.
class Admission
{
public:
    struct Hooks
    {
        /// The live targets that can serve the request.
        std::function<std::vector<const Target *>(const RoutingRequest &request)> candidates;
        /// Sends the request to the target decided; the policy has been told.
        std::function<void(const RoutingRequest &request, const RoutingDecision &decision)> place;
        /// Refuses the request; it was sent nowhere.
        std::function<void(const RoutingRequest &request, const RoutingDecision &decision)> shed;
    };

    /// \a policy and \a timers must outlive the result.
    static std::unique_ptr<Admission> create(RoutingPolicy &policy, Hooks hooks,
                                             TimerService &timers);
    ~Admission();
    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;

    /// Places, holds or sheds a request.
    void submit(RoutingRequest request);
    /// Forgets a held request whose caller went away; false if it is not held.
    bool cancel(const RequestId &request);
    /// Room may have come: a generation ended, a load report or a target is new.
    void onChange();

    std::size_t held() const { return m_held.size(); }

private:
    /// Requests that wait in one queue, first come first served.
    struct LaneKey
    {
        bool isSpecial = false; ///< Has targets of its own choice: blocks none, is blocked by none.
        std::uint32_t rank = 0;
        std::uint32_t lengthClass = 0;
        std::string model;

        friend bool operator==(const LaneKey &, const LaneKey &) = default;
        friend bool operator<(const LaneKey &a, const LaneKey &b)
        {
            return std::tie(a.isSpecial, a.rank, a.lengthClass, a.model)
                   < std::tie(b.isSpecial, b.rank, b.lengthClass, b.model);
        }
    };
    using Deadlines = std::multimap<TimePoint, RequestId>;
    struct Held
    {
        RoutingRequest request;
        RoutingDecision last;
        Deadlines::iterator deadline;
    };
    using Lane = std::list<Held>;
    struct Place
    {
        LaneKey key;
        Lane::iterator held;
    };

    Admission(RoutingPolicy &policy, Hooks hooks, TimerService &timers);

    static LaneKey laneKey(const RoutingRequest &request, const RoutingDecision &decision);
    static bool blocks(const LaneKey &first, const LaneKey &second);
    bool isBlocked(const LaneKey &key) const;
    void sweep();
    bool tryHeld(const RequestId &request);
    bool sweepLane(const LaneKey &key);
    Held takeOut(const RequestId &request);
    void giveUpOverdue();
    void settle(const RoutingRequest &request, const RoutingDecision &decision);
    void scheduleSweep(TimePoint when);

    RoutingPolicy &m_policy;
    Hooks m_hooks;
    TimerService &m_timers;
    std::map<LaneKey, Lane> m_queues;
    std::unordered_map<RequestId, Place> m_held;
    Deadlines m_deadlines;
    TimerId m_timer = NoTimer;
    TimePoint m_timerAt{};
    bool m_isSweeping = false;
    bool m_isChanged = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_ADMISSION_H
