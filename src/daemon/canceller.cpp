#include "daemon/canceller.h"

#include "calls/retrybudget.h"

namespace currantwalk {

/// Tries before an engine that answers nothing is left to its own limits.
static constexpr std::uint32_t MaxTries = 10;

Canceller::Canceller(TargetTable &targets, TargetLink &link, TimerService &timers,
                     RandomSource &random, Metrics &metrics)
    : m_targets(targets), m_link(link), m_timers(timers), m_random(random), m_metrics(metrics)
{
}

Canceller::~Canceller()
{
    *m_isAlive = false;
}

void Canceller::cancel(const GenerationAttempt &attempt,
                       const std::optional<GenerationId> &generation)
{
    ++m_unconfirmed;
    send(std::make_shared<Order>(Order{attempt, generation, 0}));
}

void Canceller::send(const std::shared_ptr<Order> &order)
{
    const TargetId &id = order->generation ? order->generation->target : order->attempt.target;
    const Target *engine = m_targets.find(id);
    if (!engine || engine->state == TargetState::Gone)
        return end("target-gone");
    // An engine that restarted knows no generation of an earlier incarnation.
    if (order->generation && engine->incarnation > order->generation->incarnation)
        return end("target-gone");
    ++order->tries;
    m_link.cancel(*engine, order->attempt, order->generation,
                  [this, order, isAlive = m_isAlive](const absl::Status &status) {
                      if (*isAlive)
                          onAnswer(order, status);
                  });
}

void Canceller::onAnswer(const std::shared_ptr<Order> &order, const absl::Status &status)
{
    if (status.ok())
        return end("confirmed");
    if (order->tries >= MaxTries)
        return end("given-up");
    m_timers.subscribeAfter(retryDelay(order->tries, m_random), [this, order, isAlive = m_isAlive] {
        if (*isAlive)
            send(order);
    });
}

void Canceller::end(const char *result)
{
    --m_unconfirmed;
    m_metrics.count("currantwalk_cancels_total", {{"result", result}});
}

} // namespace currantwalk
