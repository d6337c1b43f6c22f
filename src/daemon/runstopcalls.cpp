#include "daemon/runstopcalls.h"

#include "observe/logging.h"

namespace currantwalk {

static constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);
// The answer comes when what is new in the run's memory has been copied.
static constexpr Duration StopTimeout = std::chrono::milliseconds(2500);

// From a call until it is counted in what its target is sent.
static constexpr Duration ChargeDelay = std::chrono::milliseconds(100);
// A copy that has to wait longer to be freed has ended by itself.
static constexpr Duration MaxFreeDelay = std::chrono::seconds(10);

static HttpCallOptions callOptions(const Endpoint &endpoint)
{
    HttpCallOptions options;
    options.endpoint = endpoint;
    options.isConnectionKept = false;
    options.connectTimeout = ConnectTimeout;
    return options;
}

static TargetSendNote ownCall(const RelayServices &services, const AbandonedRun &run)
{
    return {run.target, run.startedAt, services.timers.now(), run.id.text(), true};
}

static RunStopAnswer readAnswer(const RelayServices &services, const FetchResult &result)
{
    if (result.status.ok())
        return services.bindings.readStop(result.response);
    const bool wasSent = result.progress == SendProgress::Sent;
    return {wasSent ? RunStopResult::Unknown : RunStopResult::Unreachable, {}};
}

// Counts the call in what a target with a limit is sent, as far as grants are left. Streams that
// are to go on there at the same moment are granted first.
static void chargeCall(RelayServices &services, const AbandonedRun &run)
{
    services.timers.scheduleAfter(ChargeDelay, [&services, target = run.target,
                                                startedAt = run.startedAt, zone = run.zone] {
        services.limiter.request(target, startedAt, zone, GrantUse::First,
                                 [&services, target, startedAt](bool isGranted) {
                                     if (isGranted)
                                         services.limiter.take(target, startedAt);
                                 });
    });
}

// The call ends work, so it goes to each target that can be reached, whatever holds new work back:
// a hold-off, a limit, a cold target, one that leaves or whose zone is emptied. It goes also to a
// target that has started anew meanwhile: the node may have heard of that start after it had sent
// the request to it.
static void stopRun(RelayServices &services, const AbandonedRun &run,
                    RunStopper::Hooks::Callback callback)
{
    chargeCall(services, run);
    services.fetcher.fetch(callOptions(run.endpoint),
                           services.bindings.writeStop(run.id, run.destination), StopTimeout,
                           [&services, sent = ownCall(services, run),
                            callback = std::move(callback)](const FetchResult &result) {
                               services.noteCallAnswer(sent, result.response);
                               callback(readAnswer(services, result));
                           });
}

static void logUnfreed(const CopyToFree &copy, const std::string &reason)
{
    logRequest(LogPart::Calls, LogLevel::Info, copy.request.text(),
               "A copy named by " + copy.target.text() + " was not freed: " + reason);
}

static void callFree(RelayServices &services, const CopyToFree &copy)
{
    services.fetcher.fetch(
            callOptions(copy.endpoint), services.bindings.writeDropCopy(copy.handle), StopTimeout,
            [&services, copy,
             sent = TargetSendNote{copy.target, copy.startedAt, services.timers.now(),
                                   copy.request.text(), true}](const FetchResult &result) {
                services.noteCallAnswer(sent, result.response);
                if (!result.status.ok())
                    logUnfreed(copy, std::string(result.status.message()));
            });
}

// Unlike a run, a copy costs room alone, and ends by itself after a time. So the call waits until
// the target takes calls again, and is not made where its zone is emptied.
void freeCopy(RelayServices &services, const CopyToFree &copy)
{
    const Duration heldOff =
            services.holdOffs.remaining(copy.target, copy.startedAt, services.timers.now());
    if (heldOff > MaxFreeDelay) {
        logUnfreed(copy, "the target wants no calls");
        return;
    }
    if (heldOff > Duration::zero()) {
        services.timers.scheduleAfter(heldOff, [&services, copy] { freeCopy(services, copy); });
        return;
    }
    const auto free = [&services, copy](bool isGranted) {
        if (services.targets.isEmptied(copy.zone)) {
            services.metrics.count("currantwalk_emptied_zone_sends_total", {{"call", "drop"}});
            logUnfreed(copy, "zone " + copy.zone.text() + " is emptied");
        } else if (isGranted && services.limiter.take(copy.target, copy.startedAt)) {
            callFree(services, copy);
        } else {
            logUnfreed(copy, "the target takes no further requests");
        }
    };
    services.limiter.request(copy.target, copy.startedAt, copy.zone, GrantUse::Repeat, free);
}

RunStopper::Hooks runStopHooks(RelayServices &services)
{
    RunStopper::Hooks hooks;
    hooks.stopRun = [&services](const AbandonedRun &run, RunStopper::Hooks::Callback callback) {
        stopRun(services, run, std::move(callback));
    };
    hooks.freeCopy = [&services](const AbandonedRun &run, const std::string &handle) {
        freeCopy(services, {run.id, run.target, run.startedAt, run.zone, run.endpoint, handle});
    };
    hooks.onEnded = [&services](const RunStopper::Report &report) {
        const std::string name(runStopResultName(report.result));
        services.metrics.count("currantwalk_run_stops_total", {{"result", name}});
        services.metrics.count("currantwalk_run_stop_calls_total", {}, report.calls);
        const bool isStopped = report.result == RunStopResult::Stopped
                               || report.result == RunStopResult::NoSuchRun;
        const auto elapsed =
                std::chrono::duration_cast<std::chrono::milliseconds>(report.elapsed).count();
        logRequest(LogPart::Calls, isStopped ? LogLevel::Info : LogLevel::Warning,
                   report.run.id.text(),
                   "The run left at " + report.run.target.text() + ": " + name
                           + (isStopped ? "." : "; it may continue.") + " calls="
                           + std::to_string(report.calls) + " ms=" + std::to_string(elapsed));
    };
    return hooks;
}

} // namespace currantwalk
