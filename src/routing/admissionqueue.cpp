#include "routing/admissionqueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

// Requests with fewer expected tokens than this count as short and may overtake queued longer ones.
static constexpr double ShortAnswerTokens = 256;
static constexpr Duration MinRetryInterval = std::chrono::milliseconds(10);

std::unique_ptr<AdmissionQueue> AdmissionQueue::create(RoutingPolicy &policy, Hooks hooks,
                                                       TimerService &timers)
{
    return std::unique_ptr<AdmissionQueue>(new AdmissionQueue(policy, std::move(hooks), timers));
}

AdmissionQueue::AdmissionQueue(RoutingPolicy &policy, Hooks hooks, TimerService &timers)
    : m_policy(policy), m_hooks(std::move(hooks)), m_timers(timers)
{
}

AdmissionQueue::~AdmissionQueue()
{
    m_timers.cancel(m_timer);
}

AdmissionQueue::QueueKey AdmissionQueue::queueKey(const RoutingRequest &request,
                                                  const RoutingDecision &decision)
{
    QueueKey key;
    key.isIndependent = request.isSuspect || !request.excludedTargets.empty();
    key.rank = request.priorityRank;
    key.lengthClass = decision.reason.expectedTokens < ShortAnswerTokens ? 0 : 1;
    key.model = request.model;
    return key;
}

// Independent requests have fewer allowed targets than others, so waiting for one of those targets
// must not delay requests that could run elsewhere.
bool AdmissionQueue::blocks(const QueueKey &first, const QueueKey &second)
{
    if (first.isIndependent || second.isIndependent || first.model != second.model)
        return false;
    return first.rank <= second.rank && first.lengthClass <= second.lengthClass;
}

bool AdmissionQueue::isBlocked(const QueueKey &key) const
{
    return std::any_of(m_queues.begin(), m_queues.end(),
                       [&key](const auto &queue) { return blocks(queue.first, key); });
}

void AdmissionQueue::submit(RoutingRequest request)
{
    const TimePoint now = m_timers.now();
    RoutingDecision decision = m_policy.decide(request, m_hooks.candidates(request), now);
    const QueueKey key = queueKey(request, decision);
    if (decision.verdict == RoutingVerdict::Shed
        || (decision.verdict == RoutingVerdict::Place && !isBlocked(key))) {
        finish(request, decision);
        return;
    }
    const TimePoint retryAt = decision.verdict == RoutingVerdict::Hold
                                      ? std::min(decision.retryAt, request.holdDeadline)
                                      : request.holdDeadline;
    Queue &queue = m_queues[key];
    const RequestId id = request.id;
    const auto deadline = m_deadlines.emplace(request.holdDeadline, id);
    const auto held =
            queue.insert(queue.end(), Held{std::move(request), std::move(decision), deadline});
    m_held.emplace(id, QueuePosition{key, held});
    scheduleRetry(std::max(retryAt, now + MinRetryInterval));
}

bool AdmissionQueue::cancel(const RequestId &request)
{
    if (!m_held.contains(request))
        return false;
    removeHeld(request);
    onCapacityChange();
    return true;
}

AdmissionQueue::Held AdmissionQueue::removeHeld(const RequestId &request)
{
    const auto place = m_held.find(request);
    assert(place != m_held.end() && "the request to remove is held");
    const auto queue = m_queues.find(place->second.key);
    Held held = std::move(*place->second.held);
    queue->second.erase(place->second.held);
    if (queue->second.empty())
        m_queues.erase(queue);
    m_deadlines.erase(held.deadline);
    m_held.erase(place);
    return held;
}

void AdmissionQueue::finish(const RoutingRequest &request, const RoutingDecision &decision)
{
    if (decision.verdict == RoutingVerdict::Shed) {
        m_hooks.shed(request, decision);
        return;
    }
    m_policy.onPlaced(request, decision.target, m_timers.now());
    m_hooks.place(request, decision);
}

// A hook may call this function during a pass over the queues. The pass is then repeated instead of
// being entered recursively.
void AdmissionQueue::onCapacityChange()
{
    if (m_held.empty())
        return;
    m_hasChanged = true;
    if (m_isRetrying)
        return;
    m_isRetrying = true;
    while (m_hasChanged) {
        m_hasChanged = false;
        retryHeld();
    }
    m_isRetrying = false;
}

void AdmissionQueue::retryHeld()
{
    shedExpired();
    std::vector<QueueKey> keys;
    for (const auto &[key, queue] : m_queues)
        keys.push_back(key);
    std::vector<QueueKey> blocked;
    for (const QueueKey &key : keys) {
        const bool isBlockedByEarlier =
                std::any_of(blocked.begin(), blocked.end(),
                            [&key](const QueueKey &first) { return blocks(first, key); });
        if (isBlockedByEarlier)
            continue;
        if (!retryQueue(key))
            blocked.push_back(key);
    }
}

// Returns true if the queue is empty afterwards, or if its requests block no others. Hooks may
// change any queue during the call.
bool AdmissionQueue::retryQueue(const QueueKey &key)
{
    if (key.isIndependent) {
        std::vector<RequestId> ids;
        for (const auto &[id, place] : m_held) {
            if (place.key == key)
                ids.push_back(id);
        }
        for (const RequestId &id : ids)
            retryRequest(id);
        return true;
    }
    for (auto queue = m_queues.find(key); queue != m_queues.end(); queue = m_queues.find(key)) {
        if (!retryRequest(queue->second.front().request.id))
            return false;
    }
    return true;
}

// Returns false if the request remains queued.
bool AdmissionQueue::retryRequest(const RequestId &request)
{
    const auto place = m_held.find(request);
    if (place == m_held.end())
        return true;
    Held &held = *place->second.held;
    const TimePoint now = m_timers.now();
    held.lastDecision = m_policy.decide(held.request, m_hooks.candidates(held.request), now);
    if (held.lastDecision.verdict == RoutingVerdict::Hold) {
        const TimePoint next = std::min(held.lastDecision.retryAt, m_deadlines.begin()->first);
        scheduleRetry(std::max(next, now + MinRetryInterval));
        return false;
    }
    const Held finished = removeHeld(request);
    finish(finished.request, finished.lastDecision);
    return true;
}

// Sheds requests as soon as their hold deadline has passed, without waiting for the next change.
void AdmissionQueue::shedExpired()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_timers.now()) {
        const RequestId id = m_deadlines.begin()->second;
        Held held = removeHeld(id);
        held.lastDecision.verdict = RoutingVerdict::Shed;
        held.lastDecision.reason.rule = "held-too-long";
        m_hooks.shed(held.request, held.lastDecision);
    }
}

void AdmissionQueue::scheduleRetry(TimePoint when)
{
    if (m_timer != NoTimer && m_timerAt <= when)
        return;
    m_timers.cancel(m_timer);
    m_timerAt = when;
    m_timer = m_timers.scheduleAt(when, [this] {
        m_timer = NoTimer;
        onCapacityChange();
    });
}

} // namespace currantwalk
