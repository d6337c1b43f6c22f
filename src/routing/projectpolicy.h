#ifndef CURRANTWALK_ROUTING_PROJECTPOLICY_H
#define CURRANTWALK_ROUTING_PROJECTPOLICY_H

#include "routing/basepolicy.h"
#include "routing/engineroles.h"
#include "routing/headroomledger.h"
#include "routing/lengthestimator.h"
#include "routing/prefixindex.h"

namespace currantwalk {

/// The policy of the daemon: places where the memory forecast peaks lowest, and holds a generation
/// at the node while no engine has room for what it is expected to become.
class ProjectPolicy : public BasePolicy
{
public:
    explicit ProjectPolicy(std::uint64_t seed);

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

    struct Fit
    {
        const Target *target = nullptr;
        const HeadroomLedger::Engine *engine = nullptr;
        float score = 0;
        std::uint32_t prefixTokens = 0;
    };

    void adaptMargin(std::uint64_t preempted);
    void collectFits(const RoutingRequest &request, const Candidates &allowed,
                     const MemoryForecast &need, bool isShort, TimePoint now);
    void preferCached(const RoutingRequest &request);
    std::uint64_t shortLimit(const Candidates &allowed);

    LengthEstimator m_lengths;
    HeadroomLedger m_ledger;
    EngineRoles m_roles;
    PrefixIndex m_prefixes;

    std::unordered_map<RequestId, Origin> m_origins;
    float m_margin;
    std::vector<Fit> m_fits; // Kept between decisions to save allocations, as are the ranks.
    std::vector<std::uint64_t> m_ranks;
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_PROJECTPOLICY_H
