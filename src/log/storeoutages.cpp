#include "log/storeoutages.h"

#include <algorithm>

namespace currantwalk {

void StoreOutages::onProof(TimePoint sentAt, TimePoint answeredAt)
{
    m_proofs.push_back({sentAt, answeredAt});
    while (answeredAt - m_proofs.front().answeredAt > ProofRetention)
        m_proofs.pop_front();
}

bool StoreOutages::isOutage(TimePoint from, TimePoint until) const
{
    if (until - from < MinLength)
        return false;
    return std::none_of(m_proofs.begin(), m_proofs.end(), [from, until](const Proof &proof) {
        return proof.sentAt >= from && proof.answeredAt <= until - RecoverySpread;
    });
}

} // namespace currantwalk
