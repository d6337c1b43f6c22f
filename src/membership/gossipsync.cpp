// Dissemination of gossip and repair of member tables.
#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

#include "base/json.h"
#include "membership/gossipmembership.h"

namespace currantwalk {

constexpr std::size_t MaxRepairBytes = 1600; ///< Per message, unless a single zone has more.
constexpr std::size_t BytesPerRecord = 60;   ///< Approximate.
constexpr std::size_t MaxPushPeers = 24;
constexpr std::size_t ZonesPerRepair = 2;
constexpr std::size_t MaxRememberedFacts = 4096;
constexpr Duration FactRetention = std::chrono::minutes(1);
constexpr Duration PushDelay = std::chrono::milliseconds(20);
constexpr Duration StartupRepairInterval = std::chrono::seconds(1);
constexpr Duration RepairInterval = std::chrono::seconds(3);
constexpr Duration StartupPeriod = std::chrono::seconds(30);
constexpr Duration TombstoneRepairPeriod = std::chrono::minutes(2);

GossipMessage GossipMembership::makeMessage(GossipMessageKind kind) const
{
    GossipMessage message;
    message.kind = kind;
    message.from = m_self.vm;
    message.incarnation = m_self.incarnation;
    message.configVersion = m_self.configVersion;
    message.tableHash = m_table.hash();
    return message;
}

bool GossipMembership::send(const Member &peer, const GossipMessage &message,
                            MessagePriority priority)
{
    return sendTo(peer.endpoint, !isOwnZone(peer), message, priority);
}

bool GossipMembership::sendTo(const Endpoint &endpoint, bool isLink, const GossipMessage &message,
                              MessagePriority priority)
{
    const TimePoint now = m_timers.now();
    if (!m_budget.canSend(priority, now)) {
        ++m_messagesHeldBack;
        return false;
    }
    const Json::Value json =
            writeMessage(message, m_queue.take(isLink, m_budget.piggybackBytes(now), now));
    const std::size_t bytes = writeJson(json).size();
    m_budget.spend(bytes);
    ++m_messagesSent;
    m_bytesSent += bytes;
    m_hooks.send(endpoint, json);
    return true;
}

std::uint32_t GossipMembership::zoneSends() const
{
    constexpr std::uint32_t Rounds = 2;
    const auto peers = static_cast<std::uint32_t>(m_table.zone(m_self.zone).size());
    return Rounds * static_cast<std::uint32_t>(std::bit_width(peers));
}

std::uint32_t GossipMembership::linkSends() const
{
    constexpr std::uint32_t SendsPerLink = 2;
    return 1 + SendsPerLink * static_cast<std::uint32_t>(m_bridgedZones.size());
}

void GossipMembership::enqueueUpdate(const Member &member, bool isFull, bool isToLinks)
{
    const MemberUpdate update = isFull ? fullUpdate(member) : shortUpdate(member);
    m_queue.put(GossipKind::Member, "m:" + member.vm.text(), writeUpdate(update), zoneSends(),
                isToLinks ? linkSends() : 0, m_timers.now());
}

void GossipMembership::disseminate(const std::string &kind, const Json::Value &fact,
                                   bool isAllZones)
{
    const std::string text = writeJson(fact);
    assert(text.size() <= MaxFactBytes && "fact exceeds MaxFactBytes");
    const auto id = static_cast<std::uint32_t>(stableHash(kind + text));
    if (recordFact(id))
        enqueueFact({id, kind, isAllZones, fact}, true);
}

void GossipMembership::enqueueFact(const GossipFact &fact, bool isZoneWide)
{
    constexpr std::uint32_t Sends = 6;
    constexpr std::size_t PeersPerRound = 2;
    constexpr std::uint32_t Rounds = 2;
    const std::size_t peers = std::min(m_table.zone(m_self.zone).size(), MaxPushPeers);
    const auto zoneWideSends = isZoneWide ? static_cast<std::uint32_t>(peers) : 0;
    m_queue.put(GossipKind::Fact, "f:" + std::to_string(fact.id), writeFact(fact),
                Sends + zoneWideSends, fact.isAllZones ? linkSends() : 0, m_timers.now());
    const Duration spacing = std::chrono::milliseconds(300);
    if (isZoneWide)
        schedulePush({1, peers, fact.isAllZones, false, spacing});
    schedulePush({Rounds, PeersPerRound, fact.isAllZones, false, spacing});
}

// A node that receives a new fact from another zone sends it to its whole zone, like the origin
// does in its own zone.
void GossipMembership::onFactReceived(const GossipFact &fact, const GossipMessage &message)
{
    const Member *sender = m_table.find(message.from);
    const bool isFromOtherZone = !sender || !isOwnZone(*sender);
    if ((isFromOtherZone && !fact.isAllZones) || !recordFact(fact.id))
        return;
    enqueueFact(fact, isFromOtherZone);
    m_hooks.onFact(fact.kind, fact.value);
}

// Records a fact; returns whether it is new at this node.
bool GossipMembership::recordFact(std::uint32_t id)
{
    const TimePoint now = m_timers.now();
    const auto known = m_recentFacts.find(id);
    if (known != m_recentFacts.end() && now - known->second < FactRetention)
        return false;
    if (m_recentFacts.size() >= MaxRememberedFacts)
        std::erase_if(m_recentFacts,
                      [now](const auto &f) { return now - f.second >= FactRetention; });
    if (m_recentFacts.size() >= MaxRememberedFacts)
        m_recentFacts.erase(m_recentFacts.begin());
    m_recentFacts[id] = now;
    return true;
}

void GossipMembership::schedulePush(const PushRound &round)
{
    subscribe(m_random.jitter(PushDelay), [this, round] { runPush(round); });
}

void GossipMembership::runPush(PushRound round)
{
    const auto isUpToDate = [&](const Member *peer) {
        return round.isOutdatedOnly && peer->configVersion >= m_self.configVersion;
    };
    std::vector<const Member *> peers = presentPeers(m_self.zone);
    std::erase_if(peers, isUpToDate);
    for (const Member *peer : chooseRandom(std::move(peers), std::min(round.peers, MaxPushPeers)))
        send(*peer, makeMessage(GossipMessageKind::Gossip), MessagePriority::Gossip);
    if (round.isToLinks) {
        for (const std::string &zone : m_bridgedZones) {
            const std::vector<const Member *> remote = presentPeers(zone);
            if (std::any_of(remote.begin(), remote.end(), isUpToDate))
                continue;
            for (const Member *peer : chooseRandom(remote, 1))
                send(*peer, makeMessage(GossipMessageKind::Gossip), MessagePriority::Gossip);
        }
    }
    if (--round.roundsLeft == 0)
        return;
    subscribe(round.spacing, [this, round] { runPush(round); });
}

void GossipMembership::onUpdate(const MemberUpdate &update, bool isRepair)
{
    if (isSelf(update.vm)) {
        refute(update.state == MemberState::Alive && update.incarnation <= m_self.incarnation
                       ? 0
                       : update.incarnation);
        return;
    }
    const Member *before = m_table.find(update.vm);
    const bool wasPresent = before && isPresent(*before);
    if (!m_table.apply(update, m_timers.now()))
        return;
    const Member *member = m_table.find(update.vm);
    assert(member && "applied update left no record in the table");
    if (member->state != MemberState::Suspected)
        m_suspicions.erase(member->vm);
    else if (isOwnZone(*member))
        m_suspicions[member->vm] = m_timers.now() + m_options.suspicionTimeout;
    if (!isPresent(*member))
        m_ackedAt.erase(member->vm);
    // Suspicions and refutations concern only the member's own zone. Every node repairs its own
    // table, so changes in other zones that were learned by repair are not forwarded.
    const bool isPresenceChange = wasPresent != isPresent(*member);
    if (isOwnZone(*member) || (isPresenceChange && !isRepair))
        enqueueUpdate(*member, member->state == MemberState::Alive, isPresenceChange);
    m_hooks.onChange(observedMember(*member));
}

// \a incarnation is the one that other nodes consider not alive; lower ones are already refuted.
void GossipMembership::refute(Incarnation incarnation)
{
    if (m_hasLeft || incarnation < m_self.incarnation || incarnation == 0)
        return;
    m_self.incarnation = incarnation + 1;
    m_table.put(m_self);
    enqueueUpdate(m_self, true, true);
    constexpr std::uint32_t Rounds = 2;
    constexpr std::size_t PeersPerRound = 3;
    schedulePush({Rounds, PeersPerRound, false, false, std::chrono::milliseconds(200)});
}

void GossipMembership::onHeartbeat(const ZoneCounter &heartbeat)
{
    if (!m_heartbeats.advance(heartbeat.zone, heartbeat.count, m_timers.now()))
        return;
    constexpr std::uint32_t Sends = 3;
    m_queue.put(GossipKind::Heartbeat, "h:" + heartbeat.zone, writeHeartbeat(heartbeat), Sends,
                linkSends(), m_timers.now());
}

// Tables differ briefly while gossip is in flight, so repairs are spaced far apart.
void GossipMembership::compareHash(const GossipMessage &message)
{
    const TimePoint now = m_timers.now();
    const Member *sender = m_table.find(message.from);
    if (!sender || message.tableHash == m_table.hash() || now < m_nextRepairAt)
        return;
    sendTableHashes(*sender);
    const bool isStarting = now - m_startedAt < StartupPeriod;
    m_nextRepairAt = now
                     + (isStarting ? StartupRepairInterval
                                   : RepairInterval + m_random.jitter(RepairInterval));
}

void GossipMembership::sendTableHashes(const Member &peer)
{
    GossipMessage message = makeMessage(GossipMessageKind::TableHashes);
    message.updates.push_back(fullUpdate(m_self));
    for (const auto &[name, members] : m_table.zones())
        message.zoneHashes.push_back({name, m_table.zoneHash(name)});
    send(peer, message, MessagePriority::Repair);
}

std::vector<std::string> GossipMembership::differingZones(const GossipMessage &message) const
{
    std::map<std::string, std::uint64_t> theirs;
    for (const ZoneCounter &hash : message.zoneHashes)
        theirs[hash.zone] = hash.count;
    std::vector<std::string> differing;
    for (const auto &[name, members] : m_table.zones()) {
        const auto it = theirs.find(name);
        if (it == theirs.end() || it->second != m_table.zoneHash(name))
            differing.push_back(name);
    }
    for (const auto &[name, hash] : theirs) {
        if (m_table.zones().count(name) == 0)
            differing.push_back(name);
    }
    return differing;
}

void GossipMembership::appendZone(GossipMessage &message, const std::string &zone) const
{
    for (const auto &[vm, member] : m_table.zone(zone)) {
        if (isPresent(member) || m_timers.now() - member.changedAt < TombstoneRepairPeriod)
            message.updates.push_back(fullUpdate(member));
    }
}

void GossipMembership::onTableHashes(const GossipMessage &message)
{
    const Member *found = m_table.find(message.from);
    if (!found)
        return;
    const Member sender = *found;
    std::vector<std::string> differing = differingZones(message);
    // The sender's own zone comes first, because the sender probes its members.
    std::stable_partition(differing.begin(), differing.end(),
                          [&](const std::string &zone) { return zone == sender.zone; });
    if (differing.size() > 1) {
        const std::size_t first = differing[0] == sender.zone ? 1 : 0;
        const auto begin = differing.begin() + static_cast<std::ptrdiff_t>(first);
        const std::size_t rest = differing.size() - first;
        std::rotate(begin, begin + static_cast<std::ptrdiff_t>(m_random.uniformBelow(rest)),
                    differing.end());
    }
    GossipMessage answer = makeMessage(GossipMessageKind::TableRecords);
    for (const std::string &zone : differing) {
        const bool isFull = answer.updates.size() * BytesPerRecord > MaxRepairBytes / 2;
        if (answer.wantedZones.size() >= ZonesPerRepair || isFull)
            break;
        appendZone(answer, zone);
        answer.wantedZones.push_back(zone);
    }
    if (!answer.wantedZones.empty())
        send(sender, answer, MessagePriority::Repair);
}

void GossipMembership::onTableRecords(const GossipMessage &message)
{
    const Member *sender = m_table.find(message.from);
    if (!sender || message.wantedZones.empty())
        return;
    std::map<VmId, Incarnation> theirs;
    for (const MemberUpdate &update : message.updates)
        theirs[update.vm] = update.incarnation;
    GossipMessage answer = makeMessage(GossipMessageKind::TableRecords);
    for (const std::string &zone : message.wantedZones)
        appendZone(answer, zone);
    // Omits present members that the sender has sent itself with the same or a newer incarnation.
    std::erase_if(answer.updates, [&](const MemberUpdate &update) {
        const auto it = theirs.find(update.vm);
        const Member *known = m_table.find(update.vm);
        return it != theirs.end() && it->second >= update.incarnation && known && isPresent(*known);
    });
    if (!answer.updates.empty())
        send(Member(*sender), answer, MessagePriority::Repair);
}

} // namespace currantwalk
