#include "daemon/relaysession.h"

#include <algorithm>

#include "daemon/requestfingerprint.h"
#include "observe/logging.h"

namespace currantwalk {

// An idempotent request waits this many times its goal for one target.
static constexpr int PatienceFactor = 2;
// The longest that a request without any time limit is kept.
static constexpr Duration DefaultTimeLimit = std::chrono::seconds(60);
// Shorter connections between retries of the caller than this gain nothing.
static constexpr Duration BusyRetryAfter = std::chrono::milliseconds(300);
static constexpr Duration NoTargetRetryAfter = std::chrono::milliseconds(500);
// Bytes that wait for the caller's connection before the target is held back.
static constexpr std::size_t MaxPendingBytes = std::size_t{16} * 1024;
// Nodes that place at the same moment don't know of each other.
static constexpr Duration PlaceSpread = std::chrono::milliseconds(150);
// Of a refusal because all zones with targets of the service are emptied.
static constexpr std::string_view EmptiedReason = "zones_emptied";
// Where nothing is known of a generation's length, this part of its limit is expected.
static constexpr std::uint32_t UnknownLengthDivisor = 2;

static Duration shorter(Duration first, Duration second)
{
    if (first <= Duration::zero())
        return second;
    return second <= Duration::zero() ? first : std::min(first, second);
}

RelaySession::RelaySession(RelayServices &services, std::shared_ptr<HttpExchange> exchange,
                           CallerRequest caller, AdmittedRequest admitted, std::string service,
                           std::uint64_t fingerprint, Done done)
    : m_services(services),
      m_exchange(std::move(exchange)),
      m_caller(std::move(caller)),
      m_admitted(std::move(admitted)),
      m_service(std::move(service)),
      m_fingerprint(fingerprint),
      m_features(promptPartFeatures(m_caller.sharedPromptParts)),
      m_done(std::move(done)),
      m_arrivedAt(services.timers.now()),
      m_heldBytes(services.buffers),
      m_pendingBytes(services.buffers)
{
    m_call = RelayCall::create(relayRequest(), relayHooks(), services.timers);
}

RelaySession::~RelaySession()
{
    *m_alive = false;
    m_exchange->onClosed(nullptr);
    m_exchange->onDrained(nullptr);
    for (auto &[number, exchange] : m_exchanges)
        release(exchange);
    while (!m_reservations.empty())
        dropReservation(m_reservations.begin()->first);
}

RelayRequest RelaySession::relayRequest() const
{
    const CatalogRoute &route = *m_admitted.route;
    Duration limit = shorter(route.timeout, m_caller.deadline.value_or(Duration::zero()));
    if (limit <= Duration::zero())
        limit = DefaultTimeLimit;
    RelayRequest request;
    request.id = m_caller.id;
    request.rule = route.rule;
    request.maxTargets = route.maxTargets;
    if (route.rule == RetrySemantics::ResumableStream)
        request.lastEvent = m_caller.lastEvent;
    request.deadline = m_arrivedAt + limit;
    request.attemptTimeout = std::min(route.latencyObjective * PatienceFactor, limit / 2);
    return request;
}

RequestLoad RelaySession::load() const
{
    RequestLoad load;
    load.promptTokens = m_caller.promptTokens;
    load.expectedTokens =
            m_caller.expectedTokens.value_or(m_caller.maxTokens / UnknownLengthDivisor);
    return load;
}

RelayHooks RelaySession::relayHooks()
{
    RelayHooks hooks;
    hooks.chooseTarget = [this](const std::vector<TargetId> &excluded) { return place(excluded); };
    hooks.send = [this](const RelaySend &order) { send(order); };
    hooks.chooseBackupTarget = [this](const TargetId &target) {
        return chooseBackupTarget(target);
    };
    hooks.findBackup = [this](const TargetId &holder) { return findBackup(holder); };
    hooks.chooseMoveTarget = [this](const TargetId &source, const std::vector<TargetId> &excluded) {
        return chooseMoveTarget(source, excluded);
    };
    hooks.requestCopy = [this](std::uint64_t move, const TargetId &source,
                               const TargetId &destination) { copy(move, source, destination); };
    hooks.freeCopy = [this](const StreamCopy &copy) { freeCopy(copy); };
    hooks.abandon = [this](std::uint64_t exchange) { abandon(exchange); };
    hooks.endRun = [this](std::uint64_t exchange) { endRun(exchange); };
    hooks.endMovedRun = [this](std::uint64_t exchange, const StreamCopy &copy) {
        endMovedRun(exchange, copy);
    };
    hooks.mayResumeAt = [this](const TargetId &holder) { return mayResumeAt(holder); };
    hooks.forwardHead = [this](std::uint64_t exchange) { forwardHead(exchange); };
    hooks.holdBytes = [this](std::size_t bytes) { return m_heldBytes.resize(bytes); };
    hooks.forwardBody = [this](std::string_view bytes) { forwardBody(bytes); };
    hooks.forwardEnd = [this] {
        // An error does not show that the target can run the request.
        m_services.poison.onReleased(m_fingerprint, m_call->target(), isSuccessStatus(m_status));
        m_exchange->finish();
        if (isSuccessStatus(m_status))
            m_services.completions.onAnswered(m_service, load().expectedTokens,
                                              m_services.timers.now() - m_arrivedAt);
        logOutcome("done", "");
    };
    hooks.forwardAbort = [this](const absl::Status &reason) {
        m_exchange->abort();
        logOutcome("broken-off", std::string(reason.message()));
    };
    hooks.fail = [this](const RelayFailure &failure) { fail(failure); };
    hooks.takeRetry = [this] { return m_services.takeRetry(m_service); };
    hooks.report = [this](const TargetId &target, SendResult service) {
        m_services.report(target, service);
    };
    hooks.reportLost = [this](std::uint64_t exchange) { noteLost(exchange); };
    hooks.reportTargetReplaced = [this](const TargetId &target) {
        m_services.targets.markReplaced(target);
    };
    return hooks;
}

void RelaySession::start()
{
    m_exchange->onClosed([this] {
        m_call->onCallerGone();
        logOutcome("caller-gone", "");
        finishIfSettled();
    });
    m_exchange->onDrained([this, alive = m_alive] {
        if (!*alive)
            return;
        m_pendingBytes.resize(0);
        setPaused(false);
    });
    // Generations fill a target's memory, so what other nodes have just sent there matters.
    if (load().promptTokens == 0) {
        begin();
        return;
    }
    m_services.refreshLoads([this, alive = m_alive] {
        if (*alive)
            begin();
    });
}

void RelaySession::begin()
{
    if (m_call->isSettled())
        return;
    if (const std::optional<Duration> wait = waitForRoom()) {
        m_services.timers.scheduleAfter(*wait, [this, alive = m_alive] {
            if (*alive)
                begin();
        });
        return;
    }
    m_call->start();
    finishIfSettled();
}

// Returns how long the request waits at this node; nothing if it is placed or refused now.
std::optional<Duration> RelaySession::waitForRoom()
{
    const std::optional<RoomRequest> request = roomRequest();
    if (!request || !request->isShared || !request->isLessUrgent || m_services.isStopping())
        return std::nullopt;
    const RoomDecision room = m_services.askRoom(m_service, {}, *request);
    if (room.kind != RoomDecision::Kind::Wait)
        return std::nullopt;
    if (!std::exchange(m_hasWaited, true))
        logRoom(room, *request);
    return room.time;
}

void RelaySession::shutDown()
{
    m_call->onShutdown();
    finishIfSettled();
}

bool RelaySession::mayUseKey(Duration maxAge) const
{
    return !m_admitted.organisation
           || isKeyValid(m_services.catalog, m_admitted.organisation->name, *m_caller.key, maxAge);
}

// A stream that goes on elsewhere is the run that its key was proven for; the proof's age does not
// matter any more, a key that is known to be revoked does.
bool RelaySession::mayGoOn() const
{
    return mayUseKey(Duration::max());
}

bool RelaySession::isPoisonous() const
{
    return m_services.poison.findRefused(m_fingerprint, m_features).has_value();
}

// The target has just accepted the connection, so it is alive when the request is written.
void RelaySession::noteRunning(std::uint64_t exchange)
{
    TargetExchange &entry = m_exchanges.at(exchange);
    entry.wasSent = true;
    m_services.cancelStop(m_caller.id, entry.target);
    entry.sentAt = m_services.timers.now();
    entry.load = m_services.placer.weightedLoad(entry.target, entry.sentAt);
    m_services.holdOffs.onSent(entry.target, entry.incarnation, m_services.timers.now());
    m_services.poison.onRunning(m_fingerprint, entry.target, entry.incarnation);
    m_services.poison.setSubject(
            m_fingerprint, entry.target,
            describeRequest(m_exchange->request(), m_admitted.organisationName()));
    m_services.poison.setFeatures(m_fingerprint, entry.target, m_features);
}

// A target that is leaving closes its connections without being crashed.
void RelaySession::noteLost(std::uint64_t exchange)
{
    const auto it = m_exchanges.find(exchange);
    if (it == m_exchanges.end())
        return;
    const ServiceTarget *const target = m_services.targets.find(it->second.target);
    const bool isLeaving = !target
                           || (target->phase == TargetPhase::Leaving
                               && target->entry.startedAt == it->second.incarnation);
    if (!isLeaving)
        m_services.poison.onLost(m_fingerprint, it->second.target, it->second.incarnation);
}

std::uint32_t RelaySession::urgency() const
{
    return m_admitted.organisation && m_admitted.organisation->urgency
                   ? *m_admitted.organisation->urgency
                   : m_admitted.route->urgency;
}

bool RelaySession::isRoomShared() const
{
    return m_admitted.catalog->hasPatientRoute(m_service);
}

// Returns nothing where the request is no generation.
std::optional<RoomRequest> RelaySession::roomRequest() const
{
    const CatalogService *const service = m_admitted.catalog->findService(m_service);
    if (!service || !service->engine || service->engine->memoryTokens == 0)
        return std::nullopt;
    RoomRequest request;
    request.load = load();
    request.memoryTokens = service->engine->memoryTokens;
    request.zone = m_services.settings.zone;
    request.spread = PlaceSpread;
    request.isShared = isRoomShared();
    request.isLessUrgent = m_admitted.catalog->hasMoreUrgentRoute(m_service, urgency());
    request.objective = m_admitted.route->latencyObjective;
    request.waited = m_services.timers.now() - m_arrivedAt;
    request.timeLeft = m_call->request().deadline - m_services.timers.now();
    return request;
}

// A stream that has begun goes on also where there is no room: its caller has a part of it.
const ServiceTarget *RelaySession::chooseTarget(const std::vector<TargetId> &excluded)
{
    const std::optional<RoomRequest> request = roomRequest();
    if (!request)
        return m_services.choose(m_service, excluded, m_services.settings.zone, 0);
    const RoomDecision room = m_services.askRoom(m_service, excluded, *request);
    m_isWithoutRoom = room.kind == RoomDecision::Kind::Refuse && !m_firstPartAt;
    m_roomRetryAfter = room.time;
    if (m_isWithoutRoom)
        logRoom(room, *request);
    return m_isWithoutRoom ? nullptr : room.target;
}

// What would be cut off by the end of the process is refused while it has not run. A stream that
// has begun is not: its caller has a part of it.
bool RelaySession::canEndBeforeStop() const
{
    const std::optional<Duration> left = m_services.timeUntilStop();
    return !left || m_firstPartAt
           || m_services.completions.expectedTime(m_service, load().expectedTokens) <= *left;
}

std::optional<TargetId> RelaySession::place(const std::vector<TargetId> &excluded)
{
    if (!mayUseKey(m_services.settings.maxKeyAge) || isPoisonous())
        return std::nullopt;
    m_isTooLate = !canEndBeforeStop();
    if (m_isTooLate)
        return std::nullopt;
    const ServiceTarget *const target = chooseTarget(excluded);
    if (!target)
        return std::nullopt;
    return target->id;
}

void RelaySession::targetLeaving(const TargetId &target)
{
    if (m_call->target() != target)
        return;
    m_call->onTargetLeaving();
    finishIfSettled();
}

// A target with a limit is asked for before the connection is opened; a call that is refused it is
// told later, as hooks may not call back into it.
void RelaySession::send(const RelaySend &order)
{
    const ServiceTarget *const target = m_services.targets.find(order.target);
    TargetExchange &entry = m_exchanges[order.exchange];
    entry.target = order.target;
    entry.incarnation = target->entry.startedAt;
    entry.endpoint = target->entry.endpoint;
    entry.zone = target->entry.zone;
    entry.backup = order.backup;
    entry.isResumed = order.resume.has_value();
    m_services.placer.onSent(order.target, load());
    // A copy has nothing to read.
    if (order.resume && order.resume->copy && isRoomShared()) {
        m_services.placer.onFirstEvent(order.target, load());
        entry.isWaiting = false;
    }
    if (entry.backup)
        m_services.placer.onBackupStarted(*entry.backup, load());
    if (load().promptTokens != 0)
        m_services.loadsChanged();
    m_services.limiter.request(order.target, entry.incarnation, target->entry.zone, grantUse(order),
                               [this, alive = m_alive, order](bool isGranted) {
                                   if (!*alive)
                                       return;
                                   if (isGranted)
                                       connect(order);
                                   else
                                       refuseLater(order.exchange);
                               });
}

GrantUse RelaySession::grantUse(const RelaySend &order) const
{
    if (order.resume && m_firstPartAt)
        return GrantUse::Resume;
    return m_call->sends() > 1 ? GrantUse::Repeat : GrantUse::First;
}

void RelaySession::refuseLater(std::uint64_t exchange)
{
    m_services.timers.scheduleAfter(Duration::zero(), [this, alive = m_alive, exchange] {
        if (!*alive || !m_exchanges.contains(exchange))
            return;
        m_call->onEnd(exchange,
                      makeError(ErrorCode::RateLimited, "the target takes no further requests"),
                      false);
        finishIfSettled();
    });
}

void RelaySession::connect(const RelaySend &order)
{
    const auto entry = m_exchanges.find(order.exchange);
    // The call may have been settled, or the target have gone, while the grant was asked for.
    if (entry == m_exchanges.end())
        return;
    const TargetId &id = order.target;
    const ServiceTarget *const target = m_services.targets.find(id);
    if (!target) {
        refuseLater(order.exchange);
        return;
    }
    const TimePoint now = m_services.timers.now();
    TargetSend send;
    send.target = id;
    send.resume = order.resume;
    const ServiceTarget *const holder =
            order.backup ? m_services.targets.find(*order.backup) : nullptr;
    if (holder && !isEmptied(*holder, "backup"))
        send.backup = holder->entry.endpoint;
    send.deadline = std::max(m_call->request().deadline - now, Duration::zero());
    send.organisation = std::string(m_admitted.organisationName());
    const CatalogService *const service = m_admitted.catalog->findService(m_service);
    send.isGeneration = service && service->engine.has_value();
    send.urgency = urgency();
    HttpCallOptions options;
    options.endpoint = target->entry.endpoint;
    // An answer that comes twice, or late, is read as the answer of the next request on the same
    // connection; and a request written to a kept connection that has gone silent may have run. A
    // new connection costs a round trip and excludes both.
    options.isConnectionKept = false;
    options.connectTimeout = ConnectTimeout;
    options.headTimeout = send.deadline;
    options.idleTimeout = send.deadline;
    // A generation in progress is told of, since a node that is killed tells nothing more.
    if (m_call->sends() > 1 || isStream(m_call->request().rule))
        logSend(*target, order);
    entry->second.call = m_services.client.send(
            options, m_services.bindings.writeSend(m_exchange->request(), send),
            callHooks(order.exchange, id, order.resume && order.resume->copy));
    if (m_isPaused)
        entry->second.call->pause();
}

HttpCallHooks RelaySession::callHooks(std::uint64_t exchange, const TargetId &target,
                                      bool isResumed)
{
    HttpCallHooks hooks;
    hooks.mayWrite = [this, exchange, target, isResumed] {
        const ServiceTarget *const current = m_services.targets.find(target);
        const bool isAllowed = isResumed ? mayGoOn() : mayUseKey(m_services.settings.maxKeyAge);
        const bool isTaking = current && current->phase != TargetPhase::Leaving
                              && !isEmptied(*current, "request")
                              && (isResumed || !isHeldOff(*current));
        const bool mayWrite = isAllowed && isTaking && canEndBeforeStop() && !isPoisonous()
                              && takeGrant(exchange) && m_call->onConnected(exchange);
        if (mayWrite)
            noteRunning(exchange);
        return mayWrite;
    };
    hooks.onHead = [this, exchange](const HttpResponseHead &head) {
        // An exchange that was abandoned in this round of the loop may still report.
        const auto it = m_exchanges.find(exchange);
        if (it == m_exchanges.end())
            return;
        it->second.head = head;
        m_services.poison.onAnswering(m_fingerprint, it->second.target);
        RelayAnswerHead answer = m_services.bindings.readAnswerHead(head, m_caller.id);
        answer.endsWithConnection = head.endsWithConnection;
        it->second.isRunOver = !answer.isMismatched && !isSuccessStatus(head.status);
        m_services.noteAnswer(
                {it->second.target, it->second.incarnation, it->second.sentAt, m_caller.id.text()},
                answer);
        m_call->onHead(exchange, answer);
        finishIfSettled();
    };
    hooks.onBody = [this, exchange](std::string_view bytes) {
        notePart(exchange);
        m_call->onBody(exchange, bytes);
        timeEvents(exchange);
        finishIfSettled();
    };
    hooks.onEnd = [this, exchange](const absl::Status &status) {
        const auto it = m_exchanges.find(exchange);
        if (it == m_exchanges.end())
            return;
        it->second.hasEnded = status.ok() || errorCode(status) != ErrorCode::DeadlineExceeded;
        it->second.isRunOver = it->second.isRunOver || status.ok();
        noteEvents(it->second);
        const bool wasSent = it->second.call->progress() == SendProgress::Sent;
        if (!status.ok() && !it->second.isRunEnding)
            logFailedSend(it->second.target, status, wasSent);
        m_call->onEnd(exchange, status, wasSent);
        finishIfSettled();
    };
    return hooks;
}

// The target may have named a limit while the connection was being opened.
bool RelaySession::takeGrant(std::uint64_t exchange) const
{
    const auto entry = m_exchanges.find(exchange);
    return entry != m_exchanges.end()
           && m_services.limiter.take(entry->second.target, entry->second.incarnation);
}

// The order to empty the zone may have come after the choice of the target.
bool RelaySession::isEmptied(const ServiceTarget &target, std::string_view call) const
{
    if (!m_services.targets.isEmptied(target))
        return false;
    logRequest(LogPart::Calls, LogLevel::Info, m_caller.id.text(),
               "Not sent to " + target.id.text() + ": zone " + target.entry.zone.text()
                       + " is emptied. call=" + std::string(call));
    m_services.metrics.count("currantwalk_emptied_zone_sends_total", {{"call", std::string(call)}});
    return true;
}

bool RelaySession::isHeldOff(const ServiceTarget &target) const
{
    return m_services.holdOffs.remaining(target.id, target.entry.startedAt, m_services.timers.now())
           > Duration::zero();
}

void RelaySession::notePart(std::uint64_t exchange)
{
    const auto it = m_exchanges.find(exchange);
    if (it == m_exchanges.end())
        return;
    m_services.poison.onAnswering(m_fingerprint, it->second.target);
    if (!std::exchange(it->second.isWaiting, false))
        return;
    m_services.placer.onFirstEvent(it->second.target, load());
    if (load().promptTokens != 0)
        m_services.loadsChanged();
    noteFirstPart(it->second);
}

void RelaySession::forwardHead(std::uint64_t exchange)
{
    HttpResponseHead head = m_exchanges.at(exchange).head;
    m_status = head.status;
    if (m_services.isStopping())
        m_exchange->closeAfterAnswer();
    m_exchange->start(std::move(head));
}

void RelaySession::forwardBody(std::string_view bytes)
{
    const TimePoint now = m_services.timers.now();
    if (!m_firstPartAt)
        m_firstPartAt = now;
    else
        m_longestGap = std::max(m_longestGap, now - m_lastPartAt);
    m_lastPartAt = now;
    m_exchange->write(std::string(bytes));
    const std::size_t pending = m_exchange->pendingBytes();
    if (!m_pendingBytes.resize(pending) || pending > MaxPendingBytes)
        setPaused(true);
}

void RelaySession::setPaused(bool isPaused)
{
    if (std::exchange(m_isPaused, isPaused) == isPaused)
        return;
    for (const auto &[number, exchange] : m_exchanges) {
        if (!exchange.call)
            continue;
        if (isPaused)
            exchange.call->pause();
        else
            exchange.call->resume();
    }
}

bool RelaySession::isLate() const
{
    const CatalogRoute &route = *m_admitted.route;
    const Duration first = m_firstPartAt.value_or(m_services.timers.now()) - m_arrivedAt;
    return (route.latencyObjective > Duration::zero() && first > route.latencyObjective)
           || (route.eventGapObjective > Duration::zero()
               && m_longestGap > route.eventGapObjective);
}

// What a target that is held off has asked for does not matter while others take work.
Duration RelaySession::retryAfter(const RelayFailure &failure) const
{
    const Duration untilReturn = m_services.timeUntilReturn(m_service);
    if (untilReturn > Duration::zero())
        return untilReturn;
    if (m_isWithoutRoom)
        return m_roomRetryAfter;
    const ServiceTarget *const last = m_services.targets.find(m_call->target());
    if (failure.retryAfter > Duration::zero() && !(last && isHeldOff(*last)))
        return failure.retryAfter;
    return errorCode(failure.status) == ErrorCode::NoTarget ? NoTargetRetryAfter : BusyRetryAfter;
}

void RelaySession::fail(const RelayFailure &failure)
{
    EntryRefusal refusal;
    const ErrorCode code = errorCode(failure.status);
    refusal.reason = errorName(code);
    if (failure.outcome == Outcome::NotRun) {
        refusal.status = 503;
        refusal.retryAfter = retryAfter(failure);
    } else {
        refusal.status = code == ErrorCode::DeadlineExceeded ? 504 : 502;
    }
    if (failure.outcome == Outcome::NotRun && m_isWithoutRoom)
        refusal.reason = errorName(ErrorCode::Overloaded);
    if (failure.outcome == Outcome::NotRun && m_isTooLate)
        refusal.reason = errorName(ErrorCode::Draining);
    if (failure.outcome == Outcome::NotRun && m_services.targets.isServiceEmptied(m_service))
        refusal.reason = EmptiedReason;
    if (failure.outcome == Outcome::NotRun && isPoisonous())
        refusal.reason = errorName(ErrorCode::PoisonousRequest);
    m_services.refuse(*m_exchange, refusal);
    logOutcome(outcomeName(failure.outcome), std::string(failure.status.message()));
}

void RelaySession::finishIfSettled()
{
    if (m_isDone || !m_call->isSettled())
        return;
    m_isDone = true;
    m_done(this);
}

} // namespace currantwalk
