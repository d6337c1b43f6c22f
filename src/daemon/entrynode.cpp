#include "daemon/entrynode.h"

#include <algorithm>

#include "base/unixtime.h"
#include "daemon/requestfingerprint.h"
#include "daemon/runstopcalls.h"
#include "daemon/unsentanswerlog.h"
#include "observe/logging.h"

namespace currantwalk {

// Housekeeping of targets; nothing waits for it for longer.
static constexpr Duration TickInterval = std::chrono::milliseconds(250);
// Idle callers' connections live at least as long as any catalogue asks for.
static constexpr Duration CallerIdleLimit = std::chrono::seconds(120);
// Engines answer calls about copies with a few hundred bytes.
static constexpr std::size_t MaxEngineAnswerBytes = std::size_t{64} * 1024;
// The balancer takes a node out after two probes a second apart have failed.
static constexpr Duration AnnounceTime = std::chrono::milliseconds(3000);
// Left of the grace at the forced end, for the last answers to reach their callers.
static constexpr Duration StopReserve = std::chrono::milliseconds(300);
// Callers refused for want of knowledge reach another node when they come back.
static constexpr Duration StaleRetryAfter = std::chrono::milliseconds(100);
static constexpr Duration RefusalJitter = std::chrono::milliseconds(100);
// A route that gets no traffic gets some when the operator publishes again.
static constexpr Duration NoTrafficRetryAfter = std::chrono::seconds(2);
// By then a target that was taken for dead has been heard of, if it is alive.
static constexpr Duration PoisonRetryAfter = std::chrono::seconds(2);

// Part of the memory for bytes of answers that wait. Holders may exceed it twice, and strings that
// grow take twice their size.
static constexpr std::size_t BufferDivisor = 8;

static OutlierDetector::Options outlierOptions()
{
    OutlierDetector::Options options;
    // Targets live for tens of seconds: an ejection must end well within that.
    options.baseEjection = std::chrono::seconds(2);
    options.maxEjection = std::chrono::seconds(10);
    options.consecutiveFailures = 4;
    options.minOutcomes = 10;
    options.failureRatio = 0.35;
    options.window = std::chrono::seconds(5);
    return options;
}

static NodeRetryBudget::Options allowanceOptions(const EntrySettings &settings)
{
    NodeRetryBudget::Options options;
    options.ratio = settings.retryRatio;
    options.slack = settings.retrySlack;
    options.window = settings.retryWindow;
    return options;
}

absl::StatusOr<std::unique_ptr<EntryNode>>
EntryNode::create(const EntrySettings &settings, EntryBindings bindings, EventLoop &loop)
{
    std::unique_ptr<EntryNode> node(new EntryNode(settings, std::move(bindings), loop));
    const absl::Status status = node->listen();
    if (!status.ok())
        return status;
    node->updateReceiveLimits();
    node->createDrain();
    node->createCatalogFollower();
    node->createTargetsFollower();
    node->createPeers();
    node->tick();
    return node;
}

EntryNode::EntryNode(const EntrySettings &settings, EntryBindings bindings, EventLoop &loop)
    : m_settings(settings),
      m_bindings(std::move(bindings)),
      m_loop(loop),
      m_startedAt(loop.timers().now()),
      m_random(settings.randomSeed != 0 ? settings.randomSeed : entropySeed()),
      m_fetcher(loop.client(), loop.timers(), MaxEngineAnswerBytes),
      m_catalog(loop.timers()),
      m_evacuations({[this](const ZoneName &zone, bool isEmptied, EvacuationSource source) {
          onZoneEmptied(zone, isEmptied, source);
      }}),
      m_targets({},
                {[this](const ServiceTarget &target) { onTargetLeaving(target); },
                 [this](const ServiceTarget &earlier) {
                     m_poison->onTargetDied(earlier.id, earlier.entry.startedAt);
                 },
                 [this](const ZoneName &zone) { return m_evacuations.isEmptied(zone); }},
                loop.timers()),
      m_pace({}, [this](const RampStep &step) { onRampStep(step); }),
      m_paceExchange(m_pace),
      m_placer({}, m_random),
      m_room({}, m_random),
      m_outliers(outlierOptions()),
      m_poison(PoisonTracker::create(
              loop.timers(),
              {[this](const PoisonReport &report) { m_poisonExchange.onDeath(report); },
               [this](const PoisonClearing &clearing) { m_poisonExchange.onCleared(clearing); },
               [this](const TargetLifetime &lifetime) { m_poisonExchange.onWithdrawn(lifetime); },
               [this](const std::vector<std::uint64_t> &features) {
                   m_poisonExchange.countAnswers(features);
               }})),
      m_incarnation(settings.incarnation != 0 ? settings.incarnation
                                              : m_bindings.unixMilliseconds()),
      m_roster({}, settings.vm),
      m_readers({}, settings.vm, settings.zone, m_roster),
      m_peers(loop.client(), loop.timers(), settings.peerKey, false, m_metrics),
      m_topics({}, m_readers, m_peers, loop.timers(), m_random, m_metrics),
      m_loads(settings.vm, {settings.peers, settings.zone, m_incarnation}, m_peers, m_roster,
              m_readers, m_placer, m_targets, m_limits,
              {[this] { return catalogNote(); },
               [this](const NodeRecord &peer, const CatalogNote &note, TimePoint sentAt) {
                   onCatalogNote(peer, note, sentAt);
               },
               [this](const LeavingNotice &target) { m_targets.applyLeavingNotice(target); },
               [this](const TargetLimit &limit) { takeLimit(limit); },
               settings.coldBound ? &m_paceExchange : nullptr,
               [this] { return m_catalog.current() && m_catalog.current()->hasPatientRoutes(); }},
              loop.timers()),
      m_grants(settings.vm, settings.zone, m_peers, m_roster, m_limits,
               {[this](const TargetId &id, std::uint64_t startedAt) {
                    return coldRate(id, startedAt);
                },
                [this] { return m_settings.coldBound.value_or(ColdBound{}); }},
               m_metrics, loop.timers()),
      m_limiter(m_limits,
                {[this](const GrantRequest &request, GrantExchange::Done done) {
                     m_grants.ask(request, std::move(done));
                 },
                 [this](const TargetId &id, std::uint64_t startedAt) {
                     return coldRate(id, startedAt);
                 }},
                loop.timers()),
      m_poisonExchange(settings.zone, *m_poison, m_peers, m_roster,
                       {m_bindings.writeRoster, m_bindings.unixMilliseconds}, loop.timers(),
                       m_random),
      m_buffers(settings.memoryLimit / BufferDivisor),
      m_receiveRefusals(m_metrics),
      m_services(relayServices()),
      m_runStopper(RunStopper::create(runStopHooks(m_services), loop.timers()))
{
}

EntryNode::~EntryNode()
{
    m_loop.timers().cancel(m_tickTimer);
    m_loop.timers().cancel(m_announceTimer);
    m_loop.timers().cancel(m_eraTimer);
}

absl::Status EntryNode::listen()
{
    HttpListenerOptions callers;
    callers.endpoint = m_settings.callers;
    callers.maxBodyBytes = MaxCallerBodyBytes;
    callers.requestTimeout = CallerIdleLimit;
    const absl::StatusOr<Endpoint> bound =
            m_loop.server().listen(callers, [this](const std::shared_ptr<HttpExchange> &exchange) {
                onRequest(exchange);
            });
    if (!bound.ok())
        return bound.status();
    m_callersEndpoint = *bound;
    HttpListenerOptions readiness;
    readiness.endpoint = m_settings.readiness;
    const absl::StatusOr<Endpoint> probed = m_loop.server().listen(
            readiness,
            [this](const std::shared_ptr<HttpExchange> &exchange) { onProbe(*exchange); });
    if (!probed.ok())
        return probed.status();
    const absl::Status status = listenForMetrics();
    if (!status.ok() || m_settings.peers.port == 0)
        return status;
    HttpListenerOptions peers;
    peers.endpoint = m_settings.peers;
    peers.requestTimeout = CallerIdleLimit;
    const absl::StatusOr<Endpoint> joined =
            m_loop.server().listen(peers, [this](const std::shared_ptr<HttpExchange> &exchange) {
                m_peers.server().handle(exchange);
            });
    return joined.status();
}

absl::Status EntryNode::listenForMetrics()
{
    if (m_settings.metrics.port == 0)
        return absl::OkStatus();
    HttpListenerOptions metrics;
    metrics.endpoint = m_settings.metrics;
    return m_loop.server()
            .listen(metrics,
                    [this](const std::shared_ptr<HttpExchange> &exchange) {
                        refreshGauges();
                        respond(*exchange, 200, "text/plain; version=0.0.4",
                                m_metrics.exposition());
                    })
            .status();
}

void EntryNode::refreshGauges()
{
    const TimePoint now = m_loop.timers().now();
    const auto seconds = [](Duration duration) {
        return std::chrono::duration<double>(duration).count();
    };
    if (const std::optional<Duration> age = m_catalog.age())
        m_metrics.set("currantwalk_catalog_age_seconds", {}, seconds(*age));
    if (m_catalog.current())
        m_metrics.set("currantwalk_catalog_version", {},
                      static_cast<double>(m_catalog.current()->version()));
    if (m_targetsProvenAt)
        m_metrics.set("currantwalk_targets_age_seconds", {}, seconds(now - *m_targetsProvenAt));
    m_metrics.set("currantwalk_targets", {}, static_cast<double>(m_targets.size()));
    m_metrics.set("currantwalk_targets_held_off", {},
                  static_cast<double>(m_holdOffs.countHeldOff(now)));
    m_metrics.set("currantwalk_targets_limited", {}, static_cast<double>(m_limits.named().size()));
    m_metrics.set("currantwalk_targets_cold", {}, static_cast<double>(m_targets.countCold()));
    m_metrics.set("currantwalk_zones_emptied", {}, static_cast<double>(m_evacuations.size()));
    m_metrics.set("currantwalk_targets_leaving", {}, static_cast<double>(m_targets.countLeaving()));
    m_metrics.set("currantwalk_requests_in_progress", {}, static_cast<double>(m_sessions.size()));
    std::map<Suspicion, std::size_t> poisonous{{Suspicion::Suspect, 0}, {Suspicion::Refused, 0}};
    for (const PoisonTracker::Entry &entry : m_poison->entries())
        ++poisonous[entry.suspicion];
    for (const auto &[suspicion, count] : poisonous)
        m_metrics.set("currantwalk_poisonous_requests",
                      {{"state", std::string(suspicionName(suspicion))}},
                      static_cast<double>(count));
    refreshPaceGauges();
    m_metrics.set("currantwalk_buffered_bytes", {}, static_cast<double>(m_buffers.used()));
    m_metrics.set("currantwalk_received_bytes", {},
                  static_cast<double>(m_loop.server().receivedBytes()));
    setUnsentAnswerGauges(m_metrics, m_loop.server().unsentAnswers());
    m_metrics.set("currantwalk_nodes", {}, static_cast<double>(m_roster.size()));
    m_metrics.set("currantwalk_connections", {},
                  static_cast<double>(m_loop.server().connections()));
    for (auto &[service, allowance] : m_allowances)
        m_metrics.set("currantwalk_retries_left", {{"service", service}}, allowance.remaining(now));
}

void EntryNode::createDrain()
{
    Drain::Options options;
    options.announceTime = AnnounceTime;
    Drain::Hooks hooks;
    hooks.onPhaseChanged = [](DrainPhase phase) {
        logLine(LogPart::Drain, LogLevel::Info,
                "Phase is now " + std::string(drainPhaseName(phase)) + ".");
    };
    hooks.requestsInProgress = [this] { return m_sessions.size() + m_runStopper->pending(); };
    hooks.unsentAnswers = [this] { return m_loop.server().unsentAnswers().answers; };
    hooks.unsettledClaims = [] { return std::size_t{0}; };
    hooks.handOver = [] {};
    hooks.exit = [this] {
        m_isStopped = true;
        for (RelaySession *session : sessions())
            session->shutDown();
        m_runStopper->callAllNow();
        // Time for the last answers to be written and for the calls to reach their targets.
        m_loop.timers().scheduleAfter(StopReserve / 3, [this] {
            logUnsentAnswers(m_loop.server().unsentAnswers());
            m_loop.stop();
        });
    };
    m_drain = Drain::create(options, std::move(hooks), m_loop.timers());
}

RelayServices EntryNode::relayServices()
{
    return {m_loop.timers(),
            m_loop.client(),
            m_bindings,
            m_catalog,
            m_targets,
            m_holdOffs,
            m_limiter,
            m_placer,
            m_settings,
            m_fetcher,
            [this](const std::string &service, const std::vector<TargetId> &excluded,
                   const ZoneName &zone,
                   double spread) { return choose(service, excluded, zone, spread); },
            [this](const std::string &service, const TargetId &target, const RequestLoad &load,
                   std::uint32_t memoryTokens) {
                return m_placer.chooseBackup(m_targets.usable(service), target, load, memoryTokens,
                                             m_loop.timers().now(), m_settings.zone);
            },
            [this](const std::string &service, const std::vector<TargetId> &excluded,
                   const RoomRequest &request) { return askRoom(service, excluded, request); },
            [this](const std::string &service) { return timeUntilReturn(service); },
            [this](const std::string &service) {
                return allowance(service).trySpend(m_loop.timers().now());
            },
            [this](const TargetId &target, SendResult service) { onServed(target, service); },
            [this](const std::string &service, const PaceSample &sample) {
                notePace(service, sample);
            },
            [this](HttpExchange &exchange, const EntryRefusal &refusal) {
                refuse(exchange, refusal);
            },
            [this] { return !m_drain->isReady(); },
            [this]() -> std::optional<Duration> {
                if (!m_stopAt)
                    return std::nullopt;
                return *m_stopAt - m_loop.timers().now();
            },
            m_completions,
            [this] { m_loads.onChange(); },
            [this](std::function<void()> done) { m_loads.refresh(std::move(done)); },
            [this](const TargetSendNote &send, const RelayAnswerHead &answer) {
                noteAnswer(send, answer);
            },
            [this](const TargetSendNote &send, const HttpResponse &response) {
                noteCallAnswer(send, response);
            },
            [this](AbandonedRun run) { m_runStopper->add(std::move(run)); },
            [this](AbandonedRun run, RunStopper::ReleaseCallback onReleased) {
                m_runStopper->addUrgent(std::move(run), std::move(onReleased));
            },
            [this](const RequestId &id, const TargetId &target) {
                m_runStopper->cancel(id, target);
            },
            m_buffers,
            *m_poison,
            m_metrics};
}

void EntryNode::onTargetLeaving(const ServiceTarget &target)
{
    if (!target.isLeavingAnnounced)
        m_poison->onTargetVanished(target.id);
    const TargetId id = target.id;
    for (RelaySession *session : sessions())
        session->targetLeaving(id);
    // Peers that can't read the store hear of it from this node.
    m_loads.onChange();
}

bool EntryNode::isReady() const
{
    const std::optional<Duration> age = m_catalog.age();
    return m_drain->isReady() && m_targetsProvenAt.has_value() && age
           && *age <= m_settings.maxKeyAge && !isRosterAwaited();
}

// The roster's topic also has the records of poisonous requests.
bool EntryNode::isRosterAwaited() const
{
    return m_rosterFollower && !m_isRosterRead && !m_rosterFollower->isUnreachable();
}

void EntryNode::onProbe(HttpExchange &exchange)
{
    const bool isKnown = exchange.request().path == m_bindings.readinessPath;
    const int status = !isKnown ? 404 : isReady() ? 200 : 503;
    respond(exchange, status, "application/json", "{}");
}

void EntryNode::onRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    absl::StatusOr<CallerRequest> caller = m_bindings.readRequest(request);
    if (!caller.ok()) {
        refuseRequest(*exchange, RequestId(),
                      {400, Duration::zero(), errorName(errorCode(caller.status()))});
        return;
    }
    AdmittedRequest admitted =
            admitRequest(m_catalog, caller->host, request.path, caller->key, m_settings.maxKeyAge);
    if (!m_drain->isAcceptingRequests()) {
        refuseRequest(*exchange, caller->id,
                      {503, StaleRetryAfter, errorName(ErrorCode::Draining)});
        return;
    }
    if (admitted.admission != Admission::Admitted) {
        refuseUnadmitted(*exchange, admitted.admission, caller->id);
        return;
    }
    const std::size_t maxBody = admitted.catalog->limits().maxBodyBytes;
    if (maxBody != 0 && request.body.size() > maxBody) {
        refuseRequest(*exchange, caller->id,
                      {413, Duration::zero(), errorName(ErrorCode::RequestTooLarge)});
        return;
    }
    const std::uint64_t fingerprint = requestFingerprint(request, admitted.organisationName());
    const std::optional<std::uint64_t> refused =
            m_poison->findRefused(fingerprint, promptPartFeatures(caller->sharedPromptParts));
    if (refused) {
        refusePoisonous(*exchange, caller->id, *refused);
        return;
    }
    if (admitted.route->services.empty()) {
        refuseRequest(*exchange, caller->id,
                      {503, NoTrafficRetryAfter, errorName(ErrorCode::NoTarget)});
        return;
    }
    const std::string service = pickService(admitted.route->services, m_random.uniform());
    allowance(service).onRequest(m_loop.timers().now());
    const std::uint64_t number = ++m_lastSession;
    auto session = std::make_unique<RelaySession>(
            m_services, exchange, std::move(*caller), std::move(admitted), service, fingerprint,
            [this, number](RelaySession *) { onSessionDone(number); });
    RelaySession *const raw = session.get();
    m_sessions.emplace(number, std::move(session));
    raw->start();
}

// Sessions that end or begin meanwhile do not change the list.
std::vector<RelaySession *> EntryNode::sessions() const
{
    std::vector<RelaySession *> sessions;
    for (const auto &[number, session] : m_sessions)
        sessions.push_back(session.get());
    return sessions;
}

// The session may be in the middle of a callback; it is dropped in the loop's next round.
void EntryNode::onSessionDone(std::uint64_t number)
{
    m_loop.timers().scheduleAfter(Duration::zero(), [this, number] { m_sessions.erase(number); });
}

void EntryNode::refuseUnadmitted(HttpExchange &exchange, Admission admission, const RequestId &id)
{
    EntryRefusal refusal;
    refusal.reason = admissionName(admission);
    switch (admission) {
    case Admission::NoRoute:
        refusal.status = 404;
        break;
    case Admission::MissingKey:
    case Admission::UnknownKey:
        refusal.status = 401;
        break;
    default:
        refusal.retryAfter = StaleRetryAfter;
        break;
    }
    refuseRequest(exchange, id, refusal);
}

// Refuses before any placing.
void EntryNode::refuseRequest(HttpExchange &exchange, const RequestId &id,
                              const EntryRefusal &refusal, const std::string &detail)
{
    std::string line = "Refused: " + std::string(refusal.reason);
    line += " status=" + std::to_string(refusal.status);
    if (m_catalog.current())
        line += " catalog=" + std::to_string(m_catalog.current()->version());
    if (const std::optional<Duration> age = m_catalog.age()) {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(*age);
        line += " catalog_age_ms=" + std::to_string(elapsed.count());
    }
    line += detail;
    logRequest(LogPart::Callers, LogLevel::Info, id.text(), line);
    refuse(exchange, refusal);
}

// A status of the class 4xx would tell the caller not to come back, also where the targets died of
// something else.
void EntryNode::refusePoisonous(HttpExchange &exchange, const RequestId &id,
                                std::uint64_t fingerprint)
{
    std::string detail = " fingerprint=" + fingerprintText(fingerprint) + " deaths=";
    std::string_view separator;
    std::string subject;
    for (const PoisonReport &report : m_poison->reportsOf(fingerprint)) {
        detail += separator;
        detail += report.target.text();
        separator = ",";
        subject = report.subject;
    }
    detail += " of=\"" + subject + '"';
    refuseRequest(exchange, id, {503, PoisonRetryAfter, errorName(ErrorCode::PoisonousRequest)},
                  detail);
}

void EntryNode::refuse(HttpExchange &exchange, EntryRefusal refusal)
{
    if (refusal.retryAfter > Duration::zero())
        refusal.retryAfter += m_random.jitter(RefusalJitter);
    m_metrics.count("currantwalk_refusals_total", {{"status", std::to_string(refusal.status)},
                                                   {"reason", std::string(refusal.reason)}});
    if (!m_drain->isReady())
        exchange.closeAfterAnswer();
    exchange.start(m_bindings.writeRefusal(refusal));
    exchange.finish();
}

// Without a roster, or while it can't be read, a large deployment is assumed. Returns 0 until the
// roster has been read for the first time.
std::uint32_t EntryNode::nodesSharing() const
{
    constexpr std::size_t AssumedNodes = 16;
    if (m_rosterFollower && !m_isRosterRead)
        return 0;
    const bool isKnown =
            m_rosterFollower && !m_rosterFollower->isUnreachable() && m_roster.size() > 1;
    return static_cast<std::uint32_t>(isKnown ? m_roster.size()
                                              : std::max(AssumedNodes, m_roster.size()));
}

NodeRetryBudget &EntryNode::allowance(const std::string &service)
{
    const auto [known, isNew] = m_allowances.try_emplace(
            service, NodeRetryBudget(allowanceOptions(m_settings), m_startedAt));
    known->second.setNodeCount(nodesSharing());
    return known->second;
}

void EntryNode::tick()
{
    m_poison->onTick();
    m_targets.expire();
    m_holdOffs.expire(m_loop.timers().now());
    m_grants.expire();
    m_limiter.expire();
    refreshPace();
    m_limits.expire([this](const TargetId &id) { return m_targets.find(id) != nullptr; },
                    m_loop.timers().now());
    askTargets();
    m_tickTimer = m_loop.timers().scheduleAfter(TickInterval, [this] { tick(); });
}

void EntryNode::reload(const EntrySettings &settings)
{
    m_settings.maxKeyAge = settings.maxKeyAge;
    m_settings.stopGrace = settings.stopGrace;
    m_settings.retryRatio = settings.retryRatio;
    m_settings.retrySlack = settings.retrySlack;
    m_settings.retryWindow = settings.retryWindow;
    m_settings.coldBound = settings.coldBound;
    m_settings.memoryLimit = settings.memoryLimit;
    m_settings.descriptorLimit = settings.descriptorLimit;
    m_buffers.setCapacity(settings.memoryLimit / BufferDivisor);
    updateReceiveLimits();
    for (auto &[service, allowance] : m_allowances)
        allowance.setOptions(allowanceOptions(m_settings));
    logLine(LogPart::Daemon, LogLevel::Info, "The settings were read again.");
}

void EntryNode::beginDrain()
{
    // The process is killed at the end of the grace of the first order.
    if (!m_drain->isReady()) {
        logLine(LogPart::Drain, LogLevel::Info, "A further order to stop changes nothing.");
        return;
    }
    leaveRoster();
    m_drain->begin();
    m_drain->setDeadline(m_settings.stopGrace - StopReserve);
    m_stopAt = m_loop.timers().now() + m_settings.stopGrace - StopReserve;
}

} // namespace currantwalk
