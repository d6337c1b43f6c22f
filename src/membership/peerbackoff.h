#ifndef CURRANTWALK_MEMBERSHIP_PEERBACKOFF_H
#define CURRANTWALK_MEMBERSHIP_PEERBACKOFF_H

#include <map>

#include "membership/nodedirectory.h"

namespace currantwalk {

/// Passes over peers that do not answer, for longer each time: records of nodes that were killed
/// stay in the directory. A node that has started again is asked at once.
class PeerBackoff
{
public:
    PeerBackoff(Duration shortest, Duration longest) : m_shortest(shortest), m_longest(longest) {}

    bool isInBackoff(const VmId &vm, const NodeRecord &record, TimePoint now) const;
    void onFailure(const VmId &vm, const NodeRecord &record, TimePoint now);
    void onAnswer(const VmId &vm) { m_failures.erase(vm); }

private:
    struct Failure
    {
        Incarnation incarnation = 0;
        Duration backoff{0};
        TimePoint until{};
    };

    Duration m_shortest;
    Duration m_longest;
    std::map<VmId, Failure> m_failures;
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_PEERBACKOFF_H
