#include "routing/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace currantwalk {

/// Least time between two passes over the waiting, so that a burst of events costs one pass.
static constexpr Duration PassInterval = std::chrono::milliseconds(2);
/// Longest time between two passes while requests wait.
static constexpr Duration MaxPassInterval = std::chrono::milliseconds(250);
/// When to come back where nothing is known of when there will be a target.
static constexpr Duration NoTargetRetryAfter = std::chrono::seconds(2);

Dispatcher::Dispatcher(RoutingPolicy &policy, Candidates candidates, TimerService &timers)
    : m_policy(policy), m_candidates(std::move(candidates)), m_timers(timers)
{
}

Dispatcher::~Dispatcher()
{
    m_timers.cancel(m_passTimer);
}

TicketId Dispatcher::submit(RoutingRequest request, Callback callback)
{
    const TicketId ticket = ++m_lastTicket;
    const Order order{request.priorityRank, ticket};
    m_waiting.emplace(order, Waiter{std::move(request), std::move(callback)});
    m_orders.emplace(ticket, order);
    schedulePass(m_timers.now());
    return ticket;
}

void Dispatcher::cancel(TicketId ticket)
{
    const auto it = m_orders.find(ticket);
    if (it == m_orders.end())
        return;
    m_waiting.erase(it->second);
    m_orders.erase(it);
}

void Dispatcher::onChange()
{
    if (!m_waiting.empty())
        schedulePass(std::max(m_timers.now(), m_lastPass + PassInterval));
}

void Dispatcher::schedulePass(TimePoint when)
{
    if (m_passTimer != NoTimer && m_passAt <= when)
        return;
    m_timers.cancel(m_passTimer);
    m_passAt = when;
    m_passTimer = m_timers.subscribeAt(when, [this] {
        m_passTimer = NoTimer;
        pass();
    });
}

void Dispatcher::pass()
{
    m_lastPass = m_timers.now();
    std::vector<Order> orders;
    orders.reserve(m_waiting.size());
    for (const auto &[order, waiter] : m_waiting)
        orders.push_back(order);
    // Callbacks may submit and cancel, so each ticket is looked up anew.
    for (const Order &order : orders) {
        if (m_waiting.contains(order))
            tryPlace(order);
    }
    if (!m_waiting.empty())
        schedulePass(m_timers.now() + MaxPassInterval);
}

// Another tier's room goes before a refusal; what the first tier said of waiting stands otherwise.
RoutingDecision Dispatcher::decide(const RoutingRequest &request, const Tiers &tiers, TimePoint now)
{
    std::optional<RoutingDecision> first;
    for (const std::vector<const Target *> &candidates : tiers) {
        if (candidates.empty())
            continue;
        const RoutingDecision decision = m_policy.decide(request, candidates, now);
        if (decision.verdict == RoutingVerdict::Place)
            return decision;
        if (!first)
            first = decision;
    }
    assert(first && "a decision is asked for only where there are candidates");
    return *first;
}

static bool isEmpty(const Dispatcher::Tiers &tiers)
{
    return std::all_of(tiers.begin(), tiers.end(),
                       [](const std::vector<const Target *> &tier) { return tier.empty(); });
}

void Dispatcher::tryPlace(const Order &order)
{
    const TimePoint now = m_timers.now();
    const RoutingRequest &request = m_waiting.at(order).request;
    Placement placement;
    placement.held = std::chrono::duration_cast<Duration>(now - request.arrivedAt);
    const Tiers tiers = m_candidates(request);
    const bool isTooLate = now >= request.holdUntil;
    if (isEmpty(tiers)) {
        // A request that excludes targets is better told at once: its call tries those again.
        if (!isTooLate && request.excluded.empty())
            return;
        placement.status = makeError(ErrorCode::NoTarget, "no target can take the request");
        placement.retryAfter = NoTargetRetryAfter;
        return answer(order, std::move(placement));
    }
    const RoutingDecision decision = decide(request, tiers, now);
    placement.reason = decision.reason;
    if (decision.verdict == RoutingVerdict::Place) {
        placement.target = decision.target;
        m_policy.onPlaced(request, decision.target, now);
        return answer(order, std::move(placement));
    }
    if (decision.verdict == RoutingVerdict::Hold && !isTooLate) {
        if (decision.askAgainAt > now)
            schedulePass(decision.askAgainAt);
        return;
    }
    placement.status = makeError(ErrorCode::Overloaded, "no room at any target");
    placement.retryAfter = std::max(decision.retryAfter, NoTargetRetryAfter);
    answer(order, std::move(placement));
}

void Dispatcher::answer(const Order &order, Placement placement)
{
    auto node = m_waiting.extract(order);
    m_orders.erase(order.second);
    node.mapped().callback(placement);
}

} // namespace currantwalk
