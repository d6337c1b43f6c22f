#ifndef CURRANTWALK_LIMITS_SHARES_H
#define CURRANTWALK_LIMITS_SHARES_H

#include "config/objects.h"

namespace currantwalk {

/// A share of a limit, or the demand for one.
struct Share
{
    double requests = 0; ///< Per second.
    double tokens = 0;   ///< Per second.
    double streams = 0;  ///< Concurrent.
};

/// Fraction of a limit that is divided evenly into guaranteed shares, which each zone, and each
/// node in it, may use without any grant. The other half is granted according to demand.
constexpr double GuaranteedFraction = 0.5;

Share limitShare(const LimitObject &limit);
Share scaled(const Share &share, double factor);
/// Returns the share that each of \a count holders may use without a grant. The number of streams
/// is rounded down.
Share guaranteedShare(const Share &total, std::size_t count);

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_SHARES_H
