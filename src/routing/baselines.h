#ifndef CURRANTWALK_ROUTING_BASELINES_H
#define CURRANTWALK_ROUTING_BASELINES_H

#include "routing/basepolicy.h"

namespace currantwalk {

/// Chooses a target uniformly at random.
class RandomPolicy : public BasePolicy
{
public:
    explicit RandomPolicy(std::uint64_t seed) : BasePolicy(seed) {}

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override;
};

/// Chooses the targets in rotation.
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

/// Chooses the target with the lowest load in its last report.
class LeastReportedLoadPolicy : public BasePolicy
{
public:
    explicit LeastReportedLoadPolicy(std::uint64_t seed) : BasePolicy(seed) {}

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override;
};

/// Chooses the less loaded, by its last report, of two targets drawn at random.
class TwoChoicesPolicy : public BasePolicy
{
public:
    explicit TwoChoicesPolicy(std::uint64_t seed) : BasePolicy(seed) {}

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override;
};

/// Uses a billiard sequence: a deterministic schedule that spaces the requests of each target as
/// evenly as possible for its share. Shares are computed by squareRootShares() from capacities.
class BilliardPolicy : public BasePolicy
{
public:
    explicit BilliardPolicy(std::uint64_t seed) : BasePolicy(seed) {}

    void onTargetGone(const TargetId &target) override;

protected:
    RoutingDecision choose(const RoutingRequest &request, const Candidates &allowed,
                           TimePoint now) override;

private:
    double nextSlot(const Target &target);

    std::unordered_map<TargetId, double> m_nextSlots;
};

/// Returns the load in the target's last report as a fraction of its memory. A waiting generation
/// counts as much as the average running one. Without a known capacity, returns the number of
/// running and waiting generations.
double reportedLoad(const Target &target);
/// Returns, for each service rate, the share of requests that minimises the mean response time of
/// parallel M/M/1 servers. \a load is the arrival rate divided by the total service rate.
/// \pre 0 < load < 1
std::vector<double> squareRootShares(const std::vector<double> &rates, double load);

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_BASELINES_H
