#ifndef CURRANTWALK_LEASE_LEASES_H
#define CURRANTWALK_LEASE_LEASES_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "log/logservice.h"

namespace currantwalk {

/// A time-limited lease of one node on a duty. The offset of its take record is its fencing number.
struct Lease
{
    std::string duty;
    VmId holder;
    LogOffset fence = 0;
};

/// Acquires and renews leases on duties by appending records to the platform's log.
class Leases
{
public:
    static constexpr const char *StreamName = "leases";

    struct Options
    {
        VmId vm;
        Incarnation incarnation = 0;
        Duration duration = std::chrono::seconds(10);
        /// Subtracted from the holder's own validity, to allow for a pause between a check and its
        /// effect.
        Duration margin = std::chrono::seconds(2);
        Duration pollInterval = std::chrono::seconds(1);
    };

    struct Hooks
    {
        LogHooks log;
        std::function<void(const Lease &)> onTaken;
        /// This node lost a lease other than by release().
        std::function<void(const std::string &duty)> onLost;
        /// Returns whether a duty may be taken over after no record of its holder for \a watched.
        /// Replaces the takeover rule, so that tests can check that a wrong rule is detected; empty
        /// otherwise.
        std::function<bool(Duration watched, Duration duration)> mayTakeOver;
    };

    static std::unique_ptr<Leases> create(const Options &options, Hooks hooks, TimerService &timers,
                                          RandomSource &random);

    virtual ~Leases() = default;

    virtual void start() = 0;
    /// Acquires the duty whenever it is free, until release().
    virtual void acquire(const std::string &duty) = 0;
    /// Releases the duty immediately. All actions under the lease must have ended.
    virtual void release(const std::string &duty) = 0;
    /// Returns the lease if this node holds it now according to its monotonic clock and the margin.
    virtual std::optional<Lease> heldLease(const std::string &duty) const = 0;
    /// Returns the current lease of any node according to the records read so far.
    virtual std::optional<Lease> currentLease(const std::string &duty) const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_LEASE_LEASES_H
