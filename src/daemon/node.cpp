#include "daemon/node.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/json.h"
#include "base/unixtime.h"
#include "daemon/operatorsapi.h"
#include "daemon/poisonmessages.h"
#include "daemon/unsentanswerlog.h"
#include "observe/logging.h"
#include "routing/zonepolicy.h"

namespace currantwalk {

static constexpr std::size_t MaxFetchedBytes = std::size_t{8} * 1024 * 1024;
static constexpr std::size_t RememberedDecisions = 10000;
static constexpr double RetryReserve = 10; ///< Retries that an idle service may spend at once.
static constexpr double DefaultRetryShare = 0.1;

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
    node->createDuties();
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
      // Grows from start to start of one VM's daemon, which keeps nothing.
      m_incarnation(unixMilliseconds()),
      m_fetcher(loop.client(), loop.timers(), MaxFetchedBytes),
      m_platform(settings.platform, m_fetcher),
      m_link(loop.client(), m_fetcher, loop.timers()),
      m_peers(loop.client(), loop.timers(), keys.peers, settings.peers.tls.has_value(), m_metrics),
      m_decisions(RememberedDecisions),
      m_receiveRefusals(m_metrics)
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

void Node::boundReceiving()
{
    constexpr std::size_t BytesPerMegabyte = std::size_t{1024} * 1024;
    HttpReceiveLimits limits;
    limits.memory = m_settings.receiveMegabytes * BytesPerMegabyte;
    limits.connections = m_settings.receiveConnections;
    limits.onRefused = [this](const HttpReceiveRefusal &refusal) {
        m_receiveRefusals.note(refusal, m_loop.timers().now());
    };
    m_loop.server().setReceiveLimits(limits);
}

absl::Status Node::listen()
{
    boundReceiving();
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
    // Nodes that start together would otherwise share the same rows at the same time.
    options.digestStartDelay = m_random.jitter(options.digestInterval);
    TargetTable::Hooks hooks;
    hooks.probe = [this](const Target &target) { probeTarget(target); };
    hooks.isWatcher = [this](const TargetId &target) { return isWatcher(target); };
    hooks.onChange = [this](const Target &target) { onTargetChange(target); };
    hooks.onLoad = [this](const Target &target) {
        m_policy->onLoad(target, m_loop.timers().now());
        m_dispatcher->onCapacityChange();
    };
    hooks.broadcastDigest = [this](const Json::Value &digest) { announceToZone("digest", digest); };
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
    PoisonTracker::Hooks poisonHooks;
    poisonHooks.onDeath = [this](const PoisonReport &report) {
        const Json::Value fact = encodePoisonReport(report);
        announceToZone("poison", fact);
        m_membership->disseminate("poison", fact, true);
    };
    m_poison = PoisonTracker::create(m_loop.timers(), std::move(poisonHooks));
    PoisonComparison::Hooks comparisonHooks;
    comparisonHooks.peers = [this] { return alivePeers(); };
    comparisonHooks.onKnowledge = [this](const PoisonKnowledge &knowledge) {
        m_poison->apply(knowledge);
    };
    m_poisonComparison = std::make_unique<PoisonComparison>(
            *m_poison, m_peers, std::move(comparisonHooks), m_loop.timers(), m_random);
    Claims::Options options;
    options.vm = VmId(m_settings.vm);
    options.incarnation = m_incarnation;
    options.recordLifetime = m_settings.logRecordLifetime;
    m_claims = Claims::create(options, m_platform.logHooks(), m_loop.timers());
    m_cancellations = std::make_unique<Cancellations>(
            [this](std::uint64_t number, const GenerationAttempt &attempt,
                   const std::optional<GenerationId> &generation) {
                sendCancel(number, attempt, generation);
            },
            m_loop.timers(), m_random);
    m_services = std::make_unique<RequestServices>(requestServices());
    CallersApi::Hooks hooks;
    hooks.index = [this] { return m_index.get(); };
    hooks.isReady = [this] { return isReady(); };
    hooks.isTakingWork = [this] { return m_drain->isAcceptingRequests(); };
    hooks.refreshGauges = [this] { refreshGauges(); };
    hooks.wallClock = &wallClockSeconds;
    m_callers = std::make_unique<CallersApi>(CallersApi::Options{m_settings.vm, m_incarnation},
                                             std::move(hooks), *m_services);
}

void Node::sendCancel(std::uint64_t number, const GenerationAttempt &attempt,
                      const std::optional<GenerationId> &generation)
{
    const Target *engine = m_targets->find(generation ? generation->target : attempt.target);
    if (!engine) {
        m_loop.timers().scheduleAfter(Duration(0), [this, number] {
            m_cancellations->onAnswer(
                    number, makeError(ErrorCode::ConnectFailed, "the engine is not known"));
        });
        return;
    }
    m_link.cancel(*engine, attempt, generation, [this, number](const absl::Status &status) {
        m_cancellations->onAnswer(number, status);
    });
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
        const std::vector<Member> others = possibleReaders();
        if (others.empty())
            m_loop.timers().scheduleAfter(Duration(0), [callback] { callback(false); });
        m_peers.askReaders(others, generation, callback);
    };
    const auto tellTakenOver = [this](const VmId &vm, const GenerationId &generation) {
        notifyVm(vm, "taken-over", encodeGeneration(generation));
    };
    const auto cancel = [this](const GenerationAttempt &attempt,
                               const std::optional<GenerationId> &generation) {
        m_cancellations->add(attempt, generation);
    };
    const auto record = [this](const RequestRecord &ended) {
        const BurnKey key{ended.service, ended.organisation, m_settings.zone};
        m_burn.record(key, ended.times, ended.isWhole, m_loop.timers().now());
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

void Node::createDuties()
{
    m_duties = std::make_unique<Duties>(
            m_settings, m_incarnation, [this] { return m_objects.get(); }, *m_targets, m_link,
            m_platform, m_loop.timers(), m_random);
}

void Node::createDrain()
{
    Drain::Options options;
    options.announceTime = m_settings.drainAnnounceTime;
    Drain::Hooks hooks;
    hooks.onPhaseChanged = [](DrainPhase phase) {
        logLine(LogPart::Drain, LogLevel::Info,
                "Phase is " + std::string(drainPhaseName(phase)) + ".");
    };
    hooks.requestsInProgress = [this] {
        return m_callers->requestsInProgress() + m_cancellations->pending();
    };
    hooks.unsentAnswers = [this] { return m_loop.server().unsentAnswers().answers; };
    hooks.unsettledClaims = [this] { return m_claims->unsettled(); };
    hooks.handOver = [this] {
        m_duties->handOver();
        m_membership->leave();
    };
    hooks.exit = [this] {
        logUnsentAnswers(m_loop.server().unsentAnswers());
        m_loop.stop();
    };
    m_drain = Drain::create(options, std::move(hooks), m_loop.timers());
}

void Node::refreshGauges()
{
    setUnsentAnswerGauges(m_metrics, m_loop.server().unsentAnswers());
    m_metrics.set("currantwalk_received_bytes", {},
                  static_cast<double>(m_loop.server().receivedBytes()));
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
    m_metrics.set("currantwalk_config_divergences", {},
                  static_cast<double>(m_config->divergences()));
    m_metrics.set("currantwalk_membership_messages_refused", {},
                  static_cast<double>(m_membership->messagesRejected()));
    m_metrics.set("currantwalk_membership_messages_held_back", {},
                  static_cast<double>(m_membership->messagesThrottled()));
    m_metrics.set("currantwalk_cancels_pending", {},
                  static_cast<double>(m_cancellations->pending()));
    m_metrics.set("currantwalk_cancels_confirmed", {},
                  static_cast<double>(m_cancellations->confirmed()));
    m_metrics.set("currantwalk_cancels_given_up", {},
                  static_cast<double>(m_cancellations->givenUp()));
    m_metrics.set("currantwalk_requests_in_progress", {},
                  static_cast<double>(m_callers->requestsInProgress()));
    m_metrics.set("currantwalk_requests_held", {},
                  static_cast<double>(m_dispatcher->waitingCount()));
    m_metrics.set("currantwalk_control_bytes_sent", {}, static_cast<double>(m_peers.bytesSent()));
    m_metrics.set("currantwalk_control_bytes_received", {},
                  static_cast<double>(m_peers.bytesReceived()));
}

void Node::start()
{
    m_membership->start();
    m_poisonComparison->start();
    m_config->start();
    m_targets->start();
    m_duties->start();
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
    m_limiter->applyObjects(*m_objects);
    m_membership->setConfigVersion(version.version);
    m_dispatcher->onCapacityChange();
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

} // namespace currantwalk
