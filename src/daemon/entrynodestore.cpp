// What an entry node learns from the store, from its peers and, while the store is away, from
// engines.
#include "daemon/entrynode.h"
#include "daemon/poisonmessages.h"

#include <algorithm>

#include <absl/strings/numbers.h>

#include "observe/logging.h"

namespace currantwalk {

// Each answer proves the catalogue anew; calls to the store are priced, and a proof must come well
// within the time for which keys may be used without one.
static constexpr Duration CatalogWait = std::chrono::milliseconds(1000);
// Requests are refused until the catalogue can be read again.
static constexpr Duration CatalogRetry = std::chrono::milliseconds(500);
// A poll whose connection has gone silent is noticed after this and the call's own time-out, within
// the time that a target which leaves may still be sent requests.
static constexpr Duration TargetsWait = std::chrono::milliseconds(1000);
// An answer of the store may take this much longer than the poll asked for.
static constexpr Duration AnswerSlack = std::chrono::milliseconds(150);
static constexpr Duration ReportTimeout = std::chrono::milliseconds(1000);
static constexpr const char *CatalogMethod = "catalog";
// The roster changes when nodes come and go; a call to the store is priced.
static constexpr Duration RosterWait = std::chrono::seconds(25);
static constexpr Duration RosterRetry = std::chrono::seconds(3);
// Nodes that start together write their records one after the other.
static constexpr Duration RosterPause = std::chrono::milliseconds(250);
// Targets often leave in pairs; each read of the store is priced.
static constexpr Duration TargetsPause = std::chrono::milliseconds(100);
// Key of the roster's record of the highest era whose writers have had time to write again.
static constexpr const char *EraKey = "settled-era";
static constexpr Duration SettleTime = KeyedTopicFollower::RestoreGrace;
// All nodes write after a restore; the store's rate of writes is shared by them.
static constexpr Duration RestoreSpread = std::chrono::milliseconds(1000);

void EntryNode::createCatalogFollower()
{
    KeyedTopicCallbacks events;
    events.onRecord = [this](const KeyedRecord &record) { takeCatalog(record); };
    events.onKeyRemoved = [this](const std::string &key) {
        if (const std::optional<ZoneName> zone = m_bindings.readEvacuation(key))
            m_evacuations.onTakenBack(*zone);
    };
    // Nobody has given the order again in the time that writers have after a restore.
    events.onKeyLost = events.onKeyRemoved;
    events.onPosition = [this](std::uint64_t era, LogOffset next) {
        m_evacuations.onPosition({era, next});
    };
    events.onUpToDate = [this](TimePoint when) { m_catalog.confirmNewest(when); };
    events.onRestored = [this](std::uint64_t earlier, std::uint64_t era) {
        m_storedCatalogVersion = 0;
        m_evacuations.onRestored(era);
        onTopicRestored(SharedTopic::Catalog, earlier, era);
    };
    events.onReadFailed = [](const absl::Status &status) {
        logLine(LogPart::Config, LogLevel::Warning,
                "The catalogue can't be read: " + std::string(status.message()));
    };
    events.onRecovered = [this] {
        logLine(LogPart::Config, LogLevel::Info, "The catalogue can be read again.");
        m_targetsFollower->retryNow();
    };
    KeyedTopicFollower::Options options;
    options.wait = CatalogWait;
    options.maxRetry = CatalogRetry;
    options.isEraSettled = [this](std::uint64_t era) { return m_settledEra >= era; };
    // The copy that the store was restored from may hold an older catalogue than this node. One
    // that can't be read may revoke any key.
    options.isContentCurrent = [this] {
        return !m_isStoredCatalogInvalid
               && (!m_catalog.current()
                   || m_storedCatalogVersion >= m_catalog.current()->version());
    };
    m_catalogFollower = KeyedTopicFollower::create(
            options, m_topics.hooks(SharedTopic::Catalog, m_bindings.catalogTopic),
            m_topics.callbacks(SharedTopic::Catalog, std::move(events)), m_loop.timers(), m_random);
}

void EntryNode::createTargetsFollower()
{
    KeyedTopicCallbacks events;
    events.onRecord = [this](const KeyedRecord &record) { takeTarget(record); };
    events.onKeyRemoved = [this](const std::string &key) { m_targets.remove(TargetId(key)); };
    events.onKeyLost = [this](const std::string &key) { m_targets.remove(TargetId(key)); };
    events.onUpToDate = [this](TimePoint when) { m_targetsProvenAt = when; };
    events.onRestored = [this](std::uint64_t earlier, std::uint64_t era) {
        onTopicRestored(SharedTopic::Targets, earlier, era);
    };
    events.onPeerOutage = [this](Duration sinceOutage, Duration) {
        m_targets.onPeerOutage(sinceOutage);
    };
    events.onScanIncomplete = [this](const std::string &after, const absl::Status &status) {
        logLine(LogPart::Targets, LogLevel::Warning,
                "The list of targets can't be read after the key " + after + ": "
                        + std::string(status.message())
                        + "; targets after it are known when they write again.");
        m_metrics.count("currantwalk_incomplete_scans_total", {{"topic", "targets"}});
    };
    events.onReadFailed = [this](const absl::Status &status) {
        logLine(LogPart::Targets, LogLevel::Warning,
                "The targets can't be read: " + std::string(status.message()));
        m_targets.onStoreLost();
    };
    events.onRecovered = [this] {
        logLine(LogPart::Targets, LogLevel::Info, "The targets can be read again.");
        m_targets.onStoreRecovered();
        m_catalogFollower->retryNow();
    };
    KeyedTopicFollower::Options options;
    options.wait = TargetsWait;
    options.pause = TargetsPause;
    options.areRecordsRenewed = true;
    m_targetsFollower = KeyedTopicFollower::create(
            options, m_topics.hooks(SharedTopic::Targets, m_bindings.targetsTopic),
            m_topics.callbacks(SharedTopic::Targets, std::move(events)), m_loop.timers(), m_random);
}

// Peers are a help, not a need: a node that can't reach the roster serves by what it knows itself.
void EntryNode::createPeers()
{
    if (m_settings.peers.port == 0) {
        startFollowers();
        return;
    }
    KeyedTopicCallbacks events;
    events.onRecord = [this](const KeyedRecord &record) { takeRosterRecord(record); };
    events.onKeyRemoved = [this](const std::string &key) {
        takeRosterRecord({key, std::nullopt, 0});
    };
    // The copy may lack what a node refused; only an operator withdraws that.
    events.onKeyLost = [this](const std::string &key) {
        if (!isPoisonRecordKey(key))
            takeRosterRecord({key, std::nullopt, 0});
    };
    events.onRestored = [this](std::uint64_t earlier, std::uint64_t era) {
        m_isAnnouncementMissing = true;
        onTopicRestored(SharedTopic::Nodes, earlier, era);
        m_poisonExchange.onRestored();
    };
    events.onPosition = [this](std::uint64_t era, LogOffset) {
        startFollowers();
        if (m_isAnnouncementMissing)
            onRosterRestored();
        if (era > m_settledEra)
            recordSettledEra(era);
    };
    events.onUpToDate = [this](TimePoint) { m_isRosterRead = true; };
    events.onReadFailed = [this](const absl::Status &status) {
        logLine(LogPart::Peers, LogLevel::Warning,
                "The roster can't be read: " + std::string(status.message()));
        startFollowers();
    };
    events.onRecovered = [] {
        logLine(LogPart::Peers, LogLevel::Info, "The roster can be read again.");
    };
    KeyedTopicFollower::Options options;
    options.wait = RosterWait;
    options.maxRetry = RosterRetry;
    options.pause = RosterPause;
    m_rosterFollower = KeyedTopicFollower::create(
            options, m_topics.hooks(SharedTopic::Nodes, m_bindings.rosterTopic),
            m_topics.callbacks(SharedTopic::Nodes, std::move(events)), m_loop.timers(), m_random);
    m_rosterFollower->start();
    m_peers.server().addMethod(CatalogMethod,
                               [this](const Json::Value &, const RpcResponder &responder) {
                                   responder(Json::Value(m_catalogText));
                               });
    m_topics.start();
    m_loads.start();
    m_grants.start();
    m_poisonExchange.start();
    announce();
}

// The roster tells which peers may read the other topics for this node.
void EntryNode::startFollowers()
{
    if (std::exchange(m_areFollowersStarted, true))
        return;
    m_catalogFollower->start();
    m_targetsFollower->start();
}

void EntryNode::onTopicRestored(SharedTopic topic, std::uint64_t earlier, std::uint64_t era)
{
    const std::string name(sharedTopicName(topic));
    logLine(LogPart::Config, LogLevel::Warning,
            "The store was restored from a copy, era " + std::to_string(earlier) + " to "
                    + std::to_string(era) + ", as the read of " + name
                    + " shows; the topic is read again.");
    m_metrics.count("currantwalk_store_restores_total", {{"topic", name}});
}

// The record was written to the store before it was restored. All nodes may miss theirs.
void EntryNode::onRosterRestored()
{
    if (m_announceTimer == NoTimer && m_drain->isReady())
        announceLater(m_random.jitter(RestoreSpread));
}

// A node that starts finds in the record that the writers of a restored store have had their time.
// The nodes that read the store write it, after that time.
void EntryNode::recordSettledEra(std::uint64_t era)
{
    if (m_eraTimer != NoTimer)
        return;
    m_eraTimer = m_loop.timers().scheduleAfter(SettleTime + m_random.jitter(RestoreSpread), [this,
                                                                                             era] {
        m_eraTimer = NoTimer;
        if (m_settledEra >= era || m_rosterFollower->era() != era || !m_topics.isReader())
            return;
        m_bindings.writeRoster(EraKey, std::to_string(era), [era](const absl::Status &status) {
            if (!status.ok())
                logLine(LogPart::Peers, LogLevel::Warning,
                        "Era " + std::to_string(era)
                                + " of the store can't be recorded as settled: "
                                + std::string(status.message()));
        });
    });
}

void EntryNode::announce()
{
    const NodeRecord entry{m_settings.peers, m_settings.zone, m_incarnation};
    m_bindings.writeRoster(
            m_settings.vm.text(), encodeNodeRecord(entry), [this](const absl::Status &status) {
                if (status.ok() || !m_drain->isReady())
                    return;
                logLine(LogPart::Peers, LogLevel::Warning,
                        "The roster can't be written: " + std::string(status.message()));
                announceLater(RosterRetry + m_random.jitter(RosterRetry));
            });
}

void EntryNode::announceLater(Duration delay)
{
    m_announceTimer = m_loop.timers().scheduleAfter(delay, [this] {
        m_announceTimer = NoTimer;
        announce();
    });
}

void EntryNode::leaveRoster()
{
    if (m_settings.peers.port == 0)
        return;
    m_loop.timers().cancel(m_announceTimer);
    m_bindings.writeRoster(m_settings.vm.text(), std::nullopt, [](const absl::Status &status) {
        if (!status.ok())
            logLine(LogPart::Peers, LogLevel::Warning,
                    "The roster still lists this node: " + std::string(status.message()));
    });
}

void EntryNode::takeRosterRecord(const KeyedRecord &record)
{
    if (isPoisonRecordKey(record.key)) {
        m_poisonExchange.onRecord(record.key, record.value);
        return;
    }
    if (record.key == EraKey) {
        takeSettledEra(record.value.value_or(""));
        return;
    }
    const VmId vm(record.key);
    if (!record.value) {
        m_roster.remove(vm);
        return;
    }
    const absl::StatusOr<NodeRecord> entry = decodeNodeRecord(*record.value);
    if (!entry.ok()) {
        logLine(LogPart::Peers, LogLevel::Warning,
                "The roster's record " + record.key
                        + " can't be read: " + std::string(entry.status().message()));
        return;
    }
    m_roster.update(vm, *entry);
    if (vm == m_settings.vm && entry->incarnation == m_incarnation)
        m_isAnnouncementMissing = false;
}

void EntryNode::takeSettledEra(const std::string &text)
{
    std::uint64_t era = 0;
    if (!absl::SimpleAtoi(text, &era)) {
        logLine(LogPart::Peers, LogLevel::Warning, "The record of settled eras can't be read.");
        return;
    }
    m_settledEra = std::max(m_settledEra, era);
}

void EntryNode::takeCatalog(const KeyedRecord &record)
{
    if (const std::optional<ZoneName> zone = m_bindings.readEvacuation(record.key)) {
        if (record.value)
            m_evacuations.onOrder(*zone, record.offset);
        else
            m_evacuations.onTakenBack(*zone);
        return;
    }
    if (record.key != m_bindings.catalogKey || !record.value)
        return;
    takeCatalogText(*record.value, CatalogSource::Store);
}

// Runs that were sent before go on at their targets. Those of a zone that is taken back may have
// become cold.
void EntryNode::onZoneEmptied(const ZoneName &zone, bool isEmptied, EvacuationSource source)
{
    const std::string name(evacuationSourceName(source));
    std::string line = "Zone " + zone.text()
                       + (isEmptied ? " is emptied: its targets get nothing until it is taken back."
                                    : " is taken back: its targets get requests again.");
    line += " source=" + name + " zones_emptied=" + std::to_string(m_evacuations.size());
    if (const std::optional<Duration> age = m_catalog.age())
        line += " proof_age_ms="
                + std::to_string(
                        std::chrono::duration_cast<std::chrono::milliseconds>(*age).count());
    logLine(LogPart::Targets, LogLevel::Warning, line);
    m_metrics.count("currantwalk_zone_orders_total",
                    {{"order", isEmptied ? "empty" : "take_back"}, {"source", name}});
    if (isEmptied)
        return;
    m_targets.assumeCold(zone, [this](const std::string &service) {
        const CatalogService *const known =
                m_catalog.current() ? m_catalog.current()->findService(service) : nullptr;
        const bool isLimited = known && m_settings.coldBound && known->coldPerSecond > 0;
        return isLimited ? known->coldTime : Duration::zero();
    });
    beginRampsIn(zone);
}

void EntryNode::takeCatalogText(const std::string &text, CatalogSource source)
{
    absl::StatusOr<CatalogContent> content = m_bindings.readCatalog(text);
    if (source == CatalogSource::Store)
        m_isStoredCatalogInvalid = !content.ok();
    if (!content.ok()) {
        logLine(LogPart::Config, LogLevel::Error,
                "A catalogue is not valid: " + std::string(content.status().message())
                        + (source == CatalogSource::Store
                                   ? "; keys are not accepted until a valid one is published."
                                   : ""));
        return;
    }
    const std::uint64_t version = content->version;
    const std::size_t routes = content->routes.size();
    const bool isNewer = m_catalog.apply(ServiceCatalog::create(std::move(*content)));
    if (source == CatalogSource::Store)
        m_storedCatalogVersion = std::max(m_storedCatalogVersion, version);
    if (isNewer) {
        m_catalogText = text;
        updateReceiveLimits();
    }
    logLine(LogPart::Config, LogLevel::Info,
            "Catalogue " + std::to_string(version) + " with " + std::to_string(routes) + " routes "
                    + (isNewer ? "is in force." : "is not newer and was passed over."));
}

CatalogNote EntryNode::catalogNote() const
{
    if (!m_catalog.current())
        return {0, std::nullopt, m_evacuations.state()};
    return {m_catalog.current()->version(), m_catalog.age(), m_evacuations.state()};
}

// What a peer knew when it answered it knew no earlier than the question was sent, so its age
// counts from there: time that the answer spent on the way makes the proof older, never newer.
void EntryNode::onCatalogNote(const NodeRecord &peer, const CatalogNote &note, TimePoint sentAt)
{
    // Before the catalogue is confirmed: the proof is for all that the peer knows of the topic.
    m_evacuations.merge(note.evacuations);
    const std::uint64_t own = m_catalog.current() ? m_catalog.current()->version() : 0;
    if (note.version == own && own != 0 && note.age)
        m_catalog.confirmNewest(sentAt - *note.age);
    else if (note.version > own)
        fetchCatalog(peer);
}

void EntryNode::fetchCatalog(const NodeRecord &peer)
{
    if (std::exchange(m_isFetchingCatalog, true))
        return;
    m_peers.call(peer.peers, CatalogMethod, Json::Value(Json::objectValue),
                 [this](const absl::StatusOr<Json::Value> &result) {
                     m_isFetchingCatalog = false;
                     if (result.ok() && result->isString())
                         takeCatalogText(result->asString(), CatalogSource::Peer);
                     else
                         logLine(LogPart::Config, LogLevel::Info,
                                 "A peer's newer catalogue did not arrive.");
                 });
}

// Requests name the target that they are meant for.
static bool isWritableId(const std::string &key)
{
    return !key.empty() && std::all_of(key.begin(), key.end(), [](unsigned char character) {
        return character > 0x20 && character < 0x7F;
    });
}

static std::string coldText(const TargetEntry &entry)
{
    if (entry.coldRemaining == Duration::zero())
        return {};
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(entry.coldRemaining);
    return " cold_ms=" + std::to_string(left.count());
}

// An entry that can't be read names no target to use.
void EntryNode::takeTarget(const KeyedRecord &record)
{
    const TargetId id(record.key);
    if (!record.value) {
        logLine(LogPart::Targets, LogLevel::Info, "Target " + record.key + " is gone.");
        m_targets.remove(id);
        return;
    }
    const absl::StatusOr<TargetEntry> entry =
            isWritableId(record.key)
                    ? m_bindings.readTarget(*record.value)
                    : makeError(ErrorCode::InvalidRequest, "its key can't be written in a header");
    if (!entry.ok()) {
        logLine(LogPart::Targets, LogLevel::Warning,
                "The entry " + record.key
                        + " names no target: " + std::string(entry.status().message()));
        m_targets.remove(id);
        return;
    }
    logLine(LogPart::Targets, LogLevel::Info,
            "Target " + record.key + " of " + entry->service
                    + (entry->isLeaving ? " is leaving." : " is ready.") + coldText(*entry));
    const ServiceTarget *const known = m_targets.find(id);
    const bool isNewStart = !known || known->entry.startedAt != entry->startedAt
                            || known->entry.endpoint != entry->endpoint;
    m_targets.update(id, *entry);
    if (isNewStart)
        noteStart(id, *entry);
}

// While the store does not tell which targets leave, those with generations in progress are asked.
void EntryNode::askTargets()
{
    const bool isStoreAway = m_targetsFollower->isUnreachable()
                             || m_catalogFollower->isUnreachable()
                             || m_targetsFollower->isOverdue(AnswerSlack)
                             || m_catalogFollower->isOverdue(AnswerSlack);
    if (!isStoreAway)
        return;
    for (const auto &[id, load] : m_placer.ownLoads()) {
        const ServiceTarget *const target = m_targets.find(id);
        if (target && load.tokens != 0 && target->phase != TargetPhase::Leaving
            && !m_targets.isEmptied(*target) && timeUntilTaking(*target) == Duration::zero())
            askTarget(*target);
    }
}

// The one place for what a target says of itself, in whichever kind of answer.
void EntryNode::noteAnswer(const TargetSendNote &send, const RelayAnswerHead &answer)
{
    // Another target has the address.
    if (answer.isTargetReplaced)
        return;
    if (answer.isTargetLeaving)
        noteLeaving(send);
    noteLimit(send, answer.limit);
    const TimePoint now = m_loop.timers().now();
    if (answer.isNotRun)
        m_pace.ramps.onFailed({send.target, send.startedAt}, now);
    if (answer.status != 503) {
        if (!send.isOwnCall)
            m_holdOffs.onTaken(send.target, send.startedAt, now);
        return;
    }
    if (answer.retryAfter <= Duration::zero())
        return;
    m_holdOffs.onTurnedAway(send.target, send.startedAt, answer.retryAfter, now);
    if (isPaceLearnt())
        m_pace.ramps.begin({send.target, send.startedAt}, RampCause::TurnedAway, Duration::zero(),
                           now);
    const ServiceTarget *const known = m_targets.find(send.target);
    m_metrics.count("currantwalk_hold_offs_total",
                    {{"service", known ? known->entry.service : std::string()}});
    const auto period = std::chrono::duration_cast<std::chrono::milliseconds>(answer.retryAfter);
    logRequest(LogPart::Targets, LogLevel::Info, send.request,
               "Target " + send.target.text() + " turned a request away and wants nothing for "
                       + std::to_string(period.count()) + " ms.");
}

void EntryNode::noteLeaving(const TargetSendNote &send)
{
    const ServiceTarget *const known = m_targets.find(send.target);
    if (known && known->phase != TargetPhase::Leaving) {
        logRequest(LogPart::Targets, LogLevel::Info, send.request,
                   "Target " + send.target.text() + " says in its answer that it is leaving.");
        m_metrics.count("currantwalk_leaving_answers_total");
    }
    m_targets.applyLeavingNotice({send.target, send.startedAt});
}

static std::string limitText(const std::optional<double> &perSecond)
{
    return perSecond ? " names a limit of " + std::to_string(*perSecond) + " requests a second"
                     : " names no limit any more";
}

void EntryNode::noteLimit(const TargetSendNote &send, const LimitNotice &notice)
{
    if (notice.kind == LimitNotice::Kind::None && m_limits.isEmpty())
        return;
    const LimitChange change =
            m_limits.apply(send.target, send.startedAt, notice, send.sentAt, m_loop.timers().now());
    if (change == LimitChange::Unchanged)
        return;
    const std::string text =
            change == LimitChange::Changed
                    ? limitText(m_limits.limitOf(send.target, send.startedAt)) + '.'
                    : " names a limit that can't be read; what was known of it stays.";
    logRequest(LogPart::Limits, LogLevel::Info, send.request,
               "Target " + send.target.text() + text);
}

// Passed on in turn, as not all nodes tell all others.
void EntryNode::takeLimit(const TargetLimit &limit)
{
    if (!m_limits.merge(limit))
        return;
    logLine(LogPart::Limits, LogLevel::Info,
            "Target " + limit.target.text() + limitText(limit.perSecond) + ", as a peer tells.");
    m_loads.onChange();
}

// What the head of an answer says holds also where its body never ends.
void EntryNode::noteCallAnswer(const TargetSendNote &send, const HttpResponse &response)
{
    if (response.head.status == 0)
        return;
    RelayAnswerHead answer = m_bindings.readAnswerHead(response.head, RequestId());
    answer.isTargetLeaving = m_bindings.readIsLeaving(response);
    noteAnswer(send, answer);
}

void EntryNode::askTarget(const ServiceTarget &target)
{
    m_limiter.request(target.id, target.entry.startedAt, target.entry.zone, GrantUse::Repeat,
                      [this, id = target.id](bool isGranted) {
                          const ServiceTarget *const current = m_targets.find(id);
                          if (isGranted && current)
                              requestReport(*current);
                      });
}

void EntryNode::requestReport(const ServiceTarget &target)
{
    if (m_targets.isEmptied(target) || !m_limiter.take(target.id, target.entry.startedAt))
        return;
    HttpCallOptions options;
    options.endpoint = target.entry.endpoint;
    options.isConnectionKept = false;
    const TargetSendNote sent{target.id, target.entry.startedAt, m_loop.timers().now(), {}, true};
    m_fetcher.fetch(
            options, m_bindings.writeReportCall(), ReportTimeout,
            [this, sent](const FetchResult &result) { noteCallAnswer(sent, result.response); });
}

} // namespace currantwalk
