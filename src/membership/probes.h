#ifndef CURRANTWALK_MEMBERSHIP_PROBES_H
#define CURRANTWALK_MEMBERSHIP_PROBES_H

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// A ping that waits for its answer.
struct Probe
{
    VmId vm;
    Incarnation incarnation = 0;
};

/// A ping made for another node.
struct RelayedProbe
{
    VmId requester;
    std::uint32_t number = 0; ///< The requester's own.
    TimePoint startedAt{};
};

/// The numbers of pings under way.
class Probes
{
public:
    std::uint32_t begin(const Probe &probe);
    std::uint32_t relay(const RelayedProbe &relayed);
    const Probe *find(std::uint32_t number) const;
    /// Takes the probe out, if it is still open.
    std::optional<Probe> finish(std::uint32_t number);
    std::optional<RelayedProbe> finishRelayed(std::uint32_t number);
    /// Drops relayed pings from before \a time.
    void forgetRelayedBefore(TimePoint time);
    /// Drops the node's own probes.
    void clear() { m_probes.clear(); }

private:
    std::uint32_t nextNumber();

    std::map<std::uint32_t, Probe> m_probes;
    std::map<std::uint32_t, RelayedProbe> m_relayed;
    std::uint32_t m_lastNumber = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_PROBES_H
