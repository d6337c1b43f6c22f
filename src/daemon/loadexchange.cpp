#include "daemon/loadexchange.h"

#include "base/json.h"
#include "observe/logging.h"

namespace currantwalk {

static constexpr const char *LoadsMethod = "loads";
// Changes within this time go in one message.
static constexpr Duration ChangeDelay = std::chrono::milliseconds(10);
// A third of the time for which peers remember loads, so that two messages may be lost.
static constexpr Duration RepeatInterval = std::chrono::milliseconds(500);

LoadExchange::LoadExchange(VmId vm, NodeRecord self, PeerLink &peers, NodeDirectory &roster,
                           TargetSelector &placer, const ServiceTargets &targets, Hooks hooks,
                           TimerService &timers)
    : m_vm(std::move(vm)),
      m_self(std::move(self)),
      m_hooks(std::move(hooks)),
      m_peers(peers),
      m_roster(roster),
      m_placer(placer),
      m_targets(targets),
      m_timers(timers)
{
}

LoadExchange::~LoadExchange()
{
    *m_alive = false;
    m_timers.cancel(m_changeTimer);
    m_timers.cancel(m_repeatTimer);
}

void LoadExchange::start()
{
    m_peers.server().addMethod(LoadsMethod,
                               [this](const Json::Value &message, const RpcResponder &responder) {
                                   take(message);
                                   responder(encodeCatalogNote(m_hooks.catalogNote()));
                               });
    repeat();
}

void LoadExchange::onChange()
{
    if (m_changeTimer != NoTimer)
        return;
    m_changeTimer = m_timers.scheduleAfter(ChangeDelay, [this] {
        m_changeTimer = NoTimer;
        send();
    });
}

void LoadExchange::repeat()
{
    send();
    m_repeatTimer = m_timers.scheduleAfter(RepeatInterval, [this] { repeat(); });
}

// In a small deployment each node hears of all targets, so that work can go to another zone when
// its own is loaded. In a large one a zone's nodes hear only of the targets in their zone. An empty
// message tells that nothing is in progress any more.
std::map<ZoneName, InFlightLoads> LoadExchange::loadsByZone()
{
    const bool isSmall = m_roster.isSmall();
    std::map<ZoneName, InFlightLoads> byZone;
    for (const ZoneName &zone : m_roster.zones())
        byZone[zone];
    for (const auto &[id, load] : m_placer.ownLoads()) {
        const ServiceTarget *const target = m_targets.find(id);
        // Requests without a prompt are short; their load has changed before it is told.
        if (!target || load.tokens == 0)
            continue;
        for (auto &[zone, loads] : byZone) {
            if (isSmall || zone == target->entry.zone)
                loads[id] = load;
        }
    }
    for (auto it = byZone.begin(); it != byZone.end();) {
        bool &hadLoads = m_hadLoads[it->first];
        const bool isNeighbour = isSmall || it->first == m_self.zone;
        const bool isTold = isNeighbour || hadLoads || !it->second.empty();
        hadLoads = !it->second.empty();
        it = isTold ? std::next(it) : byZone.erase(it);
    }
    return byZone;
}

void LoadExchange::send()
{
    std::map<ZoneName, InFlightLoads> byZone = loadsByZone();
    ++m_sequence;
    const TimePoint now = m_timers.now();
    for (const auto &[zone, loads] : byZone) {
        Json::Value message(Json::objectValue);
        message["vm"] = m_vm.text();
        message["self"] = encodeNodeRecord(m_self);
        message["sequence"] = Json::UInt64(m_sequence);
        message["loads"] = encodeLoads(loads);
        message["leaving"] = encodeLeaving(m_targets.leavingNotices());
        for (const auto &[peer, entry] : m_roster.availablePeersIn(zone, now)) {
            m_peers.call(entry.peers, LoadsMethod, message,
                         [this, alive = m_alive, vm = peer, entry = entry,
                          now](const absl::StatusOr<Json::Value> &result) {
                             if (*alive)
                                 takeAnswer(vm, entry, result, now);
                         });
        }
    }
}

void LoadExchange::takeAnswer(const VmId &vm, const NodeRecord &peer,
                              const absl::StatusOr<Json::Value> &result, TimePoint sentAt)
{
    if (!result.ok()) {
        m_roster.onFailure(vm, m_timers.now());
        return;
    }
    const absl::StatusOr<CatalogNote> note = decodeCatalogNote(*result);
    if (note.ok())
        m_hooks.onCatalogNote(peer, *note, sentAt);
    else
        logLine(LogPart::Peers, LogLevel::Warning, "A peer's answer can't be read.");
}

// A node that has just started may not be able to read the roster; it learns its peers from their
// messages.
void LoadExchange::take(const Json::Value &message)
{
    const absl::StatusOr<std::string> vm = stringMember(message, "vm");
    const absl::StatusOr<std::string> self = stringMember(message, "self");
    const absl::StatusOr<NodeRecord> entry =
            self.ok() ? decodeNodeRecord(*self) : absl::StatusOr<NodeRecord>(self.status());
    const absl::StatusOr<std::uint64_t> sequence = unsignedMember(message, "sequence");
    absl::StatusOr<InFlightLoads> loads =
            message.isObject()
                    ? decodeLoads(message["loads"])
                    : absl::StatusOr<InFlightLoads>(makeError(ErrorCode::JsonInvalid, "no object"));
    const absl::StatusOr<std::vector<LeavingNotice>> leaving =
            message.isObject() ? decodeLeaving(message["leaving"])
                               : absl::StatusOr<std::vector<LeavingNotice>>(
                                       makeError(ErrorCode::JsonInvalid, "no object"));
    if (!vm.ok() || !entry.ok() || !sequence.ok() || !loads.ok() || !leaving.ok()) {
        logLine(LogPart::Peers, LogLevel::Warning, "A peer's loads can't be read.");
        return;
    }
    m_roster.update(VmId(*vm), *entry);
    m_placer.updatePeerLoads(VmId(*vm), entry->incarnation, *sequence, std::move(*loads),
                             m_timers.now());
    for (const LeavingNotice &target : *leaving)
        m_hooks.onLeaving(target);
}

Json::Value encodeCatalogNote(const CatalogNote &note)
{
    Json::Value json(Json::objectValue);
    json["version"] = Json::UInt64(note.version);
    if (note.age)
        json["age_us"] = Json::Int64(note.age->count());
    return json;
}

absl::StatusOr<CatalogNote> decodeCatalogNote(const Json::Value &json)
{
    const absl::StatusOr<std::uint64_t> version = unsignedMember(json, "version");
    if (!version.ok())
        return version.status();
    CatalogNote note{*version, std::nullopt};
    if (json.isMember("age_us")) {
        const absl::StatusOr<std::uint64_t> age = unsignedMember(json, "age_us");
        if (!age.ok())
            return age.status();
        note.age = Duration(static_cast<Duration::rep>(*age));
    }
    return note;
}

Json::Value encodeLoads(const InFlightLoads &loads)
{
    Json::Value rows(Json::arrayValue);
    for (const auto &[id, load] : loads) {
        Json::Value row(Json::arrayValue);
        row.append(id.text());
        row.append(load.requests);
        row.append(Json::UInt64(load.tokens));
        row.append(Json::UInt64(load.waitingTokens));
        rows.append(std::move(row));
    }
    return rows;
}

Json::Value encodeLeaving(const std::vector<LeavingNotice> &targets)
{
    Json::Value rows(Json::arrayValue);
    for (const LeavingNotice &target : targets) {
        Json::Value row(Json::arrayValue);
        row.append(target.id.text());
        row.append(Json::UInt64(target.startedAt));
        rows.append(std::move(row));
    }
    return rows;
}

absl::StatusOr<std::vector<LeavingNotice>> decodeLeaving(const Json::Value &json)
{
    constexpr Json::ArrayIndex RowSize = 2;
    if (!json.isNull() && !json.isArray())
        return makeError(ErrorCode::JsonInvalid, "targets that leave are no list");
    std::vector<LeavingNotice> targets;
    for (const Json::Value &row : json) {
        if (!row.isArray() || row.size() != RowSize || !row[0].isString() || !row[1].isUInt64())
            return makeError(ErrorCode::JsonInvalid, "a target that leaves is malformed");
        targets.push_back({TargetId(row[0].asString()), row[1].asUInt64()});
    }
    return targets;
}

absl::StatusOr<InFlightLoads> decodeLoads(const Json::Value &json)
{
    constexpr Json::ArrayIndex RowSize = 4;
    if (!json.isArray())
        return makeError(ErrorCode::JsonInvalid, "loads are no list");
    InFlightLoads loads;
    for (const Json::Value &row : json) {
        if (!row.isArray() || row.size() != RowSize || !row[0].isString() || !row[1].isUInt()
            || !row[2].isUInt64() || !row[3].isUInt64())
            return makeError(ErrorCode::JsonInvalid, "a row of loads is malformed");
        loads[TargetId(row[0].asString())] = {row[1].asUInt(), row[2].asUInt64(),
                                              row[3].asUInt64()};
    }
    return loads;
}

} // namespace currantwalk
