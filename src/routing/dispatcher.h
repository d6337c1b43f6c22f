#ifndef CURRANTWALK_ROUTING_DISPATCHER_H
#define CURRANTWALK_ROUTING_DISPATCHER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/timerservice.h"
#include "routing/admission.h"
#include "routing/policy.h"

namespace currantwalk {

/// Names a request that waits for a target; 0 names none.
using TicketId = std::uint64_t;

/// The outcome of a wait.
struct Placement
{
    absl::Status status; ///< NoTarget or Overloaded where the request was refused.
    TargetId target;
    Duration retryAfter{0};
    Duration held{0}; ///< Time waited at the node.
    RoutingReason reason;
};

/// Gives each waiting request its own answer from Admission, always from the loop.
class Dispatcher
{
public:
    using Callback = std::function<void(const Placement &)>;
    using Candidates = std::function<std::vector<const Target *>(const RoutingRequest &)>;

    /// \a policy and \a timers must outlive the dispatcher.
    Dispatcher(RoutingPolicy &policy, Candidates candidates, TimerService &timers);
    ~Dispatcher();

    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Calls \a callback once, later, unless cancelled. A placement has been told to the policy.
    /// \pre no request of the same id waits.
    TicketId submit(RoutingRequest request, Callback callback);
    void cancel(TicketId ticket);
    /// Something changed that may make room; the waiting are asked for again soon.
    void onChange();
    std::size_t waiting() const { return m_waiters.size(); }

private:
    struct Waiter
    {
        RequestId request;
        Callback callback;
        TimePoint arrivedAt{};
        TimerId answerTimer = NoTimer; ///< Set once the answer is known.
        bool isPlaced = false;
    };

    void answer(const RequestId &request, Placement placement, bool isPlaced);

    RoutingPolicy &m_policy;
    TimerService &m_timers;
    std::unique_ptr<Admission> m_admission;
    std::unordered_map<TicketId, Waiter> m_waiters;
    std::unordered_map<RequestId, TicketId> m_tickets;
    TicketId m_lastTicket = 0;
    TimerId m_changeTimer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_DISPATCHER_H
