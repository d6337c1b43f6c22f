#include "routing/zonepolicy.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

static constexpr Duration NoTargetRetryInterval = std::chrono::milliseconds(250);
static constexpr Duration NoTargetRetryAfter = std::chrono::seconds(2);

namespace {

class ZonePolicy : public RoutingPolicy
{
public:
    ZonePolicy(std::unique_ptr<RoutingPolicy> inner, std::string zone)
        : m_inner(std::move(inner)), m_zone(std::move(zone))
    {
    }

    RoutingDecision decide(const RoutingRequest &request,
                           const std::vector<const Target *> &candidates, TimePoint now) override;

    void onPlaced(const RoutingRequest &request, const TargetId &target, TimePoint now) override
    {
        m_inner->onPlaced(request, target, now);
    }
    void onToken(const RequestId &request, std::uint32_t generated, TimePoint now) override
    {
        m_inner->onToken(request, generated, now);
    }
    void onReleased(const RequestId &request, bool isComplete, std::uint32_t generated,
                    TimePoint now) override
    {
        m_inner->onReleased(request, isComplete, generated, now);
    }
    void onLoad(const Target &target, TimePoint now) override { m_inner->onLoad(target, now); }
    void onCacheEvent(const TargetId &target, std::uint64_t prefixHash, bool isCached) override
    {
        m_inner->onCacheEvent(target, prefixHash, isCached);
    }
    void onTargetGone(const TargetId &target) override { m_inner->onTargetGone(target); }
    void onNodeCount(std::uint32_t nodes) override { m_inner->onNodeCount(nodes); }

private:
    std::unique_ptr<RoutingPolicy> m_inner;
    const std::string m_zone;
};

} // namespace

// A request that excludes targets is refused at once, because its call may retry the excluded ones.
static RoutingDecision decideWithoutCandidates(const RoutingRequest &request, TimePoint now)
{
    RoutingDecision decision;
    const bool hasExclusions = !request.excludedTargets.empty();
    decision.verdict = hasExclusions ? RoutingVerdict::Shed : RoutingVerdict::Hold;
    decision.retryAt = now + NoTargetRetryInterval;
    decision.retryAfter = NoTargetRetryAfter;
    decision.reason.rule = "no-target";
    return decision;
}

RoutingDecision ZonePolicy::decide(const RoutingRequest &request,
                                   const std::vector<const Target *> &candidates, TimePoint now)
{
    std::vector<const Target *> local = candidates;
    const auto isLocal = [this](const Target *target) { return target->zone == m_zone; };
    const auto firstRemote = std::stable_partition(local.begin(), local.end(), isLocal);
    const std::vector<const Target *> remote(firstRemote, local.end());
    local.erase(firstRemote, local.end());
    if (local.empty() && remote.empty())
        return decideWithoutCandidates(request, now);
    if (local.empty())
        return m_inner->decide(request, remote, now);
    const RoutingDecision localDecision = m_inner->decide(request, local, now);
    if (localDecision.verdict == RoutingVerdict::Place || remote.empty())
        return localDecision;
    const RoutingDecision remoteDecision = m_inner->decide(request, remote, now);
    return remoteDecision.verdict == RoutingVerdict::Place ? remoteDecision : localDecision;
}

std::unique_ptr<RoutingPolicy> createZonePolicy(std::unique_ptr<RoutingPolicy> inner,
                                                std::string zone)
{
    return std::make_unique<ZonePolicy>(std::move(inner), std::move(zone));
}

} // namespace currantwalk
