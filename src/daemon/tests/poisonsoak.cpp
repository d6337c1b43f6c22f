#include "daemon/tests/poisonsoak.h"

#include <algorithm>

namespace currantwalk {

using namespace std::chrono_literals;

// From the users' rules.
static constexpr Duration Window = 3s;
static constexpr std::size_t ToleratedCrashes = 3;
static constexpr std::size_t ToleratedArrivals = 3;
static constexpr Duration LeavingSlack = 2s;
static constexpr Duration HoldOffSlack = 500ms;
static constexpr std::size_t ToleratedHeldOff = 2;
static constexpr Duration MaxOverlap = 400ms;
static constexpr Duration RevokeTime = 5s;
// The longest time-out of a route, and some more.
static constexpr Duration Rundown = 30s;
static constexpr Duration LookalikeGap = 100ms;

PoisonSoak::PoisonSoak(std::uint64_t seed, std::size_t nodes) : PoisonSoak(seed, nodes, Variation())
{
}

PoisonSoak::PoisonSoak(std::uint64_t seed, std::size_t nodes, const Variation &variation)
    : m_random(seed),
      m_limitRandom(seed ^ 0x4c),
      m_platformRandom(seed ^ 0x7e),
      m_answerRandom(seed ^ 0xa5),
      m_callRandom(seed ^ 0xc1),
      m_variation(variation),
      m_fleet(fleetOptions(seed, nodes)),
      m_parts(m_fleet, partOptions(),
              {[this](const std::string &host, TimePoint when) { return isInTouch(host, when); },
               [this](const std::string &host, TimePoint when) { return isCalm(host, when); }})
{
    m_fleet.net.extraDelay = [this](const std::string &, const std::string &to) {
        constexpr Duration HeldUp = 700ms;
        return m_heldUp.contains(to) ? HeldUp : Duration::zero();
    };
    const Duration crashDelay = 2ms + m_random.jitter(100ms);
    const bool doPortsChange = m_random.chance(0.3);
    const bool doCrashesComeLate = m_random.chance(0.3);
    for (const std::unique_ptr<SimServer> &server : m_fleet.servers) {
        server->options.restartAfter = 1500ms + m_random.jitter(3s);
        server->options.crashDelay = crashDelay;
        server->options.changesPort = doPortsChange;
        if (server->options.events == 0)
            continue;
        server->options.events = 10 + static_cast<std::uint32_t>(m_random.uniformBelow(90));
        server->options.eventsBeforeCrash =
                doCrashesComeLate ? static_cast<std::uint32_t>(m_random.uniformBelow(8)) : 0;
    }
}

std::string PoisonSoak::findLateArrivals() const
{
    const SimExcuse isExcused = [this](const std::string &host, TimePoint from, TimePoint until) {
        return std::any_of(m_disruptions.begin(), m_disruptions.end(), [&](const Disruption &each) {
            const bool isMeant = each.host.empty() || each.host == host;
            return isMeant && each.concern != Concern::Servers && each.from <= until
                   && from <= each.until + Window;
        });
    };
    std::size_t late = 0;
    for (const std::unique_ptr<SimServer> &server : m_fleet.servers)
        late += server->arrivalsAfterRemoval(LeavingSlack, isExcused);
    return late == 0 ? "" : "servers got " + std::to_string(late) + " requests after removal; ";
}

std::string PoisonSoak::findOverlaps() const
{
    for (const SimOverlap &overlap : m_fleet.overlaps()) {
        const bool isExcused = isDisturbed(overlap.host, overlap.from - Window, overlap.until);
        if (overlap.until - overlap.from > MaxOverlap && !isExcused)
            return "request " + overlap.id + " ran on at the server before; ";
    }
    return {};
}

// All nodes are bound, whatever has happened to them.
std::string PoisonSoak::findRunsWithoutKey()
{
    m_fleet.publishWithoutOrganisations(2);
    m_fleet.run(RevokeTime);
    const auto arrivals = [this] {
        std::size_t sum = 0;
        for (const std::unique_ptr<SimServer> &server : m_fleet.servers)
            sum += server->arrivals().size();
        return sum;
    };
    const std::size_t before = arrivals();
    EntryFleet::Tally tally;
    for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i) {
        if (m_fleet.isUp(i))
            m_fleet.request(i, "POST", "/once/x", "body " + std::to_string(i), tally);
    }
    m_fleet.run(5s);
    const std::size_t runs = arrivals() - before;
    return runs == 0 ? "" : std::to_string(runs) + " requests ran with a revoked key; ";
}

PromptPartLoad::Options PoisonSoak::partOptions()
{
    PromptPartLoad::Options options;
    options.path = m_random.chance(0.5) ? "/stream/parts" : "/resumable/parts";
    options.place =
            m_random.chance(0.5) ? PromptPartLoad::Place::First : PromptPartLoad::Place::Second;
    options.crashShare = m_random.chance(0.5) ? 1 : 0.4 + 0.6 * m_random.uniform();
    options.repeatShare = m_random.chance(0.5) ? 0 : m_random.uniform();
    options.soundGap = 50ms + m_random.jitter(100ms);
    options.poisonGap = 150ms + m_random.jitter(600ms);
    options.calmTime = 5s + m_random.jitter(10s);
    options.span = Span - options.calmTime;
    return options;
}

EntryFleet::Options PoisonSoak::fleetOptions(std::uint64_t seed, std::size_t nodes)
{
    RandomSource random(seed ^ 0x50);
    EntryFleet::Options options;
    options.seed = seed;
    options.nodes = 3 + random.uniformBelow(10);
    if (random.chance(0.1))
        options.nodes = 30;
    if (random.chance(0.02))
        options.nodes = 90;
    if (nodes != 0) {
        options.nodes = nodes;
        options.zones = std::max<std::size_t>(3, nodes / 12);
        options.generationServers = std::max<std::size_t>(14, nodes / 2);
    }
    options.plainServers = std::max<std::size_t>(options.zones, 3 + random.uniformBelow(4));
    options.crash = random.chance(0.3) ? SimEnd::Silent : SimEnd::Reset;
    options.doServersKeepIds = random.chance(0.3);
    options.storeEra = 1;
    return options;
}

void PoisonSoak::note(const std::string &host, Duration span, Concern concern)
{
    m_disruptions.push_back({host, m_fleet.timers.now(), m_fleet.timers.now() + span, concern});
}

void PoisonSoak::restart(std::size_t node, Duration downTime)
{
    if (!m_fleet.isUp(node))
        return;
    noteNode(node, downTime);
    m_fleet.killNode(node);
    m_fleet.timers.scheduleAfter(downTime, [this, node] { m_fleet.startNode(node); });
}

void PoisonSoak::disturb()
{
    const std::size_t node = m_random.uniformBelow(m_fleet.nodeCount());
    const Duration span = 500ms + m_random.jitter(3500ms);
    switch (m_random.uniformBelow(4)) {
    case 0:
        disturbNode(node, span);
        break;
    case 1:
        disturbServers(span);
        break;
    case 2:
        disturbStore(span);
        break;
    default:
        note("", span);
        m_fleet.cutZone(m_fleet.zoneOf(node).text());
        m_fleet.timers.scheduleAfter(span, [this] { m_fleet.cutZone(std::nullopt); });
        break;
    }
}

void PoisonSoak::disturbNode(std::size_t node, Duration span)
{
    switch (m_random.uniformBelow(6)) {
    case 0:
        restart(node, span);
        break;
    case 1:
        for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i) {
            if (m_random.chance(0.6))
                restart(i, span);
        }
        break;
    case 2:
        noteNode(node, span);
        m_fleet.nodesWithoutStore.insert(node);
        m_fleet.timers.scheduleAfter(span, [this, node] { m_fleet.nodesWithoutStore.erase(node); });
        break;
    case 3:
        m_fleet.nodesWithoutPeers.insert(node);
        m_fleet.timers.scheduleAfter(span, [this, node] { m_fleet.nodesWithoutPeers.erase(node); });
        break;
    case 4:
        if (!m_fleet.isUp(node))
            return;
        noteNode(node, span);
        m_fleet.pauseNode(node);
        m_fleet.timers.scheduleAfter(span, [this, node] {
            if (m_fleet.isUp(node))
                m_fleet.resumeNode(node);
        });
        break;
    default:
        noteNode(node, span);
        m_heldUp.insert(m_fleet.addressOf(node));
        m_fleet.timers.scheduleAfter(
                span, [this, host = m_fleet.addressOf(node)] { m_heldUp.erase(host); });
        break;
    }
}

void PoisonSoak::disturbServers(Duration span)
{
    SimServer &server = *m_fleet.servers[m_random.uniformBelow(m_fleet.servers.size())];
    note("", span, Concern::Servers);
    switch (m_random.uniformBelow(8)) {
    case 0:
        server.crash(m_random.chance(0.5) ? SimEnd::Reset : SimEnd::Silent);
        break;
    case 1:
        for (const std::unique_ptr<SimServer> &each : m_fleet.servers) {
            if (each->options.service == server.options.service)
                each->crash(SimEnd::Reset);
        }
        break;
    case 2:
        server.leave();
        break;
    case 3:
        server.resetConnections();
        break;
    case 4:
        server.options.errorShare = 0.3;
        m_fleet.timers.scheduleAfter(span, [&server] { server.options.errorShare = 0; });
        break;
    case 5:
        server.options.leavingShare = 0.3 + 0.7 * m_random.uniform();
        m_fleet.timers.scheduleAfter(span, [this, &server] {
            server.crash(SimEnd::Reset);
            // Its next start does not leave.
            server.options.leavingShare = 0;
        });
        break;
    case 6:
        turnRequestsAway(server, span);
        break;
    default:
        server.options.resetShare = 0.4;
        m_fleet.timers.scheduleAfter(span, [&server] { server.options.resetShare = 0; });
        break;
    }
}

void PoisonSoak::turnRequestsAway(const SimServer &server, Duration span)
{
    const bool isOfAll = m_random.chance(0.3);
    const Duration holdOff = 600ms + m_random.jitter(3s);
    for (const std::unique_ptr<SimServer> &each : m_fleet.servers) {
        const bool isMeant = each.get() == &server
                             || (isOfAll && each->options.service == server.options.service);
        if (!isMeant)
            continue;
        each->options.holdOff = holdOff;
        each->options.turnAwayShare = 0.5 + 0.5 * m_random.uniform();
        m_fleet.timers.scheduleAfter(span, [&each] { each->options.turnAwayShare = 0; });
    }
}

void PoisonSoak::disturbStore(Duration span)
{
    note("", span, Concern::Store);
    SimStore &store = m_fleet.store;
    switch (m_random.uniformBelow(5)) {
    case 0:
        m_fleet.setStoreUp(false);
        m_fleet.timers.scheduleAfter(span, [this] { m_fleet.setStoreUp(true); });
        break;
    case 1:
        store.latency = 300ms + m_random.jitter(600ms);
        m_fleet.timers.scheduleAfter(span, [&store] { store.latency = 4ms; });
        break;
    case 2:
        store.isBusy = true;
        m_fleet.timers.scheduleAfter(span, [&store] { store.isBusy = false; });
        break;
    case 3:
        for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i) {
            if (m_random.chance(0.5))
                store.unanswered.insert(m_fleet.addressOf(i));
        }
        m_fleet.timers.scheduleAfter(span, [&store] { store.unanswered.clear(); });
        break;
    default:
        store.restore(m_random.jitter(4s));
        break;
    }
}

// Harmless requests that have the method, path and organisation of a poisonous one.
void PoisonSoak::sendLookalikes(Duration span)
{
    if (span < Duration::zero())
        return;
    const std::string &path = m_paths[m_random.uniformBelow(m_paths.size())];
    m_fleet.request(m_fleet.randomReadyNode(), "POST", path,
                    "harmless " + std::to_string(m_random.next64()), m_fleet.innocents);
    m_fleet.timers.scheduleAfter(LookalikeGap,
                                 [this, span] { sendLookalikes(span - LookalikeGap); });
}

bool PoisonSoak::isInTouch(const std::string &host, TimePoint when) const
{
    return std::none_of(m_disruptions.begin(), m_disruptions.end(), [&](const Disruption &each) {
        const bool isMeant = each.host.empty() || each.host == host;
        return isMeant && each.concern != Concern::Servers && each.from <= when
               && when <= each.until + Window;
    });
}

// Only what concerns the node itself excuses it.
bool PoisonSoak::isBoundByLimits(const std::string &host, TimePoint when) const
{
    return std::none_of(m_disruptions.begin(), m_disruptions.end(), [&](const Disruption &each) {
        const bool isMeant = each.host.empty() || each.host == host;
        return isMeant && each.concern == Concern::Nodes && each.from <= when
               && when <= each.until + Window;
    });
}

// Servers that ended are back some seconds later.
bool PoisonSoak::isCalm(const std::string &host, TimePoint when) const
{
    constexpr Duration Recovery = 6s;
    return std::none_of(m_disruptions.begin(), m_disruptions.end(), [&](const Disruption &each) {
        const bool isMeant = each.host.empty() || each.host == host;
        return isMeant && each.from <= when + Window && when <= each.until + Recovery;
    });
}

bool PoisonSoak::isDisturbed(const std::string &host, TimePoint from, TimePoint until) const
{
    return std::any_of(m_disruptions.begin(), m_disruptions.end(), [&](const Disruption &each) {
        const bool isMeant = each.host.empty() || each.host == host;
        return isMeant && each.concern == Concern::Nodes && each.from <= until
               && from <= each.until;
    });
}

std::string PoisonSoak::findServerViolations() const
{
    const SimExcuse isExcused = [this](const std::string &host, TimePoint from, TimePoint until) {
        return isDisturbed(host, from, until);
    };
    std::string violations;
    for (const std::unique_ptr<SimServer> &server : m_fleet.servers) {
        const std::size_t heldOff = server->arrivalsWhileHeldOff(HoldOffSlack, isExcused);
        if (heldOff > ToleratedHeldOff)
            violations +=
                    "a server that wanted nothing got " + std::to_string(heldOff) + " requests; ";
        const double beyond = server->arrivalsBeyondLimit(
                [this](const std::string &host, TimePoint, TimePoint when) {
                    return !isBoundByLimits(host, when);
                });
        if (beyond > 0)
            violations += "a server got " + std::to_string(beyond)
                          + " requests more than its limit allows; ";
        if (const std::size_t late = server->arrivalsAfterLeaving(LeavingSlack, isExcused))
            violations += "a leaving server got " + std::to_string(late) + " requests; ";
    }
    return violations;
}

std::size_t PoisonSoak::lateArrivals(const SimPoisonLog &log) const
{
    if (log.crashes.size() < ToleratedCrashes)
        return 0;
    const TimePoint from = log.crashes[ToleratedCrashes - 1] + Window;
    return static_cast<std::size_t>(
            std::count_if(log.arrivals.begin(), log.arrivals.end(), [&](const SimArrival &arrival) {
                return arrival.when > from && isInTouch(arrival.host, arrival.when);
            }));
}

std::uint64_t PoisonSoak::digest() const
{
    std::uint64_t digest = 0;
    for (const std::unique_ptr<SimServer> &server : m_fleet.servers) {
        for (const SimArrival &arrival : server->arrivals())
            digest = stableHash(arrival.host + ' ' + std::to_string(arrival.start) + ' '
                                        + std::to_string(arrival.when.time_since_epoch().count()),
                                digest);
    }
    return digest;
}

PoisonSoak::Report PoisonSoak::run()
{
    const std::size_t requests = 1 + m_random.uniformBelow(3);
    for (std::size_t i = 0; i < requests; ++i) {
        static constexpr const char *Paths[] = {"/safe/p", "/once/p", "/stream/p"};
        m_paths.push_back(Paths[m_random.uniformBelow(3)] + std::to_string(i));
        const std::size_t copies = m_random.chance(0.3) ? 1 + m_random.uniformBelow(4) : 1;
        m_fleet.repeatPoison(m_paths.back(), 200ms + m_random.jitter(800ms), Span, copies);
    }
    m_fleet.startInnocents(150ms, Span);
    sendLookalikes(Span);
    m_parts.start();
    if (m_variation.limits)
        nameLimits(Span);
    if (m_variation.platform)
        varyPlatform();
    if (m_variation.answers)
        varyAnswers();
    if (m_variation.calls)
        varyCalls();
    // Where disruptions are rare, nodes are in touch for longer, and more is asked of them.
    const Duration maxPause = m_random.chance(0.5) ? 3s : 15s;
    for (Duration elapsed(0); elapsed < Span;) {
        const Duration pause = m_random.jitter(maxPause);
        m_fleet.run(pause);
        elapsed += pause;
        disturb();
    }
    m_fleet.run(Rundown);

    Report report;
    const PromptPartLoad::Verdict parts = m_parts.judge();
    report.partCrashes = parts.crashes;
    report.latePartArrivals = parts.lateArrivals;
    report.soundBefore = parts.before;
    report.soundAfter = parts.after;
    report.violation += parts.violation;
    for (const std::string &path : m_paths) {
        const SimPoisonLog &log = m_fleet.poisonLogs[path];
        report.crashes = std::max(report.crashes, log.crashes.size());
        report.lateArrivals = std::max(report.lateArrivals, lateArrivals(log));
        if (lateArrivals(log) > ToleratedArrivals)
            report.violation += path + " reached servers " + std::to_string(lateArrivals(log))
                                + " times after it should have been refused; ";
    }
    report.violation += findServerViolations();
    if (m_variation.platform || m_variation.calls)
        report.violation += findOverlaps();
    if (m_variation.calls)
        report.violation += findLateArrivals();
    if (m_variation.platform)
        report.violation += findRunsWithoutKey();
    if (m_fleet.poison.served > 0)
        report.violation += "a poisonous request was served; ";
    if (m_fleet.poison.open + m_fleet.innocents.open > 0)
        report.violation += "requests were not answered; ";
    report.digest = digest();
    report.served = m_fleet.innocents.served;
    report.refusedAsPoisonous = m_fleet.innocents.refusedAsPoisonous;
    return report;
}

} // namespace currantwalk
