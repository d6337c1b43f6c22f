#include "membership/zonelinks.h"

#include <algorithm>
#include <cassert>
#include <cstddef>

namespace currantwalk {

static void addOnce(std::vector<std::string> &links, const std::string &zone)
{
    if (std::find(links.begin(), links.end(), zone) == links.end())
        links.push_back(zone);
}

std::vector<std::string> linkedZones(const std::vector<std::string> &zones, const std::string &own,
                                     const std::function<bool(const std::string &)> &isReachable)
{
    const auto self = std::lower_bound(zones.begin(), zones.end(), own);
    assert(self != zones.end() && *self == own && "own zone missing from the list of zones");
    const auto start = static_cast<std::size_t>(self - zones.begin());
    std::vector<std::string> links;
    for (std::size_t step = 1; step < zones.size(); step *= 2) {
        addOnce(links, zones[(start + step) % zones.size()]);
        std::size_t distance = step;
        while (distance < zones.size() && !isReachable(zones[(start + distance) % zones.size()]))
            ++distance;
        if (distance < zones.size())
            addOnce(links, zones[(start + distance) % zones.size()]);
    }
    return links;
}

} // namespace currantwalk
