#include "daemon/loadexchange.h"

#include <utility>

#include <absl/strings/escaping.h>

#include "base/json.h"
#include "limits/grantmessages.h"
#include "observe/logging.h"

namespace currantwalk {

static constexpr const char *LoadsMethod = "loads";
// What a message is, if not the loads of one node for all: a report to the zone's first node, or
// the sum of a zone's loads.
static constexpr const char *ReportKind = "report";
static constexpr const char *ZoneKind = "zone";
// A node of the same network answers within some milliseconds.
static constexpr Duration ReportTimeout = std::chrono::milliseconds(750);
// A request is placed by what is known after this time.
static constexpr Duration RefreshTimeout = std::chrono::milliseconds(40);
// Changes within this time go in one message.
static constexpr Duration ChangeDelay = std::chrono::milliseconds(10);
// A third of the time for which peers remember loads, so that two messages may be lost.
static constexpr Duration RepeatInterval = std::chrono::milliseconds(500);
// Sums of zones pass this often while loads change: an engine reads the prompt of a short request
// in a few times this time, and all zones would send theirs to an engine that looks idle.
static constexpr Duration ZoneChangeDelay = std::chrono::milliseconds(50);
// Of a node that has started, whose answers tell what other nodes know from before. Some may be
// lost.
static constexpr std::uint64_t FirstMessages = 8;

LoadExchange::LoadExchange(VmId vm, NodeRecord self, PeerLink &peers, NodeDirectory &roster,
                           ReaderSelector &readers, TargetSelector &placer,
                           const ServiceTargets &targets, const TargetLimits &limits, Hooks hooks,
                           TimerService &timers)
    : m_vm(std::move(vm)),
      m_self(std::move(self)),
      m_hooks(std::move(hooks)),
      m_peers(peers),
      m_roster(roster),
      m_readers(readers),
      m_placer(placer),
      m_targets(targets),
      m_limits(limits),
      m_timers(timers)
{
}

LoadExchange::~LoadExchange()
{
    *m_alive = false;
    m_timers.cancel(m_changeTimer);
    m_timers.cancel(m_repeatTimer);
    m_timers.cancel(m_zoneTimer);
}

void LoadExchange::start()
{
    m_peers.server().addMethod(LoadsMethod,
                               [this](const Json::Value &message, const RpcResponder &responder) {
                                   responder(answerTo(message));
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
    sendZoneSums();
    m_repeatTimer = m_timers.scheduleAfter(RepeatInterval, [this] { repeat(); });
}

// Requests without a prompt are short; their load has changed before it is told.
InFlightLoads LoadExchange::ownGenerations() const
{
    InFlightLoads loads;
    for (const auto &[id, load] : m_placer.ownLoads()) {
        if (load.tokens != 0)
            loads[id] = load;
    }
    return loads;
}

Json::Value LoadExchange::message(const InFlightLoads &loads, PaceExchange::Scope scope)
{
    Json::Value message(Json::objectValue);
    message["vm"] = m_vm.text();
    message["self"] = encodeNodeRecord(m_self);
    message["sequence"] = Json::UInt64(++m_sequence);
    message["loads"] = encodeLoads(loads);
    message["leaving"] = encodeLeaving(m_targets.leavingNotices());
    const TimePoint now = m_timers.now();
    if (const std::vector<TargetLimit> limits = m_limits.recentChanges(now); !limits.empty())
        message["limits"] = encodeLimits(limits, now);
    if (m_hooks.pace)
        m_hooks.pace->addTo(message, scope, now);
    return message;
}

void LoadExchange::send()
{
    if (m_roster.isSmall())
        sendToAll();
    else
        report();
    sendZoneSumsLater();
}

void LoadExchange::sendZoneSumsLater()
{
    if (!m_hooks.areZoneSumsPrompt || !m_hooks.areZoneSumsPrompt())
        return;
    if (m_zoneTimer != NoTimer || m_roster.isSmall() || m_readers.firstBefore(m_timers.now()))
        return;
    m_zoneTimer = m_timers.scheduleAfter(ZoneChangeDelay, [this] {
        m_zoneTimer = NoTimer;
        sendZoneSums();
    });
}

// An empty message tells that nothing is in progress any more.
void LoadExchange::sendToAll()
{
    const TimePoint now = m_timers.now();
    const Json::Value json = message(ownGenerations(), PaceExchange::Scope::Own);
    for (const ZoneName &zone : m_roster.zones()) {
        for (const auto &[peer, entry] : m_roster.availablePeersIn(zone, now)) {
            m_peers.call(entry.peers, LoadsMethod, json,
                         [this, alive = m_alive, vm = peer, entry = entry,
                          now](const absl::StatusOr<Json::Value> &result) {
                             if (*alive)
                                 takeAnswer(vm, entry, result, now);
                         });
        }
    }
}

// A node to which others report passes on their loads with its own, so that all of a zone's loads
// reach its first node, whoever each node takes for that.
void LoadExchange::report(std::function<void()> done)
{
    const TimePoint now = m_timers.now();
    const std::optional<ReaderSelector::Peer> first = m_readers.firstBefore(now);
    if (!first) {
        done();
        return;
    }
    Json::Value json = message(m_placer.reportedLoads(now), PaceExchange::Scope::Report);
    json["kind"] = ReportKind;
    m_peers.call(first->record.peers, LoadsMethod, json, ReportTimeout,
                 [this, alive = m_alive, first = *first, now,
                  done = std::move(done)](const absl::StatusOr<Json::Value> &result) {
                     if (!*alive)
                         return;
                     takeReportAnswer(first, result, now);
                     done();
                 });
}

void LoadExchange::refresh(std::function<void()> done)
{
    if (m_roster.isSmall()) {
        done();
        return;
    }
    const auto once = [callback = std::make_shared<std::function<void()>>(std::move(done))] {
        if (*callback)
            std::exchange(*callback, nullptr)();
    };
    m_timers.scheduleAfter(RefreshTimeout, once);
    report(once);
}

void LoadExchange::sendZoneSums()
{
    const TimePoint now = m_timers.now();
    if (m_roster.isSmall() || m_readers.firstBefore(now))
        return;
    Json::Value json = message(m_placer.reportedLoads(now), PaceExchange::Scope::Zone);
    json["kind"] = ZoneKind;
    for (const ReaderSelector::Peer &reader : m_readers.readersOfOtherZones(now)) {
        m_peers.call(
                reader.record.peers, LoadsMethod, json, ReportTimeout,
                [this, alive = m_alive, reader, now](const absl::StatusOr<Json::Value> &result) {
                    if (!*alive)
                        return;
                    if (!result.ok())
                        m_readers.onFailure(reader, m_timers.now());
                    takeAnswer(reader.vm, reader.record, result, now);
                });
    }
}

void LoadExchange::takeReportAnswer(const ReaderSelector::Peer &peer,
                                    const absl::StatusOr<Json::Value> &result, TimePoint sentAt)
{
    if (!result.ok())
        m_readers.onFailure(peer, m_timers.now());
    takeAnswer(peer.vm, peer.record, result, sentAt);
    if (!result.ok() || !result->isObject())
        return;
    absl::StatusOr<InFlightLoads> others = decodeLoads((*result)["others"]);
    const absl::StatusOr<std::vector<LeavingNotice>> leaving = decodeLeaving((*result)["leaving"]);
    if (!others.ok() || !leaving.ok()) {
        logLine(LogPart::Peers, LogLevel::Warning, "A peer's sum of loads can't be read.");
        return;
    }
    m_placer.updateOtherLoads(std::move(*others), sentAt);
    if (m_hooks.pace && !m_hooks.pace->takeAnswer(*result, sentAt).ok())
        logLine(LogPart::Peers, LogLevel::Warning, "The pace in a peer's answer can't be read.");
    for (const LeavingNotice &target : *leaving)
        m_hooks.onLeaving(target);
}

Json::Value LoadExchange::answerTo(const Json::Value &message)
{
    const bool isTaken = take(message);
    Json::Value answer = encodeCatalogNote(m_hooks.catalogNote());
    if (isTaken && message["kind"] == ReportKind) {
        const VmId vm(message["vm"].asString());
        answer["others"] = encodeLoads(m_placer.loadsBesides(vm, m_timers.now()));
        answer["leaving"] = encodeLeaving(m_targets.leavingNotices());
        if (m_hooks.pace)
            m_hooks.pace->addToAnswer(answer, message, vm, m_timers.now());
    }
    if (!isTaken)
        return answer;
    // A node that has just started may not have heard of limits that were named before.
    const TimePoint now = m_timers.now();
    const bool isNewPeer = message["sequence"].asUInt64() <= FirstMessages;
    const std::vector<TargetLimit> limits =
            isNewPeer ? m_limits.named() : m_limits.recentChanges(now);
    if (!limits.empty())
        answer["limits"] = encodeLimits(limits, now);
    return answer;
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
    if (result->isObject() && !takeLimits(*result))
        logLine(LogPart::Peers, LogLevel::Warning, "The limits in a peer's answer can't be read.");
}

bool LoadExchange::takeLimits(const Json::Value &message)
{
    const absl::StatusOr<std::vector<TargetLimit>> limits =
            decodeLimits(message["limits"], m_timers.now());
    if (!limits.ok())
        return false;
    for (const TargetLimit &limit : *limits)
        m_hooks.onLimit(limit);
    return true;
}

// A node that has just started may not be able to read the roster; it learns its peers from their
// messages.
bool LoadExchange::take(const Json::Value &message)
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
        return false;
    }
    m_roster.update(VmId(*vm), *entry);
    if (message["kind"] == ZoneKind) {
        m_placer.updateZoneLoads(entry->zone, std::move(*loads), m_timers.now());
    } else {
        m_placer.updatePeerLoads(VmId(*vm), entry->incarnation, *sequence, std::move(*loads),
                                 m_timers.now());
        sendZoneSumsLater();
    }
    for (const LeavingNotice &target : *leaving)
        m_hooks.onLeaving(target);
    if (!takeLimits(message))
        logLine(LogPart::Peers, LogLevel::Warning, "The limits in a peer's message can't be read.");
    takePace(message, {VmId(*vm), entry->zone, entry->incarnation, *sequence});
    return true;
}

void LoadExchange::takePace(const Json::Value &message, const PaceExchange::Sender &sender)
{
    if (!m_hooks.pace)
        return;
    const auto scope = message["kind"] == ZoneKind     ? PaceExchange::Scope::Zone
                       : message["kind"] == ReportKind ? PaceExchange::Scope::Report
                                                       : PaceExchange::Scope::Own;
    if (!m_hooks.pace->take(message, scope, sender, m_timers.now()).ok())
        logLine(LogPart::Peers, LogLevel::Warning, "The pace in a peer's message can't be read.");
}

Json::Value encodeEvacuations(const EvacuationState &state)
{
    Json::Value json(Json::objectValue);
    json["era"] = Json::UInt64(state.position.era);
    json["next"] = Json::UInt64(state.position.next);
    for (const ZoneName &zone : state.zones)
        json["zones"].append(absl::Base64Escape(zone.text()));
    return json;
}

absl::StatusOr<EvacuationState> decodeEvacuations(const Json::Value &json)
{
    if (json.isNull())
        return EvacuationState{};
    const absl::StatusOr<std::uint64_t> era = unsignedMember(json, "era");
    const absl::StatusOr<std::uint64_t> next = unsignedMember(json, "next");
    if (!era.ok() || !next.ok())
        return makeError(ErrorCode::JsonInvalid, "the position of orders is malformed");
    const Json::Value &zones = json["zones"];
    if (!(zones.isNull() || zones.isArray()) || zones.size() > ZoneEvacuations::MaxZones)
        return makeError(ErrorCode::JsonInvalid, "the zones that are emptied are malformed");
    EvacuationState state{{*era, *next}, {}};
    for (const Json::Value &zone : zones) {
        std::string name;
        if (!zone.isString() || !absl::Base64Unescape(zone.asString(), &name) || name.empty())
            return makeError(ErrorCode::JsonInvalid, "a zone that is emptied is malformed");
        state.zones.insert(ZoneName(name));
    }
    return state;
}

Json::Value encodeCatalogNote(const CatalogNote &note)
{
    Json::Value json(Json::objectValue);
    json["version"] = Json::UInt64(note.version);
    json["evacuations"] = encodeEvacuations(note.evacuations);
    if (note.age)
        json["age_us"] = Json::Int64(note.age->count());
    return json;
}

absl::StatusOr<CatalogNote> decodeCatalogNote(const Json::Value &json)
{
    const absl::StatusOr<std::uint64_t> version = unsignedMember(json, "version");
    if (!version.ok())
        return version.status();
    absl::StatusOr<EvacuationState> evacuations = decodeEvacuations(json["evacuations"]);
    if (!evacuations.ok())
        return evacuations.status();
    CatalogNote note{*version, std::nullopt, std::move(*evacuations)};
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
