#include "limits/shareledger.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

namespace currantwalk {

constexpr double Tolerance = 1e-6;

// Returns the level at which capping each demand makes the sum fit the pool.
static double fairLevel(std::vector<double> demands, double pool)
{
    std::sort(demands.begin(), demands.end());
    std::size_t left = demands.size();
    for (const double demand : demands) {
        const double level = pool / static_cast<double>(left);
        if (demand >= level)
            return level;
        pool -= demand;
        --left;
    }
    return demands.empty() ? pool : demands.back() + pool;
}

static Share larger(const Share &a, const Share &b)
{
    return {std::max(a.requests, b.requests), std::max(a.tokens, b.tokens),
            std::max(a.streams, b.streams)};
}

static void addTo(Share &sum, const Share &share)
{
    sum.requests += share.requests;
    sum.tokens += share.tokens;
    sum.streams += share.streams;
}

std::optional<Share> ShareLedger::grant(const std::string &claimant, const Claim &claim,
                                        const Terms &terms, TimePoint now)
{
    dropExpired(now);
    Entry &entry = m_entries[claimant];
    if (claim.number <= entry.claim.number)
        return std::nullopt;
    entry.claim = claim;
    Share share;
    share.requests = grantField(&Share::requests, claimant, terms);
    share.tokens = grantField(&Share::tokens, claimant, terms);
    share.streams = std::floor(grantField(&Share::streams, claimant, terms) + Tolerance);
    // What the claimant held stays in force where this grant is lost on its way; its next report
    // tells. Generations in progress cannot be taken back.
    entry.granted = larger(share, claim.held);
    entry.granted.streams = std::max(entry.granted.streams, claim.streamsInUse);
    entry.expiresAt = now + terms.life;
    return share;
}

double ShareLedger::grantField(Field field, const std::string &claimant, const Terms &terms) const
{
    const Entry &own = m_entries.at(claimant);
    const double capacity = terms.capacity.*field;
    const std::size_t others = terms.holders - std::min(terms.holders, m_entries.size());
    // Of what is lent, at least a half is lendable however many holders have a standing share.
    const double reserve =
            std::min(capacity * StandingPart, terms.standing.*field * static_cast<double>(others));
    double othersGranted = 0;
    std::vector<double> demands;
    for (const auto &[name, entry] : m_entries) {
        demands.push_back(std::max(entry.claim.demand.*field, terms.standing.*field));
        if (name != claimant)
            othersGranted += entry.granted.*field;
    }
    const double pool = std::max(0.0, capacity - reserve);
    const double available = std::max(0.0, pool - othersGranted);
    const double wanted = std::max(own.claim.demand.*field, terms.standing.*field);
    double share = std::min({wanted, fairLevel(std::move(demands), pool), available});
    if (!terms.isSettled)
        share = std::min(share, std::max(own.claim.held.*field, terms.standing.*field));
    assert(share >= 0 && othersGranted + share <= std::max(pool, othersGranted) + Tolerance
           && "grants in force fit the capacity");
    return share;
}

Share ShareLedger::demand(TimePoint now) const
{
    Share sum;
    for (const auto &[name, entry] : m_entries) {
        if (entry.expiresAt <= now)
            continue;
        addTo(sum, entry.claim.demand);
    }
    return sum;
}

Share ShareLedger::granted(TimePoint now) const
{
    Share sum;
    for (const auto &[name, entry] : m_entries) {
        if (entry.expiresAt > now)
            addTo(sum, entry.granted);
    }
    return sum;
}

double ShareLedger::streamsInUse(TimePoint now) const
{
    double sum = 0;
    for (const auto &[name, entry] : m_entries) {
        if (entry.expiresAt > now)
            sum += entry.claim.streamsInUse;
    }
    return sum;
}

bool ShareLedger::isEmpty(TimePoint now) const
{
    return std::none_of(m_entries.begin(), m_entries.end(),
                        [now](const auto &item) { return item.second.expiresAt > now; });
}

void ShareLedger::dropExpired(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &item) { return item.second.expiresAt <= now; });
}

} // namespace currantwalk
