#ifndef CURRANTWALK_LIMITS_SHARES_H
#define CURRANTWALK_LIMITS_SHARES_H

#include "config/objects.h"

namespace currantwalk {

/// A part of a limit, or a demand for one.
struct Share
{
    double requests = 0; ///< A second.
    double tokens = 0;   ///< A second.
    double streams = 0;  ///< At once.
};

/// Shares that each zone, and in it each node, may use when it hears from nobody: half of the whole
/// is divided evenly, the other half is lent where the demand is.
constexpr double StandingPart = 0.5;

Share limitShare(const LimitObject &limit);
Share scaled(const Share &share, double factor);
/// Returns what each of \a count holders may use unasked; of streams, whole ones only.
Share standingShare(const Share &whole, std::size_t count);

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_SHARES_H
