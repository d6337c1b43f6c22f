#ifndef CURRANTWALK_ROUTING_PROJECTPOLICY_H
#define CURRANTWALK_ROUTING_PROJECTPOLICY_H

#include "routing/basepolicy.h"

namespace currantwalk {

/// The policy of the daemon: places where the memory reserved is least, and holds a generation at
/// the node while no engine has room for it.
class ProjectPolicy : public BasePolicy
{
public:
    explicit ProjectPolicy(std::uint64_t seed) : BasePolicy(seed) {}

    void onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now) override;
    void onLoad(const Target &target, TimePoint now) override;
    void onTargetGone(const TargetId &target) override;

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override;

private:
    std::unordered_map<TargetId, double> m_sentTokens; // Since the last report.
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_PROJECTPOLICY_H
