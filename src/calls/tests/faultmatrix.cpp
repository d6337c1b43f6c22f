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
        {MatrixFault::LogDown, "log-down"},
        {MatrixFault::LogSlow, "log-slow"},
        {MatrixFault::LogLateEffect, "log-late-effect"},
        {MatrixFault::LogAnswerLost, "log-answer-lost"},
        {MatrixFault::PeersUnreachable, "peers-unreachable"},
        {MatrixFault::ZoneCut, "zone-cut"},
        {MatrixFault::DaemonPaused, "daemon-paused"},
        {MatrixFault::DrainBegun, "drain-begun"},
}};

static constexpr std::array<EnumName<SimStep>, 10> StepNames{{
        {SimStep::Claiming, "claiming"},
        {SimStep::ClaimStands, "claim-stands"},
        {SimStep::Queued, "queued"},
        {SimStep::Sent, "sent"},
        {SimStep::Effect, "effect"},
        {SimStep::Opened, "opened"},
        {SimStep::FirstToken, "first-token"},
        {SimStep::Midway, "midway"},
        {SimStep::LastToken, "last-token"},
        {SimStep::Recording, "recording"},
}};

std::string_view matrixFaultName(MatrixFault fault)
{
    return enumName(FaultNames, fault);
}

std::string_view simStepName(SimStep step)
{
    return enumName(StepNames, step);
}

bool MatrixResult::isPassed() const
{
    return wasInjected && violations.empty() && allowed.count(end) > 0;
}

std::vector<SimStep> stepsOf(SimKind kind)
{
    switch (kind) {
    case SimKind::Streamed:
    case SimKind::Whole:
        return {SimStep::Queued,     SimStep::Sent,   SimStep::Opened,
                SimStep::FirstToken, SimStep::Midway, SimStep::LastToken};
    case SimKind::Keyed:
        return {SimStep::Claiming, SimStep::ClaimStands, SimStep::Queued,
                SimStep::Sent,     SimStep::Effect,      SimStep::Recording};
    case SimKind::Idempotent:
    case SimKind::Unkeyed:
        return {SimStep::Queued, SimStep::Sent, SimStep::Effect};
    }
    return {};
}

// Whether the fault can leave the node without the answer to a request that may have run.
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

// A generation ends whole unless its engine dies after the caller got tokens of it. An idempotent
// call ends with its answer. A call that may run once ends with its answer, or with the truth.
std::set<SimEnd> allowedEnds(const MatrixCell &cell)
{
    std::set<SimEnd> allowed{SimEnd::Done};
    const bool hasTokens = cell.step == SimStep::FirstToken || cell.step == SimStep::Midway
                           || cell.step == SimStep::LastToken;
    if (cell.kind == SimKind::Streamed && hasTokens && cell.fault == MatrixFault::TargetKilled)
        allowed.insert(SimEnd::Failed);
    if (cell.kind != SimKind::Keyed && cell.kind != SimKind::Unkeyed)
        return allowed;
    // Once the request is written, any reset is one after the write.
    const bool isWritten = cell.step == SimStep::Effect || cell.step == SimStep::Recording;
    const bool isLateReset = isWritten && cell.fault == MatrixFault::ResetBeforeWrite;
    if (canHideOutcome(cell.fault) || isLateReset)
        allowed.insert(SimEnd::Unknown);
    const bool isBeforeSend = cell.step == SimStep::Claiming || cell.step == SimStep::ClaimStands
                              || cell.step == SimStep::Queued;
    if (isBeforeSend && cell.fault == MatrixFault::ResetBeforeWrite)
        allowed.insert(SimEnd::NotRun);
    if (cell.kind == SimKind::Keyed && isBeforeSend && isLogFault(cell.fault))
        allowed.insert({SimEnd::NotRun, SimEnd::Unknown});
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

// Strikes the connection that is open, if there is one, and the next one.
static void injectOnConnection(SimWorld &world, ConnectionFault fault)
{
    const ConnectionPtr current = world.nodes[0]->daemon->latestConnection();
    if (current && current->isOpen) {
        current->fault = fault;
        const bool isBeforeArrival =
                fault == ConnectionFault::ResetBefore || fault == ConnectionFault::ResetDuring;
        const bool isReset = isBeforeArrival || fault == ConnectionFault::ResetAfter;
        if (isBeforeArrival || (isReset && current->isRequestDelivered))
            world.network.breakConnection(current, makeError(ErrorCode::ConnectionLost, "reset"));
        if (fault == ConnectionFault::LoseAnswer)
            world.later(2s, [&world, current] {
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
        faults.isOut = true;
        break;
    case MatrixFault::LogSlow:
        faults.slowness = 2s;
        break;
    case MatrixFault::LogLateEffect:
        faults.lateEffect = 1;
        break;
    default:
        faults.loseAfterEffect = 1;
        break;
    }
    world.later(10s, [&faults] { faults = FakeLog::Faults(); });
}

static void inject(SimWorld &world, MatrixFault fault)
{
    SimNode &entry = *world.nodes[0];
    std::string target = entry.daemon->latestTarget();
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
        return world.later(4s, [&world, target] {
            world.network.breakAll(
                    [&target](const SimConnection &each) { return each.to.name == target; });
        });
    case MatrixFault::LogDown:
    case MatrixFault::LogSlow:
    case MatrixFault::LogLateEffect:
    case MatrixFault::LogAnswerLost:
        return injectLogFault(world, fault);
    case MatrixFault::PeersUnreachable:
        return world.cutPeers(40s);
    case MatrixFault::ZoneCut:
        return world.cutZone(entry.place.zone, 20s);
    case MatrixFault::DaemonPaused:
        return world.pauseDaemon(0, 15s);
    case MatrixFault::DrainBegun:
        return entry.daemon->drain().begin();
    default:
        return injectOnConnection(world, connectionFault(fault));
    }
}

static void checkAtRest(SimWorld &world, const MatrixCell &cell, SimCaller &caller)
{
    caller.checkAtRest();
    for (const auto &node : world.nodes) {
        if (!node->daemon)
            continue;
        if (node->daemon->callsInProgress() > 0)
            world.violate("a request is left in " + node->place.name);
        if (node->daemon->unsettled() > 0)
            world.violate("a claim or cancellation is left in " + node->place.name);
    }
    if (world.runningGenerations() > 0)
        world.violate("a generation runs on for nobody");
    if (cell.fault == MatrixFault::DrainBegun && !world.nodes[0]->daemon->hasExited())
        world.violate("the drain did not end");
}

MatrixResult runCell(const MatrixCell &cell)
{
    SimWorld::Options options;
    options.seed = 1;
    SimWorld world(options);
    MatrixResult result;
    result.allowed = allowedEnds(cell);
    world.onStep = [&world, &result, &cell](std::size_t node, SimStep step) {
        if (node != 0 || step != cell.step || result.wasInjected)
            return;
        result.wasInjected = true;
        world.later(Duration(0), [&world, &cell] { inject(world, cell.fault); });
    };
    SimCaller::Options request;
    request.kind = cell.kind;
    request.name = "r";
    SimCaller caller(world, request);
    world.timers.advance(1s);
    caller.submit(0);
    world.timers.advance(10min);
    checkAtRest(world, cell, caller);
    result.end = caller.end();
    result.violations = world.violations;
    return result;
}

} // namespace currantwalk
