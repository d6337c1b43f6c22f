#include "routing/projectpolicy.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

static constexpr float StartMargin = 1; // Standard deviations of forecast memory kept free.
static constexpr float LeastMargin = 0;
static constexpr float MostMargin = 3;
static constexpr float MarginRise = 0.05F;     // For each preemption reported.
static constexpr float MarginDecay = 0.002F;   // For each report.
static constexpr float LongFillLimit = 0.86F;  // Of an engine's memory, at the peak forecast.
static constexpr float ShortFillLimit = 0.94F; // The same, for short answers.
static constexpr float AwayPenalty = 0.05F;    // Added to the fill of an engine of the other role.
static constexpr float PrefixWeight = 5;       // Tokens of memory that a cached token outweighs.
static constexpr float RareSurvival = 0.05F;   // Steps that fewer answers reach are left out.
static constexpr float FillPerCall = 0.01F;    // Where an engine reports no load.
static constexpr float WaitingWeight = 0.25F;  // Of fill, for each batch that waits at an engine.
static constexpr std::uint32_t DrawnFits = 2;
static constexpr std::uint32_t PlacedPerRoles = 128;
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

// An idle engine takes anything: a request that fits nowhere must still run.
ProjectPolicy::Fit ProjectPolicy::fitOf(const RoutingRequest &request, const Target &target,
                                        const MemoryForecast &need, std::size_t steps, bool isShort,
                                        TimePoint now) const
{
    Fit fit;
    fit.target = &target;
    fit.engine = m_ledger.find(target.id);
    if (fit.engine == nullptr || fit.engine->capacityTokens == 0) {
        fit.score = static_cast<float>(outstanding(target.id)) * FillPerCall;
        fit.isFit = true;
        return fit;
    }
    const HeadroomLedger::Engine &engine = *fit.engine;
    const float fill =
            m_ledger.peakWith(engine, need, steps, m_margin, now) / engine.capacityTokens;
    const bool isIdle = engine.ownCount + engine.running + engine.waiting == 0;
    fit.isFit = isIdle || fill <= (isShort ? ShortFillLimit : LongFillLimit);
    if (!fit.isFit)
        return fit;
    const bool isAway = (engine.rank <= m_shortLimit) != isShort;
    fit.prefixTokens = m_prefixes.cachedTokens(request, target.id);
    const float saved = PrefixWeight * static_cast<float>(fit.prefixTokens);
    fit.score = fill + (isAway ? AwayPenalty : 0) - saved / engine.capacityTokens
                + WaitingWeight * m_ledger.waitingBatches(engine);
    return fit;
}

// The better of two that fit, drawn at random: the best of all would draw every node to one engine,
// and its prompts would fall into the same steps.
RoutingDecision ProjectPolicy::choose(const RoutingRequest &request, const Candidates &allowed,
                                      TimePoint now)
{
    const MemoryForecast need = m_ledger.forecast(request);
    const double expected = m_lengths.view(request.service, request.organisation).mean();
    const bool isShort = EngineRoles::isShort(expected);
    const std::size_t steps = stepsAlive(request, need);
    m_drawn = allowed;
    Fit best;
    std::uint32_t fits = 0;
    for (std::size_t i = 0; i < m_drawn.size() && fits < DrawnFits; ++i) {
        std::swap(m_drawn[i], m_drawn[i + random().below(m_drawn.size() - i)]);
        const Fit fit = fitOf(request, *m_drawn[i], need, steps, isShort, now);
        if (!fit.isFit)
            continue;
        ++fits;
        if (best.target == nullptr || fit.score < best.score)
            best = fit;
    }
    RoutingDecision decision =
            best.target != nullptr
                    ? placeAt(*best.target, "two-fits-least-peak", allowed.size(), best.score)
                    : holdUntil(now + HoldRecheck, "no-room", allowed.size());
    if (best.engine != nullptr)
        decision.reason.headroomTokens = m_ledger.headroomShare(*best.engine, m_margin, now);
    decision.reason.prefixTokens = best.prefixTokens;
    decision.reason.expectedTokens = expected;
    decision.reason.reservedTokens = peakMemory(need, m_margin);
    return decision;
}

void ProjectPolicy::updateRoles()
{
    m_shortLimit = m_roles.shortLimit(m_ledger.ranks());
    m_placedSinceRoles = 0;
}

void ProjectPolicy::onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now)
{
    BasePolicy::onPlaced(request, target, now);
    m_origins.try_emplace(request.id, Origin{request.service, request.organisation});
    m_ledger.onPlaced(request, target, now);
    m_roles.onPlaced(request, m_lengths.view(request.service, request.organisation).mean());
    if (++m_placedSinceRoles >= PlacedPerRoles)
        updateRoles();
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
    const std::size_t engines = m_ledger.engines();
    adaptMargin(m_ledger.onLoad(target, now));
    if (m_ledger.engines() != engines)
        updateRoles();
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
    m_prefixes.onTargetGone(target);
    updateRoles();
}

void ProjectPolicy::onCacheEvent(const TargetId &target, std::uint64_t prefixHash, bool isCached)
{
    m_prefixes.onEvent(target, prefixHash, isCached);
}

void ProjectPolicy::onNodeCount(std::uint32_t nodes)
{
    m_ledger.onNodeCount(nodes);
}

} // namespace currantwalk
