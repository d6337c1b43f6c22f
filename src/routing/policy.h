#ifndef CURRANTWALK_ROUTING_POLICY_H
#define CURRANTWALK_ROUTING_POLICY_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "targets/target.h"

namespace currantwalk {

/// The properties of a generation that its placement depends on.
struct RoutingRequest
{
    RequestId id;
    std::string model;
    std::string service;
    std::string organisation;
    std::uint32_t priorityRank = 0; ///< 0 is served first and shed last.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;             ///< Requested by the caller; 0 if not given.
    std::vector<std::uint64_t> prefixHashes; ///< Of the prompt's leading blocks, cumulative.
    TimePoint arrivedAt{};                   ///< At this node.
    TimePoint holdDeadline{};                ///< Deadline for waiting; then shed.
    std::vector<TargetId> excludedTargets;   ///< Targets that this request must not go to.
    bool isSuspect = false;                  ///< May crash its target, so it must run alone there.
};

enum class RoutingVerdict {
    Place, ///< Send to the given target.
    Hold,  ///< Retry after the next change, or at `retryAt`.
    Shed,  ///< Refuse now; the caller may retry after `retryAfter`.
};

/// The rule and figures behind a decision; shown by `currantwalk explain`.
struct RoutingReason
{
    std::string rule; ///< Name of the rule that decided, such as "least-reserved".
    std::uint32_t candidates = 0;
    double score = 0;               ///< Of the target chosen; lower is better.
    double expectedTokens = 0;      ///< Estimate of the tokens to be generated.
    double reservedTokens = 0;      ///< Target memory reserved for this request.
    double headroomTokens = 0;      ///< This node's share of the free memory before placing.
    std::uint32_t prefixTokens = 0; ///< Estimate of the prompt tokens cached at the target.
};

struct RoutingDecision
{
    RoutingVerdict verdict = RoutingVerdict::Hold;
    TargetId target;
    TimePoint retryAt{};
    Duration retryAfter{0};
    RoutingReason reason;
};

/// Chooses targets for generations and adapts to their observed behaviour. There is one instance
/// per node, and the caller reports each event once. Plain service calls use it with zero tokens.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    /// \a candidates are the targets that can serve the request, except
    /// those that are leaving.
    virtual RoutingDecision decide(const RoutingRequest &request,
                                   const std::vector<const Target *> &candidates,
                                   TimePoint now) = 0;

    virtual void onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now) = 0;
    /// Called for each token. \a generated is the number of tokens generated so far.
    virtual void onToken(const RequestId &request, std::uint32_t generated, TimePoint now) = 0;
    /// Called when the generation no longer uses its target: it ended, was cancelled or was lost.
    virtual void onReleased(const RequestId &request, bool isComplete, std::uint32_t generated,
                            TimePoint now) = 0;
    /// Called when a new load report of a target arrives.
    virtual void onLoad(const Target &target, TimePoint now) = 0;
    /// Called when an engine announces that it has cached or evicted the block with this cumulative
    /// hash.
    virtual void onCacheEvent(const TargetId &target, std::uint64_t prefixHash, bool isCached) = 0;
    /// Called when a target is removed. Discards all state for it.
    virtual void onTargetGone(const TargetId &target) = 0;
    /// Sets the number of live nodes that share the targets, including this one.
    virtual void onNodeCount(std::uint32_t nodes) = 0;
};

/// Creates the policy with the given name, such as "project". Returns null for an unknown name.
std::unique_ptr<RoutingPolicy> createRoutingPolicy(std::string_view name, std::uint64_t seed);
/// Returns the names accepted by createRoutingPolicy().
std::vector<std::string_view> routingPolicyNames();

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_POLICY_H
