#include "daemon/node.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/json.h"
#include "daemon/operatorsapi.h"
#include "observe/logging.h"
#include "routing/zonepolicy.h"

namespace currantwalk {

static constexpr std::size_t MaxFetchedBytes = 8 * 1024 * 1024;
static constexpr std::size_t RememberedDecisions = 10000;
static constexpr Duration VmListInterval = std::chrono::seconds(2);
static constexpr Duration PrefixEventInterval = std::chrono::seconds(2);
static constexpr std::size_t WatchersPerTarget = 2;
static constexpr double RetryReserve = 10; ///< Retries that an idle service may spend at once.
static constexpr double DefaultRetryShare = 0.1;

// The start time in milliseconds grows from start to start of one VM's daemon, which keeps nothing.
static Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(
            std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

static std::int64_t wallClockSeconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count();
}

absl::StatusOr<std::unique_ptr<Node>> Node::create(const Settings &settings, const NodeKeys &keys,
                                                   EventLoop &loop)
{
    std::unique_ptr<Node> node(new Node(settings, keys, loop));
    const absl::Status status = node->listen();
    if (!status.ok())
        return status;
    node->createMembership();
    node->createConfig();
    node->createTargets();
    node->createRouting();
    node->createLimits();
    node->createCalls();
    node->createDrain();
    node->addPeerMethods();
    node->start();
    return node;
}

Node::Node(const Settings &settings, const NodeKeys &keys, EventLoop &loop)
    : m_settings(settings),
      m_keys(keys),
      m_loop(loop),
      m_random(entropySeed()),
      m_incarnation(newIncarnation()),
      m_fetcher(loop.client(), loop.timers(), MaxFetchedBytes),
      m_platform(settings.platform, m_fetcher),
      m_link(loop.client(), m_fetcher, loop.timers()),
      m_peers(loop.client(), loop.timers(), keys.peers, settings.peers.tls.has_value(), m_metrics),
      m_decisions(RememberedDecisions)
{
}

Node::~Node() = default;

absl::StatusOr<Endpoint> Node::listenOn(const ListenerSettings &settings, HttpHandler handler)
{
    HttpListenerOptions options;
    options.endpoint = settings.listen;
    options.tls = settings.tls;
    options.maxBodyBytes = settings.maxBodyBytes;
    options.maxConnections = settings.maxConnections;
    return m_loop.server().listen(options, std::move(handler));
}

absl::Status Node::listen()
{
    absl::StatusOr<Endpoint> endpoint =
            listenOn(m_settings.callers, [this](std::shared_ptr<HttpExchange> exchange) {
                m_callers->handle(std::move(exchange));
            });
    if (!endpoint.ok())
        return endpoint.status();
    m_callersEndpoint = *endpoint;
    endpoint = listenOn(m_settings.peers, [this](std::shared_ptr<HttpExchange> exchange) {
        m_peers.server().handle(std::move(exchange));
    });
    if (!endpoint.ok())
        return endpoint.status();
    m_peersEndpoint = *endpoint;
    m_operators = std::make_unique<OperatorsApi>(*this, m_keys.operators);
    endpoint = listenOn(m_settings.operators, [this](std::shared_ptr<HttpExchange> exchange) {
        m_operators->handle(std::move(exchange));
    });
    if (!endpoint.ok())
        return endpoint.status();
    m_operatorsEndpoint = *endpoint;
    return absl::OkStatus();
}

void Node::createMembership()
{
    Membership::Options options;
    options.self.vm = VmId(m_settings.vm);
    options.self.zone = m_settings.zone;
    options.self.endpoint = m_peersEndpoint;
    options.self.incarnation = m_incarnation;
    options.seeds = m_settings.seeds;
    Membership::Hooks hooks;
    hooks.send = [this](const Endpoint &peer, const Json::Value &message) {
        m_peers.notify(peer, "member", message);
    };
    hooks.onChange = [this](const Member &member) { onMember(member); };
    hooks.onFact = [this](const std::string &kind, const Json::Value &fact) { onFact(kind, fact); };
    m_membership = Membership::create(options, std::move(hooks), m_loop.timers(), m_random);
}

void Node::createConfig()
{
    ConfigStore::Options options;
    options.recordLifetime = m_settings.logRecordLifetime;
    options.seed = m_random.next64();
    ConfigStore::Hooks hooks;
    hooks.log = m_platform.logHooks();
    hooks.onVersion = [this](const ConfigVersion &version) { onVersion(version); };
    hooks.onVerdict = [this](const PublicationVerdict &verdict) {
        logLine(LogPart::Config, LogLevel::Info,
                "Publication " + std::to_string(verdict.offset)
                        + (verdict.isAccepted ? " is accepted." : " is refused."));
        m_publisher->onVerdict(verdict);
    };
    hooks.isSnapshotWriter = [this] {
        std::vector<Member> alive = m_membership->members();
        std::erase_if(alive,
                      [](const Member &member) { return member.state != MemberState::Alive; });
        const std::vector<Member> best = rendezvousMembers(alive, "config-snapshot", 1);
        return !best.empty() && best.front().vm.text() == m_settings.vm;
    };
    m_config = ConfigStore::create(options, std::move(hooks), m_loop.timers());
    m_publisher =
            Publisher::create({}, *m_config, m_platform.logHooks(), m_loop.timers(), m_random);
}

void Node::createTargets()
{
    TargetTable::Options options;
    options.zone = m_settings.zone;
    TargetTable::Hooks hooks;
    hooks.probe = [this](const Target &target) { probeTarget(target); };
    hooks.isWatcher = [this](const TargetId &target) { return isWatcher(target); };
    hooks.onChange = [this](const Target &target) { onTargetChange(target); };
    hooks.onLoad = [this](const Target &target) {
        m_policy->onLoad(target, m_loop.timers().now());
        m_dispatcher->onChange();
    };
    hooks.shareInZone = [this](const Json::Value &digest) { announceToZone("digest", digest); };
    hooks.announce = [this](const Json::Value &fact) {
        announceToZone("target", fact);
        m_membership->disseminate("target", fact, true);
    };
    m_targets = TargetTable::create(options, std::move(hooks), m_loop.timers());
}

void Node::createRouting()
{
    m_policy = createZonePolicy(createRoutingPolicy(m_settings.routingPolicy, m_random.next64()),
                                m_settings.zone);
    m_dispatcher = std::make_unique<Dispatcher>(
            *m_policy, [this](const RoutingRequest &request) { return candidates(request); },
            m_loop.timers());
}

void Node::createLimits()
{
    LimiterOptions options;
    options.self = VmId(m_settings.vm);
    options.zone = m_settings.zone;
    LimiterHooks hooks;
    hooks.send = [this](const VmId &vm, const Json::Value &message) {
        notifyVm(vm, "limits", message);
    };
    hooks.members = [this] { return m_membership->members(); };
    m_limiter = createLimiter(options, std::move(hooks), m_loop.timers());
}

void Node::createCalls()
{
    m_poison = PoisonTracker::create(m_loop.timers(), [this](const PoisonReport &report) {
        const Json::Value fact = encodePoisonReport(report);
        announceToZone("poison", fact);
        m_membership->disseminate("poison", fact, true);
    });
    Claims::Options options;
    options.vm = VmId(m_settings.vm);
    options.incarnation = m_incarnation;
    options.recordLifetime = m_settings.logRecordLifetime;
    m_claims = Claims::create(options, m_platform.logHooks(), m_loop.timers());
    m_canceller =
            std::make_unique<Canceller>(*m_targets, m_link, m_loop.timers(), m_random, m_metrics);
    m_services = std::make_unique<RequestServices>(requestServices());
    CallersApi::Hooks hooks;
    hooks.index = [this] { return m_index.get(); };
    hooks.isReady = [this] { return isReady(); };
    hooks.isTakingWork = [this] { return m_drain->isTakingWork(); };
    hooks.refreshGauges = [this] { refreshGauges(); };
    hooks.wallClock = &wallClockSeconds;
    m_callers = std::make_unique<CallersApi>(CallersApi::Options{m_settings.vm, m_incarnation},
                                             std::move(hooks), *m_services);
}

// Both sides of a link know the peers' key, so a key derived from it can sign resume tokens.
static std::string resumeKeyFrom(const std::string &peersKey)
{
    return sha256Hex("resume tokens\n" + peersKey);
}

RequestServices Node::requestServices()
{
    const auto budget = [this](const std::string &service) -> RetryBudget & {
        return retryBudget(service);
    };
    const auto askReaders = [this](const GenerationId &generation,
                                   const std::function<void(bool)> &callback) {
        std::vector<Member> others = m_membership->members();
        std::erase_if(others, [this](const Member &member) {
            return member.state != MemberState::Alive || member.vm.text() == m_settings.vm;
        });
        if (others.empty())
            m_loop.timers().subscribeAfter(Duration(0), [callback] { callback(false); });
        m_peers.askReaders(others, generation, callback);
    };
    const auto tellTakenOver = [this](const VmId &vm, const GenerationId &generation) {
        notifyVm(vm, "taken-over", encodeGeneration(generation));
    };
    const auto cancel = [this](const GenerationAttempt &attempt,
                               const std::optional<GenerationId> &generation) {
        m_canceller->cancel(attempt, generation);
    };
    const auto record = [this](const RequestRecord &ended) {
        m_metrics.count("currantwalk_requests_ended_total",
                        {{"service", ended.service}, {"whole", ended.isWhole ? "yes" : "no"}});
    };
    return RequestServices{m_loop.timers(),
                           m_random,
                           *m_targets,
                           m_link,
                           *m_policy,
                           *m_dispatcher,
                           *m_poison,
                           *m_limiter,
                           *m_claims,
                           m_metrics,
                           m_decisions,
                           VmId(m_settings.vm),
                           resumeKeyFrom(m_keys.peers),
                           budget,
                           askReaders,
                           tellTakenOver,
                           cancel,
                           record};
}

void Node::createDrain()
{
    Drain::Options options;
    options.announceTime = m_settings.drainAnnounceTime;
    Drain::Hooks hooks;
    hooks.onPhase = [](DrainPhase phase) {
        logLine(LogPart::Drain, LogLevel::Info,
                "Phase is " + std::string(drainPhaseName(phase)) + ".");
    };
    hooks.requestsInProgress = [this] {
        return m_callers->requestsInProgress() + m_canceller->unconfirmed();
    };
    hooks.unsettledClaims = [this] { return m_claims->unsettled(); };
    hooks.handOver = [this] { m_membership->leave(); };
    hooks.exit = [this] { m_loop.stop(); };
    m_drain = Drain::create(options, std::move(hooks), m_loop.timers());
}

void Node::refreshGauges()
{
    // A state that nobody is in any more has to read 0.
    std::map<MemberState, std::size_t> members{{MemberState::Alive, 0},
                                               {MemberState::Suspected, 0},
                                               {MemberState::Left, 0},
                                               {MemberState::Dead, 0}};
    for (const Member &member : m_membership->members())
        ++members[member.state];
    for (const auto &[state, count] : members)
        m_metrics.set("currantwalk_members", {{"state", std::string(memberStateName(state))}},
                      static_cast<double>(count));
    std::map<TargetState, std::size_t> targets{
            {TargetState::Live, 0}, {TargetState::Leaving, 0}, {TargetState::Gone, 0}};
    for (const Target *target : m_targets->all())
        ++targets[target->state];
    for (const auto &[state, count] : targets)
        m_metrics.set("currantwalk_targets", {{"state", std::string(targetStateName(state))}},
                      static_cast<double>(count));
    const LogOffset version = m_config->current() ? m_config->current()->version : 0;
    m_metrics.set("currantwalk_config_version", {}, static_cast<double>(version));
    m_metrics.set("currantwalk_requests_in_progress", {},
                  static_cast<double>(m_callers->requestsInProgress()));
    m_metrics.set("currantwalk_requests_held", {}, static_cast<double>(m_dispatcher->waiting()));
    m_metrics.set("currantwalk_control_bytes_sent", {}, static_cast<double>(m_peers.bytesSent()));
    m_metrics.set("currantwalk_control_bytes_received", {},
                  static_cast<double>(m_peers.bytesReceived()));
}

void Node::start()
{
    m_membership->start();
    m_config->start();
    m_targets->start();
    refreshVmList();
    logLine(LogPart::Daemon, LogLevel::Info,
            "Serving callers at " + m_callersEndpoint.toString() + ", peers at "
                    + m_peersEndpoint.toString() + ", operators at "
                    + m_operatorsEndpoint.toString() + ".");
}

void Node::beginDrain()
{
    m_drain->begin();
}

bool Node::isReady() const
{
    return m_index != nullptr && m_drain->isReady();
}

void Node::onVersion(const ConfigVersion &version)
{
    logLine(LogPart::Config, LogLevel::Info,
            "Version " + std::to_string(version.version) + " is in force.");
    // The index refers to the set, so it goes first.
    m_index.reset();
    m_objects = std::make_unique<ObjectSet>(version.objects);
    m_index = std::make_unique<ObjectIndex>(*m_objects);
    m_limiter->onObjects(*m_objects);
    m_membership->setConfigVersion(version.version);
    m_dispatcher->onChange();
}

void Node::onMember(const Member &member)
{
    logLine(LogPart::Membership, LogLevel::Debug,
            member.vm.text() + " is " + std::string(memberStateName(member.state)) + ".");
    const std::size_t nodes = m_membership->aliveInZone(m_settings.zone).size();
    if (m_policy)
        m_policy->onNodeCount(static_cast<std::uint32_t>(std::max<std::size_t>(nodes, 1)));
    pullConfig(member);
}

void Node::pullConfig(const Member &member)
{
    const LogOffset own = m_config && m_config->current() ? m_config->current()->version : 0;
    if (m_isPulling || !m_config || member.configVersion <= own)
        return;
    m_isPulling = true;
    m_peers.call(member.endpoint, "config", Json::Value(Json::objectValue),
                 [this](const absl::StatusOr<Json::Value> &result) {
                     m_isPulling = false;
                     if (!result.ok())
                         return;
                     const absl::Status taken = m_config->onPeerVersion(*result);
                     if (!taken.ok())
                         logLine(LogPart::Config, LogLevel::Warning,
                                 "A peer's version was refused: " + std::string(taken.message()));
                 });
}

static void logRefused(LogPart part, const absl::Status &status)
{
    if (!status.ok())
        logLine(part, LogLevel::Warning,
                "A peer's message was refused: " + std::string(status.message()));
}

void Node::onFact(const std::string &kind, const Json::Value &fact)
{
    if (kind == "target") {
        logRefused(LogPart::Targets, m_targets->onAnnouncement(fact));
    } else if (kind == "poison") {
        const absl::StatusOr<PoisonReport> report = decodePoisonReport(fact);
        logRefused(LogPart::Poison, report.status());
        if (report.ok())
            m_poison->onReport(*report);
    }
}

void Node::announceToZone(const char *kind, const Json::Value &fact)
{
    for (const Member &member : m_membership->aliveInZone(m_settings.zone)) {
        if (member.vm.text() != m_settings.vm)
            m_peers.notify(member.endpoint, kind, fact);
    }
}

void Node::notifyVm(const VmId &vm, const char *method, const Json::Value &message)
{
    for (const Member &member : m_membership->members()) {
        if (member.vm == vm && vm.text() != m_settings.vm)
            m_peers.notify(member.endpoint, method, message);
    }
}

void Node::refreshVmList()
{
    m_platform.fetchVms([this](const absl::StatusOr<VmList> &list) {
        if (list.ok()) {
            std::vector<Endpoint> seeds;
            for (const ListedVm &vm : list->entryVms)
                seeds.push_back(vm.endpoint);
            m_membership->addSeeds(seeds);
            m_targets->onList(list->targets);
        }
        m_loop.timers().subscribeAfter(VmListInterval, [this] { refreshVmList(); });
    });
}

bool Node::isWatcher(const TargetId &target) const
{
    const std::vector<Member> nodes = m_membership->aliveInZone(m_settings.zone);
    const std::vector<Member> watchers = rendezvousMembers(nodes, target.text(), WatchersPerTarget);
    return std::any_of(watchers.begin(), watchers.end(),
                       [this](const Member &member) { return member.vm.text() == m_settings.vm; });
}

void Node::probeTarget(const Target &target)
{
    const TargetTable::Options options;
    m_link.probe(target, options.probeTimeout,
                 [this, id = target.id](const absl::StatusOr<TargetReport> &report) {
                     if (report.ok())
                         m_targets->onReport(*report);
                     else
                         m_targets->onProbeFailed(id);
                 });
}

void Node::onTargetChange(const Target &target)
{
    Incarnation &known = m_incarnations[target.id];
    const Incarnation before = std::exchange(known, std::max(known, target.incarnation));
    const bool isRestarted = before > 0 && target.incarnation > before;
    const bool isGone = target.state == TargetState::Gone;
    if (!m_callers)
        return;
    if (isRestarted || isGone) {
        const Incarnation dead = isGone ? target.incarnation : target.incarnation - 1;
        logLine(LogPart::Targets, LogLevel::Warning,
                target.id.text() + (isGone ? " is gone." : " restarted."));
        m_policy->onTargetGone(target.id);
        m_nextPrefixEvents.erase(target.id);
        m_poison->onTargetDied(target.id, dead);
        m_callers->onTargetGone(target.id, dead);
    }
    const bool isNew =
            !isGone && target.kind == TargetKind::Engine && !m_nextPrefixEvents.contains(target.id);
    if (isNew) {
        m_nextPrefixEvents[target.id] = 1;
        fetchPrefixEvents(target);
    }
    m_dispatcher->onChange();
}

void Node::fetchPrefixEvents(const Target &target)
{
    const auto next = m_nextPrefixEvents.find(target.id);
    if (next == m_nextPrefixEvents.end() || target.state == TargetState::Gone)
        return;
    m_link.fetchPrefixEvents(
            target, next->second,
            [this, id = target.id](const absl::StatusOr<std::vector<PrefixEvent>> &events) {
                const auto position = m_nextPrefixEvents.find(id);
                if (position == m_nextPrefixEvents.end())
                    return;
                if (events.ok()) {
                    for (const PrefixEvent &event : *events) {
                        m_policy->onCacheEvent(id, event.prefixHash, event.isCached);
                        position->second = std::max(position->second, event.number + 1);
                    }
                }
                m_loop.timers().subscribeAfter(PrefixEventInterval, [this, id] {
                    if (const Target *known = m_targets->find(id))
                        fetchPrefixEvents(*known);
                });
            });
}

std::string Node::poolOf(const RoutingRequest &request) const
{
    if (!m_index)
        return "";
    const ObjectSet &objects = m_index->objects();
    if (request.model.empty()) {
        const auto service = objects.services.find(request.service);
        return service == objects.services.end() ? "" : service->second.pool;
    }
    return m_index->poolOf(request.model);
}

static bool isExcluded(const RoutingRequest &request, const Target &target)
{
    const std::vector<TargetId> &excluded = request.excluded;
    return std::find(excluded.begin(), excluded.end(), target.id) != excluded.end();
}

// A suspect request goes only where a crash would take no other generation along.
static bool isHarmless(const RoutingRequest &request, const Target &target)
{
    return !request.isSuspect || (target.load.running == 0 && target.load.waiting == 0);
}

std::vector<const Target *> Node::candidates(const RoutingRequest &request) const
{
    std::vector<const Target *> targets = m_targets->candidates(poolOf(request));
    std::erase_if(targets, [&request](const Target *target) {
        const bool isServing = request.model.empty() || target->isServing(request.model);
        return !isServing || isExcluded(request, *target) || !isHarmless(request, *target);
    });
    return targets;
}

RetryBudget &Node::retryBudget(const std::string &service)
{
    double share = DefaultRetryShare;
    if (m_objects) {
        const auto it = m_objects->services.find(service);
        share = it == m_objects->services.end() ? share : it->second.retryShare;
    }
    return m_retryBudgets.try_emplace(service, share, RetryReserve).first->second;
}

static void respondStatus(const absl::Status &status, const RpcResponder &respondTo)
{
    if (status.ok())
        respondTo(Json::Value(true));
    else
        respondTo(status);
}

void Node::addPeerMethods()
{
    RpcServer &server = m_peers.server();
    server.addMethod("member", [this](const Json::Value &params, const RpcResponder &respondTo) {
        m_membership->onMessage(params);
        respondTo(Json::Value(true));
    });
    server.addMethod("config", [this](const Json::Value &, const RpcResponder &respondTo) {
        if (m_config->current())
            respondTo(m_config->encodeCurrent());
        else
            respondTo(makeError(ErrorCode::NotReady, "no version is known here"));
    });
    server.addMethod("digest", [this](const Json::Value &params, const RpcResponder &respondTo) {
        respondStatus(m_targets->onDigest(params), respondTo);
    });
    server.addMethod("limits", [this](const Json::Value &params, const RpcResponder &respondTo) {
        respondStatus(m_limiter->onMessage(params), respondTo);
    });
    for (const char *kind : {"target", "poison"}) {
        server.addMethod(kind,
                         [this, kind](const Json::Value &params, const RpcResponder &respondTo) {
                             onFact(kind, params);
                             respondTo(Json::Value(true));
                         });
    }
    server.addMethod("reading", [this](const Json::Value &params, const RpcResponder &respondTo) {
        const absl::StatusOr<GenerationId> generation = decodeGeneration(params);
        if (generation.ok())
            respondTo(Json::Value(m_callers->isReading(*generation)));
        else
            respondTo(generation.status());
    });
    server.addMethod("taken-over",
                     [this](const Json::Value &params, const RpcResponder &respondTo) {
                         const absl::StatusOr<GenerationId> generation = decodeGeneration(params);
                         if (!generation.ok())
                             return respondTo(generation.status());
                         m_callers->onTakenOver(*generation);
                         respondTo(Json::Value(true));
                     });
}

} // namespace currantwalk
