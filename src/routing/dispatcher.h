#ifndef CURRANTWALK_ROUTING_DISPATCHER_H
#define CURRANTWALK_ROUTING_DISPATCHER_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/timerservice.h"
#include "routing/policy.h"

namespace currantwalk {

/// Names a request that waits for a target; 0 names none.
using TicketId = std::uint64_t;

/// The outcome of a wait.
struct Placement
{
    absl::Status status; ///< NoTarget, Overloaded or DeadlineExceeded where nothing was found.
    TargetId target;
    Duration retryAfter{0};
    Duration held{0}; ///< Time waited at the node.
    RoutingReason reason;
};

/// Holds requests at the node until the policy places or sheds them, in order of priority and then
/// of arrival.
class Dispatcher
{
public:
    using Callback = std::function<void(const Placement &)>;
    /// Candidates in tiers, best first: a later tier is asked only where the earlier have no room.
    using Tiers = std::vector<std::vector<const Target *>>;
    using Candidates = std::function<Tiers(const RoutingRequest &)>;

    /// \a policy and \a timers must outlive the dispatcher.
    Dispatcher(RoutingPolicy &policy, Candidates candidates, TimerService &timers);
    ~Dispatcher();

    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Calls \a callback once, later, unless cancelled. A placement has been told to the policy.
    TicketId submit(RoutingRequest request, Callback callback);
    void cancel(TicketId ticket);
    /// Something changed that may make room; the waiting are asked for again soon.
    void onChange();
    std::size_t waiting() const { return m_waiting.size(); }

private:
    /// Order of service: by priority rank, then by ticket, that is by arrival.
    using Order = std::pair<std::uint32_t, TicketId>;

    struct Waiter
    {
        RoutingRequest request;
        Callback callback;
    };

    void schedulePass(TimePoint when);
    void pass();
    void tryPlace(const Order &order);
    RoutingDecision decide(const RoutingRequest &request, const Tiers &tiers, TimePoint now);
    void answer(const Order &order, Placement placement);

    RoutingPolicy &m_policy;
    Candidates m_candidates;
    TimerService &m_timers;
    std::map<Order, Waiter> m_waiting;
    std::map<TicketId, Order> m_orders;
    TicketId m_lastTicket = 0;
    TimerId m_passTimer = NoTimer;
    TimePoint m_passAt{};
    TimePoint m_lastPass{};
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_DISPATCHER_H
