#include "routing/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

/// Delay from a change to the retry of waiting requests, so that a burst of changes causes a single
/// retry.
static constexpr Duration RetryDelay = std::chrono::milliseconds(2);
/// Suggested to the caller if the policy gives no retry delay.
static constexpr Duration DefaultRetryAfter = std::chrono::seconds(2);

static PlacementResult refusal(const RoutingDecision &decision)
{
    const bool hasNoTarget = decision.reason.rule == "no-target";
    PlacementResult placement;
    placement.status = hasNoTarget
                               ? makeError(ErrorCode::NoTarget, "no target can take the request")
                               : makeError(ErrorCode::Overloaded, "no room at any target");
    placement.retryAfter =
            decision.retryAfter > Duration(0) ? decision.retryAfter : DefaultRetryAfter;
    placement.reason = decision.reason;
    return placement;
}

Dispatcher::Dispatcher(RoutingPolicy &policy, Candidates candidates, TimerService &timers)
    : m_policy(policy), m_timers(timers)
{
    AdmissionQueue::Hooks hooks;
    hooks.candidates = std::move(candidates);
    hooks.place = [this](const RoutingRequest &request, const RoutingDecision &decision) {
        PlacementResult placement;
        placement.target = decision.target;
        placement.reason = decision.reason;
        scheduleCallback(request.id, std::move(placement), true);
    };
    hooks.shed = [this](const RoutingRequest &request, const RoutingDecision &decision) {
        scheduleCallback(request.id, refusal(decision), false);
    };
    m_admission = AdmissionQueue::create(policy, std::move(hooks), timers);
}

Dispatcher::~Dispatcher()
{
    m_timers.cancel(m_retryTimer);
    for (const auto &[ticket, waiter] : m_waiters)
        m_timers.cancel(waiter.callbackTimer);
}

TicketId Dispatcher::submit(RoutingRequest request, Callback callback)
{
    assert(!m_tickets.contains(request.id) && "a request has at most one ticket");
    const TicketId ticket = ++m_lastTicket;
    Waiter waiter;
    waiter.request = request.id;
    waiter.callback = std::move(callback);
    waiter.arrivedAt = request.arrivedAt;
    m_tickets.emplace(request.id, ticket);
    m_waiters.emplace(ticket, std::move(waiter));
    m_admission->submit(std::move(request));
    return ticket;
}

// If the request has been placed but its callback has not run, the reservation is released.
void Dispatcher::cancel(TicketId ticket)
{
    const auto it = m_waiters.find(ticket);
    if (it == m_waiters.end())
        return;
    const Waiter waiter = std::move(it->second);
    m_tickets.erase(waiter.request);
    m_waiters.erase(it);
    m_timers.cancel(waiter.callbackTimer);
    if (waiter.isPlaced)
        m_policy.onReleased(waiter.request, false, 0, m_timers.now());
    else if (waiter.callbackTimer == NoTimer)
        m_admission->cancel(waiter.request);
}

void Dispatcher::onCapacityChange()
{
    if (m_retryTimer != NoTimer || m_admission->heldCount() == 0)
        return;
    m_retryTimer = m_timers.scheduleAfter(RetryDelay, [this] {
        m_retryTimer = NoTimer;
        m_admission->onCapacityChange();
    });
}

void Dispatcher::scheduleCallback(const RequestId &request, PlacementResult placement,
                                  bool isPlaced)
{
    const auto ticket = m_tickets.find(request);
    assert(ticket != m_tickets.end() && "a request with a result has a ticket");
    Waiter &waiter = m_waiters.at(ticket->second);
    placement.held = std::chrono::duration_cast<Duration>(m_timers.now() - waiter.arrivedAt);
    waiter.isPlaced = isPlaced;
    waiter.callbackTimer = m_timers.scheduleAfter(
            Duration(0), [this, id = ticket->second, placement = std::move(placement)] {
                auto node = m_waiters.extract(id);
                m_tickets.erase(node.mapped().request);
                node.mapped().callback(placement);
            });
}

} // namespace currantwalk
