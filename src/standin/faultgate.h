#ifndef CURRANTWALK_STANDIN_FAULTGATE_H
#define CURRANTWALK_STANDIN_FAULTGATE_H

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "base/randomsource.h"
#include "base/timerservice.h"
#include "net/http.h"
#include "standin/faults.h"

namespace currantwalk::standin {

/// Stands before one part of the stand-in and does to its requests what was asked for.
class FaultGate
{
public:
    using Action = std::function<void(std::shared_ptr<HttpExchange>)>;

    FaultGate(TimerService &timers, RandomSource &random) : m_timers(timers), m_random(random) {}
    ~FaultGate();

    void set(const Fault &fault);
    void clear();
    /// Calls \a callback each time that a fault has ended.
    void onCleared(std::function<void()> callback) { m_onCleared = std::move(callback); }
    /// Runs \a action on the exchange, or what the fault in force makes of it.
    void pass(std::shared_ptr<HttpExchange> exchange, Action action);
    /// Returns whether answers that have begun must send nothing now.
    bool isStalled() const { return m_fault && m_fault->kind == FaultKind::Stall; }

private:
    void strike(std::shared_ptr<HttpExchange> exchange, Action action);

    struct Held
    {
        std::shared_ptr<HttpExchange> exchange;
        Action action;
    };

    TimerService &m_timers;
    RandomSource &m_random;
    std::optional<Fault> m_fault;
    std::vector<Held> m_held;
    std::function<void()> m_onCleared;
    TimerId m_clearTimer = NoTimer;
};

} // namespace currantwalk::standin

#endif // CURRANTWALK_STANDIN_FAULTGATE_H
