#ifndef CURRANTWALK_ROUTING_ZONEPOLICY_H
#define CURRANTWALK_ROUTING_ZONEPOLICY_H

#include <memory>
#include <string>

#include "routing/policy.h"

namespace currantwalk {

/// Wraps a policy so that targets in other zones are used only if those in \a zone have no room.
/// Without candidates, a request is held, or shed if it excludes any targets.
std::unique_ptr<RoutingPolicy> createZonePolicy(std::unique_ptr<RoutingPolicy> inner,
                                                std::string zone);

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_ZONEPOLICY_H
