#ifndef CURRANTWALK_MEMBERSHIP_ZONELINKS_H
#define CURRANTWALK_MEMBERSHIP_ZONELINKS_H

#include <functional>
#include <string>
#include <vector>

namespace currantwalk {

/// Returns the zones to which \a own is linked. On a ring of all zones sorted by name, these are
/// the zones 1, 2, 4, 8... positions after \a own, so that the numbers of links and hops grow with
/// the logarithm of the number of zones. An unreachable zone stays linked, so that its recovery is
/// noticed, and the next reachable zone after it is added. \pre \a zones is sorted and contains
/// \a own
std::vector<std::string> linkedZones(const std::vector<std::string> &zones, const std::string &own,
                                     const std::function<bool(const std::string &)> &isReachable);

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_ZONELINKS_H
