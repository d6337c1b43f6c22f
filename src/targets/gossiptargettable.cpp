#include "targets/gossiptargettable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

constexpr int TicksPerProbeInterval = 10;
constexpr int SlowProbeFactor = 3; ///< For gone targets and those that this node doesn't watch.
constexpr int PlainDigestFactor = 3;
constexpr Duration Retention = std::chrono::minutes(10);

std::unique_ptr<TargetTable> TargetTable::create(const Options &options, Hooks hooks,
                                                 TimerService &timers)
{
    return std::make_unique<GossipTargetTable>(options, std::move(hooks), timers);
}

GossipTargetTable::GossipTargetTable(const Options &options, Hooks hooks, TimerService &timers)
    : m_options(options), m_hooks(std::move(hooks)), m_timers(timers), m_outliers(options.outliers)
{
}

GossipTargetTable::~GossipTargetTable()
{
    m_timers.cancel(m_probeTimer);
    m_timers.cancel(m_digestTimer);
}

void GossipTargetTable::start()
{
    selectWatched();
    probeTick();
    scheduleDigest(m_options.digestStartDelay);
}

void GossipTargetTable::onTargetList(const std::vector<ListedTarget> &list)
{
    if (list.empty())
        return;
    std::set<TargetId> listed;
    selectOtherZoneTargets(list);
    for (const ListedTarget &row : list) {
        listed.insert(row.id);
        Entry &known = entry(row.id);
        const TargetState before = known.record.target().state;
        const bool isNew = !known.record.isListed();
        const bool isChanged = known.record.applyListed(row, m_timers.now());
        publish(known, isChanged || isNew, Source::Local, before);
    }
    for (auto &[id, known] : m_entries) {
        const TargetState before = known.record.target().state;
        // Every node reads the list, so a removal is not announced to peers.
        if (listed.count(id) == 0)
            publish(known, known.record.applyUnlisted(m_timers.now()), Source::Peer, before);
    }
}

void GossipTargetTable::onReport(const TargetReport &report)
{
    Entry *known = findEntry(report.id);
    if (!known)
        return;
    known->probeSentAt.reset();
    known->failures = 0;
    known->isSuspected = false;
    const TargetState before = known->record.target().state;
    const bool isChanged = known->record.applyReport(report, m_timers.now());
    known->isReportFresh = true;
    publish(*known, isChanged, Source::Local, before);
    m_hooks.onLoad(known->record.target());
}

void GossipTargetTable::onProbeFailed(const TargetId &target)
{
    Entry *known = findEntry(target);
    if (known && known->probeSentAt)
        handleProbeFailure(*known);
}

absl::Status GossipTargetTable::onDigest(const Json::Value &digest)
{
    const absl::StatusOr<std::vector<DigestRow>> rows = readDigest(digest);
    if (!rows.ok())
        return rows.status();
    for (const DigestRow &row : *rows)
        applyRow(row);
    return absl::OkStatus();
}

absl::Status GossipTargetTable::onAnnouncement(const Json::Value &message)
{
    const absl::StatusOr<TargetAnnouncement> announcement = readAnnouncement(message);
    if (!announcement.ok())
        return announcement.status();
    Entry &known = entry(announcement->id);
    const TargetState before = known.record.target().state;
    const TimePoint now = m_timers.now();
    if (announcement->state == TargetState::Leaving) {
        publish(known, known.record.applyLeaving(announcement->incarnation, now), Source::Peer,
                before);
        return absl::OkStatus();
    }
    const bool isChanged =
            known.record.applyGone(announcement->incarnation, now - announcement->age, now);
    publish(known, isChanged, Source::Peer, before);
    // Only the announcing node's link to the target may have failed. A watcher probes the target
    // itself, and its next digest corrects a false announcement.
    if (isChanged && known.isWatched)
        probe(known);
    return absl::OkStatus();
}

void GossipTargetTable::onSuspectedDead(const TargetId &target)
{
    Entry *known = findEntry(target);
    if (!known || known->isSuspected || known->record.target().state == TargetState::Gone)
        return;
    known->isSuspected = true;
    probe(*known);
}

void GossipTargetTable::onLeaving(const TargetId &target, Incarnation incarnation)
{
    Entry &known = entry(target);
    const TargetState before = known.record.target().state;
    publish(known, known.record.applyLeaving(incarnation, m_timers.now()), Source::Local, before);
}

void GossipTargetTable::onOutcome(const TargetId &target, bool isSuccess)
{
    m_outliers.onOutcome(target, isSuccess, m_timers.now());
}

const Target *GossipTargetTable::find(const TargetId &target) const
{
    const auto it = m_entries.find(target);
    return it == m_entries.end() ? nullptr : &it->second.record.target();
}

std::vector<const Target *> GossipTargetTable::all() const
{
    std::vector<const Target *> targets;
    targets.reserve(m_entries.size());
    for (const auto &[id, known] : m_entries)
        targets.push_back(&known.record.target());
    return targets;
}

std::vector<const Target *> GossipTargetTable::candidates(std::string_view pool) const
{
    std::map<std::string_view, std::vector<const Entry *>> zones;
    for (const auto &[id, known] : m_entries) {
        if (known.record.target().pool == pool && isUsable(known))
            zones[known.record.target().zone].push_back(&known);
    }
    std::vector<const Target *> usable;
    appendCandidates(usable, std::exchange(zones[m_options.zone], {}));
    for (auto &[zone, entries] : zones)
        appendCandidates(usable, std::move(entries));
    return usable;
}

// Appends the targets of one zone, without ejected and suspected ones unless there are no
// others.
void GossipTargetTable::appendCandidates(std::vector<const Target *> &usable,
                                         std::vector<const Entry *> zone) const
{
    const auto isSuspectedOrEjected = [this](const Entry *known) {
        return known->isSuspected
               || m_outliers.isEjected(known->record.target().id, m_timers.now());
    };
    const bool hasHealthy = !std::all_of(zone.begin(), zone.end(), isSuspectedOrEjected);
    for (const Entry *known : zone) {
        if (!hasHealthy || !isSuspectedOrEjected(known))
            usable.push_back(&known->record.target());
    }
}

GossipTargetTable::Entry &GossipTargetTable::entry(const TargetId &id)
{
    return m_entries.try_emplace(id, id).first->second;
}

GossipTargetTable::Entry *GossipTargetTable::findEntry(const TargetId &id)
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

bool GossipTargetTable::isOwnZone(const Entry &entry) const
{
    return entry.record.target().zone == m_options.zone;
}

// Runs once per digest interval, as isWatcher() costs more than all other work for a target.
void GossipTargetTable::selectWatched()
{
    for (auto &[id, known] : m_entries) {
        const bool isInScope = isOwnZone(known) || m_watchedInOtherZones.count(id) > 0;
        known.isWatched = known.record.isListed() && isInScope && m_hooks.isWatcher(id);
    }
}

bool GossipTargetTable::isUsable(const Entry &entry) const
{
    const Target &target = entry.record.target();
    if (!entry.record.isListed() || target.state != TargetState::Live)
        return false;
    return target.kind == TargetKind::Plain || entry.record.isReported();
}

Duration GossipTargetTable::probePeriod(const Entry &entry) const
{
    if (!isOwnZone(entry))
        return m_options.otherZoneProbeInterval;
    const bool isSlow = entry.record.target().state == TargetState::Gone || !entry.isWatched;
    return isSlow ? m_options.probeInterval * SlowProbeFactor : m_options.probeInterval;
}

// A node that doesn't watch a target of its zone probes it when digests have brought no report or
// only a stale one. Hashes spread the nodes and targets that would probe at the same time.
bool GossipTargetTable::isProbeDue(const Entry &entry) const
{
    if (!entry.record.isListed() || entry.probeSentAt)
        return false;
    if (entry.isProbeRequested)
        return true;
    const TimePoint now = m_timers.now();
    if (entry.lastProbeAt && now - *entry.lastProbeAt < probePeriod(entry))
        return false;
    if (entry.isWatched)
        return true;
    if (!isOwnZone(entry))
        return false;
    return !entry.record.isReported()
           || now - entry.record.target().load.reportedAt > m_options.maxReportAge;
}

void GossipTargetTable::probe(Entry &entry)
{
    entry.isProbeRequested = false;
    entry.lastProbeAt = m_timers.now();
    entry.probeSentAt = m_timers.now();
    m_hooks.probe(entry.record.target());
}

void GossipTargetTable::handleProbeFailure(Entry &entry)
{
    entry.probeSentAt.reset();
    ++entry.failures;
    const bool isDead = entry.isSuspected || entry.failures >= m_options.probeFailureThreshold;
    if (!isDead)
        return;
    entry.isSuspected = false;
    const Target &target = entry.record.target();
    const TargetState before = target.state;
    const TimePoint now = m_timers.now();
    publish(entry, entry.record.applyGone(target.incarnation, now, now), Source::Local, before);
    entry.isReportFresh = true;
}

void GossipTargetTable::probeTick()
{
    const TimePoint now = m_timers.now();
    for (auto &[id, known] : m_entries) {
        if (known.probeSentAt && now - *known.probeSentAt >= m_options.probeTimeout)
            handleProbeFailure(known);
        if (isProbeDue(known))
            probe(known);
    }
    m_probeTimer = m_timers.scheduleAfter(m_options.probeInterval / TicksPerProbeInterval,
                                          [this] { probeTick(); });
}

bool GossipTargetTable::isDigestDue(const Entry &entry, Duration interval) const
{
    if (!entry.isReportFresh || !entry.isWatched)
        return false;
    const bool isPlain = entry.record.target().kind == TargetKind::Plain;
    const Duration period = isPlain ? interval * PlainDigestFactor : interval;
    // A row that another watcher has just sent is not due here, so watchers don't repeat each
    // other.
    return m_timers.now() - entry.lastSentAt >= period * 9 / 10;
}

void GossipTargetTable::digestTick()
{
    selectWatched();
    const Duration interval = scaledDigestInterval();
    std::vector<DigestRow> rows;
    for (auto &[id, known] : m_entries) {
        if (!isDigestDue(known, interval))
            continue;
        rows.push_back(makeRow(known));
        markSent(known, rows.back());
        known.isReportFresh = false;
    }
    if (!rows.empty())
        m_hooks.broadcastDigest(writeDigest(rows));
    removeExpired();
    scheduleDigest(interval);
}

void GossipTargetTable::scheduleDigest(Duration delay)
{
    m_digestTimer = m_timers.scheduleAfter(delay, [this] { digestTick(); });
}

// Digest traffic grows with the nodes and targets of a zone. An interval proportional to the
// number of targets bounds the bytes per second of a node.
Duration GossipTargetTable::scaledDigestInterval() const
{
    const auto ownTargets =
            std::count_if(m_entries.begin(), m_entries.end(), [this](const auto &item) {
                return isOwnZone(item.second) && item.second.record.isListed();
            });
    return std::max(m_options.digestInterval,
                    m_options.digestIntervalPerTarget * static_cast<int>(ownTargets));
}

DigestRow GossipTargetTable::makeRow(const Entry &entry) const
{
    const Target &target = entry.record.target();
    DigestRow row;
    row.id = target.id;
    row.incarnation = target.incarnation;
    row.state = entry.record.stateForPeers();
    row.age = m_timers.now() - target.load.reportedAt;
    if (target.state == TargetState::Gone) {
        row.age = Duration(0);
        return row;
    }
    if (target.kind == TargetKind::Plain)
        return row;
    row.hasLoad = true;
    row.load = target.load;
    row.modelsTag = modelsTag(target.models, target.load.capacityTokens);
    row.hasModels = !entry.hasSentModels || entry.lastSentTag != row.modelsTag;
    row.models = target.models;
    return row;
}

void GossipTargetTable::markSent(Entry &entry, const DigestRow &row)
{
    entry.lastSentAt = m_timers.now();
    if (!row.hasModels)
        return;
    entry.hasSentModels = true;
    entry.lastSentTag = row.modelsTag;
}

void GossipTargetTable::applyRow(const DigestRow &row)
{
    Entry &known = entry(row.id);
    const TimePoint now = m_timers.now();
    const TargetState before = known.record.target().state;
    markSent(known, row);
    if (row.state == TargetState::Gone) {
        publish(known, known.record.applyGone(row.incarnation, now - row.age, now), Source::Peer,
                before);
        return;
    }
    if (row.state == TargetState::Leaving)
        publish(known, known.record.applyLeaving(row.incarnation, now), Source::Peer, before);
    applyLoadRow(known, row);
}

void GossipTargetTable::applyLoadRow(Entry &entry, const DigestRow &row)
{
    const Target &target = entry.record.target();
    const TargetState before = target.state;
    TargetReport report;
    report.id = row.id;
    report.incarnation = row.incarnation;
    report.load = row.load;
    report.load.reportedAt = m_timers.now() - row.age;
    report.models = row.models;
    if (row.hasLoad && !row.hasModels) {
        const bool isKnown =
                entry.record.isReported() && target.incarnation == row.incarnation
                && modelsTag(target.models, target.load.capacityTokens) == row.modelsTag;
        if (!isKnown) {
            entry.isProbeRequested = row.incarnation >= target.incarnation;
            return;
        }
        report.models = target.models;
        report.load.capacityTokens = target.load.capacityTokens;
    }
    const bool isChanged = entry.record.applyReport(report, m_timers.now());
    publish(entry, isChanged, Source::Peer, before);
    if (target.load.reportedAt == report.load.reportedAt)
        m_hooks.onLoad(target);
}

void GossipTargetTable::removeExpired()
{
    const TimePoint now = m_timers.now();
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const TargetRecord &record = it->second.record;
        if (record.isListed() || now - record.lastUpdatedAt() < Retention) {
            ++it;
            continue;
        }
        m_outliers.remove(it->first);
        it = m_entries.erase(it);
    }
}

// Each zone watches some targets of other zones, so that it can route requests there when it has
// none of its own left. The selection differs between zones.
void GossipTargetTable::selectOtherZoneTargets(const std::vector<ListedTarget> &list)
{
    const std::uint64_t seed = stableHash(m_options.zone);
    std::vector<std::pair<std::uint64_t, TargetId>> ranked;
    for (const ListedTarget &row : list) {
        if (row.zone != m_options.zone)
            ranked.emplace_back(stableHash(row.id.text(), seed), row.id);
    }
    std::sort(ranked.begin(), ranked.end());
    if (ranked.size() > m_options.maxOtherZoneTargets)
        ranked.resize(m_options.maxOtherZoneTargets);
    m_watchedInOtherZones.clear();
    for (auto &[weight, id] : ranked)
        m_watchedInOtherZones.insert(std::move(id));
}

void GossipTargetTable::publish(Entry &entry, bool isChanged, Source source, TargetState before)
{
    if (!isChanged)
        return;
    const Target &target = entry.record.target();
    if (target.state == TargetState::Gone)
        m_outliers.remove(target.id);
    m_hooks.onChange(target);
    if (source == Source::Local && target.state != before && target.state != TargetState::Live)
        announce(entry);
}

void GossipTargetTable::announce(const Entry &entry)
{
    const Target &target = entry.record.target();
    m_hooks.announce(writeAnnouncement({target.id, target.incarnation, target.state, Duration(0)}));
}

} // namespace currantwalk
