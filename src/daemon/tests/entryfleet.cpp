#include "daemon/tests/entryfleet.h"

#include <algorithm>
#include <utility>

#include <absl/strings/numbers.h>

#include "base/json.h"

namespace currantwalk {

/// In the text of a catalogue that lacks the callers' key.
static constexpr const char *WithoutKey = " without key";
/// In the text of a catalogue whose list of organisations is empty.
static constexpr const char *WithoutOrganisations = " without organisations";
static constexpr std::uint16_t CallersPort = 80;
static constexpr std::uint16_t ReadinessPort = 81;
static constexpr std::uint16_t PeersPort = 82;
static constexpr std::uint16_t ServerPort = 90;

EntryFleet::EntryFleet(const Options &options)
    : random(options.seed), net(timers), store(timers), m_options(options)
{
    net.isReachable = [this](const std::string &from, const std::string &to) {
        return !isCutFrom(from, to);
    };
    store.isReachable = [this](const std::string &host) {
        const auto zone = m_zoneOfHost.find(host);
        const bool isCut = m_cutZone && zone != m_zoneOfHost.end() && zone->second == *m_cutZone;
        const bool isSingle = isOneOf(nodesWithoutStore, host);
        return m_isStoreUp && !isCut && !isSingle;
    };
    store.deliver = [this](const std::string &host, const std::function<void()> &action) {
        std::size_t node = 0;
        while (node < m_nodes.size() && addressOf(node) != host)
            ++node;
        if (node == m_nodes.size())
            action();
        else if (m_nodes[node].loop)
            m_nodes[node].loop->nodeTimers().run(action);
    };
    store.era = options.storeEra;
    if (store.era != 0)
        store.append(RosterTopic, "settled-era", std::to_string(store.era));
    if (options.catalog.empty())
        publish(1, true);
    else
        publishText(options.catalog);
    const std::size_t count = options.generationServers + options.plainServers;
    for (std::size_t i = 0; i < count; ++i) {
        const bool isPlain = i >= options.generationServers;
        SimServer::Options server;
        server.service = isPlain ? "plain" : "engines";
        server.zone = zoneOf(i);
        const std::string address =
                "10.1." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1);
        server.endpoint = {address, ServerPort};
        server.crash = options.crash;
        server.keepsId = options.doServersKeepIds;
        m_zoneOfHost[address] = server.zone.text();
        if (isPlain) {
            server.events = 0;
            server.slots = 6;
            server.work = options.plainWork;
        }
        servers.push_back(std::make_unique<SimServer>(net, store, poisonLogs, poisonParts, random,
                                                      server, "t" + std::to_string(i)));
        servers.back()->start();
    }
    if (options.onCreated)
        options.onCreated(*this);
    m_nodes.resize(options.nodes);
    for (std::size_t i = 0; i < options.nodes; ++i)
        startNode(i);
    run(std::chrono::seconds(2));
}

EntryFleet::~EntryFleet()
{
    m_callers.clear();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].node)
            killNode(i);
    }
}

std::string EntryFleet::addressOf(std::size_t index) const
{
    return "10.2." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1);
}

ZoneName EntryFleet::zoneOf(std::size_t index) const
{
    return ZoneName("z" + std::to_string(index % m_options.zones));
}

std::string EntryFleet::zoneOfHost(const std::string &host) const
{
    const auto zone = m_zoneOfHost.find(host);
    return zone == m_zoneOfHost.end() ? "" : zone->second;
}

bool EntryFleet::isOneOf(const std::set<std::size_t> &nodes, const std::string &host) const
{
    return std::any_of(nodes.begin(), nodes.end(),
                       [this, &host](std::size_t index) { return addressOf(index) == host; });
}

bool EntryFleet::isCutFrom(const std::string &host, const std::string &other) const
{
    static const std::string NodeNetwork = "10.2.";
    const bool areNodes = host.rfind(NodeNetwork, 0) == 0 && other.rfind(NodeNetwork, 0) == 0;
    if (areNodes && (isOneOf(nodesWithoutPeers, host) || isOneOf(nodesWithoutPeers, other)))
        return true;
    if (!m_cutZone)
        return false;
    const auto zone = m_zoneOfHost.find(host);
    const auto otherZone = m_zoneOfHost.find(other);
    // Callers reach the nodes of all zones.
    if (zone == m_zoneOfHost.end() || otherZone == m_zoneOfHost.end())
        return false;
    return (zone->second == *m_cutZone) != (otherZone->second == *m_cutZone);
}

void EntryFleet::startNode(std::size_t index)
{
    const std::string host = addressOf(index);
    m_zoneOfHost[host] = zoneOf(index).text();
    EntrySettings settings;
    settings.vm = VmId("n" + std::to_string(index));
    settings.zone = zoneOf(index);
    settings.callers = {host, CallersPort};
    settings.readiness = {host, ReadinessPort};
    settings.peers = {host, PeersPort};
    settings.peerKey = "a key of tests";
    settings.retrySlack = m_options.retrySlack;
    settings.maxKeyAge = m_options.maxKeyAge;
    if (m_options.coldPerSecond > 0 || m_options.isPaceLearnt)
        settings.coldBound = m_options.coldBound;
    settings.randomSeed = random.next64();
    settings.incarnation = ++m_lastIncarnation;
    RunningNode &running = m_nodes[index];
    running.loop = std::make_unique<SimEventLoop>(net, host);
    running.alive = std::make_shared<bool>(true);
    EntryBindings own = bindings(running, host);
    running.node = std::move(EntryNode::create(settings, std::move(own), *running.loop).value());
}

void EntryFleet::killNode(std::size_t index)
{
    m_nodes[index].alive.reset();
    m_nodes[index].node.reset();
    m_nodes[index].loop.reset();
}

void EntryFleet::restartAllNodes(Duration outage)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        killNode(i);
    run(outage);
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        startNode(i);
}

void EntryFleet::pauseNode(std::size_t index)
{
    m_nodes[index].loop->nodeTimers().pause();
}

void EntryFleet::resumeNode(std::size_t index, bool areTimersFirst)
{
    m_nodes[index].loop->nodeTimers().resume(areTimersFirst);
}

void EntryFleet::publish(std::uint64_t version, bool hasKey)
{
    publishText(std::to_string(version) + (hasKey ? "" : WithoutKey));
}

void EntryFleet::publishWithoutOrganisations(std::uint64_t version)
{
    publishText(std::to_string(version) + WithoutOrganisations);
}

std::vector<std::size_t> EntryFleet::readersOf(const ZoneName &zone) const
{
    std::vector<std::size_t> nodes;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (zoneOf(i) == zone)
            nodes.push_back(i);
    }
    std::sort(nodes.begin(), nodes.end(), [](std::size_t a, std::size_t b) {
        return stableHash("n" + std::to_string(a)) < stableHash("n" + std::to_string(b));
    });
    return nodes;
}

static absl::StatusOr<CatalogContent> readCatalog(const std::string &text)
{
    CatalogContent content;
    content.version = std::stoull(text);
    CatalogRoute route;
    route.host = std::string("h");
    const auto add = [&](const char *prefix, RetrySemantics rule, const char *service) {
        route.pathPrefix = prefix;
        route.rule = rule;
        route.services = {{service, 1}};
        content.routes.push_back(route);
    };
    route.timeout = std::chrono::seconds(3);
    route.latencyObjective = std::chrono::milliseconds(300);
    add("/once/", RetrySemantics::AtMostOnce, "plain");
    route.maxTargets = 2;
    add("/safe/", RetrySemantics::Idempotent, "plain");
    route.maxTargets = 1;
    route.timeout = std::chrono::seconds(20);
    route.latencyObjective = EntryFleet::TimelyStart;
    add("/stream/", RetrySemantics::Stream, "engines");
    route.maxTargets = 2;
    add("/resumable/", RetrySemantics::ResumableStream, "engines");
    CatalogService engines;
    engines.name = std::string("engines");
    engines.engine = EngineCapabilities{8, 30000, true, true};
    CatalogService plain;
    plain.name = std::string("plain");
    content.services = {engines, plain};
    const bool hasKey = text.find(WithoutKey) == std::string::npos;
    const bool hasOrganisations = text.find(WithoutOrganisations) == std::string::npos;
    content.organisations.emplace();
    if (hasOrganisations)
        content.organisations->push_back({"o", std::nullopt, {hasKey ? "key" : "another"}});
    return content;
}

static absl::StatusOr<TargetEntry> readTarget(const std::string &text)
{
    const absl::StatusOr<Json::Value> json = parseJson(text);
    if (!json.ok())
        return json.status();
    TargetEntry entry;
    entry.service = (*json)["service"].asString();
    entry.zone = ZoneName((*json)["zone"].asString());
    entry.endpoint = *Endpoint::parse((*json)["endpoint"].asString());
    entry.isLeaving = (*json)["leaving"].asBool();
    entry.startedAt = (*json)["born"].asUInt64();
    entry.coldRemaining = std::chrono::milliseconds((*json)["cold_left_ms"].asInt64());
    return entry;
}

static absl::StatusOr<CallerRequest> readRequest(const HttpRequest &request)
{
    CallerRequest caller;
    caller.id = RequestId(std::string(findHeader(request.headers, "id").value_or("")));
    caller.host = std::string("h");
    const std::string_view key =
            findHeader(request.headers, EntryFleet::KeyHeader).value_or(EntryFleet::CallersKey);
    if (key != EntryFleet::NoKey)
        caller.key = std::string(key);
    if (request.path.rfind("/stream/", 0) == 0 || request.path.rfind("/resumable/", 0) == 0) {
        caller.promptTokens = 1000;
        caller.maxTokens = 1000;
    }
    std::string_view parts = findHeader(request.headers, PartsHeader).value_or("");
    for (std::size_t comma = parts.find(','); comma != std::string_view::npos;
         comma = parts.find(',')) {
        caller.sharedPromptParts.push_back(stableHash(std::string(parts.substr(0, comma))));
        parts.remove_prefix(comma + 1);
    }
    return caller;
}

static HttpRequest writeSend(const HttpRequest &request, const TargetSend &send)
{
    HttpRequest sent{request.method, request.path, {{"target", send.target.text()}}, request.body};
    sent.headers.push_back({"id", std::string(findHeader(request.headers, "id").value_or(""))});
    if (const auto parts = findHeader(request.headers, PartsHeader))
        sent.headers.push_back({PartsHeader, std::string(*parts)});
    if (send.resume)
        sent.headers.push_back({"last-event", std::to_string(send.resume->lastEvent)});
    if (send.resume && send.resume->copy)
        sent.headers.push_back({"copy", send.resume->copy->handle});
    return sent;
}

static RelayAnswerHead readAnswerHead(const HttpResponseHead &head, const RequestId &)
{
    RelayAnswerHead answer;
    answer.status = head.status;
    answer.isSigned = true;
    answer.isTargetReplaced = head.status == 421;
    answer.isNotRun = findHeader(head.headers, "not-run").has_value();
    answer.isTargetLeaving = findHeader(head.headers, "leaving").has_value();
    if (const auto milliseconds = findHeader(head.headers, "retry-after"))
        answer.retryAfter = std::chrono::milliseconds(std::stoll(std::string(*milliseconds)));
    if (const auto limit = findHeader(head.headers, "limit")) {
        double perSecond = 0;
        answer.limit.kind = absl::SimpleAtod(std::string(*limit), &perSecond)
                                    ? LimitNotice::Kind::Named
                                    : LimitNotice::Kind::Unreadable;
        answer.limit.perSecond = perSecond;
    }
    return answer;
}

static RunStopAnswer readStop(const HttpResponse &response)
{
    switch (response.head.status) {
    case 200:
        if (response.body != CopyHandle)
            return {RunStopResult::Unknown, {}};
        return {RunStopResult::Stopped, CopyHandle};
    case 404:
        return {RunStopResult::NoSuchRun, {}};
    case 409:
        return {RunStopResult::Busy, {}};
    default:
        return {RunStopResult::Refused, {}};
    }
}

KeyedTopicHooks EntryFleet::topicHooks(const RunningNode &running, const std::string &host,
                                       const std::string &topic)
{
    return m_options.storeReader ? m_options.storeReader(*running.loop, topic)
                                 : store.topic(topic, host);
}

EntryBindings EntryFleet::bindings(const RunningNode &running, const std::string &host)
{
    const std::weak_ptr<bool> alive = running.alive;
    EntryBindings bindings;
    bindings.readRequest = &readRequest;
    bindings.writeSend = &writeSend;
    bindings.readAnswerHead = &readAnswerHead;
    bindings.writeRefusal = [](const EntryRefusal &refusal) {
        const auto retryAfter =
                std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retryAfter);
        return HttpResponseHead{refusal.status,
                                {{"content-length", "0"},
                                 {"reason", std::string(refusal.reason)},
                                 {"retry-after", std::to_string(retryAfter.count())}}};
    };
    bindings.writeCopy = [](const RequestId &run, const Endpoint &) {
        return HttpRequest{"POST", CopyPath, {{"id", run.text()}}, {}};
    };
    bindings.readCopy = [](const HttpResponse &response) -> absl::StatusOr<std::string> {
        if (response.body != CopyHandle)
            return makeError(ErrorCode::TargetRefused, "no copies are made");
        return response.body;
    };
    bindings.writeStop = [](const RequestId &run, const Endpoint &) {
        return HttpRequest{"POST", StopPath, {{"id", run.text()}}, {}};
    };
    bindings.readStop = &readStop;
    bindings.writeDropCopy = [](const std::string &) { return HttpRequest{"DELETE", "/", {}, {}}; };
    bindings.writeReportCall = [] { return HttpRequest{"GET", "/report", {}, {}}; };
    bindings.readIsLeaving = [](const HttpResponse &response) {
        return findHeader(response.head.headers, "leaving").has_value();
    };
    bindings.readinessPath = "/ready";
    bindings.catalogTopic = topicHooks(running, host, CatalogTopic);
    bindings.targetsTopic = topicHooks(running, host, TargetsTopic);
    bindings.rosterTopic = topicHooks(running, host, RosterTopic);
    bindings.writeRoster = [this, host, alive](const std::string &key,
                                               const std::optional<std::string> &value,
                                               std::function<void(const absl::Status &)> callback) {
        store.appendFrom(host, RosterTopic, key, value,
                         [alive, callback = std::move(callback)](const absl::Status &status) {
                             if (!alive.expired())
                                 callback(status);
                         });
    };
    bindings.unixMilliseconds = [this] {
        const Duration elapsed = timers.now().time_since_epoch();
        return static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
    };
    bindings.catalogKey = "config";
    bindings.readEvacuation = [](const std::string &key) -> std::optional<ZoneName> {
        const std::string prefix = EvacuationPrefix;
        if (!key.starts_with(prefix) || key == prefix)
            return std::nullopt;
        return ZoneName(key.substr(prefix.size()));
    };
    bindings.readCatalog = m_options.readCatalog ? m_options.readCatalog : &readCatalog;
    if (m_options.coldPerSecond > 0) {
        bindings.readCatalog = [this](const std::string &text) {
            absl::StatusOr<CatalogContent> content = readCatalog(text);
            for (CatalogService &service : content->services) {
                service.coldPerSecond = m_options.coldPerSecond;
                service.coldTime = std::chrono::seconds(2);
            }
            return content;
        };
    }
    bindings.readTarget = m_options.readTarget ? m_options.readTarget : &readTarget;
    return bindings;
}

// Returns whether the events of a stream, if any, are numbered 1, 2, 3 and so on.
static bool areEventsInOrder(const std::string &body)
{
    std::size_t at = 0;
    for (std::uint32_t number = 1; at < body.size(); ++number) {
        const std::string event = "id: " + std::to_string(number) + "\ndata: x\n\n";
        if (body.compare(at, 2, "id") != 0)
            return number == 1;
        if (body.compare(at, event.size(), event) != 0)
            return false;
        at += event.size();
    }
    return true;
}

void EntryFleet::request(std::size_t index, HttpRequest request, Tally &tally,
                         std::function<void(bool hasBegun)> onEnd)
{
    const std::uint64_t number = ++m_lastCaller;
    ++tally.open;
    HttpCallOptions options;
    options.endpoint = {addressOf(index), CallersPort};
    HttpCallHooks hooks;
    hooks.onHead = [this, number](const HttpResponseHead &head) {
        m_callers[number].status = head.status;
        m_callers[number].reason = std::string(findHeader(head.headers, "reason").value_or(""));
        m_callers[number].retryAfter = std::chrono::milliseconds(
                std::stoll(std::string(findHeader(head.headers, "retry-after").value_or("0"))));
    };
    hooks.onBody = [this, number, &tally](std::string_view part) {
        Caller &caller = m_callers[number];
        caller.firstPartAt = caller.firstPartAt.value_or(timers.now());
        if (!caller.body.empty())
            tally.longestPause = std::max(tally.longestPause, timers.now() - caller.lastPartAt);
        caller.lastPartAt = timers.now();
        caller.body += part;
    };
    hooks.onEnd = [this, number, &tally, onEnd = std::move(onEnd)](const absl::Status &status) {
        if (onEnd)
            onEnd(m_callers[number].firstPartAt.has_value());
        tally.disordered += areEventsInOrder(m_callers[number].body) ? 0 : 1;
        const int code = m_callers[number].status;
        --tally.open;
        if (m_callers[number].reason == errorName(ErrorCode::PoisonousRequest))
            ++tally.refusedAsPoisonous;
        if (status.ok() && code == 200) {
            ++tally.served;
            const Caller &caller = m_callers[number];
            if (caller.firstPartAt && *caller.firstPartAt - caller.sentAt <= TimelyStart)
                ++tally.servedInTime;
        } else if (status.ok() && code == 503) {
            ++tally.refused;
            tally.retryAfters.push_back(m_callers[number].retryAfter);
            tally.slowestRefusal =
                    std::max(tally.slowestRefusal, timers.now() - m_callers[number].sentAt);
        } else {
            ++tally.failed;
        }
        timers.scheduleAfter(Duration::zero(), [this, number] { m_callers.erase(number); });
    };
    m_callers[number].sentAt = timers.now();
    request.headers.push_back({"id", "r" + std::to_string(number)});
    m_callers[number].call = net.send(CallersHost, options, std::move(request), std::move(hooks));
}

std::size_t EntryFleet::randomReadyNode()
{
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].node && m_nodes[i].node->isReady())
            ready.push_back(i);
    }
    return ready.empty() ? 0 : ready[random.uniformBelow(ready.size())];
}

void EntryFleet::repeatPoison(const std::string &path, Duration gap, Duration span,
                              std::size_t copies)
{
    if (span < Duration::zero())
        return;
    for (std::size_t i = 0; i < copies; ++i)
        request(randomReadyNode(), "POST", path, std::string(PoisonMark) + " " + path, poison);
    timers.scheduleAfter(
            gap, [this, path, gap, span, copies] { repeatPoison(path, gap, span - gap, copies); });
}

void EntryFleet::replaceNodes(Duration gap, Duration span, std::size_t next)
{
    if (span < gap)
        return;
    killNode(next);
    timers.scheduleAfter(gap / 2, [this, next] { startNode(next); });
    timers.scheduleAfter(gap, [this, gap, span, next] {
        replaceNodes(gap, span - gap, (next + 1) % m_nodes.size());
    });
}

void EntryFleet::startInnocents(Duration gapPerNode, Duration span)
{
    const TimePoint until = timers.now() + span;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        timers.scheduleAfter(random.jitter(gapPerNode), [this, i, gapPerNode, until] {
            repeatInnocents(i, gapPerNode, until);
        });
    }
}

void EntryFleet::repeatInnocents(std::size_t index, Duration gap, TimePoint until)
{
    if (timers.now() >= until)
        return;
    static constexpr const char *Paths[] = {"/safe/x", "/once/x", "/stream/x"};
    const char *const path = Paths[random.uniformBelow(3)];
    if (m_nodes[index].node)
        request(index, "POST", path, "body " + std::to_string(random.next64()), innocents);
    timers.scheduleAfter(gap, [this, index, gap, until] { repeatInnocents(index, gap, until); });
}

std::size_t EntryFleet::resumedRuns() const
{
    std::size_t resumed = 0;
    for (const std::unique_ptr<SimServer> &server : servers) {
        resumed += static_cast<std::size_t>(
                std::count_if(server->runs().begin(), server->runs().end(),
                              [](const SimRun &run) { return run.isResumed; }));
    }
    return resumed;
}

std::vector<SimOverlap> EntryFleet::overlaps() const
{
    std::map<std::string, std::vector<const SimRun *>> runs;
    for (const std::unique_ptr<SimServer> &server : servers) {
        for (const SimRun &run : server->runs()) {
            if (!run.id.empty())
                runs[run.id].push_back(&run);
        }
    }
    std::vector<SimOverlap> overlaps;
    for (const auto &[id, all] : runs) {
        for (const SimRun *later : all) {
            for (const SimRun *earlier : all) {
                if (!later->isResumed || earlier->begunAt >= later->begunAt)
                    continue;
                const TimePoint end = earlier->endedAt.value_or(timers.now());
                if (end > later->begunAt)
                    overlaps.push_back({id, later->host, later->begunAt, end});
            }
        }
    }
    return overlaps;
}

Duration EntryFleet::longestOverlap() const
{
    Duration longest{0};
    for (const SimOverlap &overlap : overlaps())
        longest = std::max(longest, overlap.until - overlap.from);
    return longest;
}

std::size_t EntryFleet::arrivalsAfterThirdCrash(const std::string &path, Duration slack)
{
    constexpr std::size_t BoundedCrashes = 3;
    const SimPoisonLog &record = poisonLogs[path];
    if (record.crashes.size() < BoundedCrashes)
        return 0;
    const TimePoint from = record.crashes[BoundedCrashes - 1] + slack;
    return static_cast<std::size_t>(
            std::count_if(record.arrivals.begin(), record.arrivals.end(),
                          [from](const SimArrival &arrival) { return arrival.when > from; }));
}

} // namespace currantwalk
