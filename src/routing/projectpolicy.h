#ifndef CURRANTWALK_ROUTING_PROJECTPOLICY_H
#define CURRANTWALK_ROUTING_PROJECTPOLICY_H

#include "routing/basepolicy.h"
#include "routing/headroomledger.h"
#include "routing/lengthestimator.h"

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

    void adaptMargin(std::uint64_t preempted);

    LengthEstimator m_lengths;
    HeadroomLedger m_ledger;
    std::unordered_map<RequestId, Origin> m_origins;
    float m_margin;
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_PROJECTPOLICY_H
