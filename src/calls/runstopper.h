#ifndef CURRANTWALK_CALLS_RUNSTOPPER_H
#define CURRANTWALK_CALLS_RUNSTOPPER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// A run that nobody waits for, as its connection was closed or lost before its answer was
/// complete, or as its stream goes on elsewhere.
struct AbandonedRun
{
    RequestId id;
    TargetId target;
    Incarnation startedAt = 0;  ///< Of the target, as its entry said.
    Endpoint endpoint;          ///< Of the target.
    ZoneName zone;              ///< Of the target.
    Endpoint destination;       ///< Of another target, which the call that stops a run has to name.
    std::string copyInUse{};    ///< Handle of the copy from which the stream goes on; may be empty.
    bool isBeingCopied = false; ///< The stream may go on from a copy whose handle is not known yet.
    TimePoint until{};          ///< Its deadline, after which the target ends it by itself.
};

/// What a target answered to the call that stops a run.
enum class RunStopResult {
    Stopped,
    NoSuchRun,
    Busy,        ///< Not before an earlier call on the run is over; the run continues.
    Refused,     ///< Not now; the run may continue.
    Unreachable, ///< No connection could be opened.
    Unknown,     ///< The call may have been carried out.
};

/// Returns "stopped", "no-such-run", "busy", "refused", "unreachable" or "unknown".
std::string_view runStopResultName(RunStopResult result);

struct RunStopAnswer
{
    RunStopResult result = RunStopResult::Unknown;
    std::string handle; ///< Of the copy that the call made; empty if there is none.
};

/// Stops runs that targets continue after the connection of their request has been closed. A target
/// has some time to end the run by itself; then it is told to, until it says that there is no such
/// run, or a number of calls has failed and the run's deadline has passed: a target may be reached
/// again after a long time, with the run. Any call may stay without an answer while others get
/// through, so the next one does not wait for it. A run that is being copied can't be stopped
/// before the copy is complete.
class RunStopper
{
public:
    /// Time for a target to notice that the connection was closed.
    static constexpr Duration CloseNoticeTime = std::chrono::milliseconds(100);
    /// Time from a call to the next, whether or not it is answered, as long as calls are frequent.
    static constexpr Duration CallGap = std::chrono::milliseconds(30);
    /// Number of calls after which the time between them doubles with each, up to MaxCallGap.
    static constexpr std::uint32_t FrequentCalls = 12;
    static constexpr Duration MaxCallGap = std::chrono::seconds(1);
    /// Time from a call that could not be sent to the next; doubled after each, up to MaxCallGap.
    static constexpr Duration UnreachableGap = std::chrono::milliseconds(50);
    /// Number of calls that are refused or lost, and of those that do not reach their target, after
    /// which calls are made every MaxCallGap until the run's deadline.
    static constexpr std::uint32_t MaxCalls = 20;
    static constexpr std::uint32_t MaxUnreachableCalls = 8;
    /// Time between calls while the target is busy with the run.
    static constexpr Duration BusyGap = std::chrono::milliseconds(100);
    /// Longest time for which a target may be busy with the run.
    static constexpr Duration MaxBusyTime = std::chrono::seconds(30);

    /// How the attempts to stop a run have ended.
    struct Report
    {
        AbandonedRun run;
        RunStopResult result = RunStopResult::Unknown;
        std::uint32_t calls = 0; ///< That were made.
        Duration elapsed{0};     ///< Since the run was added.
    };

    struct Hooks
    {
        using Callback = std::function<void(const RunStopAnswer &)>;
        /// Tells the target to stop the run. The callback must not be called from within the call.
        std::function<void(const AbandonedRun &run, Callback callback)> stopRun;
        /// Frees the copy that stopping a run has made.
        std::function<void(const AbandonedRun &run, const std::string &handle)> freeCopy;
        /// Called when no further call is made for a run; may be empty.
        std::function<void(const Report &report)> onEnded;
    };

    using ReleaseCallback = std::function<void(RunStopResult result)>;

    static std::unique_ptr<RunStopper> create(Hooks hooks, TimerService &timers);
    ~RunStopper();
    RunStopper(const RunStopper &) = delete;
    RunStopper &operator=(const RunStopper &) = delete;

    void add(AbandonedRun run);
    /// Makes the first call at once, since something waits for the end of the run. Calls \a
    /// onReleased once while the run may go on, when the target can't be reached or MaxCalls calls
    /// were of no use; and when no further call is made.
    void addUrgent(AbandonedRun run, ReleaseCallback onReleased);
    /// Called when the request \a id is about to be sent to \a target again. A stop would end the
    /// new run.
    void cancel(const RequestId &id, const TargetId &target);
    /// Makes a call for each run at once, as the process is about to end.
    void callAllNow();
    /// Returns the number of runs that may continue.
    std::size_t size() const { return m_runs.size(); }
    /// Returns the number of those that a planned stop of the process waits for: their targets can
    /// be reached, and calls are frequent.
    std::size_t pending() const;

private:
    struct Entry
    {
        AbandonedRun run;
        TimePoint addedAt{};
        ReleaseCallback onReleased{};
        bool isReleaseTold = false;
        bool isUnreachable = false;         ///< By the latest call that has ended.
        std::uint32_t calls = 0;            ///< That were made.
        std::uint32_t busyCalls = 0;        ///< That were answered by Busy.
        std::uint32_t unreachableCalls = 0; ///< That did not reach the target.
        std::uint32_t openCalls = 0;        ///< That wait for an answer.
        TimerId timer = NoTimer;            ///< Of the next call; NoTimer: none is made.
    };

    RunStopper(Hooks hooks, TimerService &timers);

    void add(AbandonedRun run, Duration delay, ReleaseCallback onReleased);
    std::uint64_t find(const AbandonedRun &run) const;
    void schedule(std::uint64_t number, Duration delay);
    void call(std::uint64_t number);
    void release(std::uint64_t number, RunStopResult result);
    static std::uint32_t countedCalls(const Entry &entry) { return entry.calls - entry.busyCalls; }
    void onAnswer(std::uint64_t number, const RunStopAnswer &answer);
    void scheduleNext(std::uint64_t number, RunStopResult result);
    void end(std::uint64_t number, RunStopResult result);
    static Duration gapAfter(std::uint32_t calls);

    const Hooks m_hooks;
    TimerService &m_timers;
    std::map<std::uint64_t, Entry> m_runs; ///< By number.
    std::uint64_t m_lastNumber = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_RUNSTOPPER_H
