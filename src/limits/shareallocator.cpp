#include "limits/shareallocator.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

namespace currantwalk {

constexpr double Tolerance = 1e-6;

// Returns the max-min fair level: capping each demand at it makes their sum fit into the pool.
static double maxMinFairLevel(std::vector<double> demands, double pool)
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

static Share elementwiseMax(const Share &a, const Share &b)
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

std::optional<Share> ShareAllocator::grant(const std::string &requester, const Request &request,
                                           const Terms &terms, TimePoint now)
{
    removeExpired(now);
    Entry &entry = m_entries[requester];
    if (request.number <= entry.request.number)
        return std::nullopt;
    entry.request = request;
    Share share;
    share.requests = grantField(&Share::requests, requester, terms);
    share.tokens = grantField(&Share::tokens, requester, terms);
    share.streams = std::floor(grantField(&Share::streams, requester, terms) + Tolerance);
    // If this grant is lost in transit, the share that the requester held stays in force until its
    // next report. Streams in progress cannot be revoked.
    entry.granted = elementwiseMax(share, request.held);
    entry.granted.streams = std::max(entry.granted.streams, request.streamsInUse);
    entry.expiresAt = now + terms.lifetime;
    return share;
}

double ShareAllocator::grantField(Field field, const std::string &requester,
                                  const Terms &terms) const
{
    const Entry &own = m_entries.at(requester);
    const double capacity = terms.capacity.*field;
    const std::size_t others = terms.holders - std::min(terms.holders, m_entries.size());
    // The reserve for holders without a grant is capped, so that at least half of the capacity can
    // be granted regardless of the number of holders.
    const double reserve = std::min(capacity * GuaranteedFraction,
                                    terms.guaranteed.*field * static_cast<double>(others));
    double othersGranted = 0;
    std::vector<double> demands;
    for (const auto &[name, entry] : m_entries) {
        demands.push_back(std::max(entry.request.demand.*field, terms.guaranteed.*field));
        if (name != requester)
            othersGranted += entry.granted.*field;
    }
    const double pool = std::max(0.0, capacity - reserve);
    const double available = std::max(0.0, pool - othersGranted);
    const double wanted = std::max(own.request.demand.*field, terms.guaranteed.*field);
    double share = std::min({wanted, maxMinFairLevel(std::move(demands), pool), available});
    if (!terms.isStableOwner)
        share = std::min(share, std::max(own.request.held.*field, terms.guaranteed.*field));
    assert(share >= 0 && othersGranted + share <= std::max(pool, othersGranted) + Tolerance
           && "grants in force exceed the capacity");
    return share;
}

Share ShareAllocator::demand(TimePoint now) const
{
    Share sum;
    for (const auto &[name, entry] : m_entries) {
        if (entry.expiresAt <= now)
            continue;
        addTo(sum, entry.request.demand);
    }
    return sum;
}

Share ShareAllocator::granted(TimePoint now) const
{
    Share sum;
    for (const auto &[name, entry] : m_entries) {
        if (entry.expiresAt > now)
            addTo(sum, entry.granted);
    }
    return sum;
}

double ShareAllocator::streamsInUse(TimePoint now) const
{
    double sum = 0;
    for (const auto &[name, entry] : m_entries) {
        if (entry.expiresAt > now)
            sum += entry.request.streamsInUse;
    }
    return sum;
}

bool ShareAllocator::isEmpty(TimePoint now) const
{
    return std::none_of(m_entries.begin(), m_entries.end(),
                        [now](const auto &item) { return item.second.expiresAt > now; });
}

void ShareAllocator::removeExpired(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &item) { return item.second.expiresAt <= now; });
}

} // namespace currantwalk
