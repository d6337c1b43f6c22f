#ifndef CURRANTWALK_ROUTING_DISPATCHER_H
#define CURRANTWALK_ROUTING_DISPATCHER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/timerservice.h"
#include "routing/admissionqueue.h"
#include "routing/policy.h"

namespace currantwalk {

/// Identifies a request that waits for a target. 0 is not a valid ticket.
using TicketId = std::uint64_t;

/// The result of a wait for a target.
struct PlacementResult
{
    absl::Status status; ///< NoTarget or Overloaded if the request was refused.
    TargetId target;
    Duration retryAfter{0};
    Duration held{0}; ///< Time waited at the node.
    RoutingReason reason;
};

/// Submits requests for admission and reports each result through the callback of its request. The
/// callbacks always run from the event loop.
class Dispatcher
{
public:
    using Callback = std::function<void(const PlacementResult &)>;
    using Candidates = std::function<std::vector<const Target *>(const RoutingRequest &)>;

    /// \a policy and \a timers must outlive the dispatcher.
    Dispatcher(RoutingPolicy &policy, Candidates candidates, TimerService &timers);
    ~Dispatcher();

    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Calls \a callback once, after this function has returned, unless the ticket is cancelled.
    /// RoutingPolicy::onPlaced() has been called for a placed request by then.
    /// \pre No request with the same id is waiting.
    TicketId submit(RoutingRequest request, Callback callback);
    void cancel(TicketId ticket);
    /// Schedules a retry of the waiting requests. Called when capacity may have become available.
    void onCapacityChange();
    std::size_t waitingCount() const { return m_waiters.size(); }

private:
    struct Waiter
    {
        RequestId request;
        Callback callback;
        TimePoint arrivedAt{};
        TimerId callbackTimer = NoTimer; ///< Set once the result is known.
        bool isPlaced = false;
    };

    void scheduleCallback(const RequestId &request, PlacementResult placement, bool isPlaced);

    RoutingPolicy &m_policy;
    TimerService &m_timers;
    std::unique_ptr<AdmissionQueue> m_admission;
    std::unordered_map<TicketId, Waiter> m_waiters;
    std::unordered_map<RequestId, TicketId> m_tickets;
    TicketId m_lastTicket = 0;
    TimerId m_retryTimer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_DISPATCHER_H
