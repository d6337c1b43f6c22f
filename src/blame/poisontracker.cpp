#include "blame/poisontracker.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <tuple>
#include <utility>

#include "base/enumtable.h"
#include "base/json.h"
#include "blame/poisontable.h"

namespace currantwalk {

static constexpr std::array<EnumName<Suspicion>, 3> SuspicionNames{{
        {Suspicion::None, "none"},
        {Suspicion::Suspect, "suspect"},
        {Suspicion::Refused, "refused"},
}};

// A crash mostly comes soon after the start, so a death long after it is weaker evidence.
static constexpr std::uint32_t DeathWeight = 2;
static constexpr std::uint32_t LateDeathWeight = 1;
static constexpr std::uint32_t MinWeightToRefuse = 2 * DeathWeight;
static constexpr Duration EarlyPeriod = std::chrono::seconds(1);
static constexpr std::uint32_t MinFeatureWeightToRefuse =
        static_cast<std::uint32_t>(CrashEvidence::MinEvents) * DeathWeight;
// A target that crashes as it begins to answer may still send a first part.
static constexpr Duration MinAnswerTime = std::chrono::milliseconds(250);
// A target that has not sent anything for this long is taken for silent.
static constexpr Duration SilencePeriod = std::chrono::seconds(1);
// What a target has sent before its death may arrive this much later.
static constexpr Duration MaxTransit = std::chrono::seconds(2);
// A longer pause between ticks shows that the node was suspended or got no processor time.
static constexpr Duration MaxTickGap = std::chrono::seconds(1);
// Messages between nodes are on their way for less than this.
static constexpr Duration MessageTransit = std::chrono::milliseconds(250);
// A target is not back sooner after a crash, so what answers in between has not crashed.
static constexpr Duration MinRestartTime = std::chrono::seconds(1);
// How long the end of a silent target may take to become known.
static constexpr Duration SilentDeathWindow = std::chrono::seconds(30);
static constexpr Duration RemovalInterval = std::chrono::seconds(1);
// Limit the memory and the messages that a flood of distinct requests can use.
static constexpr std::size_t MaxSubjectBytes = 120;
static constexpr std::size_t MaxEntries = 10000;
static constexpr std::size_t MaxClearings = 1000;
static constexpr std::size_t MaxReportsPerDeath = 32;

// A send that is lost because the target was down already looks the same as a crash. So at least
// one of the deaths must follow a confirmation that the target was alive; suspects are sent only to
// targets that have given one.
static Suspicion suspicionOf(const Record &record)
{
    std::uint32_t weight = 0;
    bool isConfirmed = false;
    for (const Death &death : record.deaths) {
        weight += death.wasAnswering ? LateDeathWeight : DeathWeight;
        isConfirmed = isConfirmed || death.hasStarted;
    }
    const std::uint32_t least = record.isOfFeature ? MinFeatureWeightToRefuse : MinWeightToRefuse;
    return isConfirmed && weight >= least ? Suspicion::Refused : Suspicion::Suspect;
}

std::string_view suspicionName(Suspicion suspicion)
{
    return enumName(SuspicionNames, suspicion);
}

std::unique_ptr<PoisonTracker> PoisonTracker::create(TimerService &timers, Hooks hooks)
{
    return std::make_unique<PoisonTable>(timers, std::move(hooks));
}

std::optional<std::uint64_t>
PoisonTracker::findRefused(std::uint64_t fingerprint,
                           const std::vector<RequestFeature> &features) const
{
    if (suspicion(fingerprint) == Suspicion::Refused)
        return fingerprint;
    for (const RequestFeature &feature : features) {
        if (suspicion(feature.fingerprint) == Suspicion::Refused)
            return feature.fingerprint;
    }
    return std::nullopt;
}

PoisonKnowledge PoisonTracker::knowledge(std::size_t maxRequests) const
{
    return {reports(maxRequests), clearings(), {}};
}

bool PoisonTracker::apply(const PoisonKnowledge &knowledge)
{
    bool isNew = false;
    for (const PoisonClearing &clearing : knowledge.clearings)
        isNew = onClearing(clearing) || isNew;
    for (const PoisonReport &report : knowledge.reports)
        isNew = onReport(report) || isNew;
    for (const TargetLifetime &lifetime : knowledge.lifetimes)
        isNew = onLifetime(lifetime) || isNew;
    return isNew;
}

bool PoisonTable::isExpired(const Record &record) const
{
    const bool isRefused = suspicionOf(record) == Suspicion::Refused;
    const Duration refusal = record.isOfFeature ? FeatureRefusalLifetime : RefusalLifetime;
    const Duration lifetime = isRefused ? refusal : SuspicionLifetime;
    return m_timers.now() - record.lastDeathAt >= lifetime;
}

Suspicion PoisonTable::suspicion(std::uint64_t fingerprint) const
{
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end() || isExpired(it->second))
        return Suspicion::None;
    return suspicionOf(it->second);
}

static std::vector<TargetId> targetsOf(const Record &record)
{
    std::vector<TargetId> targets;
    for (const Death &death : record.deaths)
        targets.push_back(death.target);
    return targets;
}

void PoisonTable::onRunning(std::uint64_t fingerprint, const TargetId &target,
                            Incarnation incarnation)
{
    removeOutdated();
    Run &run = findOrAddRun(fingerprint, target);
    if (run.incarnation != incarnation || run.abandonedAt) {
        run = Run{};
        run.fingerprint = fingerprint;
        run.startedAt = m_timers.now();
    }
    run.incarnation = incarnation;
    run.hasStarted = true;
}

Run *PoisonTable::findRun(std::uint64_t fingerprint, const TargetId &target)
{
    const auto runs = m_runs.find(target);
    if (runs == m_runs.end())
        return nullptr;
    const auto run =
            std::find_if(runs->second.begin(), runs->second.end(), [fingerprint](const Run &each) {
                return each.fingerprint == fingerprint;
            });
    return run == runs->second.end() ? nullptr : &*run;
}

Run &PoisonTable::findOrAddRun(std::uint64_t fingerprint, const TargetId &target)
{
    if (Run *const known = findRun(fingerprint, target))
        return *known;
    Run run;
    run.fingerprint = fingerprint;
    run.startedAt = m_timers.now();
    return m_runs[target].emplace_back(std::move(run));
}

void PoisonTable::onAnswering(std::uint64_t fingerprint, const TargetId &target)
{
    Run *const run = findRun(fingerprint, target);
    if (!run)
        return;
    run->lastPartAt = m_timers.now();
    if (!run->answeringSince)
        run->answeringSince = run->lastPartAt;
    if (*run->lastPartAt - *run->answeringSince >= MinAnswerTime)
        countAnswer(*run);
    // The target has read the request, so it lived then. What it has sent may have been on its way
    // for some time.
    const TimePoint sentAt = std::max(run->startedAt, observedAt() - MaxTransit);
    extendLifetime(target, {run->incarnation, run->startedAt, sentAt});
    if (!m_blamedTargets.contains(target) || !withdrawDeaths(target) || !m_hooks.onWithdrawn)
        return;
    const Lifetime &lifetime = m_lifetimes.at(target);
    m_hooks.onWithdrawn({target, lifetime.incarnation, m_timers.now() - lifetime.from,
                         m_timers.now() - lifetime.until});
}

void PoisonTable::onTick()
{
    m_tickBeforeAt = std::exchange(m_lastTickAt, m_timers.now());
}

// Returns a time not later than the arrival of what the node reads now. A node that was suspended
// reads what had arrived before.
TimePoint PoisonTable::observedAt() const
{
    const TimePoint now = m_timers.now();
    const bool wasSuspended = m_tickBeforeAt && now - *m_tickBeforeAt > MaxTickGap;
    return wasSuspended ? *m_tickBeforeAt : now;
}

void PoisonTable::extendLifetime(const TargetId &target, const Lifetime &seen)
{
    Lifetime &lifetime = m_lifetimes[target];
    const bool isContinued = lifetime.incarnation == seen.incarnation
                             && seen.from <= lifetime.until + MinRestartTime
                             && lifetime.from <= seen.until + MinRestartTime;
    if (!isContinued) {
        lifetime = seen;
        return;
    }
    lifetime.from = std::min(lifetime.from, seen.from);
    lifetime.until = std::max(lifetime.until, seen.until);
}

bool PoisonTable::onLifetime(const TargetLifetime &report)
{
    const TimePoint receivedAt = observedAt();
    extendLifetime(report.target, {report.incarnation, receivedAt - report.ageOfStart,
                                   receivedAt - report.ageOfEnd});
    return m_blamedTargets.contains(report.target) && withdrawDeaths(report.target);
}

// A connection that was lost while its target lived on was reset for another reason.
bool PoisonTable::isAliveAfter(const Death &death) const
{
    const auto it = m_lifetimes.find(death.target);
    if (it == m_lifetimes.end() || it->second.incarnation != death.incarnation)
        return false;
    return it->second.from <= death.at + MinRestartTime && it->second.until >= death.at;
}

bool PoisonTable::withdrawDeaths(const TargetId &target)
{
    bool isBlamed = false;
    bool isWithdrawn = false;
    for (auto it = m_records.begin(); it != m_records.end();) {
        std::vector<Death> &deaths = it->second.deaths;
        const std::size_t withdrawn = std::erase_if(deaths, [&](const Death &death) {
            return death.target == target && isAliveAfter(death);
        });
        isWithdrawn = isWithdrawn || withdrawn > 0;
        for (const Death &death : deaths)
            isBlamed = isBlamed || death.target == target;
        it = deaths.empty() ? m_records.erase(it) : std::next(it);
    }
    m_evidence.removeCrashes([&](const TargetCrash &crash) {
        return crash.target == target
               && isAliveAfter({crash.target, crash.incarnation, true, false, crash.at});
    });
    if (!isBlamed)
        m_blamedTargets.erase(target);
    return isWithdrawn;
}

bool PoisonTable::isSilent(const Run &run) const
{
    return !run.lastPartAt || m_timers.now() - *run.lastPartAt >= SilencePeriod;
}

void PoisonTable::onAbandoned(std::uint64_t fingerprint, const TargetId &target)
{
    Run *const run = findRun(fingerprint, target);
    if (!run)
        return;
    if (!isSilent(*run)) {
        onReleased(fingerprint, target, false);
        return;
    }
    if (!m_vanishedAt.contains(target)) {
        run->abandonedAt = m_timers.now();
        return;
    }
    recordDeaths(target, {*run});
    onReleased(fingerprint, target, false);
}

// Looks at all entries, so not at each call.
void PoisonTable::removeOutdated()
{
    const TimePoint now = m_timers.now();
    if (now < m_nextRemovalAt)
        return;
    m_nextRemovalAt = now + RemovalInterval;
    const auto isOld = [now](const std::optional<TimePoint> &when) {
        return when && now - *when >= SilentDeathWindow;
    };
    std::erase_if(m_blamedFeatures,
                  [this](std::uint64_t each) { return !m_records.contains(each); });
    std::erase_if(m_vanishedAt, [&](const auto &each) { return isOld(each.second); });
    std::erase_if(m_lifetimes,
                  [now](const auto &each) { return now - each.second.until >= SuspicionLifetime; });
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        std::erase_if(it->second, [&](const Run &run) { return isOld(run.abandonedAt); });
        it = it->second.empty() ? m_runs.erase(it) : std::next(it);
    }
}

void PoisonTable::setSubject(std::uint64_t fingerprint, const TargetId &target, std::string subject)
{
    Run *const run = findRun(fingerprint, target);
    if (!run)
        return;
    run->subject = shortenedUtf8(subject, MaxSubjectBytes);
}

bool PoisonTable::wasAnswering(const Run &run) const
{
    return run.answeringSince && *run.lastPartAt - *run.answeringSince >= EarlyPeriod;
}

PoisonReport PoisonTable::reportOf(const Run &run, const TargetId &target,
                                   std::size_t running) const
{
    PoisonReport report;
    report.fingerprint = run.fingerprint;
    report.target = target;
    report.incarnation = run.incarnation;
    report.concurrentRequests = static_cast<std::uint32_t>(running > 0 ? running - 1 : 0);
    report.hasStarted = run.hasStarted;
    report.wasAnswering = wasAnswering(run);
    report.subject = run.subject;
    const bool isBegun =
            run.answeringSince && *run.lastPartAt - *run.answeringSince >= MinAnswerTime;
    if (!isBegun)
        report.features = run.features;
    return report;
}

void PoisonTable::onSent(std::uint64_t fingerprint, const TargetId &target, Incarnation incarnation)
{
    Run &run = findOrAddRun(fingerprint, target);
    run.incarnation = incarnation;
    run.hasStarted = false;
}

// A request that completes is no longer suspected, however many targets died while it ran there. A
// refusal stays: an earlier submission may still complete if the crash depends on the target's
// state.
void PoisonTable::onReleased(std::uint64_t fingerprint, const TargetId &target, bool isComplete)
{
    const auto record = m_records.find(fingerprint);
    if (isComplete && record != m_records.end()
        && suspicionOf(record->second) == Suspicion::Suspect) {
        clear(fingerprint);
        if (m_hooks.onCleared)
            m_hooks.onCleared({fingerprint, Duration::zero()});
    }
    const auto runs = m_runs.find(target);
    if (runs == m_runs.end())
        return;
    const auto run =
            std::find_if(runs->second.begin(), runs->second.end(), [fingerprint](const Run &each) {
                return each.fingerprint == fingerprint;
            });
    if (run != runs->second.end()) {
        if (isComplete)
            countAnswer(*run);
        runs->second.erase(run);
    }
    if (runs->second.empty())
        m_runs.erase(runs);
}

// Returns the latest runs first: most poisonous requests crash the target soon after they start.
std::vector<Run> PoisonTable::takeRuns(const TargetId &target, Incarnation incarnation)
{
    const auto it = m_runs.find(target);
    if (it == m_runs.end())
        return {};
    std::vector<Run> &all = it->second;
    const auto taken = std::stable_partition(all.begin(), all.end(), [incarnation](const Run &run) {
        return run.incarnation > incarnation;
    });
    std::vector<Run> runs(taken, all.end());
    all.erase(taken, all.end());
    if (all.empty())
        m_runs.erase(it);
    std::stable_sort(runs.begin(), runs.end(), [](const Run &left, const Run &right) {
        return left.startedAt > right.startedAt;
    });
    return runs;
}

// The next attempt begins long before probes confirm the death, so the suspicion is recorded now.
void PoisonTable::onLost(std::uint64_t fingerprint, const TargetId &target, Incarnation incarnation)
{
    const auto runs = m_runs.find(target);
    const std::size_t running = runs == m_runs.end() ? 0 : runs->second.size();
    const Run *const run = findRun(fingerprint, target);
    PoisonReport report = reportOf(run ? *run : Run{}, target, running);
    report.fingerprint = fingerprint;
    report.incarnation = incarnation;
    recordOwnDeath(report, true);
}

void PoisonTable::onTargetDied(const TargetId &target, Incarnation incarnation)
{
    removeOutdated();
    recordDeaths(target, takeRuns(target, incarnation));
}

// A run that is silent to the node's own exchange is not over: its exchange still reports its end.
void PoisonTable::onTargetVanished(const TargetId &target)
{
    removeOutdated();
    m_vanishedAt[target] = m_timers.now();
    const auto it = m_runs.find(target);
    if (it == m_runs.end())
        return;
    std::vector<Run> silent;
    std::copy_if(it->second.begin(), it->second.end(), std::back_inserter(silent),
                 [this](const Run &run) { return isSilent(run); });
    // The target was alive when the last request was sent.
    TimePoint lastSentAt = TimePoint::min();
    for (const Run &run : silent)
        lastSentAt = std::max(lastSentAt, run.startedAt);
    recordDeaths(target, silent, silent.empty() ? Duration::zero() : m_timers.now() - lastSentAt);
}

void PoisonTable::recordDeaths(const TargetId &target, const std::vector<Run> &runs,
                               Duration noticedAfter)
{
    std::size_t reports = 0;
    for (const Run &run : runs) {
        PoisonReport report = reportOf(run, target, runs.size());
        report.noticedAfter = noticedAfter;
        recordOwnDeath(report, ++reports <= MaxReportsPerDeath);
    }
}

// The time of a clearing is kept, as reports of earlier deaths may still be on their way.
bool PoisonTable::onClearing(const PoisonClearing &clearing)
{
    evictClearings();
    const TimePoint when = m_timers.now() - clearing.age;
    const auto [known, isAdded] = m_clearedAt.try_emplace(clearing.fingerprint, when);
    // Time in transit makes a clearing seem later with each node that passes it on.
    const bool isNew = isAdded || known->second + MessageTransit < when;
    if (isNew)
        known->second = when;
    const TimePoint clearedAt = known->second;
    const auto it = m_records.find(clearing.fingerprint);
    if (it == m_records.end())
        return isNew;
    std::vector<Death> &deaths = it->second.deaths;
    std::erase_if(deaths, [clearedAt](const Death &death) { return death.at <= clearedAt; });
    if (deaths.empty())
        m_records.erase(it);
    return isNew;
}

void PoisonTable::evictClearings()
{
    const TimePoint now = m_timers.now();
    std::erase_if(m_clearedAt,
                  [now](const auto &each) { return now - each.second >= RefusalLifetime; });
    if (m_clearedAt.size() < MaxClearings)
        return;
    const auto oldest = std::min_element(
            m_clearedAt.begin(), m_clearedAt.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
    m_clearedAt.erase(oldest);
}

std::vector<PoisonClearing> PoisonTable::clearings() const
{
    std::vector<PoisonClearing> clearings;
    for (const auto &[fingerprint, when] : m_clearedAt)
        clearings.push_back({fingerprint, m_timers.now() - when});
    return clearings;
}

std::vector<PoisonReport> PoisonTable::reportsOf(std::uint64_t fingerprint) const
{
    std::vector<PoisonReport> reports;
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end() || isExpired(it->second))
        return reports;
    for (const Death &death : it->second.deaths)
        reports.push_back({fingerprint, death.target, death.incarnation, 0, death.hasStarted,
                           death.wasAnswering, it->second.subject, m_timers.now() - death.at,
                           it->second.features, it->second.isOfFeature});
    return reports;
}

std::vector<PoisonReport> PoisonTable::reports(std::size_t maxRequests) const
{
    std::vector<std::tuple<bool, TimePoint, std::uint64_t>> ranked;
    for (const auto &[fingerprint, record] : m_records) {
        const bool isRefused = suspicionOf(record) == Suspicion::Refused;
        ranked.emplace_back(isRefused, record.lastDeathAt, fingerprint);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), maxRequests));
    std::vector<PoisonReport> reports;
    for (const auto &[isRefused, when, fingerprint] : ranked) {
        for (PoisonReport &report : reportsOf(fingerprint))
            reports.push_back(std::move(report));
    }
    return reports;
}

// Each death counts once, however many nodes report it. A later report may confirm that the target
// had started the request. Returns whether the report added anything.
bool PoisonTable::recordDeath(const PoisonReport &report)
{
    const Death death{report.target, report.incarnation, report.hasStarted, report.wasAnswering,
                      m_timers.now() - report.age};
    const auto clearing = m_clearedAt.find(report.fingerprint);
    const bool isOutdated = clearing != m_clearedAt.end() && death.at <= clearing->second;
    if (isOutdated || isAliveAfter(death) || report.age >= RefusalLifetime || isExplained(report))
        return false;
    const auto it = m_records.find(report.fingerprint);
    if (it != m_records.end() && isExpired(it->second))
        m_records.erase(it);
    evictRecords();
    Record &record = m_records[report.fingerprint];
    if (record.subject.empty())
        record.subject = shortenedUtf8(report.subject, MaxSubjectBytes);
    if (record.features.empty())
        record.features = report.features;
    record.isOfFeature = report.isOfFeature;
    const auto known =
            std::find_if(record.deaths.begin(), record.deaths.end(), [&death](const Death &each) {
                return each.target == death.target && each.incarnation == death.incarnation;
            });
    if (known == record.deaths.end())
        record.deaths.push_back(death);
    else if (death.hasStarted && !known->hasStarted)
        known->hasStarted = true;
    else
        return false;
    record.lastDeathAt = std::max(record.lastDeathAt, death.at);
    m_blamedTargets.insert(death.target);
    if (report.isOfFeature) {
        m_blamedFeatures.insert(report.fingerprint);
        removeExplained(death, report.fingerprint);
    }
    return true;
}

// Evicts refusals last, because losing one can cost another target. Evicts a tenth of the records
// at once, so that a flood does not search the table for each request.
void PoisonTable::evictRecords()
{
    if (m_records.size() < MaxEntries)
        return;
    using Ranked = std::tuple<bool, TimePoint, std::uint64_t>;
    std::vector<Ranked> ranked;
    for (const auto &[fingerprint, record] : m_records) {
        const bool isRefused = suspicionOf(record) == Suspicion::Refused && !isExpired(record);
        ranked.emplace_back(isRefused, record.lastDeathAt, fingerprint);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(MaxEntries / 10);
    std::nth_element(ranked.begin(), end, ranked.end());
    std::for_each(ranked.begin(), end,
                  [this](const Ranked &row) { m_records.erase(std::get<2>(row)); });
}

std::vector<PoisonTracker::Entry> PoisonTable::entries() const
{
    std::vector<Entry> entries;
    for (const auto &[fingerprint, record] : m_records) {
        if (isExpired(record))
            continue;
        entries.push_back({fingerprint, suspicionOf(record), record.subject, targetsOf(record),
                           record.isOfFeature});
    }
    std::sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) {
        return left.fingerprint < right.fingerprint;
    });
    return entries;
}

} // namespace currantwalk
