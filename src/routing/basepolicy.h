#ifndef CURRANTWALK_ROUTING_BASEPOLICY_H
#define CURRANTWALK_ROUTING_BASEPOLICY_H

#include <unordered_map>

#include "routing/policy.h"

namespace currantwalk {

using Candidates = std::vector<const Target *>;

/// Implements what all policies have in common: tracking of this node's calls in flight, excluded
/// targets, plain calls, and suspect requests, which must run alone on a target.
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

    /// Chooses a target for a generation. \a allowed is not empty.
    virtual RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                                   TimePoint now) = 0;

    /// Returns the number of calls and generations of this node in flight at the target.
    std::uint32_t callsInFlight(const TargetId &target) const;
    RandomSource &random() { return m_random; }

private:
    struct InFlightCall
    {
        TargetId target;
        bool isSuspect = false;
    };
    struct TargetCalls
    {
        std::uint32_t calls = 0;
        std::uint32_t suspects = 0;
    };

    bool isAllowed(const RoutingRequest &request, const Target &target) const;
    RoutingDecision chooseForSuspect(const Candidates &allowed, TimePoint now) const;
    RoutingDecision chooseForPlainCall(const Candidates &allowed);

    RandomSource m_random;
    std::unordered_map<RequestId, InFlightCall> m_calls;
    std::unordered_map<TargetId, TargetCalls> m_loads;
    std::uint32_t m_suspectsInFlight = 0; // Suspect requests in flight.
    Candidates m_allowed;                 // Reused between decisions to avoid allocations.
};

/// Returns a decision to place the request at \a target, with \a rule as the reason.
RoutingDecision placeAt(const Target &target, std::string_view rule, std::size_t candidates,
                        double score);
/// Returns a decision to hold the request until \a retryAt, with \a rule as the reason.
RoutingDecision holdUntil(TimePoint retryAt, std::string_view rule, std::size_t candidates);

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_BASEPOLICY_H
