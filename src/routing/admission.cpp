#include "routing/admission.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

// A request expected to be shorter than this is short: it passes longer ones that wait for room.
static constexpr double ShortAnswerTokens = 256;
static constexpr Duration LeastRecheck = std::chrono::milliseconds(10);

std::unique_ptr<Admission> Admission::create(RoutingPolicy &policy, Hooks hooks,
                                             TimerService &timers)
{
    return std::unique_ptr<Admission>(new Admission(policy, std::move(hooks), timers));
}

Admission::Admission(RoutingPolicy &policy, Hooks hooks, TimerService &timers)
    : m_policy(policy), m_hooks(std::move(hooks)), m_timers(timers)
{
}

Admission::~Admission()
{
    m_timers.cancel(m_timer);
}

Admission::LaneKey Admission::laneKey(const RoutingRequest &request,
                                      const RoutingDecision &decision)
{
    LaneKey key;
    key.isSpecial = request.isSuspect || !request.excluded.empty();
    key.rank = request.priorityRank;
    key.lengthClass = decision.reason.expectedTokens < ShortAnswerTokens ? 0 : 1;
    key.model = request.model;
    return key;
}

// A request with targets excluded may wait for one that others need not wait for.
bool Admission::blocks(const LaneKey &first, const LaneKey &second)
{
    if (first.isSpecial || second.isSpecial || first.model != second.model)
        return false;
    return first.rank <= second.rank && first.lengthClass <= second.lengthClass;
}

bool Admission::isBlocked(const LaneKey &key) const
{
    return std::any_of(m_queues.begin(), m_queues.end(),
                       [&key](const auto &queue) { return blocks(queue.first, key); });
}

void Admission::submit(RoutingRequest request)
{
    const TimePoint now = m_timers.now();
    RoutingDecision decision = m_policy.decide(request, m_hooks.candidates(request), now);
    const LaneKey key = laneKey(request, decision);
    if (decision.verdict == RoutingVerdict::Shed
        || (decision.verdict == RoutingVerdict::Place && !isBlocked(key))) {
        settle(request, decision);
        return;
    }
    const TimePoint askAgainAt = decision.verdict == RoutingVerdict::Hold
                                         ? std::min(decision.askAgainAt, request.holdUntil)
                                         : request.holdUntil;
    Lane &lane = m_queues[key];
    const RequestId id = request.id;
    const auto deadline = m_deadlines.emplace(request.holdUntil, id);
    const auto held =
            lane.insert(lane.end(), Held{std::move(request), std::move(decision), deadline});
    m_held.emplace(id, Place{key, held});
    scheduleSweep(std::max(askAgainAt, now + LeastRecheck));
}

bool Admission::cancel(const RequestId &request)
{
    if (!m_held.contains(request))
        return false;
    takeOut(request);
    onChange();
    return true;
}

Admission::Held Admission::takeOut(const RequestId &request)
{
    const auto place = m_held.find(request);
    assert(place != m_held.end() && "only a held request is taken out");
    const auto queue = m_queues.find(place->second.key);
    Held held = std::move(*place->second.held);
    queue->second.erase(place->second.held);
    if (queue->second.empty())
        m_queues.erase(queue);
    m_deadlines.erase(held.deadline);
    m_held.erase(place);
    return held;
}

void Admission::settle(const RoutingRequest &request, const RoutingDecision &decision)
{
    if (decision.verdict == RoutingVerdict::Shed) {
        m_hooks.shed(request, decision);
        return;
    }
    m_policy.onPlaced(request, decision.target, m_timers.now());
    m_hooks.place(request, decision);
}

// A hook may report a change while a sweep is on its way; the sweep then starts once more.
void Admission::onChange()
{
    if (m_held.empty())
        return;
    m_isChanged = true;
    if (m_isSweeping)
        return;
    m_isSweeping = true;
    while (m_isChanged) {
        m_isChanged = false;
        sweep();
    }
    m_isSweeping = false;
}

void Admission::sweep()
{
    giveUpOverdue();
    std::vector<LaneKey> keys;
    for (const auto &[key, lane] : m_queues)
        keys.push_back(key);
    std::vector<LaneKey> holding;
    for (const LaneKey &key : keys) {
        const bool isBehind =
                std::any_of(holding.begin(), holding.end(),
                            [&key](const LaneKey &first) { return blocks(first, key); });
        if (isBehind)
            continue;
        if (!sweepLane(key))
            holding.push_back(key);
    }
}

// Returns whether the lane is left empty. A hook may change any lane meanwhile.
bool Admission::sweepLane(const LaneKey &key)
{
    if (key.isSpecial) {
        std::vector<RequestId> ids;
        for (const auto &[id, place] : m_held) {
            if (place.key == key)
                ids.push_back(id);
        }
        for (const RequestId &id : ids)
            tryHeld(id);
        return true;
    }
    for (auto queue = m_queues.find(key); queue != m_queues.end(); queue = m_queues.find(key)) {
        if (!tryHeld(queue->second.front().request.id))
            return false;
    }
    return true;
}

// Returns false where the request stays held.
bool Admission::tryHeld(const RequestId &request)
{
    const auto place = m_held.find(request);
    if (place == m_held.end())
        return true;
    Held &held = *place->second.held;
    const TimePoint now = m_timers.now();
    held.last = m_policy.decide(held.request, m_hooks.candidates(held.request), now);
    if (held.last.verdict == RoutingVerdict::Hold) {
        const TimePoint next = std::min(held.last.askAgainAt, m_deadlines.begin()->first);
        scheduleSweep(std::max(next, now + LeastRecheck));
        return false;
    }
    const Held settled = takeOut(request);
    settle(settled.request, settled.last);
    return true;
}

// The final answer goes out as soon as it is known, not when a later change happens by.
void Admission::giveUpOverdue()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_timers.now()) {
        const RequestId id = m_deadlines.begin()->second;
        Held held = takeOut(id);
        held.last.verdict = RoutingVerdict::Shed;
        held.last.reason.rule = "held-too-long";
        m_hooks.shed(held.request, held.last);
    }
}

void Admission::scheduleSweep(TimePoint when)
{
    if (m_timer != NoTimer && m_timerAt <= when)
        return;
    m_timers.cancel(m_timer);
    m_timerAt = when;
    m_timer = m_timers.subscribeAt(when, [this] {
        m_timer = NoTimer;
        onChange();
    });
}

} // namespace currantwalk
