#ifndef CURRANTWALK_ROUTING_MEMORYFORECASTPOLICY_H
#define CURRANTWALK_ROUTING_MEMORYFORECASTPOLICY_H

#include "routing/basepolicy.h"
#include "routing/enginememorytracker.h"
#include "routing/engineroles.h"
#include "routing/lengthestimator.h"
#include "routing/prefixindex.h"

namespace currantwalk {

/// The default policy of the daemon, named "project". Samples two engines with room and chooses the
/// one with the lower score, which is mainly its forecast peak memory use. Holds a generation at
/// the node while no engine has room for its expected memory use.
class MemoryForecastPolicy : public BasePolicy
{
public:
    explicit MemoryForecastPolicy(std::uint64_t seed);

    void onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now) override;
    void onToken(const RequestId &request, std::uint32_t generated, TimePoint now) override;
    void onReleased(const RequestId &request, bool isComplete, std::uint32_t generated,
                    TimePoint now) override;
    void onLoad(const Target &target, TimePoint now) override;
    void onCacheEvent(const TargetId &target, std::uint64_t prefixHash, bool isCached) override;
    void onTargetGone(const TargetId &target) override;
    void onNodeCount(std::uint32_t nodes) override;

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override;

private:
    struct Origin
    {
        std::string service;
        std::string organisation;
    };

    struct Evaluation
    {
        const Target *target = nullptr;
        const EngineMemoryTracker::Engine *engine = nullptr;
        float score = 0;
        std::uint32_t prefixTokens = 0;
        bool hasRoom = false;
    };

    void adaptMargin(std::uint64_t preempted);
    Evaluation evaluate(const RoutingRequest &request, const Target &target,
                        const MemoryForecast &need, std::size_t steps, bool isShort,
                        TimePoint now) const;
    void updateRoles();

    LengthEstimator m_lengths;
    EngineMemoryTracker m_memory;
    EngineRoles m_roles;
    PrefixIndex m_prefixes;

    std::unordered_map<RequestId, Origin> m_origins;
    float m_margin;
    std::uint64_t m_maxShortRank = 0; // See EngineRoles::maxShortRank().
    std::uint32_t m_placedSinceRoleUpdate = 0;
    Candidates m_shuffled; // Reused between decisions to avoid allocations.
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_MEMORYFORECASTPOLICY_H
