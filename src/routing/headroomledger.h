#ifndef CURRANTWALK_ROUTING_HEADROOMLEDGER_H
#define CURRANTWALK_ROUTING_HEADROOMLEDGER_H

#include <memory>
#include <unordered_map>
#include <vector>

#include "routing/memoryforecast.h"
#include "routing/policy.h"

namespace currantwalk {

/// What this node reckons of each engine's memory: its own generations, followed one by one, and
/// those of other nodes, inferred from the engine's reports and from what this node does itself.
class HeadroomLedger
{
public:
    /// \a lengths and \a random must outlive the ledger.
    HeadroomLedger(const LengthEstimator &lengths, RandomSource &random);

    /// One engine as it is known here.
    struct Engine
    {
        MemoryForecast own;       ///< Of this node's generations.
        MemoryForecast unseen;    ///< Of those among them that the last report lacks.
        float othersTokens = 0;   ///< Used by other nodes' generations, as of the report.
        float capacityTokens = 0; ///< 0 while no report came.
        float contention = 0;     ///< Drawn from [0, 1) at each report; see peakWith().
        std::uint32_t ownCount = 0;
        std::uint32_t unseenCount = 0;
        std::uint64_t preemptions = 0;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        TimePoint reportedAt{};
        std::uint64_t rank = 0;               ///< See EngineRoles.
        std::vector<std::size_t> generations; ///< Indices in the ledger.
    };

    void onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now);
    void onToken(const RequestId &request, std::uint32_t generated);
    void onReleased(const RequestId &request, TimePoint now);
    /// Returns how many preemptions the report adds.
    std::uint64_t onLoad(const Target &target, TimePoint now);
    void onTargetGone(const TargetId &target);
    void onNodeCount(std::uint32_t nodes) { m_nodes = nodes < 1 ? 1 : nodes; }

    const Engine *find(const TargetId &target) const;
    /// Returns the highest memory use to come at \a engine once \a need is added, with \a margin
    /// standard deviations, over the steps that \a need lives for. Each other node is taken to add,
    /// by the engine's contention, as much as this one.
    float peakWith(const Engine &engine, const MemoryForecast &need, std::size_t steps,
                   float margin, TimePoint now) const;
    /// Returns this node's share of the memory that stays free at the peak forecast.
    float headroomShare(const Engine &engine, float margin, TimePoint now) const;
    /// Forecasts a request that is to be placed.
    MemoryForecast forecast(const RoutingRequest &request) const;

    std::size_t generations() const { return m_byRequest.size(); }
    std::size_t engines() const { return m_engines.size(); }
    /// Returns the ranks of all engines that reported; see EngineRoles.
    std::vector<std::uint64_t> ranks() const;
    /// Returns how many batches of generations wait at the engine, those sent since its report
    /// included.
    float waitingBatches(const Engine &engine) const;

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
    void learnGrowth(const Engine &engine);
    void drop(std::size_t index);

    const LengthEstimator &m_lengths;
    RandomSource &m_random;
    std::uint32_t m_nodes = 1;
    std::unordered_map<TargetId, Engine> m_engines;
    std::unordered_map<RequestId, std::size_t> m_byRequest;
    std::vector<Generation> m_generations;
    std::vector<std::size_t> m_free;
    MemoryForecast m_unseen; // Of all engines.
    MemoryForecast m_growth; // Of one token in use at an engine, on average.
    double m_residence = 10; // s that a generation stays, on average.
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_HEADROOMLEDGER_H
