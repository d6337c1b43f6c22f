#include "targets/watchedtargettable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

constexpr int TicksPerProbeInterval = 10;
constexpr int SlowProbeFactor = 3; ///< For gone targets and those that others watch.
constexpr int PlainShareFactor = 3;
constexpr Duration Retention = std::chrono::minutes(10);

std::unique_ptr<TargetTable> TargetTable::create(const Options &options, Hooks hooks,
                                                 TimerService &timers)
{
    return std::make_unique<WatchedTargetTable>(options, std::move(hooks), timers);
}

WatchedTargetTable::WatchedTargetTable(const Options &options, Hooks hooks, TimerService &timers)
    : m_options(options), m_hooks(std::move(hooks)), m_timers(timers), m_outliers(options.outliers)
{
}

WatchedTargetTable::~WatchedTargetTable()
{
    m_timers.cancel(m_probeTimer);
    m_timers.cancel(m_shareTimer);
}

void WatchedTargetTable::start()
{
    chooseWatched();
    probeTick();
    shareTick();
}

void WatchedTargetTable::onList(const std::vector<ListedTarget> &list)
{
    if (list.empty())
        return;
    std::set<TargetId> listed;
    chooseForeign(list);
    for (const ListedTarget &row : list) {
        listed.insert(row.id);
        Entry &known = entry(row.id);
        const TargetState before = known.record.target().state;
        const bool isNew = !known.record.isListed();
        const bool isChanged = known.record.applyListed(row, m_timers.now());
        publish(known, isChanged || isNew, Source::Own, before);
    }
    for (auto &[id, known] : m_entries) {
        const TargetState before = known.record.target().state;
        // Every node reads the list, so that a removal needs no word to the others.
        if (listed.count(id) == 0)
            publish(known, known.record.applyUnlisted(m_timers.now()), Source::Peer, before);
    }
}

void WatchedTargetTable::onReport(const TargetReport &report)
{
    Entry *known = findEntry(report.id);
    if (!known)
        return;
    known->probedAt.reset();
    known->failures = 0;
    known->isConfirming = false;
    const TargetState before = known->record.target().state;
    const bool isChanged = known->record.applyReport(report, m_timers.now());
    known->isReportFresh = true;
    publish(*known, isChanged, Source::Own, before);
    m_hooks.onLoad(known->record.target());
}

void WatchedTargetTable::onProbeFailed(const TargetId &target)
{
    Entry *known = findEntry(target);
    if (known && known->probedAt)
        failProbe(*known);
}

absl::Status WatchedTargetTable::onDigest(const Json::Value &digest)
{
    const absl::StatusOr<std::vector<DigestRow>> rows = readDigest(digest);
    if (!rows.ok())
        return rows.status();
    for (const DigestRow &row : *rows)
        applyRow(row);
    return absl::OkStatus();
}

absl::Status WatchedTargetTable::onAnnouncement(const Json::Value &fact)
{
    const absl::StatusOr<TargetAnnouncement> announcement = readAnnouncement(fact);
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
    // The other node may have a broken link of its own: a watcher looks for itself, and its next
    // digest corrects a word that was wrong.
    if (isChanged && known.isWatched)
        probe(known);
    return absl::OkStatus();
}

void WatchedTargetTable::onSuspectedDead(const TargetId &target)
{
    Entry *known = findEntry(target);
    if (!known || known->isConfirming || known->record.target().state == TargetState::Gone)
        return;
    known->isConfirming = true;
    probe(*known);
}

void WatchedTargetTable::onLeaving(const TargetId &target, Incarnation incarnation)
{
    Entry &known = entry(target);
    const TargetState before = known.record.target().state;
    publish(known, known.record.applyLeaving(incarnation, m_timers.now()), Source::Own, before);
}

void WatchedTargetTable::onOutcome(const TargetId &target, bool isSuccess)
{
    m_outliers.onOutcome(target, isSuccess, m_timers.now());
}

const Target *WatchedTargetTable::find(const TargetId &target) const
{
    const auto it = m_entries.find(target);
    return it == m_entries.end() ? nullptr : &it->second.record.target();
}

std::vector<const Target *> WatchedTargetTable::all() const
{
    std::vector<const Target *> targets;
    targets.reserve(m_entries.size());
    for (const auto &[id, known] : m_entries)
        targets.push_back(&known.record.target());
    return targets;
}

std::vector<const Target *> WatchedTargetTable::candidates(std::string_view pool) const
{
    std::map<std::string_view, std::vector<const Entry *>> zones;
    for (const auto &[id, known] : m_entries) {
        if (known.record.target().pool == pool && isUsable(known))
            zones[known.record.target().zone].push_back(&known);
    }
    std::vector<const Target *> usable;
    appendUsable(usable, std::exchange(zones[m_options.zone], {}));
    for (auto &[zone, entries] : zones)
        appendUsable(usable, std::move(entries));
    return usable;
}

// Takes the targets of one zone, without the ejected ones and those under suspicion unless there
// are no others.
void WatchedTargetTable::appendUsable(std::vector<const Target *> &usable,
                                      std::vector<const Entry *> zone) const
{
    const auto isDoubtful = [this](const Entry *known) {
        return known->isConfirming
               || m_outliers.isEjected(known->record.target().id, m_timers.now());
    };
    const bool isAnySound = !std::all_of(zone.begin(), zone.end(), isDoubtful);
    for (const Entry *known : zone) {
        if (!isAnySound || !isDoubtful(known))
            usable.push_back(&known->record.target());
    }
}

WatchedTargetTable::Entry &WatchedTargetTable::entry(const TargetId &id)
{
    return m_entries.try_emplace(id, id).first->second;
}

WatchedTargetTable::Entry *WatchedTargetTable::findEntry(const TargetId &id)
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

bool WatchedTargetTable::isOwnZone(const Entry &entry) const
{
    return entry.record.target().zone == m_options.zone;
}

// Asked once an interval: the choice among the members costs more than all else done for a target.
void WatchedTargetTable::chooseWatched()
{
    for (auto &[id, known] : m_entries) {
        const bool isMine = isOwnZone(known) || m_foreignWatched.count(id) > 0;
        known.isWatched = known.record.isListed() && isMine && m_hooks.isWatcher(id);
    }
}

bool WatchedTargetTable::isUsable(const Entry &entry) const
{
    const Target &target = entry.record.target();
    if (!entry.record.isListed() || target.state != TargetState::Live)
        return false;
    return target.kind == TargetKind::Plain || entry.record.isReported();
}

Duration WatchedTargetTable::probePeriod(const Entry &entry) const
{
    if (!isOwnZone(entry))
        return m_options.foreignInterval;
    const bool isSlow = entry.record.target().state == TargetState::Gone || !entry.isWatched;
    return isSlow ? m_options.probeInterval * SlowProbeFactor : m_options.probeInterval;
}

// A node that is no watcher of a target of its zone asks where the digests left it without a report
// or with an old one. Hashes spread the nodes and targets that would ask at the same time.
bool WatchedTargetTable::isProbeDue(const Entry &entry) const
{
    if (!entry.record.isListed() || entry.probedAt)
        return false;
    if (entry.isProbeWanted)
        return true;
    const TimePoint now = m_timers.now();
    if (entry.lastProbe && now - *entry.lastProbe < probePeriod(entry))
        return false;
    if (entry.isWatched)
        return true;
    if (!isOwnZone(entry))
        return false;
    return !entry.record.isReported()
           || now - entry.record.target().load.reportedAt > m_options.staleAfter;
}

void WatchedTargetTable::probe(Entry &entry)
{
    entry.isProbeWanted = false;
    entry.lastProbe = m_timers.now();
    entry.probedAt = m_timers.now();
    m_hooks.probe(entry.record.target());
}

void WatchedTargetTable::failProbe(Entry &entry)
{
    entry.probedAt.reset();
    ++entry.failures;
    const bool isDead = entry.isConfirming || entry.failures >= m_options.probeFailuresToDie;
    if (!isDead)
        return;
    entry.isConfirming = false;
    const Target &target = entry.record.target();
    const TargetState before = target.state;
    const TimePoint now = m_timers.now();
    publish(entry, entry.record.applyGone(target.incarnation, now, now), Source::Own, before);
    entry.isReportFresh = true;
}

void WatchedTargetTable::probeTick()
{
    const TimePoint now = m_timers.now();
    for (auto &[id, known] : m_entries) {
        if (known.probedAt && now - *known.probedAt >= m_options.probeTimeout)
            failProbe(known);
        if (isProbeDue(known))
            probe(known);
    }
    m_probeTimer = m_timers.subscribeAfter(m_options.probeInterval / TicksPerProbeInterval,
                                           [this] { probeTick(); });
}

bool WatchedTargetTable::isShareDue(const Entry &entry) const
{
    if (!entry.isReportFresh || !entry.isWatched)
        return false;
    const bool isPlain = entry.record.target().kind == TargetKind::Plain;
    const Duration period =
            isPlain ? m_options.shareInterval * PlainShareFactor : m_options.shareInterval;
    // Two watchers take turns by chance: a row that the other has just sent is not due here.
    return m_timers.now() - entry.sharedAt >= period * 9 / 10;
}

void WatchedTargetTable::shareTick()
{
    chooseWatched();
    std::vector<DigestRow> rows;
    for (auto &[id, known] : m_entries) {
        if (!isShareDue(known))
            continue;
        rows.push_back(makeRow(known));
        markShared(known, rows.back());
        known.isReportFresh = false;
    }
    if (!rows.empty())
        m_hooks.shareInZone(writeDigest(rows));
    forgetOld();
    m_shareTimer = m_timers.subscribeAfter(m_options.shareInterval, [this] { shareTick(); });
}

DigestRow WatchedTargetTable::makeRow(const Entry &entry) const
{
    const Target &target = entry.record.target();
    DigestRow row;
    row.id = target.id;
    row.incarnation = target.incarnation;
    row.state = entry.record.sharedState();
    row.age = m_timers.now() - target.load.reportedAt;
    if (target.state == TargetState::Gone) {
        row.age = Duration(0);
        return row;
    }
    if (target.kind == TargetKind::Plain)
        return row;
    row.hasLoad = true;
    row.load = target.load;
    row.modelsTag = modelsTag(target.models);
    row.hasModels = !entry.hasSharedModels || entry.sharedTag != row.modelsTag;
    row.models = target.models;
    return row;
}

void WatchedTargetTable::markShared(Entry &entry, const DigestRow &row)
{
    entry.sharedAt = m_timers.now();
    if (!row.hasModels)
        return;
    entry.hasSharedModels = true;
    entry.sharedTag = row.modelsTag;
}

void WatchedTargetTable::applyRow(const DigestRow &row)
{
    Entry &known = entry(row.id);
    const TimePoint now = m_timers.now();
    const TargetState before = known.record.target().state;
    markShared(known, row);
    if (row.state == TargetState::Gone) {
        publish(known, known.record.applyGone(row.incarnation, now - row.age, now), Source::Peer,
                before);
        return;
    }
    if (row.state == TargetState::Leaving)
        publish(known, known.record.applyLeaving(row.incarnation, now), Source::Peer, before);
    applyLoadRow(known, row);
}

void WatchedTargetTable::applyLoadRow(Entry &entry, const DigestRow &row)
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
        const bool isKnown = entry.record.isReported() && target.incarnation == row.incarnation
                             && modelsTag(target.models) == row.modelsTag;
        if (!isKnown) {
            entry.isProbeWanted = row.incarnation >= target.incarnation;
            return;
        }
        report.models = target.models;
    }
    const bool isChanged = entry.record.applyReport(report, m_timers.now());
    publish(entry, isChanged, Source::Peer, before);
    if (target.load.reportedAt == report.load.reportedAt)
        m_hooks.onLoad(target);
}

void WatchedTargetTable::forgetOld()
{
    const TimePoint now = m_timers.now();
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const TargetRecord &record = it->second.record;
        if (record.isListed() || now - record.heardAt() < Retention) {
            ++it;
            continue;
        }
        m_outliers.forget(it->first);
        it = m_entries.erase(it);
    }
}

// Each zone keeps an eye on some targets of others, so that it has where to send work when it has
// none of its own left; the choice differs from zone to zone.
void WatchedTargetTable::chooseForeign(const std::vector<ListedTarget> &list)
{
    const std::uint64_t seed = stableHash(m_options.zone);
    std::vector<std::pair<std::uint64_t, TargetId>> ranked;
    for (const ListedTarget &row : list) {
        if (row.zone != m_options.zone)
            ranked.emplace_back(stableHash(row.id.text(), seed), row.id);
    }
    std::sort(ranked.begin(), ranked.end());
    if (ranked.size() > m_options.foreignTargets)
        ranked.resize(m_options.foreignTargets);
    m_foreignWatched.clear();
    for (auto &[weight, id] : ranked)
        m_foreignWatched.insert(std::move(id));
}

void WatchedTargetTable::publish(Entry &entry, bool isChanged, Source source, TargetState before)
{
    if (!isChanged)
        return;
    const Target &target = entry.record.target();
    if (target.state == TargetState::Gone)
        m_outliers.forget(target.id);
    m_hooks.onChange(target);
    if (source == Source::Own && target.state != before && target.state != TargetState::Live)
        announce(entry);
}

void WatchedTargetTable::announce(const Entry &entry)
{
    const Target &target = entry.record.target();
    m_hooks.announce(writeAnnouncement({target.id, target.incarnation, target.state, Duration(0)}));
}

} // namespace currantwalk
