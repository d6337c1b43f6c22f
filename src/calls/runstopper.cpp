#include "calls/runstopper.h"

#include <array>
#include <utility>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<RunStopResult>, 6> RunStopResultNames{{
        {RunStopResult::Stopped, "stopped"},
        {RunStopResult::NoSuchRun, "no-such-run"},
        {RunStopResult::Busy, "busy"},
        {RunStopResult::Refused, "refused"},
        {RunStopResult::Unreachable, "unreachable"},
        {RunStopResult::Unknown, "unknown"},
}};

std::string_view runStopResultName(RunStopResult result)
{
    return enumName(RunStopResultNames, result);
}

std::unique_ptr<RunStopper> RunStopper::create(Hooks hooks, TimerService &timers)
{
    return std::unique_ptr<RunStopper>(new RunStopper(std::move(hooks), timers));
}

RunStopper::RunStopper(Hooks hooks, TimerService &timers)
    : m_hooks(std::move(hooks)), m_timers(timers)
{
}

RunStopper::~RunStopper()
{
    *m_alive = false;
    for (const auto &[number, entry] : m_runs)
        m_timers.cancel(entry.timer);
}

void RunStopper::add(AbandonedRun run)
{
    add(std::move(run), CloseNoticeTime, nullptr);
}

void RunStopper::addUrgent(AbandonedRun run, std::function<void()> onReleased)
{
    add(std::move(run), Duration::zero(), std::move(onReleased));
}

void RunStopper::add(AbandonedRun run, Duration delay, std::function<void()> onReleased)
{
    const std::uint64_t number = ++m_lastNumber;
    Entry &entry = m_runs[number];
    entry.run = std::move(run);
    entry.addedAt = m_timers.now();
    entry.onReleased = std::move(onReleased);
    schedule(number, delay);
}

void RunStopper::cancel(const RequestId &id, const TargetId &target)
{
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        if (it->second.run.id != id || it->second.run.target != target) {
            ++it;
            continue;
        }
        m_timers.cancel(it->second.timer);
        it = m_runs.erase(it);
    }
}

// Those without a timer wait for the answer to a call.
void RunStopper::callAllNow()
{
    for (const auto &[number, entry] : m_runs) {
        if (entry.timer == NoTimer)
            continue;
        m_timers.cancel(entry.timer);
        schedule(number, Duration::zero());
    }
}

void RunStopper::schedule(std::uint64_t number, Duration delay)
{
    m_runs.at(number).timer = m_timers.scheduleAfter(delay, [this, number] {
        m_runs.at(number).timer = NoTimer;
        call(number);
    });
}

void RunStopper::call(std::uint64_t number)
{
    const Entry &entry = m_runs.at(number);
    m_hooks.stopRun(entry.run,
                    [this, alive = m_alive, run = entry.run, number](const RunStopAnswer &answer) {
                        if (!*alive)
                            return;
                        if (!answer.handle.empty())
                            m_hooks.freeCopy(run, answer.handle);
                        onAnswer(number, answer);
                    });
}

// After an answer that was lost, the next call tells whether the run has been stopped.
void RunStopper::onAnswer(std::uint64_t number, const RunStopAnswer &answer)
{
    const auto it = m_runs.find(number);
    if (it == m_runs.end())
        return;
    if (answer.result != RunStopResult::Busy)
        ++it->second.failedCalls;
    const std::optional<Duration> next = timeToNextCall(it->second, answer.result);
    std::function<void()> onReleased;
    if (!next || answer.result == RunStopResult::Unreachable)
        onReleased = std::exchange(it->second.onReleased, nullptr);
    if (next) {
        schedule(number, *next);
    } else {
        const AbandonedRun run = std::move(it->second.run);
        m_runs.erase(it);
        if (m_hooks.onEnded)
            m_hooks.onEnded(run, answer.result);
    }
    if (onReleased)
        onReleased();
}

// Returns nothing if no further call is made.
std::optional<Duration> RunStopper::timeToNextCall(const Entry &entry, RunStopResult result) const
{
    switch (result) {
    case RunStopResult::Stopped:
    case RunStopResult::NoSuchRun:
        return std::nullopt;
    case RunStopResult::Busy:
        if (m_timers.now() - entry.addedAt >= MaxBusyTime)
            return std::nullopt;
        return BusyGap;
    case RunStopResult::Refused:
    case RunStopResult::Unreachable:
    case RunStopResult::Unknown:
        break;
    }
    if (entry.failedCalls >= MaxCalls)
        return std::nullopt;
    return RetryGap * (1U << (entry.failedCalls - 1));
}

} // namespace currantwalk
