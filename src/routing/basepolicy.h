#ifndef CURRANTWALK_ROUTING_BASEPOLICY_H
#define CURRANTWALK_ROUTING_BASEPOLICY_H

#include <unordered_map>

#include "routing/policy.h"

namespace currantwalk {

using Candidates = std::vector<const Target *>;

/// What every policy shares: own calls in progress, excluded targets, plain calls and requests that
/// must run alone.
class BasePolicy : public RoutingPolicy
{
public:
    RoutingDecision decide(const RoutingRequest &request, const Candidates &candidates,
                           TimePoint now) override;
    void onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now) override;
    void onToken(const RequestId &request, std::uint32_t generated, TimePoint now) override;
    void onReleased(const RequestId &request, bool isComplete, std::uint32_t generated,
                    TimePoint now) override;
    void onLoad(const Target &target, TimePoint now) override;
    void onCacheEvent(const TargetId &target, std::uint64_t prefixHash, bool isCached) override;
    void onTargetGone(const TargetId &target) override;
    void onNodeCount(std::uint32_t nodes) override;

protected:
    explicit BasePolicy(std::uint64_t seed) : m_random(seed) {}

    /// Chooses for a generation among \a allowed, which is not empty.
    virtual RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                                   TimePoint now) = 0;

    /// Calls and generations of this node in progress at the target.
    std::uint32_t outstanding(const TargetId &target) const;
    RandomSource &random() { return m_random; }

private:
    struct OwnCall
    {
        TargetId target;
        bool isSuspect = false;
    };
    struct OwnLoad
    {
        std::uint32_t calls = 0;
        std::uint32_t suspects = 0;
    };

    bool isAllowed(const RoutingRequest &request, const Target &target) const;
    RoutingDecision chooseIdle(const Candidates &allowed, TimePoint now) const;
    RoutingDecision choosePlain(const Candidates &allowed);

    RandomSource m_random;
    std::unordered_map<RequestId, OwnCall> m_calls;
    std::unordered_map<TargetId, OwnLoad> m_loads;
    std::uint32_t m_suspects = 0; // In progress.
    Candidates m_allowed;         // Kept between decisions to save allocations.
};

/// Returns the decision to place at \a target by \a rule.
RoutingDecision placeAt(const Target &target, std::string_view rule, std::size_t candidates,
                        double score);
/// Returns the decision to hold until \a askAgainAt because of \a rule.
RoutingDecision holdUntil(TimePoint askAgainAt, std::string_view rule, std::size_t candidates);

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_BASEPOLICY_H
