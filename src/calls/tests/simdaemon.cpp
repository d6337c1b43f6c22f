#include "calls/tests/simdaemon.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

static constexpr std::string_view TokenKey = "the key of all nodes";
static constexpr Duration PlacementTime = std::chrono::milliseconds(1);

SimDaemon::SimDaemon(SimEndpoint place, Incarnation incarnation, NodeTimers &timers,
                     DaemonEnvironment environment, std::uint64_t seed)
    : m_place(std::move(place)), m_timers(timers), m_world(std::move(environment)), m_random(seed)
{
    Claims::Options options;
    options.vm = VmId(m_place.name);
    options.incarnation = incarnation;
    options.shards = 4;
    m_claims = Claims::create(options, m_world.log, m_timers);
    m_poison = PoisonTracker::create(m_timers, {m_world.sendPoisonReport});
    m_cancellations = std::make_unique<Cancellations>(
            [this](std::uint64_t number, const GenerationAttempt &attempt,
                   const std::optional<GenerationId> &generation) {
                sendCancel(number, attempt, generation);
            },
            m_timers, m_random);
    Drain::Hooks hooks;
    hooks.onPhaseChanged = [](DrainPhase) {};
    hooks.requestsInProgress = [this] { return callsInProgress(); };
    hooks.unsentAnswers = [] { return std::size_t{0}; };
    hooks.unsettledClaims = [this] { return unsettled(); };
    hooks.handOver = [] {};
    hooks.exit = [this] { m_hasExited = true; };
    m_drain = Drain::create(Drain::Options(), std::move(hooks), m_timers);
}

SimDaemon::~SimDaemon()
{
    *m_isAlive = false;
    m_timers.dropAll();
}

void SimDaemon::schedule(std::function<void()> action)
{
    m_timers.scheduleAfter(PlacementTime, std::move(action));
}

ConnectionPtr SimDaemon::connection(const SimEndpoint &target)
{
    auto connection = std::make_shared<SimConnection>();
    connection->node = &m_timers;
    connection->isNodeAlive = m_isAlive;
    connection->from = m_place;
    connection->to = target;
    connection->onBroken = [](const absl::Status &, bool) {};
    connection->onCrossed = [] {};
    m_lastTarget = target.name;
    m_lastConnection = connection;
    return connection;
}

SimEngine &SimDaemon::engine(const TargetId &id)
{
    return **std::find_if(m_world.engines->begin(), m_world.engines->end(),
                          [&id](const auto &each) { return each->id() == id; });
}

SimService &SimDaemon::service(const TargetId &id)
{
    return **std::find_if(m_world.services->begin(), m_world.services->end(),
                          [&id](const auto &each) { return each->id() == id; });
}

// Liveness probes must fail several times before a target is reported dead.
bool SimDaemon::isReportedLive(const SimTarget &target) const
{
    constexpr Duration DetectionTime = std::chrono::seconds(3);
    if (target.isLeaving)
        return false;
    if (!target.isAlive)
        return m_timers.now() - target.diedAt < DetectionTime;
    return m_world.network->partitionDuration(m_place.zone, target.place.zone) < DetectionTime;
}

SimTarget *SimDaemon::pick(std::vector<SimTarget *> targets, const std::vector<TargetId> &excluded)
{
    std::erase_if(targets, [this, &excluded](const SimTarget *target) {
        const bool isExcluded =
                std::find(excluded.begin(), excluded.end(), target->id()) != excluded.end();
        return isExcluded || !isReportedLive(*target);
    });
    return targets.empty() ? nullptr : targets[m_random.uniformBelow(targets.size())];
}

SimTarget *SimDaemon::pickEngine(const std::vector<TargetId> &excluded)
{
    std::vector<SimTarget *> targets;
    for (const auto &each : *m_world.engines)
        targets.push_back(each.get());
    return pick(std::move(targets), excluded);
}

SimTarget *SimDaemon::pickService(const std::vector<TargetId> &excluded)
{
    std::vector<SimTarget *> targets;
    for (const auto &each : *m_world.services)
        targets.push_back(each.get());
    return pick(std::move(targets), excluded);
}

GenerationCall *SimDaemon::generationCall(CallId id)
{
    const auto it = m_generations.find(id);
    return it == m_generations.end() ? nullptr : it->second.call.get();
}

PlainCall *SimDaemon::plainCall(CallId id)
{
    const auto it = m_plain.find(id);
    return it == m_plain.end() ? nullptr : it->second.call.get();
}

SimDaemon::CallId SimDaemon::generate(GenerationRequest request, std::uint32_t tokens,
                                      CallerEvents caller)
{
    const CallId id = ++m_lastCall;
    m_budget.onFreshRequest();
    GenerationEntry &row = m_generations[id];
    row.caller = std::move(caller);
    row.tokens = tokens;
    row.call = GenerationCall::create(std::move(request), generationHooks(id), m_timers, m_random);
    row.call->start();
    return id;
}

SimDaemon::CallId SimDaemon::resume(GenerationRequest request, const std::string &token,
                                    std::uint32_t tokens, CallerEvents caller)
{
    const CallId id = ++m_lastCall;
    const ResumeToken read = verifyResumeToken(token, TokenKey).value();
    GenerationEntry &row = m_generations[id];
    row.caller = std::move(caller);
    row.tokens = tokens;
    request.id = read.request;
    row.call = GenerationCall::create(std::move(request), generationHooks(id), m_timers, m_random);
    m_world.notifyTakenOver(read);
    row.call->startAt(read.point);
    return id;
}

// A suspect request is only placed at an idle engine. In production, routing keeps other requests
// away from that engine; here the simulated engine accepts no other request meanwhile.
void SimDaemon::placeGeneration(CallId id, std::uint64_t exchange,
                                const std::vector<TargetId> &excluded)
{
    constexpr Duration HoldTime = std::chrono::milliseconds(200);
    GenerationCall *call = generationCall(id);
    if (!call || call->isSettled())
        return;
    const std::uint64_t fingerprint = call->request().fingerprint;
    const Suspicion suspicion = m_poison->suspicion(fingerprint);
    if (suspicion == Suspicion::Refused)
        return call->onPlacementFailed(
                exchange, makeError(ErrorCode::PoisonousRequest, "targets died"), Duration(0));
    SimTarget *target = pickEngine(excluded);
    if (!target)
        return call->onPlacementFailed(exchange, makeError(ErrorCode::NoTarget, "no engine"),
                                       std::chrono::seconds(1));
    SimEngine &chosen = engine(target->id());
    const bool isSuspect = suspicion == Suspicion::Suspect;
    const bool mustHold = (isSuspect && chosen.runningGenerations() > 0) || chosen.isIsolated;
    if (mustHold) {
        m_timers.scheduleAfter(HoldTime, [this, id, exchange, excluded] {
            placeGeneration(id, exchange, excluded);
        });
        return;
    }
    chosen.isIsolated = isSuspect;
    m_generations.at(id).placedAt = target->id();
    call->onPlaced(exchange, target->id());
}

void SimDaemon::release(CallId id, bool isComplete)
{
    GenerationEntry &row = m_generations.at(id);
    if (row.placedAt.isEmpty())
        return;
    SimEngine &left = engine(row.placedAt);
    const std::uint64_t fingerprint = row.call->request().fingerprint;
    if (m_poison->suspicion(fingerprint) != Suspicion::None)
        left.isIsolated = false;
    m_poison->onReleased(fingerprint, row.placedAt, isComplete);
    row.placedAt = TargetId();
}

GenerationHooks SimDaemon::generationHooks(CallId id)
{
    GenerationHooks hooks;
    hooks.requestPlacement = [this, id](std::uint64_t exchange,
                                        const std::vector<TargetId> &excluded) {
        schedule([this, id, exchange, excluded] { placeGeneration(id, exchange, excluded); });
        m_world.onStep(SimRequestStep::Queued);
    };
    hooks.openGeneration = [this, id](std::uint64_t exchange, const GenerationAttempt &attempt) {
        openExchange(id, exchange, attempt);
    };
    hooks.isSuspect = [this, id] {
        const std::uint64_t fingerprint = m_generations.at(id).call->request().fingerprint;
        return m_poison->suspicion(fingerprint) == Suspicion::Suspect;
    };
    hooks.probeLiveness = [this, id](std::uint64_t exchange, const TargetId &target) {
        probeLiveness(id, exchange, target);
    };
    hooks.resumeGeneration = [this, id](std::uint64_t exchange, const GenerationId &generation,
                                        std::uint32_t from) {
        resumeExchange(id, exchange, generation, from);
    };
    hooks.abandonExchange = [this, id](std::uint64_t exchange) {
        auto &connections = m_generations.at(id).connections;
        const auto it = connections.find(exchange);
        if (it != connections.end())
            it->second->isOpen = false;
    };
    hooks.cancelGeneration = [this](const GenerationAttempt &attempt,
                                    const std::optional<GenerationId> &generation) {
        m_cancellations->add(attempt, generation);
    };
    hooks.deliverToken = [this, id](const GenerationId &generation, std::uint32_t position,
                                    const std::string &text) {
        deliver(id, generation, position, text);
    };
    hooks.notifyRestart = [this, id] { m_generations.at(id).caller.restart(); };
    hooks.finish = [this, id](FinishReason) {
        release(id, true);
        m_generations.at(id).caller.finish();
    };
    hooks.fail = [this, id](const absl::Status &status, Outcome outcome, Duration) {
        release(id, false);
        m_generations.at(id).caller.fail(status, outcome);
    };
    hooks.reportTargetLost = [this, id](const TargetId &target) {
        const std::uint64_t fingerprint = m_generations.at(id).call->request().fingerprint;
        m_poison->onLost(fingerprint, target, engine(target).incarnation);
        release(id, false);
    };
    hooks.takeRetry = [this] { return m_budget.tryConsume(); };
    hooks.queryReaders = [this, id](const GenerationId &generation) {
        m_world.queryPeers(generation, [this, id](bool isRead) {
            if (GenerationCall *call = generationCall(id))
                call->onReaderQueryResult(isRead);
        });
    };
    return hooks;
}

EngineAnswersPtr SimDaemon::engineAnswers(CallId id, std::uint64_t exchange)
{
    auto answers = std::make_shared<EngineAnswers>();
    answers->opened = [this, id, exchange](const GenerationId &generation) {
        recordRunning(id, generation.target, generation.incarnation);
        m_generations.at(id).call->onOpened(exchange, generation);
        m_world.onStep(SimRequestStep::Opened);
    };
    answers->token = [this, id, exchange](std::uint32_t position, const std::string &text) {
        GenerationEntry &row = m_generations.at(id);
        row.call->onToken(exchange, position, text);
        if (position == 0)
            m_world.onStep(SimRequestStep::FirstToken);
        if (position == row.tokens / 2)
            m_world.onStep(SimRequestStep::Midway);
        if (position + 1 == row.tokens)
            m_world.onStep(SimRequestStep::LastToken);
    };
    answers->finished = [this, id, exchange](std::uint32_t tokens, FinishReason reason) {
        m_generations.at(id).call->onFinished(exchange, tokens, reason);
    };
    answers->failed = [this, id, exchange](const absl::Status &status) {
        m_generations.at(id).call->onExchangeFailed(exchange, status, true);
    };
    return answers;
}

ConnectionPtr SimDaemon::beginExchange(CallId id, std::uint64_t exchange, const SimEngine &target)
{
    const ConnectionPtr opened = connection(target.place);
    opened->onBroken = [this, id, exchange](const absl::Status &status, bool wasSent) {
        m_generations.at(id).call->onExchangeFailed(exchange, status, wasSent);
    };
    opened->onCrossed = [this, id] {
        m_generations.at(id).call->onToken(NoSuchExchange, 0, "other");
    };
    m_generations.at(id).connections[exchange] = opened;
    return opened;
}

void SimDaemon::openExchange(CallId id, std::uint64_t exchange, const GenerationAttempt &attempt)
{
    const GenerationEntry &row = m_generations.at(id);
    SimEngine &target = engine(attempt.target);
    if (!std::exchange(m_generations.at(id).hasAnsweredProbe, false))
        m_poison->onSent(row.call->request().fingerprint, target.id(), target.incarnation);
    const ConnectionPtr opened = beginExchange(id, exchange, target);
    m_world.network->connect(
            opened, [&target] { return target.isAlive; },
            [&target, opened, attempt, tag = row.call->request().id.text(), tokens = row.tokens,
             answers = engineAnswers(id, exchange)] {
                target.open(opened, attempt.id, tag, tokens, answers);
            });
    m_world.onStep(SimRequestStep::Sent);
}

void SimDaemon::recordRunning(CallId id, const TargetId &target, Incarnation incarnation)
{
    const GenerationEntry &row = m_generations.at(id);
    if (row.placedAt == target)
        m_poison->onRunning(row.call->request().fingerprint, target, incarnation);
}

void SimDaemon::probeLiveness(CallId id, std::uint64_t exchange, const TargetId &target)
{
    SimEngine &probedEngine = engine(target);
    const ConnectionPtr opened = connection(probedEngine.place);
    opened->isControlCall = true;
    opened->onBroken = [this, id, exchange](const absl::Status &status, bool) {
        m_generations.at(id).call->onExchangeFailed(exchange, status, false);
    };
    m_generations.at(id).connections[exchange] = opened;
    m_world.network->connect(
            opened, [&probedEngine] { return probedEngine.isAlive; },
            [this, id, exchange, &probedEngine, opened] {
                const Incarnation incarnation = probedEngine.incarnation;
                m_world.network->answer(opened, [this, id, exchange, &probedEngine, incarnation] {
                    recordRunning(id, probedEngine.id(), incarnation);
                    m_generations.at(id).hasAnsweredProbe = true;
                    m_generations.at(id).call->onProbeSucceeded(exchange);
                });
            });
}

void SimDaemon::resumeExchange(CallId id, std::uint64_t exchange, const GenerationId &generation,
                               std::uint32_t from)
{
    ++m_resumes;
    SimEngine &target = engine(generation.target);
    const ConnectionPtr opened = beginExchange(id, exchange, target);
    m_world.network->connect(
            opened, [&target] { return target.isAlive; },
            [&target, opened, generation, from, answers = engineAnswers(id, exchange)] {
                target.resume(opened, generation, from, answers);
            });
}

void SimDaemon::deliver(CallId id, const GenerationId &generation, std::uint32_t position,
                        const std::string &text)
{
    GenerationEntry &row = m_generations.at(id);
    ResumeToken token;
    token.request = row.call->request().id;
    token.point = ResumePosition{generation, position + 1};
    token.vm = VmId(m_place.name);
    row.caller.token(generation, position, text, signResumeToken(token, TokenKey));
}

void SimDaemon::sendCancel(std::uint64_t number, const GenerationAttempt &attempt,
                           const std::optional<GenerationId> &generation)
{
    SimEngine &target = engine(attempt.target);
    const std::string lastTarget = m_lastTarget;
    const ConnectionPtr latest = m_lastConnection;
    const ConnectionPtr opened = connection(target.place);
    m_lastTarget = lastTarget;
    m_lastConnection = latest;
    opened->isControlCall = true;
    opened->onBroken = [this, number](const absl::Status &status, bool) {
        m_cancellations->onAnswer(number, status);
    };
    m_world.network->connect(
            opened, [&target] { return target.isAlive; },
            [this, &target, opened, number, attempt, generation] {
                const absl::Status status = target.cancel(attempt.id, generation);
                m_world.network->answer(opened, [this, number, status] {
                    m_cancellations->onAnswer(number, status);
                });
            });
}

void SimDaemon::callerGone(CallId id)
{
    if (GenerationCall *call = generationCall(id))
        call->onCallerGone();
    if (PlainCall *call = plainCall(id))
        call->onCallerGone();
}

void SimDaemon::callerBlocked(CallId id, bool isBlocked)
{
    if (GenerationCall *call = generationCall(id))
        call->onCallerBlocked(isBlocked);
}

void SimDaemon::onTargetGone(const TargetId &target, Incarnation incarnation)
{
    m_cancellations->onTargetGone(target, incarnation);
    m_poison->onTargetDied(target, incarnation);
    for (auto &[id, row] : m_generations) {
        if (!row.call->isSettled())
            row.call->onTargetGone(target, incarnation);
    }
    for (auto &[id, row] : m_plain) {
        if (!row.call->isSettled())
            row.call->onTargetGone(target);
    }
}

void SimDaemon::onTakenOver(const GenerationId &generation)
{
    for (auto &[id, row] : m_generations) {
        if (row.call->state() == GenerationState::Detached && row.call->generation() == generation)
            row.call->onTakenOver();
    }
}

bool SimDaemon::isReading(const GenerationId &generation) const
{
    return std::any_of(m_generations.begin(), m_generations.end(), [&generation](const auto &row) {
        const GenerationState state = row.second.call->state();
        return state != GenerationState::Settled && state != GenerationState::Detached
               && row.second.call->generation() == generation;
    });
}

std::size_t SimDaemon::callsInProgress() const
{
    const auto isOpen = [](const auto &row) { return !row.second.call->isSettled(); };
    return static_cast<std::size_t>(
            std::count_if(m_generations.begin(), m_generations.end(), isOpen)
            + std::count_if(m_plain.begin(), m_plain.end(), isOpen));
}

std::uint64_t SimDaemon::droppedAnswers() const
{
    std::uint64_t dropped = 0;
    for (const auto &[id, row] : m_generations)
        dropped += row.call->droppedAnswers();
    for (const auto &[id, row] : m_plain)
        dropped += row.call->droppedAnswers();
    return dropped;
}

} // namespace currantwalk
