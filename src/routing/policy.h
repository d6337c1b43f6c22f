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

/// What is known of a generation when it is to be placed.
struct RoutingRequest
{
    RequestId id;
    std::string model;
    std::string service;
    std::string organisation;
    std::uint32_t priorityRank = 0; ///< 0 is served first and shed last.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;             ///< Asked for by the caller; 0 where not said.
    std::vector<std::uint64_t> prefixHashes; ///< Of the prompt's leading blocks, cumulative.
    TimePoint arrivedAt{};                   ///< At this node.
    TimePoint holdUntil{};                   ///< When to give up waiting for room.
    std::vector<TargetId> excluded;          ///< Targets that this request must not go to.
    bool isSuspect = false; ///< Must run where no other generation is harmed by a crash.
};

enum class RoutingVerdict {
    Place, ///< Send to the target named.
    Hold,  ///< Ask again after the next change, or at `askAgainAt`.
    Shed,  ///< Refuse now; the caller may come back after `retryAfter`.
};

/// Why a request went where it went, as figures; see `currantwalk explain`.
struct RoutingReason
{
    std::string rule; ///< Name of the rule that decided, such as "least-reserved".
    std::uint32_t candidates = 0;
    double score = 0;               ///< Of the target chosen; lower is better.
    double expectedTokens = 0;      ///< Still to be generated, as reckoned.
    double reservedTokens = 0;      ///< Of the target's memory, for this request.
    double headroomTokens = 0;      ///< This node's share of the target's free memory, before it.
    std::uint32_t prefixTokens = 0; ///< Reckoned to be cached there.
};

struct RoutingDecision
{
    RoutingVerdict verdict = RoutingVerdict::Hold;
    TargetId target;
    TimePoint askAgainAt{};
    Duration retryAfter{0};
    RoutingReason reason;
};

/// Chooses targets for generations and learns from how they go. One instance a node; the caller
/// reports each event once. Plain service calls use it with no tokens.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    /// \a candidates are the targets that can serve the request; leaving ones are not among them.
    virtual RoutingDecision decide(const RoutingRequest &request,
                                   const std::vector<const Target *> &candidates,
                                   TimePoint now) = 0;

    virtual void onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now) = 0;
    /// \a generated counts the tokens of this generation so far.
    virtual void onToken(const RequestId &request, std::uint32_t generated, TimePoint now) = 0;
    /// The generation left its target: ended, cancelled or lost.
    virtual void onReleased(const RequestId &request, bool isComplete, std::uint32_t generated,
                            TimePoint now) = 0;
    /// A new load report of a target came in.
    virtual void onLoad(const Target &target, TimePoint now) = 0;
    /// An engine announced that it caches, or dropped, the block with this cumulative hash.
    virtual void onCacheEvent(const TargetId &target, std::uint64_t prefixHash, bool isCached) = 0;
    /// The target is gone; all that was known of it is dropped.
    virtual void onTargetGone(const TargetId &target) = 0;
    /// Live nodes that share the targets with this one, itself included.
    virtual void onNodeCount(std::uint32_t nodes) = 0;
};

/// Names a policy of the table of policies, "project" among them; null for an unknown name.
std::unique_ptr<RoutingPolicy> createRoutingPolicy(std::string_view name, std::uint64_t seed);
/// Returns the names that createRoutingPolicy() knows.
std::vector<std::string_view> routingPolicyNames();

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_POLICY_H
