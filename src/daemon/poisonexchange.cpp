#include "daemon/poisonexchange.h"

#include <algorithm>

#include "base/json.h"
#include "daemon/poisonmessages.h"
#include "daemon/requestfingerprint.h"
#include "observe/logging.h"

namespace currantwalk {

static constexpr const char *NewsMethod = "poison-news";
// The deaths of one crash go in one message.
static constexpr Duration SendDelay = std::chrono::milliseconds(10);
// Nodes of another zone that get a report in a large deployment; they pass it on within the zone.
static constexpr std::size_t RelaysPerZone = 2;
// The node that detected the last death writes the record; others only if it does not.
static constexpr Duration RecordGrace = std::chrono::seconds(1);
static constexpr Duration RecordRetry = std::chrono::seconds(3);
static constexpr Duration RestoreSpread = std::chrono::seconds(1);
static constexpr Duration ExpiryInterval = std::chrono::minutes(1);

PoisonExchange::PoisonExchange(const ZoneName &zone, PoisonTracker &tracker, PeerLink &peers,
                               const NodeDirectory &nodes, Hooks hooks, TimerService &timers,
                               RandomSource &random)
    : m_zone(zone),
      m_tracker(tracker),
      m_peers(peers),
      m_nodes(nodes),
      m_hooks(std::move(hooks)),
      m_timers(timers),
      m_random(random),
      m_comparison(tracker, peers,
                   {[this] { return availablePeers(); },
                    [this](const PoisonKnowledge &knowledge) { apply(knowledge); }},
                   timers, random),
      m_answerPoll(tracker, peers, nodes, timers, random)
{
}

PoisonExchange::~PoisonExchange()
{
    *m_alive = false;
    m_timers.cancel(m_sendTimer);
    m_timers.cancel(m_expiryTimer);
    for (const auto &[fingerprint, timer] : m_writeTimers)
        m_timers.cancel(timer);
}

void PoisonExchange::start()
{
    m_isStarted = true;
    m_peers.server().addMethod(NewsMethod,
                               [this](const Json::Value &message, const RpcResponder &responder) {
                                   onNews(message);
                                   responder(Json::Value(true));
                               });
    m_comparison.start();
    m_answerPoll.start();
    deleteExpiredRecords();
}

void PoisonExchange::onDeath(const PoisonReport &report)
{
    if (!m_isStarted)
        return;
    m_unsent.reports.push_back(report);
    if (m_tracker.suspicion(report.fingerprint) == Suspicion::Refused)
        onRefused(report.fingerprint, Duration::zero());
    // Deaths that are due to a feature speak against no request without it any more.
    if (report.isOfFeature)
        deleteWithdrawnRecords();
    sendSoon();
}

void PoisonExchange::onCleared(const PoisonClearing &clearing)
{
    if (!m_isStarted)
        return;
    m_unsent.clearings.push_back(clearing);
    sendSoon();
}

// What was refused by these deaths has been told apart from poisonous requests.
void PoisonExchange::onWithdrawn(const TargetLifetime &lifetime)
{
    if (!m_isStarted)
        return;
    logLine(LogPart::Poison, LogLevel::Info,
            "Target " + lifetime.target.text()
                    + " answers on; the deaths recorded against it are withdrawn.");
    m_unsent.lifetimes.push_back(lifetime);
    sendSoon();
    deleteWithdrawnRecords();
}

void PoisonExchange::deleteWithdrawnRecords()
{
    for (const auto &[fingerprint, seenAt] : m_recorded) {
        if (m_tracker.suspicion(fingerprint) != Suspicion::Refused)
            deleteRecord(fingerprint);
    }
}

void PoisonExchange::sendSoon()
{
    if (m_sendTimer != NoTimer)
        return;
    m_sendTimer = m_timers.scheduleAfter(SendDelay, [this] {
        m_sendTimer = NoTimer;
        sendNews();
    });
}

void PoisonExchange::sendNews()
{
    Json::Value message = encodePoisonKnowledge(std::exchange(m_unsent, {}));
    message["zone"] = m_zone.text();
    for (const ZoneName &zone : m_nodes.zones()) {
        if (zone == m_zone || m_nodes.isSmall()) {
            sendToZone(zone, message);
            continue;
        }
        auto peers = m_nodes.availablePeersIn(zone, m_timers.now());
        for (std::size_t i = 0; i < RelaysPerZone && !peers.empty(); ++i) {
            const std::size_t pick = m_random.uniformBelow(peers.size());
            sendTo(peers[pick].second, message);
            peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
        }
    }
}

void PoisonExchange::sendToZone(const ZoneName &zone, const Json::Value &message)
{
    for (const auto &[vm, peer] : m_nodes.availablePeersIn(zone, m_timers.now()))
        sendTo(peer, message);
}

// What is lost here is made good by the next comparison.
void PoisonExchange::sendTo(const NodeRecord &peer, const Json::Value &message)
{
    m_peers.notify(peer.peers, NewsMethod, message);
}

// In a large deployment a node that hears from another zone passes the message on within its own.
void PoisonExchange::onNews(const Json::Value &message)
{
    const absl::StatusOr<PoisonKnowledge> knowledge = decodePoisonKnowledge(message);
    if (!knowledge.ok()) {
        logLine(LogPart::Poison, LogLevel::Warning,
                "A peer's news can't be read: " + std::string(knowledge.status().message()));
        return;
    }
    const ZoneName zone(stringMember(message, "zone").value_or(""));
    if (!apply(*knowledge) || m_nodes.isSmall() || zone == m_zone)
        return;
    Json::Value relayed = message;
    relayed["zone"] = m_zone.text();
    sendToZone(m_zone, relayed);
}

std::vector<Endpoint> PoisonExchange::availablePeers() const
{
    std::vector<Endpoint> peers;
    for (const ZoneName &zone : m_nodes.zones()) {
        for (const auto &[vm, peer] : m_nodes.availablePeersIn(zone, m_timers.now()))
            peers.push_back(peer.peers);
    }
    return peers;
}

// Returns whether the knowledge adds anything.
bool PoisonExchange::apply(const PoisonKnowledge &knowledge)
{
    const bool isNew = m_tracker.apply(knowledge);
    for (const PoisonReport &report : knowledge.reports) {
        if (m_tracker.suspicion(report.fingerprint) == Suspicion::Refused)
            onRefused(report.fingerprint, RecordGrace + m_random.jitter(RecordGrace));
    }
    return isNew;
}

void PoisonExchange::onRefused(std::uint64_t fingerprint, Duration delay)
{
    if (m_logged.insert(fingerprint).second) {
        std::string deaths;
        std::string subject;
        for (const PoisonReport &report : m_tracker.reportsOf(fingerprint)) {
            deaths += (deaths.empty() ? "" : ", ") + report.target.text();
            subject = report.subject;
        }
        logLine(LogPart::Poison, LogLevel::Warning,
                "Request " + fingerprintText(fingerprint) + " (" + subject
                        + ") is refused: " + deaths + " died while running it.");
    }
    scheduleRecord(fingerprint, delay);
}

void PoisonExchange::scheduleRecord(std::uint64_t fingerprint, Duration delay)
{
    const bool isScheduled = delay > Duration::zero() && m_writeTimers.contains(fingerprint);
    if (m_recorded.contains(fingerprint) || isScheduled)
        return;
    TimerId &timer = m_writeTimers[fingerprint];
    m_timers.cancel(timer);
    timer = m_timers.scheduleAfter(delay, [this, fingerprint] {
        m_writeTimers.erase(fingerprint);
        writeRecord(fingerprint);
    });
}

void PoisonExchange::writeRecord(std::uint64_t fingerprint)
{
    const bool isNeeded = m_tracker.suspicion(fingerprint) == Suspicion::Refused
                          && !m_recorded.contains(fingerprint);
    if (!isNeeded)
        return;
    PoisonRecord record{fingerprint, "", m_tracker.reportsOf(fingerprint)};
    record.subject = record.deaths.front().subject;
    if (m_recorded.size() >= MaxRecords) {
        logLine(LogPart::Poison, LogLevel::Warning,
                "Request " + fingerprintText(fingerprint) + " is not recorded: the store has "
                        + std::to_string(MaxRecords) + " records.");
        return;
    }
    m_hooks.writeRecord(
            poisonRecordKey(fingerprint), encodePoisonRecord(record, m_hooks.unixMilliseconds()),
            [this, alive = m_alive, fingerprint](const absl::Status &status) {
                if (!*alive || status.ok())
                    return;
                logLine(LogPart::Poison, LogLevel::Warning,
                        "Request " + fingerprintText(fingerprint)
                                + " can't be recorded: " + std::string(status.message()));
                scheduleRecord(fingerprint, RecordRetry + m_random.jitter(RecordRetry));
            });
}

// The first node to write spares the others the call, as they read its record.
void PoisonExchange::onRestored()
{
    m_recorded.clear();
    for (const PoisonTracker::Entry &entry : m_tracker.entries()) {
        if (entry.suspicion == Suspicion::Refused)
            scheduleRecord(entry.fingerprint, m_random.jitter(RestoreSpread));
    }
}

void PoisonExchange::onRecord(const std::string &key, const std::optional<std::string> &value)
{
    const std::optional<std::uint64_t> fingerprint = parsePoisonRecordKey(key);
    if (!fingerprint) {
        logLine(LogPart::Poison, LogLevel::Warning, "The record " + key + " names no request.");
        return;
    }
    if (!value) {
        if (m_recorded.erase(*fingerprint) != 0)
            logLine(LogPart::Poison, LogLevel::Info,
                    "Request " + fingerprintText(*fingerprint) + " was cleared.");
        m_tracker.clear(*fingerprint);
        return;
    }
    const absl::StatusOr<PoisonRecord> record =
            decodePoisonRecord(*value, m_hooks.unixMilliseconds());
    if (!record.ok() || record->fingerprint != *fingerprint) {
        logLine(LogPart::Poison, LogLevel::Warning, "The record " + key + " can't be read.");
        return;
    }
    m_recorded.try_emplace(*fingerprint, m_timers.now());
    for (const PoisonReport &report : record->deaths)
        m_tracker.onReport(report);
}

// A record that stays is deleted later as an expired one.
void PoisonExchange::deleteRecord(std::uint64_t fingerprint)
{
    m_hooks.writeRecord(poisonRecordKey(fingerprint), std::nullopt,
                        [fingerprint](const absl::Status &status) {
                            if (!status.ok())
                                logLine(LogPart::Poison, LogLevel::Info,
                                        "The record of request " + fingerprintText(fingerprint)
                                                + " stays: " + std::string(status.message()));
                        });
}

// One of the nodes deletes a record whose refusal has expired, on average. The age of a record is
// taken from when it was first seen, as the time of day may be wrong here.
void PoisonExchange::deleteExpiredRecords()
{
    std::erase_if(m_logged, [this](std::uint64_t fingerprint) {
        return m_tracker.suspicion(fingerprint) != Suspicion::Refused;
    });
    for (const auto &[fingerprint, seenAt] : m_recorded) {
        const bool isExpired = m_timers.now() - seenAt >= PoisonTracker::RefusalLifetime;
        if (isExpired && m_random.uniformBelow(m_nodes.size()) == 0)
            deleteRecord(fingerprint);
    }
    m_expiryTimer = m_timers.scheduleAfter(ExpiryInterval, [this] { deleteExpiredRecords(); });
}

} // namespace currantwalk
