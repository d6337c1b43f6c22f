#include "limits/coldgrants.h"

#include <algorithm>
#include <array>

namespace currantwalk {

namespace {

/// A node's part of the rate of the first one, and of the slack.
struct Share
{
    double rate = 0;
    double slack = 0;
};

} // namespace

// Of the nodes of the target's zone, in the order in which they are asked. Nodes behind them grant
// nothing: they would be asked only if three others did not answer.
static constexpr std::array<Share, 3> ZoneShares{{{1, 0.4}, {0.5, 0.2}, {0.25, 0.2}}};
// Of the first node of the other zones.
static constexpr Share StandInShare{0.25, 0.2};
// A second, and the lifetime of the grants that were given before it.
static constexpr double WindowSeconds =
        1 + std::chrono::duration<double>(ColdGrantLifetime).count();

// A balance below 1 grants nothing. The first node must be able to, however small the slack.
static double burstOf(const Share &share, const ColdBound &bound)
{
    const double burst = share.slack * bound.slack;
    if (&share == &ZoneShares.front())
        return std::max(1.0, burst);
    return burst >= 1 ? burst : 0;
}

static const Share *shareOf(const GrantRank &rank)
{
    if (rank.isStandIn)
        return rank.place == 0 ? &StandInShare : nullptr;
    return rank.place < ZoneShares.size() ? &ZoneShares[rank.place] : nullptr;
}

std::optional<GrantTerms> coldTerms(double perSecond, const ColdBound &bound, const GrantRank &rank)
{
    const Share *const share = shareOf(rank);
    if (!share)
        return std::nullopt;
    double rates = StandInShare.rate;
    double bursts = burstOf(StandInShare, bound);
    for (const Share &each : ZoneShares) {
        rates += each.rate;
        bursts += burstOf(each, bound);
    }
    const double first =
            (perSecond * bound.excess + bound.slack - bursts) / (WindowSeconds * rates);
    const double burst = burstOf(*share, bound);
    if (first <= 0 || burst < 1)
        return std::nullopt;
    return GrantTerms{share->rate * first, burst, 0};
}

} // namespace currantwalk
