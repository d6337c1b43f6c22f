#include "routing/projectpolicy.h"

#include <algorithm>
#include <limits>

namespace currantwalk {

static constexpr float StartMargin = 1; // Standard deviations of forecast memory kept free.
static constexpr float LeastMargin = 0;
static constexpr float MostMargin = 3;
static constexpr float MarginRise = 0.05F;   // For each preemption reported.
static constexpr float MarginDecay = 0.002F; // For each report.
static constexpr float FillLimit = 0.98F;    // Of an engine's memory.
static constexpr float RareSurvival = 0.05F; // Steps that fewer answers reach are left out.
static constexpr Duration HoldRecheck = std::chrono::milliseconds(100);

ProjectPolicy::ProjectPolicy(std::uint64_t seed)
    : BasePolicy(seed), m_ledger(m_lengths, random()), m_margin(StartMargin)
{
}

static std::size_t stepsAlive(const RoutingRequest &request, const MemoryForecast &need)
{
    std::size_t steps = 1;
    while (steps < ForecastSize) {
        const float tokens = static_cast<float>(request.promptTokens) + ForecastSteps[steps];
        if (need.mean[steps] < RareSurvival * tokens)
            break;
        ++steps;
    }
    return steps;
}

RoutingDecision ProjectPolicy::choose(const RoutingRequest &request, const Candidates &allowed,
                                      TimePoint now)
{
    const MemoryForecast need = m_ledger.forecast(request);
    const std::size_t steps = stepsAlive(request, need);
    const Target *best = nullptr;
    float bestFill = std::numeric_limits<float>::infinity();
    for (const Target *target : allowed) {
        const HeadroomLedger::Engine *engine = m_ledger.find(target->id);
        float fill = static_cast<float>(outstanding(target->id)) / 100;
        if (engine != nullptr && engine->capacityTokens > 0) {
            const float peak = m_ledger.peakWith(*engine, need, steps, m_margin, now);
            fill = peak / engine->capacityTokens;
            const bool isIdle = engine->ownCount + engine->running + engine->waiting == 0;
            if (fill > FillLimit && !isIdle)
                continue;
        }
        if (fill < bestFill) {
            best = target;
            bestFill = fill;
        }
    }
    RoutingDecision decision = best != nullptr
                                       ? placeAt(*best, "least-peak", allowed.size(), bestFill)
                                       : holdUntil(now + HoldRecheck, "no-room", allowed.size());
    decision.reason.expectedTokens = m_lengths.view(request.service, request.organisation).mean();
    decision.reason.reservedTokens = peakMemory(need, m_margin);
    return decision;
}

void ProjectPolicy::onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now)
{
    BasePolicy::onPlaced(request, target, now);
    m_origins.try_emplace(request.id, Origin{request.service, request.organisation});
    m_ledger.onPlaced(request, target, now);
}

void ProjectPolicy::onToken(const RequestId &request, std::uint32_t generated, TimePoint)
{
    m_ledger.onToken(request, generated);
}

void ProjectPolicy::onReleased(const RequestId &request, bool isComplete, std::uint32_t generated,
                               TimePoint now)
{
    BasePolicy::onReleased(request, isComplete, generated, now);
    m_ledger.onReleased(request, now);
    const auto origin = m_origins.find(request);
    if (origin == m_origins.end())
        return;
    if (isComplete)
        m_lengths.learn(origin->second.service, origin->second.organisation, generated);
    m_origins.erase(origin);
}

void ProjectPolicy::onLoad(const Target &target, TimePoint now)
{
    adaptMargin(m_ledger.onLoad(target, now));
}

void ProjectPolicy::adaptMargin(std::uint64_t preempted)
{
    m_margin += MarginRise * static_cast<float>(preempted) - MarginDecay;
    m_margin = std::clamp(m_margin, LeastMargin, MostMargin);
}

void ProjectPolicy::onTargetGone(const TargetId &target)
{
    BasePolicy::onTargetGone(target);
    m_ledger.onTargetGone(target);
}

void ProjectPolicy::onNodeCount(std::uint32_t nodes)
{
    m_ledger.onNodeCount(nodes);
}

} // namespace currantwalk
