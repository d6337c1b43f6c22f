#ifndef CURRANTWALK_ROUTING_ENGINEMEMORYTRACKER_H
#define CURRANTWALK_ROUTING_ENGINEMEMORYTRACKER_H

#include <memory>
#include <unordered_map>
#include <vector>

#include "routing/memoryforecast.h"
#include "routing/policy.h"

namespace currantwalk {

/// Estimates the memory use of each engine. Generations of this node are tracked one
/// by one. Those of other nodes are inferred from the engine's load reports and from this node's
/// own placements.
class EngineMemoryTracker
{
public:
    /// \a lengths and \a random must outlive the tracker.
    EngineMemoryTracker(const LengthEstimator &lengths, RandomSource &random);

    /// What this node knows of one engine.
    struct Engine
    {
        MemoryForecast own;         ///< For this node's generations.
        MemoryForecast unreported;  ///< For those placed since the last report.
        float otherNodesTokens = 0; ///< Used by other nodes, as of the report.
        float capacityTokens = 0;   ///< 0 until the first report.
        float contention = 0;       ///< Drawn from [0, 1) at each report; see peakWith().
        std::uint32_t ownCount = 0;
        std::uint32_t unreportedCount = 0;
        std::uint64_t preemptions = 0;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        TimePoint reportedAt{};
        std::uint64_t rank = 0;               ///< See EngineRoles.
        std::vector<std::size_t> generations; ///< Indices in m_generations.
    };

    void onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now);
    void onToken(const RequestId &request, std::uint32_t generated);
    void onReleased(const RequestId &request, TimePoint now);
    /// Returns the number of preemptions since the previous report.
    std::uint64_t onLoad(const Target &target, TimePoint now);
    void onTargetGone(const TargetId &target);
    void onNodeCount(std::uint32_t nodes) { m_nodes = nodes < 1 ? 1 : nodes; }

    const Engine *find(const TargetId &target) const;
    /// Returns the forecast peak of memory use at \a engine, in tokens, if \a need is added, plus
    /// \a margin standard deviations. Covers the first \a steps forecast steps. Each other node is
    /// assumed to add a fraction of \a need equal to the engine's contention.
    float peakWith(const Engine &engine, const MemoryForecast &need, std::size_t steps,
                   float margin, TimePoint now) const;
    /// Returns this node's share of the memory that is free at the forecast peak, in tokens.
    float headroomShare(const Engine &engine, float margin, TimePoint now) const;
    /// Returns the forecast for a request that has not been placed yet.
    MemoryForecast forecast(const RoutingRequest &request) const;

    std::size_t generations() const { return m_byRequest.size(); }
    std::size_t engines() const { return m_engines.size(); }
    /// Returns the ranks of all engines that have sent a report; see EngineRoles.
    std::vector<std::uint64_t> ranks() const;
    /// Returns the number of generations queued at the engine divided by the number running there.
    /// If any were queued at the last report, those placed since then are included.
    float queuedBatches(const Engine &engine) const;

private:
    struct Generation
    {
        std::string service;
        std::string organisation;
        TargetId target;
        std::uint32_t promptTokens = 0;
        std::uint32_t maxTokens = 0;
        std::uint32_t generated = 0;
        TimePoint placedAt{};
        MemoryForecast forecast;
    };

    MemoryForecast forecast(const Generation &generation) const;
    void rebuild(Engine &engine);
    void updateGrowth(const Engine &engine);
    void freeSlot(std::size_t index);

    const LengthEstimator &m_lengths;
    RandomSource &m_random;
    std::uint32_t m_nodes = 1;
    std::unordered_map<TargetId, Engine> m_engines;
    std::unordered_map<RequestId, std::size_t> m_byRequest;
    std::vector<Generation> m_generations;
    std::vector<std::size_t> m_freeSlots;
    MemoryForecast m_unreported;        // Sum over all engines.
    MemoryForecast m_growth;            // Average forecast per token in use at an engine.
    double m_meanResidenceSeconds = 10; // Average time a generation runs.
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_ENGINEMEMORYTRACKER_H
