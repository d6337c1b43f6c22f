#ifndef CURRANTWALK_LIMITS_LIMITER_H
#define CURRANTWALK_LIMITS_LIMITER_H

#include <cstdint>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/timerservice.h"
#include "config/objects.h"

namespace currantwalk {

/// A request let in by the limiter; it stays charged until release().
struct LimitGrant
{
    std::uint64_t id = 0; ///< 0 names no grant.
};

/// The answer to a request for admission.
struct LimitVerdict
{
    bool isAdmitted = false;
    LimitGrant grant;
    Duration retryAfter{0}; ///< Where refused: when an attempt is expected to be let in.
};

/// Holds organisations and services to their limits with this node's shares of the fleet's
/// allowances.
class Limiter
{
public:
    virtual ~Limiter() = default;

    virtual LimitVerdict admit(const std::string &organisation, const std::string &service,
                               bool isStream) = 0;
    /// Charges tokens as they are generated.
    virtual void charge(LimitGrant grant, std::uint32_t tokens) = 0;
    virtual void release(LimitGrant grant) = 0;
    /// Takes the limits of a new version of the published set.
    virtual void onObjects(const ObjectSet &objects) = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_LIMITER_H
