#include "membership/zoneheartbeats.h"

#include <algorithm>

namespace currantwalk {

constexpr Duration LeastInterval = std::chrono::seconds(2);
constexpr Duration IntervalForEachZone = std::chrono::milliseconds(200);
constexpr int BeatsMissed = 4;

bool ZoneHeartbeats::advance(const std::string &zone, std::uint64_t count, TimePoint now)
{
    Beat &beat = m_zones[zone];
    if (count <= beat.count)
        return false;
    beat = {count, now};
    return true;
}

void ZoneHeartbeats::expect(const std::string &zone, TimePoint now)
{
    m_zones.try_emplace(zone, Beat{0, now});
}

std::uint64_t ZoneHeartbeats::count(const std::string &zone) const
{
    const auto it = m_zones.find(zone);
    return it == m_zones.end() ? 0 : it->second.count;
}

bool ZoneHeartbeats::isReachable(const std::string &zone, TimePoint now) const
{
    return silence(zone, now) < interval() * BeatsMissed;
}

Duration ZoneHeartbeats::silence(const std::string &zone, TimePoint now) const
{
    const auto it = m_zones.find(zone);
    return it == m_zones.end() ? Duration(0) : now - it->second.advancedAt;
}

Duration ZoneHeartbeats::interval() const
{
    return std::max(LeastInterval, IntervalForEachZone * static_cast<int>(m_zones.size()));
}

} // namespace currantwalk
