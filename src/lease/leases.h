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

/// A duty held by one node for a time. The offset of its record is its fencing number.
struct Lease
{
    std::string duty;
    VmId holder;
    LogOffset fence = 0;
};

/// Takes and keeps leases on duties by records in the platform's log.
class Leases
{
public:
    static constexpr const char *StreamName = "leases";

    struct Options
    {
        VmId vm;
        Incarnation incarnation = 0;
        Duration duration = std::chrono::seconds(10);
        /// Taken off the holder's own view, for a pause between a check and its effect.
        Duration margin = std::chrono::seconds(2);
        Duration pollInterval = std::chrono::seconds(1);
    };

    struct Hooks
    {
        LogHooks log;
        std::function<void(const Lease &)> onTaken;
        /// This node held the duty and no longer does, other than by drop().
        std::function<void(const std::string &duty)> onLost;
        /// Whether a duty whose holder was silent for \a watched may be taken. Replaces the rule so
        /// that a test can show a faulty one to be caught; empty otherwise.
        std::function<bool(Duration watched, Duration duration)> mayChallenge;
    };

    static std::unique_ptr<Leases> create(const Options &options, Hooks hooks, TimerService &timers,
                                          RandomSource &random);

    virtual ~Leases() = default;

    virtual void start() = 0;
    /// Asks for the duty, now and whenever it is free, until drop().
    virtual void want(const std::string &duty) = 0;
    /// Gives the duty up at once so that another may take it. Effects under it must have ended.
    virtual void drop(const std::string &duty) = 0;
    /// Returns the lease if this node holds it now, by its own monotonic clock less the margin.
    virtual std::optional<Lease> held(const std::string &duty) const = 0;
    /// Returns the holder as the log last said, whoever it is.
    virtual std::optional<Lease> holder(const std::string &duty) const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_LEASE_LEASES_H
