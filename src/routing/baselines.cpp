#include "routing/baselines.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace currantwalk {

// Shares are computed for high utilisation, where they matter most. At this load they are close to
// proportional to the targets' rates.
static constexpr double BilliardLoad = 0.9;

double reportedLoad(const Target &target)
{
    const TargetLoad &load = target.load;
    if (load.capacityTokens == 0)
        return load.running + load.waiting;
    const double used = static_cast<double>(load.usedTokens);
    const double each = load.running > 0 ? used / load.running : 0;
    return (used + each * load.waiting) / static_cast<double>(load.capacityTokens);
}

RoutingDecision RandomPolicy::choose(const RoutingRequest &, const Candidates &allowed, TimePoint)
{
    return placeAt(*allowed[random().uniformBelow(allowed.size())], "random", allowed.size(), 0);
}

RoundRobinPolicy::RoundRobinPolicy(std::uint64_t seed) : BasePolicy(seed), m_next(random().next64())
{
}

RoutingDecision RoundRobinPolicy::choose(const RoutingRequest &, const Candidates &allowed,
                                         TimePoint)
{
    return placeAt(*allowed[m_next++ % allowed.size()], "round-robin", allowed.size(), 0);
}

RoutingDecision LeastReportedLoadPolicy::choose(const RoutingRequest &, const Candidates &allowed,
                                                TimePoint)
{
    const Target *best = allowed.front();
    for (const Target *target : allowed) {
        if (reportedLoad(*target) < reportedLoad(*best))
            best = target;
    }
    return placeAt(*best, "least-reported", allowed.size(), reportedLoad(*best));
}

RoutingDecision TwoChoicesPolicy::choose(const RoutingRequest &, const Candidates &allowed,
                                         TimePoint)
{
    const Target *first = allowed[random().uniformBelow(allowed.size())];
    const Target *second = allowed[random().uniformBelow(allowed.size())];
    const Target &chosen = reportedLoad(*second) < reportedLoad(*first) ? *second : *first;
    return placeAt(chosen, "two-choices", allowed.size(), reportedLoad(chosen));
}

// For parallel M/M/1 queues, the optimal arrival rate of target i is mu_i - c * sqrt(mu_i), where c
// is chosen so that the rates sum to the total arrival rate. Targets with a negative rate are
// removed and c is computed again.
std::vector<double> squareRootShares(const std::vector<double> &rates, double load)
{
    const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
    const double arrivals = load * total;
    std::vector<bool> isUsed(rates.size(), true);
    std::vector<double> shares(rates.size(), 0);
    for (bool isRemoved = true; isRemoved;) {
        isRemoved = false;
        double sum = 0;
        double rootSum = 0;
        for (std::size_t i = 0; i < rates.size(); ++i) {
            sum += isUsed[i] ? rates[i] : 0;
            rootSum += isUsed[i] ? std::sqrt(rates[i]) : 0;
        }
        const double slack = rootSum > 0 ? (sum - arrivals) / rootSum : 0;
        for (std::size_t i = 0; i < rates.size(); ++i) {
            shares[i] = isUsed[i] ? rates[i] - slack * std::sqrt(rates[i]) : 0;
            if (shares[i] >= 0)
                continue;
            shares[i] = 0;
            isUsed[i] = false;
            isRemoved = true;
        }
    }
    for (double &share : shares)
        share /= arrivals;
    return shares;
}

// A random initial offset prevents several nodes from following the same sequence in step.
double BilliardPolicy::nextSlot(const Target &target)
{
    const auto it = m_nextSlots.find(target.id);
    if (it != m_nextSlots.end())
        return it->second;
    double earliest = 0;
    for (const auto &position : m_nextSlots)
        earliest = position.second < earliest || earliest == 0 ? position.second : earliest;
    return m_nextSlots[target.id] = earliest + random().uniform();
}

RoutingDecision BilliardPolicy::choose(const RoutingRequest &, const Candidates &allowed, TimePoint)
{
    std::vector<double> rates;
    rates.reserve(allowed.size());
    for (const Target *target : allowed)
        rates.push_back(std::max<double>(1, static_cast<double>(target->load.capacityTokens)));
    const std::vector<double> shares = squareRootShares(rates, BilliardLoad);
    std::size_t best = 0;
    double bestTime = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < allowed.size(); ++i) {
        const double time = nextSlot(*allowed[i]);
        if (shares[i] > 0 && time < bestTime) {
            best = i;
            bestTime = time;
        }
    }
    m_nextSlots[allowed[best]->id] = bestTime + 1 / shares[best];
    return placeAt(*allowed[best], "billiard", allowed.size(), bestTime);
}

void BilliardPolicy::onTargetGone(const TargetId &target)
{
    BasePolicy::onTargetGone(target);
    m_nextSlots.erase(target);
}

} // namespace currantwalk
