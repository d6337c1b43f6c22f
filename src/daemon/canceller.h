#ifndef CURRANTWALK_DAEMON_CANCELLER_H
#define CURRANTWALK_DAEMON_CANCELLER_H

#include <cstddef>
#include <memory>
#include <optional>

#include "base/randomsource.h"
#include "base/timerservice.h"
#include "calls/generationcall.h"
#include "daemon/targetlink.h"
#include "observe/metrics.h"
#include "targets/targettable.h"

namespace currantwalk {

/// Has engines stop generations that nobody will read, and asks again until they confirm it or
/// are gone.
class Canceller
{
public:
    Canceller(TargetTable &targets, TargetLink &link, TimerService &timers, RandomSource &random,
              Metrics &metrics);
    ~Canceller();

    Canceller(const Canceller &) = delete;
    Canceller &operator=(const Canceller &) = delete;

    void cancel(const GenerationAttempt &attempt, const std::optional<GenerationId> &generation);
    /// Returns the number not yet confirmed; the daemon's drain waits for them.
    std::size_t unconfirmed() const { return m_unconfirmed; }

private:
    struct Order
    {
        GenerationAttempt attempt;
        std::optional<GenerationId> generation;
        std::uint32_t tries = 0;
    };

    void send(const std::shared_ptr<Order> &order);
    void onAnswer(const std::shared_ptr<Order> &order, const absl::Status &status);
    void end(const char *result);

    TargetTable &m_targets;
    TargetLink &m_link;
    TimerService &m_timers;
    RandomSource &m_random;
    Metrics &m_metrics;
    std::size_t m_unconfirmed = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_CANCELLER_H
