#include "membership/membermessages.h"

#include <array>

#include "base/enumtable.h"
#include "base/json.h"

namespace currantwalk {

// Keys are one letter: t kind, f from, i incarnation, v version of the published set, n number,
// h hash of the table, d destination, e endpoint to ping, u members, b heartbeats, x facts,
// z hashes of zones, w zones wanted.
static constexpr std::array<EnumName<GossipMessageKind>, 6> KindNames{{
        {GossipMessageKind::Ping, "p"},
        {GossipMessageKind::Ack, "a"},
        {GossipMessageKind::PingRequest, "q"},
        {GossipMessageKind::News, "g"},
        {GossipMessageKind::TableHashes, "s"},
        {GossipMessageKind::TableRecords, "r"},
}};

constexpr Json::ArrayIndex ShortCells = 3;
constexpr Json::ArrayIndex FullCells = 6;
constexpr Json::ArrayIndex CounterCells = 2;
constexpr Json::ArrayIndex FactCells = 4;

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
    Json::Value cells(Json::arrayValue);
    cells.append(update.vm.text());
    cells.append(Json::Value::UInt64(update.incarnation));
    cells.append(static_cast<int>(update.state));
    if (!update.isFull)
        return cells;
    cells.append(update.zone);
    cells.append(update.endpoint.toString());
    cells.append(Json::Value::UInt64(update.configVersion));
    return cells;
}

Json::Value writeHeartbeat(const ZoneCounter &heartbeat)
{
    Json::Value cells(Json::arrayValue);
    cells.append(heartbeat.zone);
    cells.append(Json::Value::UInt64(heartbeat.count));
    return cells;
}

Json::Value writeFact(const GossipFact &fact)
{
    Json::Value cells(Json::arrayValue);
    cells.append(fact.id);
    cells.append(fact.kind);
    cells.append(fact.isAllZones ? 1 : 0);
    cells.append(fact.value);
    return cells;
}

static void appendAll(Json::Value &message, const char *key, const Json::Value &cells)
{
    for (const Json::Value &cell : cells)
        message[key].append(cell);
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

Json::Value writeMessage(const GossipMessage &message, const GossipLoad &load)
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
    appendAll(json, "u", load.members);
    appendAll(json, "b", load.heartbeats);
    appendAll(json, "x", load.facts);
    return json;
}

static bool isUpdateShape(const Json::Value &cells)
{
    if (!cells.isArray() || (cells.size() != ShortCells && cells.size() != FullCells))
        return false;
    if (!cells[0].isString() || cells[0].asString().empty() || !cells[1].isUInt64()
        || !cells[2].isUInt() || cells[2].asUInt() > static_cast<unsigned>(MemberState::Dead))
        return false;
    return cells.size() == ShortCells
           || (cells[3].isString() && cells[4].isString() && cells[5].isUInt64());
}

static absl::Status readUpdate(const Json::Value &cells, GossipMessage &message)
{
    if (!isUpdateShape(cells))
        return messageError("member of a message: wrong cells");
    MemberUpdate update;
    update.vm = VmId(cells[0].asString());
    update.incarnation = cells[1].asUInt64();
    update.state = static_cast<MemberState>(cells[2].asUInt());
    if (cells.size() == FullCells) {
        absl::StatusOr<Endpoint> endpoint = Endpoint::parse(cells[4].asString());
        if (!endpoint.ok())
            return messageError("member of a message: bad endpoint");
        update.isFull = true;
        update.zone = cells[3].asString();
        update.endpoint = *std::move(endpoint);
        update.configVersion = cells[5].asUInt64();
    }
    message.updates.push_back(std::move(update));
    return absl::OkStatus();
}

static absl::Status readCounter(const Json::Value &cells, std::vector<ZoneCounter> &counters)
{
    if (!cells.isArray() || cells.size() != CounterCells || !cells[0].isString()
        || !cells[1].isUInt64())
        return messageError("zone of a message: wrong cells");
    counters.push_back({cells[0].asString(), cells[1].asUInt64()});
    return absl::OkStatus();
}

static absl::Status readFact(const Json::Value &cells, GossipMessage &message)
{
    if (!cells.isArray() || cells.size() != FactCells || !cells[0].isUInt() || !cells[1].isString()
        || !cells[2].isUInt())
        return messageError("fact of a message: wrong cells");
    message.facts.push_back(
            {cells[0].asUInt(), cells[1].asString(), cells[2].asUInt() == 1, cells[3]});
    return absl::OkStatus();
}

static absl::Status readWanted(const Json::Value &cell, GossipMessage &message)
{
    if (!cell.isString())
        return messageError("zone wanted by a message: expected a string");
    message.wantedZones.push_back(cell.asString());
    return absl::OkStatus();
}

template<typename Read>
static absl::Status readList(const Json::Value &json, const char *key, Read read)
{
    if (!json.isMember(key))
        return absl::OkStatus();
    if (!json[key].isArray())
        return messageError("list of a message: expected an array");
    for (const Json::Value &cells : json[key]) {
        const absl::Status status = read(cells);
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
            readList(json, "w", [&](const Json::Value &c) { return readWanted(c, message); }),
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
        return messageError("number of a message: expected a whole number");
    if (json.isMember("n"))
        message.number = json["n"].asUInt();
    if (json.isMember("d") && !json["d"].isString())
        return messageError("destination of a message: expected a string");
    if (json.isMember("d"))
        message.to = VmId(json["d"].asString());
    if (!json.isMember("e"))
        return absl::OkStatus();
    const absl::StatusOr<std::string> text = stringMember(json, "e");
    if (!text.ok())
        return text.status();
    absl::StatusOr<Endpoint> endpoint = Endpoint::parse(*text);
    if (!endpoint.ok())
        return messageError("endpoint of a message: malformed");
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
        return messageError("message: unknown kind, no sender or no hash");
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
        return messageError("ping request: no member to ping");
    return message;
}

} // namespace currantwalk
