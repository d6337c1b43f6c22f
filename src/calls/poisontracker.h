#ifndef CURRANTWALK_CALLS_POISONTRACKER_H
#define CURRANTWALK_CALLS_POISONTRACKER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

enum class Suspicion {
    None,
    Suspect, ///< Was sent to a target that died; runs alone until it completes.
    Refused, ///< Two targets died, and one of them surely while running it.
};

/// A death of a target while it ran a request, as nodes tell it to one another.
struct PoisonReport
{
    std::uint64_t fingerprint = 0;
    TargetId target;
    Incarnation incarnation = 0;  ///< Of the target that died; one death counts once.
    std::uint32_t neighbours = 0; ///< Other requests that this node knows were running there.
    /// The target had begun the request, so that it did not die before.
    bool isBegun = true;
};

/// Finds requests that crash the targets that run them.
class PoisonTracker
{
public:
    struct Entry
    {
        std::uint64_t fingerprint = 0;
        Suspicion suspicion = Suspicion::None;
        std::vector<TargetId> deaths;
    };

    /// \a announce tells other nodes of a death that this node saw.
    static std::unique_ptr<PoisonTracker>
    create(TimerService &timers, std::function<void(const PoisonReport &)> announce);

    virtual ~PoisonTracker() = default;

    virtual Suspicion suspicion(std::uint64_t fingerprint) const = 0;
    /// The request is being sent; whether the target lives is not known.
    virtual void onSent(std::uint64_t fingerprint, const TargetId &target,
                        Incarnation incarnation) = 0;
    /// The target has begun the request, or has answered right before it was sent.
    virtual void onRunning(std::uint64_t fingerprint, const TargetId &target,
                           Incarnation incarnation) = 0;
    /// The request left the target alive: completed, cancelled or moved. Completion clears it.
    virtual void onReleased(std::uint64_t fingerprint, const TargetId &target, bool isComplete) = 0;
    /// The request itself lost its target, which is not yet known to be dead; counts as that death.
    virtual void onLost(std::uint64_t fingerprint, const TargetId &target,
                        Incarnation incarnation) = 0;
    virtual void onTargetDied(const TargetId &target, Incarnation incarnation) = 0;
    virtual void onReport(const PoisonReport &report) = 0;
    /// Forgets a fingerprint at an operator's word.
    virtual void clear(std::uint64_t fingerprint) = 0;
    virtual std::vector<Entry> entries() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_POISONTRACKER_H
