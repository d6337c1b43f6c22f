#ifndef CURRANTWALK_LIMITS_LIMITER_H
#define CURRANTWALK_LIMITS_LIMITER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "base/timerservice.h"
#include "config/objects.h"
#include "membership/membership.h"

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
    /// Takes a message that another node's limiter sent.
    virtual absl::Status onMessage(const Json::Value &message) = 0;
    /// Returns the number of limits that this node has any state of.
    virtual std::size_t activeLimits() const = 0;
};

struct LimiterOptions
{
    VmId self;
    std::string zone;
    Duration reportInterval = std::chrono::milliseconds(500); ///< Of a limit in use.
    Duration grantLife = std::chrono::seconds(4);             ///< Of a node's share.
    Duration zoneGrantLife = std::chrono::seconds(8);         ///< Of a zone's share.
    Duration idleEviction = std::chrono::seconds(60);
    std::size_t rowsPerSecond = 12; ///< Cap on reports; a limit beyond it has its standing share.
};

struct LimiterHooks
{
    /// Sends a message to a node, which gives it to onMessage(); it may be lost.
    std::function<void(const VmId &vm, const Json::Value &message)> send;
    /// Returns all members as this node knows them.
    std::function<std::vector<Member>()> members;
};

/// Makes the limiter of a node: shares of each limit are granted for a few seconds, by one node of
/// a zone to its nodes and by one zone to the others, where the demand is.
std::unique_ptr<Limiter> createLimiter(const LimiterOptions &options, LimiterHooks hooks,
                                       TimerService &timers);

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_LIMITER_H
