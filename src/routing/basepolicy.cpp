#include "routing/basepolicy.h"

#include <algorithm>

namespace currantwalk {

static constexpr Duration RetryInterval = std::chrono::milliseconds(200);

RoutingDecision placeAt(const Target &target, std::string_view rule, std::size_t candidates,
                        double score)
{
    RoutingDecision decision;
    decision.verdict = RoutingVerdict::Place;
    decision.target = target.id;
    decision.reason.rule = rule;
    decision.reason.candidates = static_cast<std::uint32_t>(candidates);
    decision.reason.score = score;
    return decision;
}

RoutingDecision holdUntil(TimePoint retryAt, std::string_view rule, std::size_t candidates)
{
    RoutingDecision decision;
    decision.verdict = RoutingVerdict::Hold;
    decision.retryAt = retryAt;
    decision.reason.rule = rule;
    decision.reason.candidates = static_cast<std::uint32_t>(candidates);
    return decision;
}

RoutingDecision BasePolicy::decide(const RoutingRequest &request, const Candidates &candidates,
                                   TimePoint now)
{
    m_allowed.clear();
    for (const Target *target : candidates) {
        if (isAllowed(request, *target))
            m_allowed.push_back(target);
    }
    if (m_allowed.empty())
        return holdUntil(now + RetryInterval, "no-target", 0);
    if (request.isSuspect)
        return chooseForSuspect(m_allowed, now);
    if (m_allowed.front()->kind == TargetKind::Plain)
        return chooseForPlainCall(m_allowed);
    return choose(request, m_allowed, now);
}

bool BasePolicy::isAllowed(const RoutingRequest &request, const Target &target) const
{
    if (std::find(request.excludedTargets.begin(), request.excludedTargets.end(), target.id)
        != request.excludedTargets.end())
        return false;
    if (m_suspectsInFlight == 0)
        return true;
    const auto it = m_loads.find(target.id);
    return it == m_loads.end() || it->second.suspects == 0;
}

// A suspect request may crash its target, so it is placed only on a target without known work.
RoutingDecision BasePolicy::chooseForSuspect(const Candidates &allowed, TimePoint now) const
{
    for (const Target *target : allowed) {
        const bool isIdle = target->load.running + target->load.waiting == 0;
        if (isIdle && callsInFlight(target->id) == 0)
            return placeAt(*target, "suspect-alone", allowed.size(), 0);
    }
    return holdUntil(now + RetryInterval, "suspect-no-idle-target", allowed.size());
}

RoutingDecision BasePolicy::chooseForPlainCall(const Candidates &allowed)
{
    const Target *first = allowed[m_random.uniformBelow(allowed.size())];
    const Target *second = allowed[m_random.uniformBelow(allowed.size())];
    const std::uint32_t firstCalls = callsInFlight(first->id);
    const std::uint32_t secondCalls = callsInFlight(second->id);
    const Target &chosen = secondCalls < firstCalls ? *second : *first;
    return placeAt(chosen, "plain-two-choices", allowed.size(), std::min(firstCalls, secondCalls));
}

std::uint32_t BasePolicy::callsInFlight(const TargetId &target) const
{
    const auto it = m_loads.find(target);
    return it == m_loads.end() ? 0 : it->second.calls;
}

void BasePolicy::onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint)
{
    const auto [it, isNew] =
            m_calls.try_emplace(request.id, InFlightCall{target, request.isSuspect});
    if (!isNew)
        return;
    TargetCalls &load = m_loads[target];
    ++load.calls;
    load.suspects += request.isSuspect ? 1 : 0;
    m_suspectsInFlight += request.isSuspect ? 1 : 0;
}

void BasePolicy::onToken(const RequestId &, std::uint32_t, TimePoint) {}

void BasePolicy::onReleased(const RequestId &request, bool, std::uint32_t, TimePoint)
{
    const auto it = m_calls.find(request);
    if (it == m_calls.end())
        return;
    m_suspectsInFlight -= it->second.isSuspect ? 1 : 0;
    const auto load = m_loads.find(it->second.target);
    if (load != m_loads.end()) {
        --load->second.calls;
        load->second.suspects -= it->second.isSuspect ? 1 : 0;
        if (load->second.calls == 0)
            m_loads.erase(load);
    }
    m_calls.erase(it);
}

void BasePolicy::onLoad(const Target &, TimePoint) {}

void BasePolicy::onCacheEvent(const TargetId &, std::uint64_t, bool) {}

void BasePolicy::onTargetGone(const TargetId &target)
{
    m_loads.erase(target);
    std::erase_if(m_calls, [this, &target](const auto &call) {
        if (call.second.target != target)
            return false;
        m_suspectsInFlight -= call.second.isSuspect ? 1 : 0;
        return true;
    });
}

void BasePolicy::onNodeCount(std::uint32_t) {}

} // namespace currantwalk
