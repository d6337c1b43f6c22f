#include "calls/tests/randomisedrun.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

using namespace std::chrono_literals;

static constexpr Duration FaultPhaseDuration = 2min;
static constexpr Duration RecoveryPhaseDuration = 15min;
static constexpr std::size_t RequestsPerRun = 80;
static constexpr std::size_t FaultsPerRun = 30;
static constexpr double ConnectionFaultChance = 0.08;

static SimWorld::Options worldOptions(std::uint64_t seed, bool hasDefect)
{
    SimWorld::Options options;
    options.seed = seed;
    options.nodesPerZone = 2;
    options.enginesPerZone = 2;
    options.servicesPerZone = 1;
    options.servicesCheckKeys = seed % 2 == 0;
    options.isClaimReadBackSkipped = hasDefect;
    return options;
}

void RunReport::add(const RunReport &other)
{
    for (const auto &[name, count] : other.faults)
        faults[name] += count;
    for (const auto &[name, count] : other.pairs)
        pairs[name] += count;
    for (const auto &[name, count] : other.counts)
        counts[name] += count;
    violations.insert(violations.end(), other.violations.begin(), other.violations.end());
}

RandomisedRun::RandomisedRun(std::uint64_t seed, bool hasDefect)
    : m_world(worldOptions(seed, hasDefect)), m_random(seed * 2 + 1)
{
}

RunReport RandomisedRun::run()
{
    m_world.network.drawFault = [this] {
        if (m_world.timers.now() >= TimePoint(FaultPhaseDuration)
            || !m_random.chance(ConnectionFaultChance))
            return ConnectionFault::None;
        const auto last = static_cast<std::uint64_t>(ConnectionFault::Truncate);
        return static_cast<ConnectionFault>(1 + m_random.uniformBelow(last));
    };
    for (const auto &engine : m_world.engines)
        engine->refusalChance = 0.05;
    scheduleCallers();
    scheduleFaults();
    m_world.timers.advance(FaultPhaseDuration);
    clearLogFaults();
    m_world.timers.advance(RecoveryPhaseDuration);
    checkFinalState();
    countOutcomes();
    for (std::size_t i = 0; i < m_world.nodes.size(); ++i)
        countClaims(i);
    for (const auto &[name, count] : m_world.counts)
        m_report.counts[name] += count;
    for (const auto &[fault, count] : m_world.network.faultCounts) {
        if (fault != ConnectionFault::None)
            m_report.counts["connection faults"] += count;
        if (fault == ConnectionFault::Hang)
            m_report.counts["calls that hang"] += count;
    }
    m_report.violations = m_world.violations;
    return m_report;
}

std::size_t RandomisedRun::randomNode()
{
    return m_random.uniformBelow(m_world.nodes.size());
}

std::string RandomisedRun::randomTarget()
{
    if (m_random.chance(0.7))
        return m_world.engines[m_random.uniformBelow(m_world.engines.size())]->place.name;
    return m_world.services[m_random.uniformBelow(m_world.services.size())]->place.name;
}

void RandomisedRun::scheduleCallers()
{
    for (std::size_t i = 0; i < RequestsPerRun; ++i) {
        SimCaller::Options options;
        options.kind = static_cast<SimRequestKind>(m_random.uniformBelow(5));
        options.name = "r" + std::to_string(i);
        options.tokens = static_cast<std::uint32_t>(5 + m_random.uniformBelow(400));
        options.lossPolicy = m_random.chance(0.3) ? LossPolicy::Restart : LossPolicy::End;
        options.blockedDuration = m_random.chance(0.2) ? m_random.jitter(20s) : Duration(0);
        const TimePoint at{m_random.jitter(FaultPhaseDuration)};
        const std::size_t node = randomNode();
        addCaller(options, at, node);
        if (options.kind != SimRequestKind::Keyed)
            continue;
        for (std::uint64_t copies = m_random.uniformBelow(4); copies > 0; --copies) {
            addCaller(options, at + m_random.jitter(2s), randomNode());
            m_isDuplicate.back() = true;
            ++m_report.counts["duplicates"];
        }
    }
}

void RandomisedRun::addCaller(SimCaller::Options options, TimePoint at, std::size_t node)
{
    const Duration lifetime = m_random.chance(0.08) ? m_random.jitter(5s) : Duration(0);
    m_callers.push_back(std::make_unique<SimCaller>(m_world, std::move(options)));
    m_isDuplicate.push_back(false);
    SimCaller *caller = m_callers.back().get();
    m_world.timers.scheduleAt(at, [caller, node] { caller->submit(node); });
    if (m_random.chance(0.15)) {
        ++m_report.counts["callers that reconnect"];
        m_world.timers.scheduleAt(at + m_random.jitter(4s), [caller] { caller->reconnect(); });
    }
    if (lifetime == Duration(0))
        return;
    ++m_report.counts["callers that leave"];
    m_world.timers.scheduleAt(at + lifetime, [caller] { caller->leave(); });
}

void RandomisedRun::scheduleFaults()
{
    for (std::size_t i = 0; i < FaultsPerRun; ++i) {
        const auto fault = static_cast<MatrixFault>(m_random.uniformBelow(MatrixFaultCount));
        m_world.timers.scheduleAt(TimePoint(m_random.jitter(FaultPhaseDuration)),
                                  [this, fault] { injectFault(fault); });
    }
}

void RandomisedRun::recordFault(const std::string &name, Duration span)
{
    const TimePoint now = m_world.timers.now();
    std::erase_if(m_active, [now](const ActiveFault &each) { return each.until <= now; });
    ++m_report.faults[name];
    for (const ActiveFault &other : m_active)
        ++m_report.pairs[std::min(name, other.name) + " + " + std::max(name, other.name)];
    m_active.push_back(ActiveFault{name, now + span});
}

void RandomisedRun::killDaemon(std::size_t node, Duration restartAfter)
{
    countClaims(node);
    m_world.killDaemon(node);
    m_world.schedule(restartAfter, [this, node] { m_world.startDaemon(node); });
}

void RandomisedRun::drainDaemon(std::size_t node)
{
    m_world.nodes[node]->daemon->drain().begin();
    awaitExit(node);
}

void RandomisedRun::awaitExit(std::size_t node)
{
    m_world.schedule(1s, [this, node, isDaemonAlive = m_world.nodes[node]->isDaemonAlive] {
        if (!*isDaemonAlive)
            return;
        if (!m_world.nodes[node]->daemon->hasExited())
            return awaitExit(node);
        if (m_world.nodes[node]->daemon->callsInProgress() > 0)
            m_world.reportViolation("a drained daemon exited with requests in progress");
        ++m_report.counts["drains that ended"];
        killDaemon(node, 3s);
    });
}

void RandomisedRun::clearLogFaults()
{
    m_world.log.faults = FakeLog::Faults();
}

// At most targets, as few requests are given up in the time.
void RandomisedRun::failControlCalls(Duration span)
{
    const double share = 0.1 + 0.6 * m_random.uniform();
    for (const auto &engine : m_world.engines) {
        if (m_random.chance(0.8))
            m_world.network.failControlCalls(engine->place.name, share, span);
    }
    for (const auto &service : m_world.services)
        m_world.network.failControlCalls(service->place.name, share, span);
}

void RandomisedRun::injectFault(MatrixFault fault)
{
    const std::size_t node = randomNode();
    SimNode &entry = *m_world.nodes[node];
    if (!entry.daemon)
        return;
    const std::string target = randomTarget();
    const Duration span = 1s + m_random.jitter(25s);
    FakeLog::Faults &log = m_world.log.faults;
    switch (fault) {
    case MatrixFault::DaemonKilled:
        killDaemon(node, span);
        break;
    case MatrixFault::TargetKilled:
        m_isEngineFaulted = true;
        m_world.killTarget(target, span);
        break;
    case MatrixFault::TargetReclaimed:
        m_isEngineFaulted = true;
        m_world.reclaimTarget(target, m_random.jitter(10s), span);
        break;
    case MatrixFault::LinkStalledHealed:
        m_world.network.stallLink(entry.place.name, target, span);
        break;
    case MatrixFault::LinkStalledClosed:
        m_world.network.stallLink(entry.place.name, target, span);
        m_world.schedule(span / 2, [this, target] {
            m_world.network.breakAll(
                    [&target](const SimConnection &each) { return each.to.name == target; });
        });
        break;
    case MatrixFault::ControlCallsFail:
        failControlCalls(span);
        break;
    case MatrixFault::LogDown:
        log.isUnavailable = true;
        m_world.schedule(span, [this] { clearLogFaults(); });
        break;
    case MatrixFault::LogSlow:
        log.maxExtraDelay = 2s;
        m_world.schedule(span, [this] { clearLogFaults(); });
        break;
    case MatrixFault::LogLateEffect:
        log.lateEffect = 0.5;
        log.silentLoss = 0.5;
        m_world.schedule(span, [this] { clearLogFaults(); });
        break;
    case MatrixFault::LogAnswerLost:
        log.loseAfterEffect = 0.5;
        log.loseBeforeEffect = 0.2;
        m_world.schedule(span, [this] { clearLogFaults(); });
        break;
    case MatrixFault::PeersUnreachable:
        m_world.partitionPeers(span);
        break;
    case MatrixFault::ZoneCut:
        m_isEngineFaulted = true;
        m_world.partitionZone(entry.place.zone, span);
        break;
    case MatrixFault::DaemonPaused:
        m_world.pauseDaemon(node, span, m_random.chance(0.5));
        break;
    case MatrixFault::DrainBegun:
        drainDaemon(node);
        break;
    default:
        // Connection faults are chosen separately for each connection.
        return;
    }
    recordFault(std::string(matrixFaultName(fault)), span);
}

void RandomisedRun::countOutcomes()
{
    for (std::size_t i = 0; i < m_callers.size(); ++i) {
        const SimCaller &caller = *m_callers[i];
        const std::string end(simOutcomeName(caller.end()));
        m_report.counts[std::string(simRequestKindName(caller.options().kind)) + " " + end] += 1;
        if (caller.submissions() > 1)
            m_report.counts["resubmissions"] += caller.submissions() - 1;
        if (caller.end() != SimOutcome::Done && !caller.hasLeft())
            m_report.counts[std::string(simRequestKindName(caller.options().kind)) + " " + end
                            + " for " + std::string(errorName(caller.lastError()))] += 1;
        if (m_isDuplicate[i] && !caller.hasLeft())
            m_report.counts["duplicates that ended " + end] += 1;
    }
}

void RandomisedRun::countClaims(std::size_t node)
{
    const SimDaemon *daemon = m_world.nodes[node]->daemon.get();
    if (!daemon)
        return;
    const ClaimCounts &claims = daemon->claims().counts();
    m_report.counts["claims won"] += claims.won;
    m_report.counts["claims lost to a result"] += claims.done;
    m_report.counts["claims undecided"] += claims.unknown + claims.notClaimed;
    m_report.counts["claims appended again"] += claims.appendRetries;
    m_report.counts["resumes of a generation"] += daemon->resumes();
    m_report.counts["answers dropped"] += daemon->droppedAnswers();
}

void RandomisedRun::checkFinalState()
{
    for (const auto &caller : m_callers) {
        caller->checkFinalState();
        const bool isGeneration = caller->options().kind == SimRequestKind::Streamed
                                  || caller->options().kind == SimRequestKind::Whole;
        if (isGeneration && caller->end() == SimOutcome::Failed && !m_isEngineFaulted)
            m_world.reportViolation("a generation failed although no engine fault was injected");
    }
    for (const auto &node : m_world.nodes) {
        if (!node->daemon)
            continue;
        if (node->daemon->callsInProgress() > 0)
            m_world.reportViolation("a request is still in progress at " + node->place.name);
        if (node->daemon->unsettled() > 0)
            m_world.reportViolation("a claim or cancellation is still pending at "
                                    + node->place.name);
    }
    if (m_world.runningGenerations() > 0)
        m_world.reportViolation("a generation is still running after all requests ended");
}

} // namespace currantwalk
