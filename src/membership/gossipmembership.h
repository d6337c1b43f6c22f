#ifndef CURRANTWALK_MEMBERSHIP_GOSSIPMEMBERSHIP_H
#define CURRANTWALK_MEMBERSHIP_GOSSIPMEMBERSHIP_H

#include <map>
#include <set>

#include "membership/bytebudget.h"
#include "membership/gossipqueue.h"
#include "membership/membermessages.h"
#include "membership/membership.h"
#include "membership/membertable.h"
#include "membership/probes.h"
#include "membership/zoneheartbeats.h"

namespace currantwalk {

/// Implements the SWIM protocol within each zone. Zones are connected by a few links, and their
/// reachability is tracked by heartbeats.
class GossipMembership : public Membership
{
public:
    GossipMembership(const Options &options, Hooks hooks, TimerService &timers,
                     RandomSource &random);
    ~GossipMembership() override;

    void start() override;
    void onMessage(const Json::Value &message) override;
    void addSeeds(const std::vector<Endpoint> &seeds) override;
    void disseminate(const std::string &kind, const Json::Value &fact, bool isAllZones) override;
    void setConfigVersion(LogOffset version) override;
    void leave() override;
    std::vector<Member> members() const override;
    std::vector<Member> aliveMembersInZone(std::string_view zone) const override;
    std::uint64_t messagesSent() const override { return m_messagesSent; }
    std::uint64_t bytesSent() const override { return m_bytesSent; }
    std::uint64_t messagesRejected() const override { return m_messagesRefused; }
    std::uint64_t messagesThrottled() const override { return m_messagesHeldBack; }

private:
    struct PushRound
    {
        std::uint32_t roundsLeft = 0;
        std::size_t peers = 0;       ///< Peers of the own zone per round.
        bool isToLinks = false;      ///< Also send to linked zones bridged by this node.
        bool isOutdatedOnly = false; ///< Skip peers known to have this node's config version.
        Duration spacing{0};
    };

    // Periodic work.
    void tick();
    bool handleDelayedTick();
    void expireSuspicions();
    void updateLinks();
    void pingLinks();
    void contactSeeds();
    void contact(const Endpoint &endpoint);
    bool isPresentAt(const Endpoint &endpoint) const;
    void advanceHeartbeat();
    void updateReachability();

    // Failure detection.
    void probeNext();
    void probeSuspects();
    void probeMember(const Member &member);
    void probeIndirectly(std::uint32_t number);
    void failProbe(std::uint32_t number);
    bool ping(const Member &member, std::uint32_t number);
    void suspect(const Member &member);

    // Incoming messages.
    void updateSender(const GossipMessage &message);
    void onPing(const GossipMessage &message);
    void onAck(const GossipMessage &message);
    void onPingRequest(const GossipMessage &message);
    void onTableHashes(const GossipMessage &message);
    void onTableRecords(const GossipMessage &message);
    void onUpdate(const MemberUpdate &update, bool isRepair);
    void onHeartbeat(const ZoneCounter &heartbeat);
    void onFactReceived(const GossipFact &fact, const GossipMessage &message);
    void notifySuspectedSender(const GossipMessage &message);

    // Dissemination.
    GossipMessage makeMessage(GossipMessageKind kind) const;
    bool send(const Member &peer, const GossipMessage &message,
              MessagePriority priority = MessagePriority::Probe);
    bool sendTo(const Endpoint &endpoint, bool isLink, const GossipMessage &message,
                MessagePriority priority);
    void enqueueUpdate(const Member &member, bool isFull, bool isToLinks);
    void enqueueFact(const GossipFact &fact, bool isZoneWide);
    void schedulePush(const PushRound &round);
    void runPush(PushRound round);
    void refute(Incarnation incarnation);
    bool recordFact(std::uint32_t id);
    std::uint32_t zoneSends() const;
    std::uint32_t linkSends() const;

    // Repair of tables.
    void compareHash(const GossipMessage &message);
    void sendTableHashes(const Member &peer);
    std::vector<std::string> differingZones(const GossipMessage &message) const;
    void appendZone(GossipMessage &message, const std::string &zone) const;

    bool isSelf(const VmId &vm) const { return vm == m_self.vm; }
    bool isOwnZone(const Member &member) const { return member.zone == m_self.zone; }
    bool isReachable(const std::string &zone) const;
    Member observedMember(const Member &member) const;
    std::vector<const Member *> presentPeers(const std::string &zone) const;
    std::vector<const Member *> chooseRandom(std::vector<const Member *> members,
                                             std::size_t count);
    void subscribe(Duration delay, std::function<void()> callback);

    Options m_options;
    Hooks m_hooks;
    TimerService &m_timers;
    RandomSource &m_random;
    Member m_self;
    MemberTable m_table;
    GossipQueue m_queue;
    ByteBudget m_budget;
    Probes m_probes;
    ZoneHeartbeats m_heartbeats;
    std::vector<Endpoint> m_seeds;
    std::vector<VmId> m_probeOrder;
    std::map<VmId, TimePoint> m_suspicions; ///< When each suspected member is declared dead.
    std::map<std::uint32_t, TimePoint> m_recentFacts;
    std::set<std::string> m_unreachable;
    std::vector<std::string> m_bridgedZones; ///< Linked zones for which this node is a bridge.
    std::map<VmId, TimePoint> m_ackedAt;
    std::set<TimerId> m_pendingTimers;
    TimerId m_tickTimer = NoTimer;
    TimePoint m_nextTickAt{};
    TimePoint m_startedAt{};
    TimePoint m_nextHeartbeatAt{};
    TimePoint m_nextRepairAt{};
    std::uint32_t m_ticks = 0;
    bool m_hasJoined = false;
    bool m_hasLeft = false;
    std::uint64_t m_messagesSent = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_messagesRefused = 0;
    std::uint64_t m_messagesHeldBack = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_GOSSIPMEMBERSHIP_H
