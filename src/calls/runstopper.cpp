#include "calls/runstopper.h"

#include <algorithm>
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

void RunStopper::addUrgent(AbandonedRun run, ReleaseCallback onReleased)
{
    add(std::move(run), Duration::zero(), std::move(onReleased));
}

// A run that is being stopped already is not stopped twice.
void RunStopper::add(AbandonedRun run, Duration delay, ReleaseCallback onReleased)
{
    const std::uint64_t known = find(run);
    if (known != 0 && !onReleased)
        return;
    const std::uint64_t number = known != 0 ? known : ++m_lastNumber;
    Entry &entry = m_runs[number];
    if (known == 0) {
        entry.run = std::move(run);
        entry.addedAt = m_timers.now();
    }
    entry.onReleased = std::move(onReleased);
    entry.isReleaseTold = false;
    schedule(number, delay);
}

// Returns 0 if nothing stops the run.
std::uint64_t RunStopper::find(const AbandonedRun &run) const
{
    for (const auto &[number, entry] : m_runs) {
        if (entry.run.id == run.id && entry.run.target == run.target
            && entry.run.startedAt == run.startedAt)
            return number;
    }
    return 0;
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

void RunStopper::callAllNow()
{
    for (const auto &[number, entry] : m_runs)
        schedule(number, Duration::zero());
}

void RunStopper::schedule(std::uint64_t number, Duration delay)
{
    TimerId &timer = m_runs.at(number).timer;
    m_timers.cancel(timer);
    timer = m_timers.scheduleAfter(delay, [this, number] {
        m_runs.at(number).timer = NoTimer;
        call(number);
    });
}

void RunStopper::call(std::uint64_t number)
{
    Entry &entry = m_runs.at(number);
    ++entry.calls;
    ++entry.openCalls;
    const std::uint32_t counted = countedCalls(entry);
    const bool mayGoOn = m_timers.now() < entry.run.until;
    if (counted < MaxCalls || mayGoOn)
        schedule(number, gapAfter(counted));
    m_hooks.stopRun(entry.run,
                    [this, alive = m_alive, run = entry.run, number](const RunStopAnswer &answer) {
                        if (!*alive)
                            return;
                        const bool isFree = answer.handle != run.copyInUse && !run.isBeingCopied;
                        if (!answer.handle.empty() && isFree)
                            m_hooks.freeCopy(run, answer.handle);
                        onAnswer(number, answer);
                    });
    if (counted >= MaxCalls && mayGoOn)
        release(number, RunStopResult::Unknown);
}

// The callback may add or cancel runs.
void RunStopper::release(std::uint64_t number, RunStopResult result)
{
    Entry &entry = m_runs.at(number);
    if (!entry.onReleased || std::exchange(entry.isReleaseTold, true))
        return;
    const ReleaseCallback onReleased = entry.onReleased;
    onReleased(result);
}

std::size_t RunStopper::pending() const
{
    return static_cast<std::size_t>(
            std::count_if(m_runs.begin(), m_runs.end(), [](const auto &each) {
                return !each.second.isUnreachable && countedCalls(each.second) < MaxCalls;
            }));
}

// Doubles from CallGap on once calls are not frequent any more.
Duration RunStopper::gapAfter(std::uint32_t calls)
{
    Duration gap = CallGap;
    for (std::uint32_t i = FrequentCalls; i < calls && gap < MaxCallGap; ++i)
        gap *= 2;
    return std::min(gap, MaxCallGap);
}

// After an answer that was lost, the next call tells whether the run has been stopped.
void RunStopper::onAnswer(std::uint64_t number, const RunStopAnswer &answer)
{
    const auto it = m_runs.find(number);
    if (it == m_runs.end())
        return;
    Entry &entry = it->second;
    --entry.openCalls;
    entry.isUnreachable = answer.result == RunStopResult::Unreachable;
    if (answer.result == RunStopResult::Stopped || answer.result == RunStopResult::NoSuchRun) {
        end(number, answer.result);
        return;
    }
    scheduleNext(number, answer.result);
    if (entry.timer == NoTimer && entry.openCalls == 0) {
        end(number, answer.result);
        return;
    }
    if (answer.result == RunStopResult::Unreachable)
        release(number, answer.result);
}

// Where the answer calls for another pause than the one after each call.
void RunStopper::scheduleNext(std::uint64_t number, RunStopResult result)
{
    Entry &entry = m_runs.at(number);
    if (result == RunStopResult::Busy) {
        ++entry.busyCalls;
        if (m_timers.now() - entry.addedAt < MaxBusyTime)
            schedule(number, BusyGap);
        else
            m_timers.cancel(std::exchange(entry.timer, NoTimer));
    } else if (result == RunStopResult::Unreachable && entry.timer != NoTimer) {
        ++entry.unreachableCalls;
        if (entry.unreachableCalls < MaxUnreachableCalls)
            schedule(number,
                     std::min(UnreachableGap * (1U << (entry.unreachableCalls - 1)), MaxCallGap));
        else if (m_timers.now() < entry.run.until)
            schedule(number, MaxCallGap);
        else
            m_timers.cancel(std::exchange(entry.timer, NoTimer));
    }
}

void RunStopper::end(std::uint64_t number, RunStopResult result)
{
    const auto it = m_runs.find(number);
    m_timers.cancel(it->second.timer);
    const Report report{std::move(it->second.run), result, it->second.calls,
                        m_timers.now() - it->second.addedAt};
    const ReleaseCallback onReleased = std::move(it->second.onReleased);
    m_runs.erase(it);
    if (m_hooks.onEnded)
        m_hooks.onEnded(report);
    if (onReleased)
        onReleased(result);
}

} // namespace currantwalk
