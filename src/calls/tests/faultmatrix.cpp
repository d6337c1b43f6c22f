#include "calls/tests/faultmatrix.h"

#include <algorithm>
#include <array>

#include "base/enumtable.h"

namespace currantwalk {

using namespace std::chrono_literals;

static constexpr std::array<EnumName<MatrixFault>, MatrixFaultCount> FaultNames{{
        {MatrixFault::DaemonKilled, "daemon-killed"},
        {MatrixFault::TargetKilled, "target-killed"},
        {MatrixFault::TargetReclaimed, "target-reclaimed"},
        {MatrixFault::LinkStalledHealed, "link-stalled-healed"},
        {MatrixFault::LinkStalledClosed, "link-stalled-closed"},
        {MatrixFault::ResetBeforeWrite, "reset-before-write"},
        {MatrixFault::ResetDuringWrite, "reset-during-write"},
        {MatrixFault::ResetAfterWrite, "reset-after-write"},
        {MatrixFault::AnswerLost, "answer-lost"},
        {MatrixFault::AnswerLate, "answer-late"},
        {MatrixFault::AnswerCrossed, "answer-crossed"},
        {MatrixFault::AnswerDoubled, "answer-doubled"},
        {MatrixFault::AnswerTruncated, "answer-truncated"},
        {MatrixFault::ControlCallsFail, "control-calls-fail"},
        {MatrixFault::LogDown, "log-down"},
        {MatrixFault::LogSlow, "log-slow"},
        {MatrixFault::LogLateEffect, "log-late-effect"},
        {MatrixFault::LogAnswerLost, "log-answer-lost"},
        {MatrixFault::PeersUnreachable, "peers-unreachable"},
        {MatrixFault::ZoneCut, "zone-cut"},
        {MatrixFault::DaemonPaused, "daemon-paused"},
        {MatrixFault::DrainBegun, "drain-begun"},
}};

static constexpr std::array<EnumName<SimRequestStep>, 10> StepNames{{
        {SimRequestStep::Claiming, "claiming"},
        {SimRequestStep::ClaimStands, "claim-stands"},
        {SimRequestStep::Queued, "queued"},
        {SimRequestStep::Sent, "sent"},
        {SimRequestStep::Effect, "effect"},
        {SimRequestStep::Opened, "opened"},
        {SimRequestStep::FirstToken, "first-token"},
        {SimRequestStep::Midway, "midway"},
        {SimRequestStep::LastToken, "last-token"},
        {SimRequestStep::Recording, "recording"},
}};

std::string_view matrixFaultName(MatrixFault fault)
{
    return enumName(FaultNames, fault);
}

std::string_view simRequestStepName(SimRequestStep step)
{
    return enumName(StepNames, step);
}

bool MatrixResult::isPassed() const
{
    return wasInjected && violations.empty() && allowed.count(end) > 0;
}

std::vector<SimRequestStep> stepsForKind(SimRequestKind kind)
{
    switch (kind) {
    case SimRequestKind::Streamed:
    case SimRequestKind::Whole:
        return {SimRequestStep::Queued,     SimRequestStep::Sent,   SimRequestStep::Opened,
                SimRequestStep::FirstToken, SimRequestStep::Midway, SimRequestStep::LastToken};
    case SimRequestKind::Keyed:
        return {SimRequestStep::Claiming, SimRequestStep::ClaimStands, SimRequestStep::Queued,
                SimRequestStep::Sent,     SimRequestStep::Effect,      SimRequestStep::Recording};
    case SimRequestKind::Idempotent:
    case SimRequestKind::Unkeyed:
        return {SimRequestStep::Queued, SimRequestStep::Sent, SimRequestStep::Effect};
    }
    return {};
}

// Whether the fault can prevent the node from learning the outcome of a request that may have run.
static bool canHideOutcome(MatrixFault fault)
{
    switch (fault) {
    case MatrixFault::DaemonKilled:
    case MatrixFault::TargetKilled:
    case MatrixFault::LinkStalledClosed:
    case MatrixFault::ResetDuringWrite:
    case MatrixFault::ResetAfterWrite:
    case MatrixFault::AnswerLost:
    case MatrixFault::AnswerTruncated:
    case MatrixFault::ZoneCut:
        return true;
    default:
        return false;
    }
}

static bool isLogFault(MatrixFault fault)
{
    return fault == MatrixFault::LogDown || fault == MatrixFault::LogSlow
           || fault == MatrixFault::LogLateEffect || fault == MatrixFault::LogAnswerLost;
}

// A generation completes unless its engine dies after tokens were delivered. An idempotent call
// completes with its response. A non-idempotent call completes with its response or reports
// correctly that it did not run or that its outcome is unknown.
std::set<SimOutcome> allowedOutcomes(const MatrixCell &cell)
{
    std::set<SimOutcome> allowed{SimOutcome::Done};
    const bool hasTokens = cell.step == SimRequestStep::FirstToken
                           || cell.step == SimRequestStep::Midway
                           || cell.step == SimRequestStep::LastToken;
    if (cell.kind == SimRequestKind::Streamed && hasTokens
        && cell.fault == MatrixFault::TargetKilled)
        allowed.insert(SimOutcome::Failed);
    if (cell.kind != SimRequestKind::Keyed && cell.kind != SimRequestKind::Unkeyed)
        return allowed;
    // After the request has been written, a reset before the write acts like one after it.
    const bool isWritten =
            cell.step == SimRequestStep::Effect || cell.step == SimRequestStep::Recording;
    const bool isLateReset = isWritten && cell.fault == MatrixFault::ResetBeforeWrite;
    if (canHideOutcome(cell.fault) || isLateReset)
        allowed.insert(SimOutcome::Unknown);
    const bool isBeforeSend = cell.step == SimRequestStep::Claiming
                              || cell.step == SimRequestStep::ClaimStands
                              || cell.step == SimRequestStep::Queued;
    if (isBeforeSend && cell.fault == MatrixFault::ResetBeforeWrite)
        allowed.insert(SimOutcome::NotRun);
    if (cell.kind == SimRequestKind::Keyed && isBeforeSend && isLogFault(cell.fault))
        allowed.insert({SimOutcome::NotRun, SimOutcome::Unknown});
    return allowed;
}

static ConnectionFault connectionFault(MatrixFault fault)
{
    switch (fault) {
    case MatrixFault::ResetBeforeWrite:
        return ConnectionFault::ResetBefore;
    case MatrixFault::ResetDuringWrite:
        return ConnectionFault::ResetDuring;
    case MatrixFault::ResetAfterWrite:
        return ConnectionFault::ResetAfter;
    case MatrixFault::AnswerLost:
        return ConnectionFault::LoseAnswer;
    case MatrixFault::AnswerLate:
        return ConnectionFault::LateAnswer;
    case MatrixFault::AnswerCrossed:
        return ConnectionFault::CrossAnswer;
    case MatrixFault::AnswerDoubled:
        return ConnectionFault::DoubleAnswer;
    case MatrixFault::AnswerTruncated:
        return ConnectionFault::Truncate;
    default:
        return ConnectionFault::None;
    }
}

// Injects the fault into the open connection, if there is one, and into the next one.
static void injectOnConnection(SimWorld &world, ConnectionFault fault)
{
    const ConnectionPtr current = world.nodes[0]->daemon->lastConnection();
    if (current && current->isOpen) {
        current->fault = fault;
        const bool isBeforeArrival =
                fault == ConnectionFault::ResetBefore || fault == ConnectionFault::ResetDuring;
        const bool isReset = isBeforeArrival || fault == ConnectionFault::ResetAfter;
        if (isBeforeArrival || (isReset && current->isRequestDelivered))
            world.network.breakConnection(current, makeError(ErrorCode::ConnectionLost, "reset"));
        if (fault == ConnectionFault::LoseAnswer)
            world.schedule(2s, [&world, current] {
                world.network.breakConnection(current,
                                              makeError(ErrorCode::ConnectionLost, "closed"));
            });
    }
    world.network.drawFault = [&world, fault] {
        world.network.drawFault = [] { return ConnectionFault::None; };
        return fault;
    };
}

static void injectLogFault(SimWorld &world, MatrixFault fault)
{
    FakeLog::Faults &faults = world.log.faults;
    switch (fault) {
    case MatrixFault::LogDown:
        faults.isUnavailable = true;
        break;
    case MatrixFault::LogSlow:
        faults.maxExtraDelay = 2s;
        break;
    case MatrixFault::LogLateEffect:
        faults.lateEffect = 1;
        break;
    default:
        faults.loseAfterEffect = 1;
        break;
    }
    world.schedule(10s, [&faults] { faults = FakeLog::Faults(); });
}

static void inject(SimWorld &world, MatrixFault fault)
{
    SimNode &entry = *world.nodes[0];
    std::string target = entry.daemon->lastTarget();
    if (target.empty())
        target = world.engines[0]->place.name;
    switch (fault) {
    case MatrixFault::DaemonKilled:
        return world.killDaemon(0);
    case MatrixFault::TargetKilled:
        return world.killTarget(target, 20s);
    case MatrixFault::TargetReclaimed:
        return world.reclaimTarget(target, 10s, 20s);
    case MatrixFault::LinkStalledHealed:
        return world.network.stallLink(entry.place.name, target, 8s);
    case MatrixFault::LinkStalledClosed:
        world.network.stallLink(entry.place.name, target, 8s);
        return world.schedule(4s, [&world, target] {
            world.network.breakAll(
                    [&target](const SimConnection &each) { return each.to.name == target; });
        });
    case MatrixFault::ControlCallsFail:
        return world.network.failControlCalls(target, 1, 20s);
    case MatrixFault::LogDown:
    case MatrixFault::LogSlow:
    case MatrixFault::LogLateEffect:
    case MatrixFault::LogAnswerLost:
        return injectLogFault(world, fault);
    case MatrixFault::PeersUnreachable:
        return world.partitionPeers(40s);
    case MatrixFault::ZoneCut:
        return world.partitionZone(entry.place.zone, 20s);
    case MatrixFault::DaemonPaused:
        return world.pauseDaemon(0, 15s);
    case MatrixFault::DrainBegun:
        return entry.daemon->drain().begin();
    default:
        return injectOnConnection(world, connectionFault(fault));
    }
}

static void checkFinalState(SimWorld &world, const MatrixCell &cell, SimCaller &caller)
{
    caller.checkFinalState();
    for (const auto &node : world.nodes) {
        if (!node->daemon)
            continue;
        if (node->daemon->callsInProgress() > 0)
            world.reportViolation("a request is still in progress at " + node->place.name);
        if (node->daemon->unsettled() > 0)
            world.reportViolation("a claim or cancellation is still pending at "
                                  + node->place.name);
    }
    if (world.runningGenerations() > 0)
        world.reportViolation("a generation is still running after all requests ended");
    if (cell.fault == MatrixFault::DrainBegun && !world.nodes[0]->daemon->hasExited())
        world.reportViolation("the drain did not complete");
}

MatrixResult runCell(const MatrixCell &cell)
{
    SimWorld::Options options;
    options.seed = 1;
    SimWorld world(options);
    MatrixResult result;
    result.allowed = allowedOutcomes(cell);
    world.onStep = [&world, &result, &cell](std::size_t node, SimRequestStep step) {
        if (node != 0 || step != cell.step || result.wasInjected)
            return;
        result.wasInjected = true;
        world.schedule(Duration(0), [&world, &cell] { inject(world, cell.fault); });
    };
    SimCaller::Options request;
    request.kind = cell.kind;
    request.name = "r";
    SimCaller caller(world, request);
    world.timers.advance(1s);
    caller.submit(0);
    world.timers.advance(10min);
    checkFinalState(world, cell, caller);
    result.end = caller.end();
    result.violations = world.violations;
    return result;
}

} // namespace currantwalk
