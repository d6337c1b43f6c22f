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

/// Identifies an admitted request; a stream counts against its limits until release().
struct AdmissionHandle
{
    std::uint64_t id = 0; ///< 0 is invalid.
};

/// The result of Limiter::admit().
struct AdmissionResult
{
    bool isAdmitted = false;
    AdmissionHandle grant;
    Duration retryAfter{0}; ///< If rejected: delay after which a retry should be admitted.
};

/// Enforces the limits of organisations and services at this node, using the node's shares of the
/// limits of the whole fleet.
class Limiter
{
public:
    virtual ~Limiter() = default;

    virtual AdmissionResult admit(const std::string &organisation, const std::string &service,
                                  bool isStream) = 0;
    /// Charges tokens to the limits of an admitted request as they are generated.
    virtual void charge(AdmissionHandle grant, std::uint32_t tokens) = 0;
    virtual void release(AdmissionHandle grant) = 0;
    /// Applies the limits of a new version of the published configuration.
    virtual void applyObjects(const ObjectSet &objects) = 0;
    /// Handles a message from another node's limiter. Fails with JsonInvalid.
    virtual absl::Status onMessage(const Json::Value &message) = 0;
    /// Returns the number of limits for which this node holds state.
    virtual std::size_t activeLimitCount() const = 0;
};

struct LimiterOptions
{
    VmId self;
    std::string zone;
    Duration reportInterval = std::chrono::seconds(1);    ///< For a limit in use.
    Duration grantLifetime = std::chrono::seconds(4);     ///< For a node's share.
    Duration zoneGrantLifetime = std::chrono::seconds(8); ///< For a zone's share.
    Duration idleEviction = std::chrono::seconds(60);
    std::size_t reportsPerSecond = 12; ///< Cap on reports; limits beyond it use guaranteed shares.
};

struct LimiterHooks
{
    /// Sends a message to a node, which passes it to onMessage(). The message may be lost.
    std::function<void(const VmId &vm, const Json::Value &message)> send;
    /// Returns all members known to this node.
    std::function<std::vector<Member>()> members;
};

/// Creates the limiter of a node. Shares of each limit are granted for a few seconds according to
/// demand: one node of each zone grants shares to the nodes of the zone, and one zone grants shares
/// to all zones.
std::unique_ptr<Limiter> createLimiter(const LimiterOptions &options, LimiterHooks hooks,
                                       TimerService &timers);

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_LIMITER_H
