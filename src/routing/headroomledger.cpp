#include "routing/headroomledger.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "routing/engineroles.h"

namespace currantwalk {

static constexpr float GrowthRate = 0.02F; // Weight of one engine's present growth in the average.
static constexpr float LeastResidence =
        0.1F; // s; generations that end at once must not divide by 0.
static constexpr double ResidenceRate = 0.02; // Weight of one generation in the average.
static constexpr float SameEngine = 0.7F;     // Part of the others' sends that go where ours went.

static float secondsBetween(TimePoint from, TimePoint to)
{
    return std::max(0.0F, static_cast<float>((to - from).count()) / 1e6F);
}

HeadroomLedger::HeadroomLedger(const LengthEstimator &lengths, RandomSource &random)
    : m_lengths(lengths), m_random(random)
{
    m_growth.mean.fill(1);
}

MemoryForecast HeadroomLedger::forecast(const RoutingRequest &request) const
{
    return forecastGeneration(m_lengths.view(request.service, request.organisation),
                              request.promptTokens, 0, request.maxTokens);
}

MemoryForecast HeadroomLedger::forecast(const Generation &generation) const
{
    return forecastGeneration(m_lengths.view(generation.service, generation.organisation),
                              generation.promptTokens, generation.generated, generation.maxTokens);
}

void HeadroomLedger::onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now)
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
    engine.unseen += generation.forecast;
    m_unseen += generation.forecast;
    ++engine.ownCount;
    ++engine.unseenCount;
    std::size_t index = m_generations.size();
    if (m_free.empty()) {
        m_generations.push_back(std::move(generation));
    } else {
        index = m_free.back();
        m_free.pop_back();
        m_generations[index] = std::move(generation);
    }
    engine.generations.push_back(index);
    m_byRequest.emplace(request.id, index);
}

void HeadroomLedger::onToken(const RequestId &request, std::uint32_t generated)
{
    const auto it = m_byRequest.find(request);
    if (it != m_byRequest.end())
        m_generations[it->second].generated = generated;
}

void HeadroomLedger::drop(std::size_t index)
{
    m_generations[index] = Generation();
    m_free.push_back(index);
}

void HeadroomLedger::onReleased(const RequestId &request, TimePoint now)
{
    const auto it = m_byRequest.find(request);
    if (it == m_byRequest.end())
        return;
    const std::size_t index = it->second;
    m_byRequest.erase(it);
    const Generation &generation = m_generations[index];
    m_residence += (secondsBetween(generation.placedAt, now) - m_residence) * ResidenceRate;
    const auto engine = m_engines.find(generation.target);
    drop(index);
    if (engine == m_engines.end())
        return;
    std::erase(engine->second.generations, index);
    --engine->second.ownCount;
    rebuild(engine->second);
}

// Sums made anew keep no rounding errors, and take in what was learnt of lengths since.
void HeadroomLedger::rebuild(Engine &engine)
{
    m_unseen -= engine.unseen;
    engine.own = MemoryForecast();
    engine.unseen = MemoryForecast();
    engine.unseenCount = 0;
    for (const std::size_t index : engine.generations) {
        Generation &generation = m_generations[index];
        generation.forecast = forecast(generation);
        engine.own += generation.forecast;
        if (generation.placedAt <= engine.reportedAt)
            continue;
        engine.unseen += generation.forecast;
        ++engine.unseenCount;
    }
    m_unseen += engine.unseen;
}

// Other nodes' generations are taken to grow, on average, as this node's do.
void HeadroomLedger::learnGrowth(const Engine &engine)
{
    const float used = engine.own.mean[0];
    if (used < 1)
        return;
    for (std::size_t i = 0; i < ForecastSize; ++i) {
        m_growth.mean[i] += (engine.own.mean[i] / used - m_growth.mean[i]) * GrowthRate;
        m_growth.variance[i] += (engine.own.variance[i] / used - m_growth.variance[i]) * GrowthRate;
    }
}

std::uint64_t HeadroomLedger::onLoad(const Target &target, TimePoint)
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
    learnGrowth(engine);
    const float each = load.running > 0 ? static_cast<float>(load.usedTokens)
                                                  / static_cast<float>(load.running)
                                        : 0;
    const float reported =
            static_cast<float>(load.usedTokens) + each * static_cast<float>(load.waiting);
    engine.othersTokens = std::max(0.0F, reported - (engine.own.mean[0] - engine.unseen.mean[0]));
    return preempted;
}

void HeadroomLedger::onTargetGone(const TargetId &target)
{
    const auto engine = m_engines.find(target);
    if (engine == m_engines.end())
        return;
    m_unseen -= engine->second.unseen;
    std::erase_if(m_byRequest, [this, &target](const auto &entry) {
        if (m_generations[entry.second].target != target)
            return false;
        drop(entry.second);
        return true;
    });
    m_engines.erase(engine);
}

const HeadroomLedger::Engine *HeadroomLedger::find(const TargetId &target) const
{
    const auto it = m_engines.find(target);
    return it == m_engines.end() ? nullptr : &it->second;
}

// What the report showed of other nodes fades as their generations end; what they sent since is
// taken from what this node sent, partly here and partly spread over all engines.
float HeadroomLedger::peakWith(const Engine &engine, const MemoryForecast &need, std::size_t steps,
                               float margin, TimePoint now) const
{
    const float age = secondsBetween(engine.reportedAt, now);
    const float lives = age / std::max(LeastResidence, static_cast<float>(m_residence));
    const float left = 1 / (1 + lives + lives * lives / 2);
    const float others = engine.othersTokens * left;
    const float nodes = static_cast<float>(m_nodes - 1);
    const float here = nodes * SameEngine;
    const float spread =
            nodes * (1 - SameEngine) / std::max(1.0F, static_cast<float>(m_engines.size()));
    const float needs = 1 + nodes * engine.contention;
    std::array<float, ForecastSize> means;
    std::array<float, ForecastSize> variances;
    for (std::size_t i = 0; i < ForecastSize; ++i) {
        means[i] = engine.own.mean[i] + others * m_growth.mean[i] + here * engine.unseen.mean[i]
                   + spread * m_unseen.mean[i] + needs * need.mean[i];
        variances[i] = engine.own.variance[i] + others * m_growth.variance[i]
                       + here * engine.unseen.variance[i] + spread * m_unseen.variance[i]
                       + need.variance[i];
    }
    float peak = 0;
    for (std::size_t i = 0; i < std::min(steps, ForecastSize); ++i)
        peak = std::max(peak, means[i] + margin * std::sqrt(std::max(variances[i], 0.0F)));
    return peak;
}

std::vector<std::uint64_t> HeadroomLedger::ranks() const
{
    std::vector<std::uint64_t> ranks;
    for (const auto &[target, engine] : m_engines) {
        if (engine.capacityTokens > 0)
            ranks.push_back(engine.rank);
    }
    return ranks;
}

// What was sent since may run at once where nothing waited, so it counts only behind a queue.
float HeadroomLedger::waitingBatches(const Engine &engine) const
{
    if (engine.waiting == 0)
        return 0;
    const auto queue = static_cast<float>(engine.waiting + engine.unseenCount);
    return queue / static_cast<float>(std::max(engine.running, 1U));
}

float HeadroomLedger::headroomShare(const Engine &engine, float margin, TimePoint now) const
{
    const float peak = peakWith(engine, MemoryForecast(), ForecastSize, margin, now);
    return std::max(0.0F, engine.capacityTokens - peak) / static_cast<float>(m_nodes);
}

} // namespace currantwalk
