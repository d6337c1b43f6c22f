#ifndef CURRANTWALK_DRAIN_DRAIN_H
#define CURRANTWALK_DRAIN_DRAIN_H

#include <functional>
#include <memory>
#include <string_view>

#include "base/timerservice.h"

namespace currantwalk {

enum class DrainPhase {
    Serving,
    Announcing, ///< Not ready any more, but still taking work while the balancer notices.
    Refusing,   ///< Takes no new work; what is in progress goes on.
    Settling,   ///< No request is left; leases and claims are handed over.
    Finished,
};

/// Returns "serving", "announcing", "refusing", "settling" or "finished".
std::string_view drainPhaseName(DrainPhase phase);

/// The orderly stop of one daemon. It cuts off no request: without a deadline from an operator it
/// waits for as long as the last one takes.
class Drain
{
public:
    struct Options
    {
        Duration announceTime = std::chrono::seconds(5); ///< For the balancer to notice.
    };

    struct Hooks
    {
        std::function<void(DrainPhase)> onPhase;
        std::function<std::size_t()> requestsInProgress;
        std::function<std::size_t()> unsettledClaims;
        std::function<void()> handOver; ///< Drops leases and leaves the membership.
        std::function<void()> exit;
    };

    static std::unique_ptr<Drain> create(const Options &options, Hooks hooks, TimerService &timers);

    virtual ~Drain() = default;

    /// Begins; a second call is ignored.
    virtual void begin() = 0;
    /// Ends the wait at an operator's word: what is then in progress is cut off.
    virtual void setDeadline(Duration fromNow) = 0;
    virtual DrainPhase phase() const = 0;
    virtual bool isReady() const = 0;
    virtual bool isTakingWork() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_DRAIN_DRAIN_H
