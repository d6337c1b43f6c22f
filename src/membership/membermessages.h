#ifndef CURRANTWALK_MEMBERSHIP_MEMBERMESSAGES_H
#define CURRANTWALK_MEMBERSHIP_MEMBERMESSAGES_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include "membership/gossipqueue.h"
#include "membership/membership.h"

namespace currantwalk {

enum class GossipMessageKind {
    Ping,         ///< Expects an Ack with the same number.
    Ack,          ///< Answers a Ping, or relays the answer to the node that sent a PingRequest.
    PingRequest,  ///< Asks the receiver to ping another member.
    Gossip,       ///< Carries only gossip; no answer is expected.
    TableHashes,  ///< Hashes of all zones; expects the records of those that differ.
    TableRecords, ///< Records of whole zones.
};

/// A statement about one member. The short form changes only the state and incarnation of a member
/// that the receiver already knows.
struct MemberUpdate
{
    VmId vm;
    Incarnation incarnation = 0;
    MemberState state = MemberState::Alive;
    bool isFull = false;
    std::string zone;
    Endpoint endpoint;
    LogOffset configVersion = 0;
};

struct ZoneCounter
{
    std::string zone;
    std::uint64_t count = 0;
};

struct GossipFact
{
    std::uint32_t id = 0;
    std::string kind;
    bool isAllZones = false;
    Json::Value value;
};

struct GossipMessage
{
    GossipMessageKind kind = GossipMessageKind::Gossip;
    VmId from;
    Incarnation incarnation = 0;
    LogOffset configVersion = 0;
    std::uint32_t number = 0;           ///< For Ping, Ack and PingRequest.
    std::uint32_t tableHash = 0;        ///< Hash of the sender's present members.
    std::optional<VmId> to;             ///< For a Ping to a known member.
    std::optional<Endpoint> pingTarget; ///< For a PingRequest; \a to is the member to ping.
    std::vector<MemberUpdate> updates;
    std::vector<ZoneCounter> heartbeats;
    std::vector<GossipFact> facts;
    std::vector<ZoneCounter> zoneHashes;  ///< For TableHashes.
    std::vector<std::string> wantedZones; ///< For TableRecords.
};

Json::Value writeUpdate(const MemberUpdate &update);
Json::Value writeHeartbeat(const ZoneCounter &heartbeat);
Json::Value writeFact(const GossipFact &fact);
/// Writes \a message, followed by the piggybacked items of \a payload.
Json::Value writeMessage(const GossipMessage &message, const PiggybackPayload &payload);
/// Fails with JsonInvalid.
absl::StatusOr<GossipMessage> readMessage(const Json::Value &json);

MemberUpdate fullUpdate(const Member &member);
MemberUpdate shortUpdate(const Member &member);

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_MEMBERMESSAGES_H
