#include "calls/runstopper.h"

#include <array>
#include <utility>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<RunStopResult>, 5> RunStopResultNames{{
        {RunStopResult::Stopped, "stopped"},
        {RunStopResult::NoSuchRun, "no-such-run"},
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
    const std::uint64_t number = ++m_lastNumber;
    m_runs[number].run = std::move(run);
    schedule(number, CloseNoticeTime);
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

void RunStopper::schedule(std::uint64_t number, Duration delay)
{
    m_runs.at(number).timer = m_timers.scheduleAfter(delay, [this, number] {
        m_runs.at(number).timer = NoTimer;
        call(number);
    });
}

void RunStopper::call(std::uint64_t number)
{
    Entry &entry = m_runs.at(number);
    ++entry.calls;
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
    const bool isOver =
            answer.result == RunStopResult::Stopped || answer.result == RunStopResult::NoSuchRun;
    if (!isOver && it->second.calls < MaxCalls) {
        schedule(number, RetryGap * (1U << (it->second.calls - 1)));
        return;
    }
    const AbandonedRun run = std::move(it->second.run);
    m_runs.erase(it);
    if (m_hooks.onEnded)
        m_hooks.onEnded(run, answer.result);
}

} // namespace currantwalk
