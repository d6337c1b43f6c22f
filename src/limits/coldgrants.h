#ifndef CURRANTWALK_LIMITS_COLDGRANTS_H
#define CURRANTWALK_LIMITS_COLDGRANTS_H

#include <cstddef>
#include <optional>

#include "base/timerservice.h"
#include "limits/targetgrants.h"

namespace currantwalk {

/// What a cold target may get in any second from all nodes together: excess times the requests a
/// second that it takes while cold, and slack requests.
struct ColdBound
{
    double excess = 1;
    double slack = 0; ///< Requests.
};

/// The place of a node among those that may grant the requests to a target; 0 is asked first.
struct GrantRank
{
    std::size_t place = 0;
    bool isStandIn = false; ///< The node is of another zone than the target.
};

/// From when a grant for a cold target was asked for until it lapses.
constexpr Duration ColdGrantLifetime = std::chrono::milliseconds(200);

/// Returns the terms on which a node grants requests to a cold target that takes \a perSecond;
/// nothing if it grants none. Answers load after a zone's return, when its targets look empty to
/// all nodes. The terms of all nodes together keep the bound, so that nodes which can't hear one
/// another may all grant.
std::optional<GrantTerms> coldTerms(double perSecond, const ColdBound &bound,
                                    const GrantRank &rank);

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_COLDGRANTS_H
