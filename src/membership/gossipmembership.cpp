#include "membership/gossipmembership.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "membership/zonelinks.h"

namespace currantwalk {

constexpr std::uint32_t TicksPerInterval = 4;
constexpr std::uint32_t TicksPerCleanup = 64 * TicksPerInterval;
constexpr std::size_t IndirectProbes = 3;
constexpr std::size_t SeedsPerEagerContact = 3;
constexpr std::ptrdiff_t MaxSeeds = 512;
constexpr double SeedContactProbability = 0.2; ///< Per interval, for an absent seed or dead member.
constexpr double SuspectPingsPerInterval = 3;  ///< Sent by all nodes of the zone.
constexpr Duration MaxAckAge = std::chrono::seconds(30);
constexpr Duration EagerContactPeriod = std::chrono::seconds(10); ///< After the start.
constexpr Duration UnreachableZoneRetention = std::chrono::minutes(10);
const std::string HeartbeatKey = "heartbeat";

std::unique_ptr<Membership> Membership::create(const Options &options, Hooks hooks,
                                               TimerService &timers, RandomSource &random)
{
    return std::make_unique<GossipMembership>(options, std::move(hooks), timers, random);
}

GossipMembership::GossipMembership(const Options &options, Hooks hooks, TimerService &timers,
                                   RandomSource &random)
    : m_options(options),
      m_hooks(std::move(hooks)),
      m_timers(timers),
      m_random(random),
      m_self(options.self),
      m_budget(options.bytesPerSecond, timers.now())
{
    assert(!m_self.vm.isEmpty() && !m_self.zone.empty() && "node without an id or zone");
    m_self.state = MemberState::Alive;
    m_self.changedAt = timers.now();
    m_table.put(m_self);
    GossipMembership::addSeeds(options.seeds);
}

GossipMembership::~GossipMembership()
{
    m_timers.cancel(m_tickTimer);
    for (const TimerId id : m_pendingTimers)
        m_timers.cancel(id);
}

void GossipMembership::subscribe(Duration delay, std::function<void()> callback)
{
    // The id is known only after the subscription, so the callback reads it through a shared
    // pointer.
    const auto id = std::make_shared<TimerId>(NoTimer);
    *id = m_timers.scheduleAfter(delay, [this, id, callback = std::move(callback)] {
        m_pendingTimers.erase(*id);
        callback();
    });
    m_pendingTimers.insert(*id);
}

void GossipMembership::start()
{
    m_startedAt = m_timers.now();
    contactSeeds();
    const Duration phase = m_random.jitter(m_options.probeInterval / TicksPerInterval);
    m_nextTickAt = m_timers.now() + phase;
    m_tickTimer = m_timers.scheduleAt(m_nextTickAt, [this] { tick(); });
}

void GossipMembership::tick()
{
    if (m_hasLeft)
        return;
    const bool isDelayed = handleDelayedTick();
    if (!isDelayed)
        expireSuspicions();
    probeSuspects();
    if (++m_ticks % TicksPerInterval == 0) {
        updateLinks();
        probeNext();
        pingLinks();
        contactSeeds();
        advanceHeartbeat();
        updateReachability();
        if (m_ticks % TicksPerCleanup == 0)
            m_table.removeExpired(m_timers.now());
        m_probes.removeRelayedBefore(m_timers.now() - m_options.probeInterval);
    }
    m_nextTickAt = m_timers.now() + m_options.probeInterval / TicksPerInterval;
    m_tickTimer = m_timers.scheduleAt(m_nextTickAt, [this] { tick(); });
}

// A node that was paused missed the answers to its pings and must not suspect others because of it.
bool GossipMembership::handleDelayedTick()
{
    const TimePoint now = m_timers.now();
    if (now - m_nextTickAt < m_options.probeInterval)
        return false;
    m_probes.clear();
    for (auto &[vm, deadline] : m_suspicions)
        deadline = now + m_options.suspicionTimeout;
    return true;
}

void GossipMembership::expireSuspicions()
{
    const TimePoint now = m_timers.now();
    std::vector<VmId> expired;
    for (const auto &[vm, deadline] : m_suspicions) {
        if (deadline <= now)
            expired.push_back(vm);
    }
    for (const VmId &vm : expired) {
        m_suspicions.erase(vm);
        const Member *member = m_table.find(vm);
        if (!member || member->state != MemberState::Suspected)
            continue;
        MemberUpdate update = shortUpdate(*member);
        update.state = MemberState::Dead;
        onUpdate(update, false);
    }
}

void GossipMembership::updateLinks()
{
    m_bridgedZones.clear();
    std::vector<std::string> zones;
    for (const auto &[name, members] : m_table.zones()) {
        zones.push_back(name);
        m_heartbeats.track(name, m_timers.now());
    }
    const auto reachable = [this](const std::string &zone) { return isReachable(zone); };
    const std::vector<Member> own = aliveMembersInZone(m_self.zone);
    for (const std::string &zone : linkedZones(zones, m_self.zone, reachable)) {
        for (const Member &bridge : rendezvousMembers(own, zone, m_options.bridgesPerLink)) {
            if (isSelf(bridge.vm))
                m_bridgedZones.push_back(zone);
        }
    }
}

void GossipMembership::pingLinks()
{
    for (const std::string &zone : m_bridgedZones) {
        for (const Member *member : chooseRandom(presentPeers(zone), 1))
            ping(*member, m_probes.begin({VmId(), 0}));
    }
}

// Shortly after the start, a node that knows no other node of its zone contacts several seeds per
// interval. Otherwise it occasionally contacts one seed or dead member, so that partitions heal.
void GossipMembership::contactSeeds()
{
    const bool isAlone = presentPeers(m_self.zone).empty();
    const bool isEager = isAlone && m_timers.now() - m_startedAt < EagerContactPeriod;
    if (!isEager && !m_random.chance(SeedContactProbability))
        return;
    std::vector<Endpoint> candidates = m_seeds;
    for (const auto &[vm, member] : m_table.zone(m_self.zone)) {
        if (member.state == MemberState::Dead)
            candidates.push_back(member.endpoint);
    }
    for (std::size_t i = 0; i < (isEager ? SeedsPerEagerContact : 1) && !candidates.empty(); ++i) {
        std::swap(candidates[m_random.uniformBelow(candidates.size())], candidates.back());
        if (isAlone || !isPresentAt(candidates.back()))
            contact(candidates.back());
        candidates.pop_back();
    }
}

bool GossipMembership::isPresentAt(const Endpoint &endpoint) const
{
    for (const auto &[name, members] : m_table.zones()) {
        for (const auto &[vm, member] : members) {
            if (isPresent(member) && member.endpoint == endpoint)
                return true;
        }
    }
    return false;
}

void GossipMembership::contact(const Endpoint &endpoint)
{
    GossipMessage message = makeMessage(GossipMessageKind::Ping);
    message.number = m_probes.begin({VmId(), 0});
    message.updates.push_back(fullUpdate(m_self));
    sendTo(endpoint, true, message, MessagePriority::Probe);
}

void GossipMembership::advanceHeartbeat()
{
    const TimePoint now = m_timers.now();
    const std::vector<Member> first =
            rendezvousMembers(aliveMembersInZone(m_self.zone), HeartbeatKey, 1);
    if (now < m_nextHeartbeatAt || first.empty() || !isSelf(first[0].vm))
        return;
    m_nextHeartbeatAt = now + m_heartbeats.interval();
    onHeartbeat({m_self.zone, m_heartbeats.count(m_self.zone) + 1});
}

void GossipMembership::updateReachability()
{
    std::vector<std::string> expired;
    for (const auto &[name, members] : m_table.zones()) {
        const bool isInReach = isReachable(name);
        if (m_heartbeats.timeSinceAdvance(name, m_timers.now()) > UnreachableZoneRetention
            && name != m_self.zone)
            expired.push_back(name);
        const bool isChange =
                isInReach ? m_unreachable.erase(name) > 0 : m_unreachable.insert(name).second;
        if (!isChange)
            continue;
        const std::vector<const Member *> present = presentPeers(name);
        for (const Member *member : present)
            m_hooks.onChange(observedMember(*member));
    }
    for (const std::string &zone : expired) {
        m_table.removeZone(zone);
        m_heartbeats.remove(zone);
        m_unreachable.erase(zone);
    }
}

void GossipMembership::probeNext()
{
    while (true) {
        if (m_probeOrder.empty()) {
            for (const Member *member : presentPeers(m_self.zone))
                m_probeOrder.push_back(member->vm);
            for (std::size_t i = m_probeOrder.size(); i > 1; --i)
                std::swap(m_probeOrder[i - 1], m_probeOrder[m_random.uniformBelow(i)]);
        }
        if (m_probeOrder.empty())
            return;
        const VmId vm = m_probeOrder.back();
        m_probeOrder.pop_back();
        const Member *member = m_table.find(vm);
        if (!member || !isPresent(*member))
            continue;
        probeMember(*member);
        return;
    }
}

// The nodes of a zone together ping a suspected member a few times per interval, so that it learns
// of the suspicion even if messages are lost.
void GossipMembership::probeSuspects()
{
    const auto peers = static_cast<double>(presentPeers(m_self.zone).size());
    const double chance =
            std::min(1.0, SuspectPingsPerInterval / std::max(1.0, peers) / TicksPerInterval);
    for (const auto &[vm, deadline] : m_suspicions) {
        const Member *member = m_table.find(vm);
        if (member && m_random.chance(chance))
            ping(*member, m_probes.begin({VmId(), 0}));
    }
}

void GossipMembership::probeMember(const Member &member)
{
    const std::uint32_t number = m_probes.begin({member.vm, member.incarnation});
    if (!ping(member, number)) {
        m_probes.finish(number);
        return;
    }
    subscribe(m_options.probeTimeout, [this, number] { probeIndirectly(number); });
    subscribe(m_options.probeInterval * 9 / 10, [this, number] { failProbe(number); });
}

void GossipMembership::probeIndirectly(std::uint32_t number)
{
    const Probe *probe = m_probes.find(number);
    const Member *member = probe ? m_table.find(probe->vm) : nullptr;
    if (!member || member->state != MemberState::Alive)
        return;
    const Member target = *member;
    std::vector<const Member *> relays = presentPeers(m_self.zone);
    std::erase_if(relays, [&](const Member *relay) { return relay->vm == target.vm; });
    ping(target, number);
    for (const Member *relay : chooseRandom(std::move(relays), IndirectProbes)) {
        GossipMessage message = makeMessage(GossipMessageKind::PingRequest);
        message.number = number;
        message.to = target.vm;
        message.pingTarget = target.endpoint;
        send(*relay, message);
    }
}

void GossipMembership::failProbe(std::uint32_t number)
{
    const std::optional<Probe> probe = m_probes.finish(number);
    const Member *member = probe ? m_table.find(probe->vm) : nullptr;
    if (!member || member->state != MemberState::Alive || member->incarnation != probe->incarnation)
        return;
    suspect(*member);
}

void GossipMembership::suspect(const Member &member)
{
    MemberUpdate update = shortUpdate(member);
    update.state = MemberState::Suspected;
    onUpdate(update, false);
}

bool GossipMembership::ping(const Member &member, std::uint32_t number)
{
    GossipMessage message = makeMessage(GossipMessageKind::Ping);
    message.number = number;
    message.to = member.vm;
    if (member.state != MemberState::Alive)
        message.updates.push_back(shortUpdate(member));
    const auto acked = m_ackedAt.find(member.vm);
    const bool isKnownThere = isOwnZone(member) && acked != m_ackedAt.end()
                              && m_timers.now() - acked->second < MaxAckAge
                              && member.state == MemberState::Alive;
    if (!isKnownThere)
        message.updates.push_back(fullUpdate(m_self));
    return send(member, message);
}

void GossipMembership::onMessage(const Json::Value &json)
{
    absl::StatusOr<GossipMessage> message = readMessage(json);
    if (!message.ok() || isSelf(message->from)) {
        ++m_messagesRefused;
        return;
    }
    for (const MemberUpdate &update : message->updates)
        onUpdate(update, message->kind == GossipMessageKind::TableRecords);
    for (const ZoneCounter &heartbeat : message->heartbeats)
        onHeartbeat(heartbeat);
    updateSender(*message);
    for (const GossipFact &fact : message->facts)
        onFactReceived(fact, *message);
    if (m_hasLeft)
        return;
    switch (message->kind) {
    case GossipMessageKind::Ping:
        onPing(*message);
        break;
    case GossipMessageKind::Ack:
        onAck(*message);
        break;
    case GossipMessageKind::PingRequest:
        onPingRequest(*message);
        break;
    case GossipMessageKind::Gossip:
        notifySuspectedSender(*message);
        break;
    case GossipMessageKind::TableHashes:
        onTableHashes(*message);
        return;
    case GossipMessageKind::TableRecords:
        onTableRecords(*message);
        return;
    }
    compareHash(*message);
}

// A sender with a higher incarnation than the known one has refuted a suspicion or restarted.
void GossipMembership::updateSender(const GossipMessage &message)
{
    const Member *sender = m_table.find(message.from);
    if (!sender)
        return;
    if (message.incarnation > sender->incarnation) {
        MemberUpdate update = fullUpdate(*sender);
        update.incarnation = message.incarnation;
        update.state = MemberState::Alive;
        onUpdate(update, false);
    }
    if (m_table.advanceConfigVersion(message.from, message.configVersion))
        m_hooks.onChange(observedMember(*m_table.find(message.from)));
    if (m_hasJoined)
        return;
    m_hasJoined = true;
    enqueueUpdate(m_self, true, true);
    schedulePush({1, m_table.zone(m_self.zone).size(), true, false, Duration(0)});
}

void GossipMembership::onPing(const GossipMessage &message)
{
    const Member *sender = m_table.find(message.from);
    if (!sender || (message.to && !isSelf(*message.to))) {
        ++m_messagesRefused;
        return;
    }
    GossipMessage answer = makeMessage(GossipMessageKind::Ack);
    answer.number = message.number;
    if (sender->state != MemberState::Alive)
        answer.updates.push_back(shortUpdate(*sender));
    if (!message.to)
        answer.updates.push_back(fullUpdate(m_self));
    send(*sender, answer);
}

void GossipMembership::onAck(const GossipMessage &message)
{
    if (const std::optional<RelayedProbe> relayed = m_probes.finishRelayed(message.number)) {
        const Member *requester = m_table.find(relayed->requester);
        if (!requester)
            return;
        GossipMessage answer = makeMessage(GossipMessageKind::Ack);
        answer.number = relayed->number;
        answer.to = message.from;
        send(*requester, answer);
        return;
    }
    if (!message.to)
        m_ackedAt[message.from] = m_timers.now();
    m_probes.finish(message.number);
}

void GossipMembership::onPingRequest(const GossipMessage &message)
{
    const Member *requester = m_table.find(message.from);
    if (!requester) {
        ++m_messagesRefused;
        return;
    }
    const std::uint32_t number = m_probes.relay({requester->vm, message.number, m_timers.now()});
    GossipMessage request = makeMessage(GossipMessageKind::Ping);
    request.number = number;
    request.to = message.to;
    request.updates.push_back(fullUpdate(m_self));
    sendTo(*message.pingTarget, false, request, MessagePriority::Probe);
}

// Informs a sender that is recorded as suspected or dead, so that it can refute.
void GossipMembership::notifySuspectedSender(const GossipMessage &message)
{
    const Member *sender = m_table.find(message.from);
    if (!sender || sender->state == MemberState::Alive || sender->state == MemberState::Left)
        return;
    GossipMessage answer = makeMessage(GossipMessageKind::Gossip);
    answer.updates.push_back(shortUpdate(*sender));
    send(*sender, answer);
}

void GossipMembership::addSeeds(const std::vector<Endpoint> &seeds)
{
    for (const Endpoint &seed : seeds) {
        const bool isKnown = std::find(m_seeds.begin(), m_seeds.end(), seed) != m_seeds.end();
        if (!isKnown && seed != m_self.endpoint)
            m_seeds.push_back(seed);
    }
    // Lists of VMs contain new VMs every day; the oldest seeds are the least likely to be running.
    if (std::ssize(m_seeds) > MaxSeeds)
        m_seeds.erase(m_seeds.begin(), m_seeds.end() - MaxSeeds);
}

void GossipMembership::setConfigVersion(LogOffset version)
{
    if (version <= m_self.configVersion)
        return;
    m_self.configVersion = version;
    m_table.advanceConfigVersion(m_self.vm, version);
    constexpr std::uint32_t Rounds = 4;
    constexpr std::size_t PeersPerRound = 3;
    schedulePush({Rounds, PeersPerRound, true, true, std::chrono::milliseconds(400)});
}

void GossipMembership::leave()
{
    m_self.state = MemberState::Left;
    m_table.put(m_self);
    enqueueUpdate(m_self, false, true);
    runPush({1, m_table.zone(m_self.zone).size(), true, false, Duration(0)});
    m_hasLeft = true;
}

std::vector<Member> GossipMembership::members() const
{
    std::map<VmId, Member> ordered;
    for (const auto &[name, zone] : m_table.zones()) {
        for (const auto &[vm, member] : zone)
            ordered.emplace(vm, observedMember(member));
    }
    std::vector<Member> all;
    all.reserve(ordered.size());
    for (auto &[vm, member] : ordered)
        all.push_back(std::move(member));
    return all;
}

std::vector<Member> GossipMembership::aliveMembersInZone(std::string_view zone) const
{
    const std::string name(zone);
    std::vector<Member> alive;
    if (!isReachable(name))
        return alive;
    for (const auto &[vm, member] : m_table.zone(name)) {
        if (member.state == MemberState::Alive)
            alive.push_back(member);
    }
    return alive;
}

bool GossipMembership::isReachable(const std::string &zone) const
{
    return zone == m_self.zone || m_heartbeats.isReachable(zone, m_timers.now());
}

Member GossipMembership::observedMember(const Member &member) const
{
    Member view = member;
    if (view.state == MemberState::Alive && !isReachable(view.zone))
        view.state = MemberState::Suspected;
    return view;
}

std::vector<const Member *> GossipMembership::presentPeers(const std::string &zone) const
{
    std::vector<const Member *> present;
    for (const auto &[vm, member] : m_table.zone(zone)) {
        if (isPresent(member) && !isSelf(vm))
            present.push_back(&member);
    }
    return present;
}

std::vector<const Member *> GossipMembership::chooseRandom(std::vector<const Member *> members,
                                                           std::size_t count)
{
    const std::size_t kept = std::min(count, members.size());
    for (std::size_t i = 0; i < kept; ++i)
        std::swap(members[i], members[i + m_random.uniformBelow(members.size() - i)]);
    members.resize(kept);
    return members;
}

} // namespace currantwalk
