#include "calls/poisontracker.h"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace currantwalk {

static constexpr std::size_t MinDeathsToRefuse = 2;
static constexpr Duration SuspicionLifetime = std::chrono::minutes(10);
static constexpr Duration RefusalLifetime = std::chrono::hours(1);
// Limit the memory and the messages that a flood of distinct requests can use.
static constexpr std::size_t MaxEntries = 10000;
static constexpr std::size_t MaxReportsPerDeath = 32;

namespace {

struct Death
{
    TargetId target;
    Incarnation incarnation = 0;
    bool hasStarted = false;
};

struct Record
{
    std::vector<Death> deaths;
    TimePoint lastDeathAt{};
};

struct Run
{
    std::uint64_t fingerprint = 0;
    Incarnation incarnation = 0;
    bool hasStarted = false;
    TimePoint startedAt{};
};

class PoisonTable : public PoisonTracker
{
public:
    PoisonTable(TimerService &timers, std::function<void(const PoisonReport &)> announce)
        : m_timers(timers), m_announce(std::move(announce))
    {
    }

    Suspicion suspicion(std::uint64_t fingerprint) const override;
    void onSent(std::uint64_t fingerprint, const TargetId &target,
                Incarnation incarnation) override;
    void onRunning(std::uint64_t fingerprint, const TargetId &target,
                   Incarnation incarnation) override;
    void onReleased(std::uint64_t fingerprint, const TargetId &target, bool isComplete) override;
    void onLost(std::uint64_t fingerprint, const TargetId &target,
                Incarnation incarnation) override;
    void onTargetDied(const TargetId &target, Incarnation incarnation) override;
    void onReport(const PoisonReport &report) override;
    void clear(std::uint64_t fingerprint) override { m_records.erase(fingerprint); }
    std::vector<Entry> entries() const override;

private:
    bool isExpired(const Record &record) const;
    bool recordDeath(std::uint64_t fingerprint, const Death &death);
    void evictRecords();
    Run &findOrAddRun(std::uint64_t fingerprint, const TargetId &target);
    std::vector<Run> takeRuns(const TargetId &target, Incarnation incarnation);

    TimerService &m_timers;
    const std::function<void(const PoisonReport &)> m_announce;
    std::unordered_map<std::uint64_t, Record> m_records;
    std::unordered_map<TargetId, std::vector<Run>> m_runs;
};

} // namespace

// A send that is lost because the target was down already looks the same as a crash. So at least
// one of the deaths must follow a confirmation that the target was alive; suspects are sent only to
// targets that have given one.
static Suspicion suspicionOf(const Record &record)
{
    const bool isConfirmed = std::any_of(record.deaths.begin(), record.deaths.end(),
                                         [](const Death &death) { return death.hasStarted; });
    return isConfirmed && record.deaths.size() >= MinDeathsToRefuse ? Suspicion::Refused
                                                                    : Suspicion::Suspect;
}

std::unique_ptr<PoisonTracker>
PoisonTracker::create(TimerService &timers, std::function<void(const PoisonReport &)> announce)
{
    return std::make_unique<PoisonTable>(timers, std::move(announce));
}

bool PoisonTable::isExpired(const Record &record) const
{
    const bool isRefused = suspicionOf(record) == Suspicion::Refused;
    const Duration lifetime = isRefused ? RefusalLifetime : SuspicionLifetime;
    return m_timers.now() - record.lastDeathAt >= lifetime;
}

Suspicion PoisonTable::suspicion(std::uint64_t fingerprint) const
{
    const auto it = m_records.find(fingerprint);
    if (it == m_records.end() || isExpired(it->second))
        return Suspicion::None;
    return suspicionOf(it->second);
}

void PoisonTable::onRunning(std::uint64_t fingerprint, const TargetId &target,
                            Incarnation incarnation)
{
    Run &run = findOrAddRun(fingerprint, target);
    run.incarnation = incarnation;
    run.hasStarted = true;
}

Run &PoisonTable::findOrAddRun(std::uint64_t fingerprint, const TargetId &target)
{
    std::vector<Run> &runs = m_runs[target];
    const auto known = std::find_if(runs.begin(), runs.end(), [fingerprint](const Run &run) {
        return run.fingerprint == fingerprint;
    });
    if (known != runs.end())
        return *known;
    return runs.emplace_back(Run{fingerprint, 0, false, m_timers.now()});
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
        && suspicionOf(record->second) == Suspicion::Suspect)
        m_records.erase(record);
    const auto runs = m_runs.find(target);
    if (runs == m_runs.end())
        return;
    const auto run =
            std::find_if(runs->second.begin(), runs->second.end(), [fingerprint](const Run &each) {
                return each.fingerprint == fingerprint;
            });
    if (run != runs->second.end())
        runs->second.erase(run);
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
    const bool hasStarted =
            runs != m_runs.end()
            && std::any_of(runs->second.begin(), runs->second.end(), [fingerprint](const Run &run) {
                   return run.fingerprint == fingerprint && run.hasStarted;
               });
    if (!recordDeath(fingerprint, Death{target, incarnation, hasStarted}))
        return;
    const auto neighbours = static_cast<std::uint32_t>(running > 0 ? running - 1 : 0);
    m_announce(PoisonReport{fingerprint, target, incarnation, neighbours, hasStarted});
}

void PoisonTable::onTargetDied(const TargetId &target, Incarnation incarnation)
{
    const std::vector<Run> runs = takeRuns(target, incarnation);
    std::size_t reports = 0;
    for (const Run &run : runs) {
        const bool isNew =
                recordDeath(run.fingerprint, Death{target, run.incarnation, run.hasStarted});
        if (!isNew || ++reports > MaxReportsPerDeath)
            continue;
        const auto neighbours = static_cast<std::uint32_t>(runs.size() - 1);
        m_announce(
                PoisonReport{run.fingerprint, target, run.incarnation, neighbours, run.hasStarted});
    }
}

void PoisonTable::onReport(const PoisonReport &report)
{
    recordDeath(report.fingerprint, Death{report.target, report.incarnation, report.hasStarted});
}

// Each death counts once, however many nodes report it. A later report may confirm that the target
// had started the request. Returns whether the report added anything.
bool PoisonTable::recordDeath(std::uint64_t fingerprint, const Death &death)
{
    const auto it = m_records.find(fingerprint);
    if (it != m_records.end() && isExpired(it->second))
        m_records.erase(it);
    evictRecords();
    Record &record = m_records[fingerprint];
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
    record.lastDeathAt = m_timers.now();
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
        Entry entry{fingerprint, suspicionOf(record), {}};
        for (const Death &death : record.deaths)
            entry.deaths.push_back(death.target);
        entries.push_back(std::move(entry));
    }
    std::sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) {
        return left.fingerprint < right.fingerprint;
    });
    return entries;
}

} // namespace currantwalk
