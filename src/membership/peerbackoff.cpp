#include "membership/peerbackoff.h"

#include <algorithm>

namespace currantwalk {

bool PeerBackoff::isInBackoff(const VmId &vm, const NodeRecord &record, TimePoint now) const
{
    const auto failure = m_failures.find(vm);
    return failure != m_failures.end() && failure->second.incarnation == record.incarnation
           && now < failure->second.until;
}

void PeerBackoff::onFailure(const VmId &vm, const NodeRecord &record, TimePoint now)
{
    Failure &failure = m_failures[vm];
    if (failure.incarnation != record.incarnation)
        failure = {record.incarnation, Duration::zero(), TimePoint{}};
    if (now < failure.until)
        return;
    failure.backoff = failure.backoff == Duration::zero()
                              ? m_shortest
                              : std::min(2 * failure.backoff, m_longest);
    failure.until = now + failure.backoff;
}

} // namespace currantwalk
