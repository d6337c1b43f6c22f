#ifndef CURRANTWALK_MEMBERSHIP_ZONEHEARTBEATS_H
#define CURRANTWALK_MEMBERSHIP_ZONEHEARTBEATS_H

#include <cstdint>
#include <map>
#include <string>

#include "base/timerservice.h"

namespace currantwalk {

/// Tracks a heartbeat counter for each zone, which one node of that zone increments. A zone is
/// unreachable when its counter stops advancing, whatever route the messages take.
class ZoneHeartbeats
{
public:
    /// Records a received counter; returns whether it advanced.
    bool advance(const std::string &zone, std::uint64_t count, TimePoint now);
    /// Starts tracking a zone from which no heartbeat has been received yet.
    void track(const std::string &zone, TimePoint now);
    void remove(const std::string &zone) { m_zones.erase(zone); }

    std::uint64_t count(const std::string &zone) const;
    bool isReachable(const std::string &zone, TimePoint now) const;
    /// Returns the time since the zone's counter last advanced; 0 if the zone is not tracked.
    Duration timeSinceAdvance(const std::string &zone, TimePoint now) const;
    /// Returns the interval between heartbeats. It grows with the number of zones, because every
    /// node receives the heartbeats of all zones.
    Duration interval() const;

private:
    struct Heartbeat
    {
        std::uint64_t count = 0;
        TimePoint advancedAt{};
    };

    std::map<std::string, Heartbeat> m_zones;
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_ZONEHEARTBEATS_H
