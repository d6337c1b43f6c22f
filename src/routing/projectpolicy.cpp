#include "routing/projectpolicy.h"

#include <algorithm>
#include <limits>

#include "routing/baselines.h"

namespace currantwalk {

static constexpr double FillLimit = 0.9; // Of an engine's memory.
static constexpr std::uint32_t ExpectedAnswerTokens = 512;
static constexpr Duration HoldRecheck = std::chrono::milliseconds(100);

static double reservation(const RoutingRequest &request)
{
    const std::uint32_t answer = request.maxTokens > 0
                                         ? std::min(request.maxTokens, ExpectedAnswerTokens)
                                         : ExpectedAnswerTokens;
    return static_cast<double>(request.promptTokens) + answer;
}

RoutingDecision ProjectPolicy::choose(const RoutingRequest &request, const Candidates &allowed,
                                      TimePoint now)
{
    const double needed = reservation(request);
    const Target *best = allowed.front();
    double bestFill = std::numeric_limits<double>::infinity();
    for (const Target *target : allowed) {
        const auto sent = m_sentTokens.find(target->id);
        const double ownTokens = sent == m_sentTokens.end() ? 0 : sent->second;
        const double capacity = static_cast<double>(target->load.capacityTokens);
        const double fill = capacity > 0 ? reportedLoad(*target) + (ownTokens + needed) / capacity
                                         : outstanding(target->id);
        if (fill < bestFill) {
            best = target;
            bestFill = fill;
        }
    }
    if (best->load.capacityTokens > 0 && bestFill > FillLimit)
        return holdUntil(now + HoldRecheck, "no-room", allowed.size());
    RoutingDecision decision = placeAt(*best, "least-reserved", allowed.size(), bestFill);
    decision.reason.reservedTokens = needed;
    return decision;
}

void ProjectPolicy::onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now)
{
    BasePolicy::onPlaced(request, target, now);
    m_sentTokens[target] += reservation(request);
}

void ProjectPolicy::onLoad(const Target &target, TimePoint)
{
    m_sentTokens.erase(target.id);
}

void ProjectPolicy::onTargetGone(const TargetId &target)
{
    BasePolicy::onTargetGone(target);
    m_sentTokens.erase(target);
}

} // namespace currantwalk
