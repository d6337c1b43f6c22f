#include "routing/projectpolicy.h"

#include <algorithm>
#include <limits>

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

std::uint64_t ProjectPolicy::shortLimit(const Candidates &allowed)
{
    m_ranks.clear();
    for (const Target *target : allowed) {
        const HeadroomLedger::Engine *engine = m_ledger.find(target->id);
        if (engine != nullptr)
            m_ranks.push_back(engine->rank);
    }
    return m_roles.shortLimit(m_ranks);
}

// An idle engine takes anything: a request that fits nowhere must still run.
void ProjectPolicy::collectFits(const RoutingRequest &request, const Candidates &allowed,
                                const MemoryForecast &need, bool isShort, TimePoint now)
{
    const std::size_t steps = stepsAlive(request, need);
    const std::uint64_t limit = shortLimit(allowed);
    const float fillLimit = isShort ? ShortFillLimit : LongFillLimit;
    m_fits.clear();
    for (const Target *target : allowed) {
        const HeadroomLedger::Engine *engine = m_ledger.find(target->id);
        if (engine == nullptr || engine->capacityTokens == 0) {
            const float calls = static_cast<float>(outstanding(target->id));
            m_fits.push_back({target, engine, calls * FillPerCall, 0});
            continue;
        }
        const float fill =
                m_ledger.peakWith(*engine, need, steps, m_margin, now) / engine->capacityTokens;
        const bool isIdle = engine->ownCount + engine->running + engine->waiting == 0;
        const bool isAway = (engine->rank <= limit) != isShort;
        if (fill <= fillLimit || isIdle)
            m_fits.push_back({target, engine, fill + (isAway ? AwayPenalty : 0), 0});
    }
}

void ProjectPolicy::preferCached(const RoutingRequest &request)
{
    for (const PrefixIndex::Match &match : m_prefixes.find(request)) {
        for (Fit &fit : m_fits) {
            if (fit.target->id != match.target || fit.engine == nullptr)
                continue;
            fit.prefixTokens = match.tokens;
            const float saved = PrefixWeight * static_cast<float>(match.tokens);
            fit.score -= saved / std::max(1.0F, fit.engine->capacityTokens);
        }
    }
}

// The better of two drawn at random: the best of all would draw every node to one engine, and its
// prompts would fall into the same steps.
RoutingDecision ProjectPolicy::choose(const RoutingRequest &request, const Candidates &allowed,
                                      TimePoint now)
{
    const MemoryForecast need = m_ledger.forecast(request);
    const double expected = m_lengths.view(request.service, request.organisation).mean();
    collectFits(request, allowed, need, EngineRoles::isShort(expected), now);
    preferCached(request);
    RoutingDecision decision = holdUntil(now + HoldRecheck, "no-room", allowed.size());
    if (!m_fits.empty()) {
        const Fit &first = m_fits[random().below(m_fits.size())];
        const Fit &second = m_fits[random().below(m_fits.size())];
        const Fit &chosen = second.score < first.score ? second : first;
        decision = placeAt(*chosen.target, "two-fits-least-peak", m_fits.size(), chosen.score);
        decision.reason.prefixTokens = chosen.prefixTokens;
        if (chosen.engine != nullptr)
            decision.reason.headroomTokens = m_ledger.headroomShare(*chosen.engine, m_margin, now);
    }
    decision.reason.expectedTokens = expected;
    decision.reason.reservedTokens = peakMemory(need, m_margin);
    return decision;
}

void ProjectPolicy::onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now)
{
    BasePolicy::onPlaced(request, target, now);
    m_origins.try_emplace(request.id, Origin{request.service, request.organisation});
    m_ledger.onPlaced(request, target, now);
    m_roles.onPlaced(request, m_lengths.view(request.service, request.organisation).mean());
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
    m_prefixes.onTargetGone(target);
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
