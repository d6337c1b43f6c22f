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
        bool isFit = false;
    };

    void adaptMargin(std::uint64_t preempted);
    Fit fitOf(const RoutingRequest &request, const Target &target, const MemoryForecast &need,
              std::size_t steps, bool isShort, TimePoint now) const;
    void updateRoles();

    LengthEstimator m_lengths;
    HeadroomLedger m_ledger;
    EngineRoles m_roles;
    PrefixIndex m_prefixes;

    std::unordered_map<RequestId, Origin> m_origins;
    float m_margin;
    std::uint64_t m_shortLimit = 0; // See EngineRoles.
    std::uint32_t m_placedSinceRoles = 0;
    Candidates m_drawn; // Kept between decisions to save allocations.
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_PROJECTPOLICY_H
