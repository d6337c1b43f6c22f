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
    Ping,         ///< Wants an Ack with its number.
    Ack,          ///< Answers a Ping, for the sender or for the one who asked it to ping.
    PingRequest,  ///< Asks the receiver to ping another member.
    News,         ///< Wants no answer.
    TableHashes,  ///< Hashes of the sender's zones; wants the records of those that differ.
    TableRecords, ///< Records of whole zones.
};

/// What one node says of a member. The short form tells a member that is known a new state.
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
    GossipMessageKind kind = GossipMessageKind::News;
    VmId from;
    Incarnation incarnation = 0;
    LogOffset configVersion = 0;
    std::uint32_t number = 0;           ///< Of Ping, Ack and PingRequest.
    std::uint32_t tableHash = 0;        ///< Of all that the sender takes for alive.
    std::optional<VmId> to;             ///< Of a Ping to a known member.
    std::optional<Endpoint> pingTarget; ///< Of a PingRequest, whose \a to is the member to ping.
    std::vector<MemberUpdate> updates;
    std::vector<ZoneCounter> heartbeats;
    std::vector<GossipFact> facts;
    std::vector<ZoneCounter> zoneHashes;  ///< Of TableHashes.
    std::vector<std::string> wantedZones; ///< Of TableRecords.
};

Json::Value writeUpdate(const MemberUpdate &update);
Json::Value writeHeartbeat(const ZoneCounter &heartbeat);
Json::Value writeFact(const GossipFact &fact);
/// Writes \a message with the cells of \a load after those of its own.
Json::Value writeMessage(const GossipMessage &message, const GossipLoad &load);
/// Fails with JsonInvalid.
absl::StatusOr<GossipMessage> readMessage(const Json::Value &json);

MemberUpdate fullUpdate(const Member &member);
MemberUpdate shortUpdate(const Member &member);

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_MEMBERMESSAGES_H
