#ifndef CURRANTWALK_MEMBERSHIP_ZONELINKS_H
#define CURRANTWALK_MEMBERSHIP_ZONELINKS_H

#include <functional>
#include <string>
#include <vector>

namespace currantwalk {

/// Returns the zones that nodes of \a own talk to. With the zones in order of name on a ring, these
/// stand 1, 2, 4, 8... places after it, so that the number of links and of hops grow with the
/// logarithm of the number of zones. Where one is out of reach, it is kept, to notice its return,
/// and the next one in reach is added. \pre \a zones is sorted and holds \a own
std::vector<std::string> linkedZones(const std::vector<std::string> &zones, const std::string &own,
                                     const std::function<bool(const std::string &)> &isReachable);

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_ZONELINKS_H
