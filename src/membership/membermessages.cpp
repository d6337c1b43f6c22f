#include "membership/membermessages.h"

#include <array>

#include "base/enumtable.h"
#include "base/json.h"

namespace currantwalk {

// Keys are single letters: t kind, f sender, i incarnation, v config version, n number, h table
// hash, d destination, e endpoint to ping, u member updates, b heartbeats, x facts, z zone hashes,
// w wanted zones.
static constexpr std::array<EnumName<GossipMessageKind>, 6> KindNames{{
        {GossipMessageKind::Ping, "p"},
        {GossipMessageKind::Ack, "a"},
        {GossipMessageKind::PingRequest, "q"},
        {GossipMessageKind::Gossip, "g"},
        {GossipMessageKind::TableHashes, "s"},
        {GossipMessageKind::TableRecords, "r"},
}};

constexpr Json::ArrayIndex ShortUpdateFields = 3;
constexpr Json::ArrayIndex FullUpdateFields = 6;
constexpr Json::ArrayIndex CounterFields = 2;
constexpr Json::ArrayIndex FactFields = 4;

static absl::Status messageError(std::string_view detail)
{
    return makeError(ErrorCode::JsonInvalid, detail);
}

MemberUpdate shortUpdate(const Member &member)
{
    MemberUpdate update;
    update.vm = member.vm;
    update.incarnation = member.incarnation;
    update.state = member.state;
    return update;
}

MemberUpdate fullUpdate(const Member &member)
{
    MemberUpdate update = shortUpdate(member);
    update.isFull = true;
    update.zone = member.zone;
    update.endpoint = member.endpoint;
    update.configVersion = member.configVersion;
    return update;
}

Json::Value writeUpdate(const MemberUpdate &update)
{
    Json::Value fields(Json::arrayValue);
    fields.append(update.vm.text());
    fields.append(Json::Value::UInt64(update.incarnation));
    fields.append(static_cast<int>(update.state));
    if (!update.isFull)
        return fields;
    fields.append(update.zone);
    fields.append(update.endpoint.toString());
    fields.append(Json::Value::UInt64(update.configVersion));
    return fields;
}

Json::Value writeHeartbeat(const ZoneCounter &heartbeat)
{
    Json::Value fields(Json::arrayValue);
    fields.append(heartbeat.zone);
    fields.append(Json::Value::UInt64(heartbeat.count));
    return fields;
}

Json::Value writeFact(const GossipFact &fact)
{
    Json::Value fields(Json::arrayValue);
    fields.append(fact.id);
    fields.append(fact.kind);
    fields.append(fact.isAllZones ? 1 : 0);
    fields.append(fact.value);
    return fields;
}

static void appendAll(Json::Value &message, const char *key, const Json::Value &fields)
{
    for (const Json::Value &value : fields)
        message[key].append(value);
}

static void writeLists(const GossipMessage &message, Json::Value &json)
{
    for (const MemberUpdate &update : message.updates)
        json["u"].append(writeUpdate(update));
    for (const ZoneCounter &heartbeat : message.heartbeats)
        json["b"].append(writeHeartbeat(heartbeat));
    for (const GossipFact &fact : message.facts)
        json["x"].append(writeFact(fact));
    for (const ZoneCounter &hash : message.zoneHashes)
        json["z"].append(writeHeartbeat(hash));
    for (const std::string &zone : message.wantedZones)
        json["w"].append(zone);
}

Json::Value writeMessage(const GossipMessage &message, const PiggybackPayload &payload)
{
    Json::Value json(Json::objectValue);
    json["t"] = std::string(enumName(KindNames, message.kind));
    json["f"] = message.from.text();
    json["i"] = Json::Value::UInt64(message.incarnation);
    json["v"] = Json::Value::UInt64(message.configVersion);
    json["h"] = message.tableHash;
    if (message.number != 0)
        json["n"] = message.number;
    if (message.to)
        json["d"] = message.to->text();
    if (message.pingTarget)
        json["e"] = message.pingTarget->toString();
    writeLists(message, json);
    appendAll(json, "u", payload.members);
    appendAll(json, "b", payload.heartbeats);
    appendAll(json, "x", payload.facts);
    return json;
}

static bool isValidUpdate(const Json::Value &fields)
{
    if (!fields.isArray()
        || (fields.size() != ShortUpdateFields && fields.size() != FullUpdateFields))
        return false;
    if (!fields[0].isString() || fields[0].asString().empty() || !fields[1].isUInt64()
        || !fields[2].isUInt() || fields[2].asUInt() > static_cast<unsigned>(MemberState::Dead))
        return false;
    return fields.size() == ShortUpdateFields
           || (fields[3].isString() && fields[4].isString() && fields[5].isUInt64());
}

static absl::Status readUpdate(const Json::Value &fields, GossipMessage &message)
{
    if (!isValidUpdate(fields))
        return messageError("gossip message: member update has missing or mistyped fields");
    MemberUpdate update;
    update.vm = VmId(fields[0].asString());
    update.incarnation = fields[1].asUInt64();
    update.state = static_cast<MemberState>(fields[2].asUInt());
    if (fields.size() == FullUpdateFields) {
        absl::StatusOr<Endpoint> endpoint = Endpoint::parse(fields[4].asString());
        if (!endpoint.ok())
            return messageError("gossip message: member update has a malformed endpoint");
        update.isFull = true;
        update.zone = fields[3].asString();
        update.endpoint = *std::move(endpoint);
        update.configVersion = fields[5].asUInt64();
    }
    message.updates.push_back(std::move(update));
    return absl::OkStatus();
}

static absl::Status readCounter(const Json::Value &fields, std::vector<ZoneCounter> &counters)
{
    if (!fields.isArray() || fields.size() != CounterFields || !fields[0].isString()
        || !fields[1].isUInt64())
        return messageError("gossip message: zone counter has missing or mistyped fields");
    counters.push_back({fields[0].asString(), fields[1].asUInt64()});
    return absl::OkStatus();
}

static absl::Status readFact(const Json::Value &fields, GossipMessage &message)
{
    if (!fields.isArray() || fields.size() != FactFields || !fields[0].isUInt()
        || !fields[1].isString() || !fields[2].isUInt())
        return messageError("gossip message: fact has missing or mistyped fields");
    message.facts.push_back(
            {fields[0].asUInt(), fields[1].asString(), fields[2].asUInt() == 1, fields[3]});
    return absl::OkStatus();
}

static absl::Status readWantedZone(const Json::Value &value, GossipMessage &message)
{
    if (!value.isString())
        return messageError("gossip message: wanted zone is not a string");
    message.wantedZones.push_back(value.asString());
    return absl::OkStatus();
}

template<typename Read>
static absl::Status readList(const Json::Value &json, const char *key, Read read)
{
    if (!json.isMember(key))
        return absl::OkStatus();
    if (!json[key].isArray())
        return messageError("gossip message: list is not an array");
    for (const Json::Value &fields : json[key]) {
        const absl::Status status = read(fields);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

static absl::Status readLists(const Json::Value &json, GossipMessage &message)
{
    const absl::Status statuses[] = {
            readList(json, "u", [&](const Json::Value &c) { return readUpdate(c, message); }),
            readList(json, "b",
                     [&](const Json::Value &c) { return readCounter(c, message.heartbeats); }),
            readList(json, "x", [&](const Json::Value &c) { return readFact(c, message); }),
            readList(json, "z",
                     [&](const Json::Value &c) { return readCounter(c, message.zoneHashes); }),
            readList(json, "w", [&](const Json::Value &c) { return readWantedZone(c, message); }),
    };
    for (const absl::Status &status : statuses) {
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

static absl::Status readOptional(const Json::Value &json, GossipMessage &message)
{
    if (json.isMember("n") && !json["n"].isUInt())
        return messageError("gossip message: number is not an unsigned integer");
    if (json.isMember("n"))
        message.number = json["n"].asUInt();
    if (json.isMember("d") && !json["d"].isString())
        return messageError("gossip message: destination is not a string");
    if (json.isMember("d"))
        message.to = VmId(json["d"].asString());
    if (!json.isMember("e"))
        return absl::OkStatus();
    const absl::StatusOr<std::string> text = stringMember(json, "e");
    if (!text.ok())
        return text.status();
    absl::StatusOr<Endpoint> endpoint = Endpoint::parse(*text);
    if (!endpoint.ok())
        return messageError("gossip message: malformed endpoint to ping");
    message.pingTarget = *std::move(endpoint);
    return absl::OkStatus();
}

absl::StatusOr<GossipMessage> readMessage(const Json::Value &json)
{
    const absl::StatusOr<std::string> kindName = stringMember(json, "t");
    const absl::StatusOr<std::string> from = stringMember(json, "f");
    const absl::StatusOr<std::uint64_t> incarnation = unsignedMember(json, "i");
    const absl::StatusOr<std::uint64_t> version = unsignedMember(json, "v");
    for (const absl::Status &status :
         {kindName.status(), from.status(), incarnation.status(), version.status()}) {
        if (!status.ok())
            return status;
    }
    const std::optional<GossipMessageKind> kind = enumValue(KindNames, *kindName);
    if (!kind || from->empty() || !json["h"].isUInt())
        return messageError("gossip message: unknown kind, missing sender or missing table hash");
    GossipMessage message;
    message.kind = *kind;
    message.from = VmId(*from);
    message.incarnation = *incarnation;
    message.configVersion = *version;
    message.tableHash = json["h"].asUInt();
    for (const absl::Status &status : {readOptional(json, message), readLists(json, message)}) {
        if (!status.ok())
            return status;
    }
    if (message.kind == GossipMessageKind::PingRequest && (!message.to || !message.pingTarget))
        return messageError("gossip message: ping request without a member to ping");
    return message;
}

} // namespace currantwalk
