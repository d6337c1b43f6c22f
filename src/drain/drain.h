#ifndef CURRANTWALK_DRAIN_DRAIN_H
#define CURRANTWALK_DRAIN_DRAIN_H

#include <functional>
#include <memory>
#include <string_view>

#include "base/timerservice.h"

namespace currantwalk {

enum class DrainPhase {
    Serving,
    Announcing, ///< Reports not ready, but accepts requests until the load balancer notices.
    Refusing,   ///< Rejects new requests; those in progress continue.
    Settling,   ///< Nothing in progress or unsent; leases are handed over and claims settled.
    Finished,
};

/// Returns "serving", "announcing", "refusing", "settling" or "finished".
std::string_view drainPhaseName(DrainPhase phase);

/// The graceful shutdown of one daemon. It aborts no requests: unless an operator sets a deadline,
/// it waits until the last request has ended and its answer has been sent.
class Drain
{
public:
    struct Options
    {
        Duration announceTime = std::chrono::seconds(5); ///< Time for the load balancer to notice.
    };

    struct Hooks
    {
        std::function<void(DrainPhase)> onPhaseChanged;
        std::function<std::size_t()> requestsInProgress;
        /// Returns the number of answers that callers have not taken whole yet.
        std::function<std::size_t()> unsentAnswers;
        std::function<std::size_t()> unsettledClaims;
        std::function<void()> handOver; ///< Drops leases and leaves the membership.
        std::function<void()> exit;
    };

    static std::unique_ptr<Drain> create(const Options &options, Hooks hooks, TimerService &timers);

    virtual ~Drain() = default;

    /// Starts the drain. Later calls are ignored.
    virtual void begin() = 0;
    /// Limits the wait on behalf of an operator: requests still in progress at the deadline are
    /// aborted. Ignored unless the drain is in progress.
    virtual void setDeadline(Duration fromNow) = 0;
    virtual DrainPhase phase() const = 0;
    virtual bool isReady() const = 0;
    virtual bool isAcceptingRequests() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_DRAIN_DRAIN_H
