#include "routing/memoryforecastpolicy.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

static constexpr float InitialMargin = 1; // Standard deviations of forecast memory kept free.
static constexpr float MinMargin = 0;
static constexpr float MaxMargin = 3;
static constexpr float MarginRise = 0.05F;         // Per reported preemption.
static constexpr float MarginDecay = 0.002F;       // Per load report.
static constexpr float MaxLongAnswerFill = 0.86F;  // Of an engine's memory, at the forecast peak.
static constexpr float MaxShortAnswerFill = 0.94F; // The same, for short answers.
static constexpr float OtherRolePenalty = 0.05F;   // Added to the fill if the role does not match.
// Tokens of memory credited per cached prompt token.
static constexpr float TokensPerCachedToken = 5;
// Steps reached by a smaller share of answers are ignored.
static constexpr float MinSurvival = 0.05F;
static constexpr float FillPerCall = 0.01F;        // Used for engines without a load report.
static constexpr float FillPerQueuedBatch = 0.25F; // Added to the fill.
static constexpr std::uint32_t SampleSize = 2;
static constexpr std::uint32_t PlacementsPerRoleUpdate = 128;
static constexpr Duration RetryInterval = std::chrono::milliseconds(100);

MemoryForecastPolicy::MemoryForecastPolicy(std::uint64_t seed)
    : BasePolicy(seed), m_memory(m_lengths, random()), m_margin(InitialMargin)
{
}

static std::size_t relevantSteps(const RoutingRequest &request, const MemoryForecast &need)
{
    std::size_t steps = 1;
    while (steps < ForecastSize) {
        const float tokens = static_cast<float>(request.promptTokens) + ForecastSteps[steps];
        if (need.mean[steps] < MinSurvival * tokens)
            break;
        ++steps;
    }
    return steps;
}

// An idle engine accepts any request, so that a request larger than every limit can still run.
MemoryForecastPolicy::Evaluation MemoryForecastPolicy::evaluate(const RoutingRequest &request,
                                                                const Target &target,
                                                                const MemoryForecast &need,
                                                                std::size_t steps, bool isShort,
                                                                TimePoint now) const
{
    Evaluation evaluation;
    evaluation.target = &target;
    evaluation.engine = m_memory.find(target.id);
    if (evaluation.engine == nullptr || evaluation.engine->capacityTokens == 0) {
        evaluation.score = static_cast<float>(callsInFlight(target.id)) * FillPerCall;
        evaluation.hasRoom = true;
        return evaluation;
    }
    const EngineMemoryTracker::Engine &engine = *evaluation.engine;
    const float fill =
            m_memory.peakWith(engine, need, steps, m_margin, now) / engine.capacityTokens;
    const bool isIdle = engine.ownCount + engine.running + engine.waiting == 0;
    evaluation.hasRoom = isIdle || fill <= (isShort ? MaxShortAnswerFill : MaxLongAnswerFill);
    if (!evaluation.hasRoom)
        return evaluation;
    const bool hasOtherRole = (engine.rank <= m_maxShortRank) != isShort;
    evaluation.prefixTokens = m_prefixes.cachedTokens(request, target.id);
    const float saved = TokensPerCachedToken * static_cast<float>(evaluation.prefixTokens);
    evaluation.score = fill + (hasOtherRole ? OtherRolePenalty : 0) - saved / engine.capacityTokens
                       + FillPerQueuedBatch * m_memory.queuedBatches(engine);
    return evaluation;
}

// Chooses the better of two random engines with room. If every node chose the best of all, they
// would all send to the same engine, and its prompts would be processed in the same steps.
RoutingDecision MemoryForecastPolicy::choose(const RoutingRequest &request,
                                             const Candidates &allowed, TimePoint now)
{
    const MemoryForecast need = m_memory.forecast(request);
    const double expected = m_lengths.view(request.service, request.organisation).mean();
    const bool isShort = EngineRoles::isShort(expected);
    const std::size_t steps = relevantSteps(request, need);
    m_shuffled = allowed;
    Evaluation best;
    std::uint32_t evaluated = 0;
    for (std::size_t i = 0; i < m_shuffled.size() && evaluated < SampleSize; ++i) {
        std::swap(m_shuffled[i], m_shuffled[i + random().uniformBelow(m_shuffled.size() - i)]);
        const Evaluation evaluation = evaluate(request, *m_shuffled[i], need, steps, isShort, now);
        if (!evaluation.hasRoom)
            continue;
        ++evaluated;
        if (best.target == nullptr || evaluation.score < best.score)
            best = evaluation;
    }
    RoutingDecision decision =
            best.target != nullptr
                    ? placeAt(*best.target, "two-fits-least-peak", allowed.size(), best.score)
                    : holdUntil(now + RetryInterval, "no-room", allowed.size());
    if (best.engine != nullptr)
        decision.reason.headroomTokens = m_memory.headroomShare(*best.engine, m_margin, now);
    decision.reason.prefixTokens = best.prefixTokens;
    decision.reason.expectedTokens = expected;
    decision.reason.reservedTokens = peakMemory(need, m_margin);
    return decision;
}

void MemoryForecastPolicy::updateRoles()
{
    m_maxShortRank = m_roles.maxShortRank(m_memory.ranks());
    m_placedSinceRoleUpdate = 0;
}

void MemoryForecastPolicy::onPlaced(const RoutingRequest &request, const TargetId &target,
                                    TimePoint now)
{
    BasePolicy::onPlaced(request, target, now);
    m_origins.try_emplace(request.id, Origin{request.service, request.organisation});
    m_memory.onPlaced(request, target, now);
    m_roles.onPlaced(request, m_lengths.view(request.service, request.organisation).mean());
    if (++m_placedSinceRoleUpdate >= PlacementsPerRoleUpdate)
        updateRoles();
}

void MemoryForecastPolicy::onToken(const RequestId &request, std::uint32_t generated, TimePoint)
{
    m_memory.onToken(request, generated);
}

void MemoryForecastPolicy::onReleased(const RequestId &request, bool isComplete,
                                      std::uint32_t generated, TimePoint now)
{
    BasePolicy::onReleased(request, isComplete, generated, now);
    m_memory.onReleased(request, now);
    const auto origin = m_origins.find(request);
    if (origin == m_origins.end())
        return;
    if (isComplete)
        m_lengths.learn(origin->second.service, origin->second.organisation, generated);
    m_origins.erase(origin);
}

void MemoryForecastPolicy::onLoad(const Target &target, TimePoint now)
{
    const std::size_t engines = m_memory.engines();
    adaptMargin(m_memory.onLoad(target, now));
    if (m_memory.engines() != engines)
        updateRoles();
}

void MemoryForecastPolicy::adaptMargin(std::uint64_t preempted)
{
    m_margin += MarginRise * static_cast<float>(preempted) - MarginDecay;
    m_margin = std::clamp(m_margin, MinMargin, MaxMargin);
}

void MemoryForecastPolicy::onTargetGone(const TargetId &target)
{
    BasePolicy::onTargetGone(target);
    m_memory.onTargetGone(target);
    m_prefixes.onTargetGone(target);
    updateRoles();
}

void MemoryForecastPolicy::onCacheEvent(const TargetId &target, std::uint64_t prefixHash,
                                        bool isCached)
{
    m_prefixes.onEvent(target, prefixHash, isCached);
}

void MemoryForecastPolicy::onNodeCount(std::uint32_t nodes)
{
    m_memory.onNodeCount(nodes);
}

} // namespace currantwalk
