#ifndef CURRANTWALK_MEMBERSHIP_PROBES_H
#define CURRANTWALK_MEMBERSHIP_PROBES_H

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// A ping waiting for its Ack.
struct Probe
{
    VmId vm;
    Incarnation incarnation = 0;
};

/// A ping sent on behalf of another node.
struct RelayedProbe
{
    VmId requester;
    std::uint32_t number = 0; ///< Number of the ping at the requester.
    TimePoint startedAt{};
};

/// The pings in flight, by their numbers.
class Probes
{
public:
    std::uint32_t begin(const Probe &probe);
    std::uint32_t relay(const RelayedProbe &relayed);
    const Probe *find(std::uint32_t number) const;
    /// Removes and returns the probe, if it is still in flight.
    std::optional<Probe> finish(std::uint32_t number);
    std::optional<RelayedProbe> finishRelayed(std::uint32_t number);
    /// Removes relayed pings started before \a time.
    void removeRelayedBefore(TimePoint time);
    /// Removes the node's own probes; relayed pings remain.
    void clear() { m_probes.clear(); }

private:
    std::uint32_t nextNumber();

    std::map<std::uint32_t, Probe> m_probes;
    std::map<std::uint32_t, RelayedProbe> m_relayed;
    std::uint32_t m_lastNumber = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_PROBES_H
