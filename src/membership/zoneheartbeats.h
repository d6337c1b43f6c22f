#ifndef CURRANTWALK_MEMBERSHIP_ZONEHEARTBEATS_H
#define CURRANTWALK_MEMBERSHIP_ZONEHEARTBEATS_H

#include <cstdint>
#include <map>
#include <string>

#include "base/timerservice.h"

namespace currantwalk {

/// A counter for each zone, which one node of that zone raises; a zone whose counter stands still
/// is out of reach, by whichever way the messages go.
class ZoneHeartbeats
{
public:
    /// Takes a counter heard of; returns whether it advanced.
    bool advance(const std::string &zone, std::uint64_t count, TimePoint now);
    /// Starts the clock of a zone that is known from its members alone.
    void expect(const std::string &zone, TimePoint now);
    void forget(const std::string &zone) { m_zones.erase(zone); }

    std::uint64_t count(const std::string &zone) const;
    bool isReachable(const std::string &zone, TimePoint now) const;
    /// Returns how long the zone's counter has stood still.
    Duration silence(const std::string &zone, TimePoint now) const;
    /// Between two beats; grows with the number of zones, whose beats every node hears.
    Duration interval() const;

private:
    struct Beat
    {
        std::uint64_t count = 0;
        TimePoint advancedAt{};
    };

    std::map<std::string, Beat> m_zones;
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_ZONEHEARTBEATS_H
