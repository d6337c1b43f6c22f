#include "calls/claimindex.h"

#include <algorithm>

namespace currantwalk {

const ClaimIndex::Claim *ClaimIndex::Entry::find(const std::string &claimId) const
{
    const auto it = std::find_if(claims.begin(), claims.end(),
                                 [&claimId](const Claim &claim) { return claim.id == claimId; });
    return it == claims.end() ? nullptr : &*it;
}

const ClaimIndex::Claim *ClaimIndex::Entry::holder() const
{
    const auto it = std::find_if(claims.begin(), claims.end(),
                                 [](const Claim &claim) { return !claim.isWithdrawn; });
    return it == claims.end() ? nullptr : &*it;
}

// Losing claims are kept too: after the first claim expires, a node that starts to read the stream
// sees the next claim as the holder, and this node must agree with it. A record may be appended
// twice if the answer to the first append was lost; the first record counts. The record that ends a
// claim may be read before the claim itself.
void ClaimIndex::apply(const ClaimRecord &record, LogOffset offset, TimePoint now)
{
    Entry &entry = m_entries[record.key];
    m_readOrder.emplace_back(now, record.key);
    if (record.kind == ClaimRecordKind::Result) {
        if (!entry.result)
            entry.result = Result{offset, record.fingerprint, now};
        return;
    }
    const bool isWithdrawn = record.kind == ClaimRecordKind::Withdrawn;
    const bool isOutcomeUnknown = record.kind == ClaimRecordKind::OutcomeUnknown;
    const auto it =
            std::find_if(entry.claims.begin(), entry.claims.end(),
                         [&record](const Claim &claim) { return claim.id == record.claimId; });
    if (it == entry.claims.end()) {
        entry.claims.push_back(
                Claim{record.claimId, record.fingerprint, isWithdrawn, isOutcomeUnknown, now});
        return;
    }
    it->isWithdrawn = it->isWithdrawn || isWithdrawn;
    it->isOutcomeUnknown = it->isOutcomeUnknown || isOutcomeUnknown;
    it->seenAt = now;
}

// The log expires a record at the latest one lifetime after it was read. Removing a record later
// than the log does is harmless; removing it earlier could let the request of a key run twice.
void ClaimIndex::expire(TimePoint now)
{
    const TimePoint limit = now - m_lifetime;
    while (!m_readOrder.empty() && m_readOrder.front().first < limit) {
        expireKey(m_readOrder.front().second, limit);
        m_readOrder.pop_front();
    }
}

void ClaimIndex::expireKey(const std::string &key, TimePoint limit)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return;
    Entry &entry = it->second;
    std::erase_if(entry.claims, [limit](const Claim &claim) { return claim.seenAt < limit; });
    if (entry.result && entry.result->seenAt < limit)
        entry.result.reset();
    if (entry.claims.empty() && !entry.result)
        m_entries.erase(it);
}

void ClaimIndex::clear()
{
    m_entries.clear();
    m_readOrder.clear();
}

const ClaimIndex::Entry *ClaimIndex::find(const std::string &key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second;
}

} // namespace currantwalk
