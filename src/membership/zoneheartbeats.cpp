#include "membership/zoneheartbeats.h"

#include <algorithm>

namespace currantwalk {

constexpr Duration MinInterval = std::chrono::seconds(2);
constexpr Duration IntervalPerZone = std::chrono::milliseconds(200);
constexpr int MaxMissedHeartbeats = 4;

bool ZoneHeartbeats::advance(const std::string &zone, std::uint64_t count, TimePoint now)
{
    Heartbeat &heartbeat = m_zones[zone];
    if (count <= heartbeat.count)
        return false;
    heartbeat = {count, now};
    return true;
}

void ZoneHeartbeats::track(const std::string &zone, TimePoint now)
{
    m_zones.try_emplace(zone, Heartbeat{0, now});
}

std::uint64_t ZoneHeartbeats::count(const std::string &zone) const
{
    const auto it = m_zones.find(zone);
    return it == m_zones.end() ? 0 : it->second.count;
}

bool ZoneHeartbeats::isReachable(const std::string &zone, TimePoint now) const
{
    return timeSinceAdvance(zone, now) < interval() * MaxMissedHeartbeats;
}

Duration ZoneHeartbeats::timeSinceAdvance(const std::string &zone, TimePoint now) const
{
    const auto it = m_zones.find(zone);
    return it == m_zones.end() ? Duration(0) : now - it->second.advancedAt;
}

Duration ZoneHeartbeats::interval() const
{
    return std::max(MinInterval, IntervalPerZone * static_cast<int>(m_zones.size()));
}

} // namespace currantwalk
