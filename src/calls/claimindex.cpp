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
                                 [](const Claim &claim) { return !claim.isVoid; });
    return it == claims.end() ? nullptr : &*it;
}

// Claims that lost are kept as well: once the first one expires, another node that reads from then
// on takes the next for the holder, and so must this one. A record may be appended twice, when the
// first answer was lost; the first counts. A claim's end may even be read before the claim.
void ClaimIndex::apply(const ClaimRecord &record, LogOffset offset, TimePoint now)
{
    Entry &entry = m_entries[record.key];
    m_order.emplace_back(now, record.key);
    if (record.kind == ClaimRecordKind::Result) {
        if (!entry.result)
            entry.result = Result{offset, record.fingerprint, now};
        return;
    }
    const bool isVoid = record.kind == ClaimRecordKind::Void;
    const bool isInDoubt = record.kind == ClaimRecordKind::Doubt;
    const auto it =
            std::find_if(entry.claims.begin(), entry.claims.end(),
                         [&record](const Claim &claim) { return claim.id == record.claimId; });
    if (it == entry.claims.end()) {
        entry.claims.push_back(Claim{record.claimId, record.fingerprint, isVoid, isInDoubt, now});
        return;
    }
    it->isVoid = it->isVoid || isVoid;
    it->isInDoubt = it->isInDoubt || isInDoubt;
    it->seenAt = now;
}

// The log expires a record at the latest one lifetime after it was read. Forgetting later than the
// log is harmless; forgetting earlier would let a key run twice.
void ClaimIndex::expire(TimePoint now)
{
    const TimePoint limit = now - m_lifetime;
    while (!m_order.empty() && m_order.front().first < limit) {
        expireKey(m_order.front().second, limit);
        m_order.pop_front();
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
    m_order.clear();
}

const ClaimIndex::Entry *ClaimIndex::find(const std::string &key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second;
}

} // namespace currantwalk
