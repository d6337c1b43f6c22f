#ifndef CURRANTWALK_ROUTING_BASELINES_H
#define CURRANTWALK_ROUTING_BASELINES_H

#include "routing/basepolicy.h"

namespace currantwalk {

/// Any target, alike.
class RandomPolicy : public BasePolicy
{
public:
    explicit RandomPolicy(std::uint64_t seed) : BasePolicy(seed) {}

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override;
};

/// Each target in turn.
class RoundRobinPolicy : public BasePolicy
{
public:
    explicit RoundRobinPolicy(std::uint64_t seed);

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override;

private:
    std::uint64_t m_next;
};

/// The target with the least load in its last report.
class LeastReportedPolicy : public BasePolicy
{
public:
    explicit LeastReportedPolicy(std::uint64_t seed) : BasePolicy(seed) {}

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override;
};

/// The less loaded, by the last report, of two targets taken at random.
class TwoChoicesPolicy : public BasePolicy
{
public:
    explicit TwoChoicesPolicy(std::uint64_t seed) : BasePolicy(seed) {}

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override;
};

/// The billiard sequence: a deterministic round that gives each target its share as evenly in time
/// as can be. Shares follow the square-root rule on the targets' rates.
class BilliardPolicy : public BasePolicy
{
public:
    explicit BilliardPolicy(std::uint64_t seed) : BasePolicy(seed) {}

    void onTargetGone(const TargetId &target) override;

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override;

private:
    double start(const Target &target);

    std::unordered_map<TargetId, double> m_positions;
};

/// Returns the load in the target's last report, as a share of its memory; a generation that waits
/// counts as one that runs.
double reportedLoad(const Target &target);
/// Returns the share of requests for each rate that gives the least mean response time of parallel
/// exponential servers at \a load of their joint rate. \pre 0 < load < 1
std::vector<double> squareRootShares(const std::vector<double> &rates, double load);

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_BASELINES_H
