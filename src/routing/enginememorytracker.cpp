#include "routing/enginememorytracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "routing/engineroles.h"

namespace currantwalk {

static constexpr float GrowthSmoothing = 0.02F;    // Smoothing factor for one engine's growth.
static constexpr float MinResidenceSeconds = 0.1F; // Prevents division by 0.
static constexpr double ResidenceSmoothing = 0.02; // Smoothing factor for one generation.
// Share of other nodes' placements that is assumed to be on the engine that this node chose.
static constexpr float SameEngineShare = 0.7F;

static float secondsBetween(TimePoint from, TimePoint to)
{
    return std::max(0.0F, static_cast<float>((to - from).count()) / 1e6F);
}

EngineMemoryTracker::EngineMemoryTracker(const LengthEstimator &lengths, RandomSource &random)
    : m_lengths(lengths), m_random(random)
{
    m_growth.mean.fill(1);
}

MemoryForecast EngineMemoryTracker::forecast(const RoutingRequest &request) const
{
    return forecastGeneration(m_lengths.view(request.service, request.organisation),
                              request.promptTokens, 0, request.maxTokens);
}

MemoryForecast EngineMemoryTracker::forecast(const Generation &generation) const
{
    return forecastGeneration(m_lengths.view(generation.service, generation.organisation),
                              generation.promptTokens, generation.generated, generation.maxTokens);
}

void EngineMemoryTracker::onPlaced(const RoutingRequest &request, const TargetId &target,
                                   TimePoint now)
{
    if (m_byRequest.contains(request.id))
        return;
    Generation generation{request.service,
                          request.organisation,
                          target,
                          request.promptTokens,
                          request.maxTokens,
                          0,
                          now,
                          forecast(request)};
    Engine &engine = m_engines[target];
    engine.own += generation.forecast;
    engine.unreported += generation.forecast;
    m_unreported += generation.forecast;
    ++engine.ownCount;
    ++engine.unreportedCount;
    std::size_t index = m_generations.size();
    if (m_freeSlots.empty()) {
        m_generations.push_back(std::move(generation));
    } else {
        index = m_freeSlots.back();
        m_freeSlots.pop_back();
        m_generations[index] = std::move(generation);
    }
    engine.generations.push_back(index);
    m_byRequest.emplace(request.id, index);
}

void EngineMemoryTracker::onToken(const RequestId &request, std::uint32_t generated)
{
    const auto it = m_byRequest.find(request);
    if (it != m_byRequest.end())
        m_generations[it->second].generated = generated;
}

void EngineMemoryTracker::freeSlot(std::size_t index)
{
    m_generations[index] = Generation();
    m_freeSlots.push_back(index);
}

void EngineMemoryTracker::onReleased(const RequestId &request, TimePoint now)
{
    const auto it = m_byRequest.find(request);
    if (it == m_byRequest.end())
        return;
    const std::size_t index = it->second;
    m_byRequest.erase(it);
    const Generation &generation = m_generations[index];
    m_meanResidenceSeconds += (secondsBetween(generation.placedAt, now) - m_meanResidenceSeconds)
                              * ResidenceSmoothing;
    const auto engine = m_engines.find(generation.target);
    freeSlot(index);
    if (engine == m_engines.end())
        return;
    std::erase(engine->second.generations, index);
    --engine->second.ownCount;
    rebuild(engine->second);
}

// Recomputing the sums removes accumulated rounding errors and applies the current length
// estimates.
void EngineMemoryTracker::rebuild(Engine &engine)
{
    m_unreported -= engine.unreported;
    engine.own = MemoryForecast();
    engine.unreported = MemoryForecast();
    engine.unreportedCount = 0;
    for (const std::size_t index : engine.generations) {
        Generation &generation = m_generations[index];
        generation.forecast = forecast(generation);
        engine.own += generation.forecast;
        if (generation.placedAt <= engine.reportedAt)
            continue;
        engine.unreported += generation.forecast;
        ++engine.unreportedCount;
    }
    m_unreported += engine.unreported;
}

// Generations of other nodes are assumed to grow like those of this node on average.
void EngineMemoryTracker::updateGrowth(const Engine &engine)
{
    const float used = engine.own.mean[0];
    if (used < 1)
        return;
    for (std::size_t i = 0; i < ForecastSize; ++i) {
        m_growth.mean[i] += (engine.own.mean[i] / used - m_growth.mean[i]) * GrowthSmoothing;
        m_growth.variance[i] +=
                (engine.own.variance[i] / used - m_growth.variance[i]) * GrowthSmoothing;
    }
}

std::uint64_t EngineMemoryTracker::onLoad(const Target &target, TimePoint)
{
    Engine &engine = m_engines[target.id];
    if (engine.rank == 0)
        engine.rank = EngineRoles::rank(target.id);
    const TargetLoad &load = target.load;
    const bool isFirst = engine.capacityTokens == 0 || load.preemptions < engine.preemptions;
    const std::uint64_t preempted = isFirst ? 0 : load.preemptions - engine.preemptions;
    engine.preemptions = load.preemptions;
    engine.running = load.running;
    engine.waiting = load.waiting;
    engine.reportedAt = load.reportedAt;
    engine.capacityTokens = static_cast<float>(load.capacityTokens);
    engine.contention = static_cast<float>(m_random.uniform());
    rebuild(engine);
    updateGrowth(engine);
    const float tokensPerGeneration = load.running > 0 ? static_cast<float>(load.usedTokens)
                                                                 / static_cast<float>(load.running)
                                                       : 0;
    const float reported = static_cast<float>(load.usedTokens)
                           + tokensPerGeneration * static_cast<float>(load.waiting);
    engine.otherNodesTokens =
            std::max(0.0F, reported - (engine.own.mean[0] - engine.unreported.mean[0]));
    return preempted;
}

void EngineMemoryTracker::onTargetGone(const TargetId &target)
{
    const auto engine = m_engines.find(target);
    if (engine == m_engines.end())
        return;
    m_unreported -= engine->second.unreported;
    std::erase_if(m_byRequest, [this, &target](const auto &entry) {
        if (m_generations[entry.second].target != target)
            return false;
        freeSlot(entry.second);
        return true;
    });
    m_engines.erase(engine);
}

const EngineMemoryTracker::Engine *EngineMemoryTracker::find(const TargetId &target) const
{
    const auto it = m_engines.find(target);
    return it == m_engines.end() ? nullptr : &it->second;
}

// Memory that the report attributed to other nodes decays as their generations end. Placements of
// other nodes since the report are extrapolated from those of this node: a part is assumed to be on
// this engine and the rest evenly spread over all engines.
float EngineMemoryTracker::peakWith(const Engine &engine, const MemoryForecast &need,
                                    std::size_t steps, float margin, TimePoint now) const
{
    const float age = secondsBetween(engine.reportedAt, now);
    const float residences =
            age / std::max(MinResidenceSeconds, static_cast<float>(m_meanResidenceSeconds));
    const float remainingShare = 1 / (1 + residences + residences * residences / 2);
    const float others = engine.otherNodesTokens * remainingShare;
    const float nodes = static_cast<float>(m_nodes - 1);
    const float sameEngineFactor = nodes * SameEngineShare;
    const float otherEnginesFactor =
            nodes * (1 - SameEngineShare) / std::max(1.0F, static_cast<float>(m_engines.size()));
    const float needFactor = 1 + nodes * engine.contention;
    std::array<float, ForecastSize> means;
    std::array<float, ForecastSize> variances;
    for (std::size_t i = 0; i < ForecastSize; ++i) {
        means[i] = engine.own.mean[i] + others * m_growth.mean[i]
                   + sameEngineFactor * engine.unreported.mean[i]
                   + otherEnginesFactor * m_unreported.mean[i] + needFactor * need.mean[i];
        variances[i] = engine.own.variance[i] + others * m_growth.variance[i]
                       + sameEngineFactor * engine.unreported.variance[i]
                       + otherEnginesFactor * m_unreported.variance[i] + need.variance[i];
    }
    float peak = 0;
    for (std::size_t i = 0; i < std::min(steps, ForecastSize); ++i)
        peak = std::max(peak, means[i] + margin * std::sqrt(std::max(variances[i], 0.0F)));
    return peak;
}

std::vector<std::uint64_t> EngineMemoryTracker::ranks() const
{
    std::vector<std::uint64_t> ranks;
    for (const auto &[target, engine] : m_engines) {
        if (engine.capacityTokens > 0)
            ranks.push_back(engine.rank);
    }
    return ranks;
}

// Without a queue at the last report, later placements may have started at once and do not count.
float EngineMemoryTracker::queuedBatches(const Engine &engine) const
{
    if (engine.waiting == 0)
        return 0;
    const auto queue = static_cast<float>(engine.waiting + engine.unreportedCount);
    return queue / static_cast<float>(std::max(engine.running, 1U));
}

float EngineMemoryTracker::headroomShare(const Engine &engine, float margin, TimePoint now) const
{
    const float peak = peakWith(engine, MemoryForecast(), ForecastSize, margin, now);
    return std::max(0.0F, engine.capacityTokens - peak) / static_cast<float>(m_nodes);
}

} // namespace currantwalk
