#ifndef CURRANTWALK_ROUTING_ZONEPOLICY_H
#define CURRANTWALK_ROUTING_ZONEPOLICY_H

#include <memory>
#include <string>

#include "routing/policy.h"

namespace currantwalk {

/// Wraps a policy so that targets of other zones are asked only where those of \a zone have no
/// room. Without candidates a request is held, or shed where it excludes targets itself.
std::unique_ptr<RoutingPolicy> createZonePolicy(std::unique_ptr<RoutingPolicy> inner,
                                                std::string zone);

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_ZONEPOLICY_H
