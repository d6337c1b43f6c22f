#include "observe/burn.h"

#include <algorithm>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr LogScale TimeScale{0.001, 1.25, 64}; // 1 ms to about 20 minutes.
static const char *const OtherOrganisations = "other";

LatencyHistograms::LatencyHistograms()
    : firstToken(TimeScale), meanGap(TimeScale), longestGap(TimeScale)
{
}

void LatencyHistograms::merge(const LatencyHistograms &other)
{
    firstToken.merge(other.firstToken);
    meanGap.merge(other.meanGap);
    longestGap.merge(other.longestGap);
}

void BurnSnapshot::merge(const BurnSnapshot &other)
{
    for (const auto &[key, windows] : other.series) {
        BurnWindows &own = series[key];
        for (std::size_t i = 0; i < BurnWindowCount; ++i)
            own[i].add(windows[i]);
    }
    for (const auto &[service, histograms] : other.times)
        times[service].merge(histograms);
}

BurnSeries &BurnRecorder::seriesFor(const BurnKey &key)
{
    const auto it = m_series.find(key);
    if (it != m_series.end())
        return it->second;
    if (m_series.size() < m_limit)
        return m_series[key];
    // Adds at most one series per service and zone, of which there are few.
    return m_series[BurnKey{key.service, OtherOrganisations, key.zone}];
}

void BurnRecorder::record(const BurnKey &key, const AnswerTimes &times, bool isWhole, TimePoint now)
{
    BurnCounts counts;
    const auto count = [&counts](BurnAspect aspect, bool isMet) {
        ++(isMet ? counts.good : counts.bad)[static_cast<std::size_t>(aspect)];
    };
    count(BurnAspect::FirstToken, times.meetsFirstToken());
    count(BurnAspect::TokenGap, times.meetsTokenGap());
    count(BurnAspect::Stall, times.meetsStall());
    count(BurnAspect::WholeAnswer, isWhole);
    seriesFor(key).add(counts, now);
    recordTimes(key.service, times, now);
}

static double secondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

static std::int64_t hourOf(TimePoint when)
{
    return std::chrono::duration_cast<std::chrono::hours>(when.time_since_epoch()).count();
}

void BurnRecorder::rotateHour(HourlyTimes &hourly, TimePoint now)
{
    const std::int64_t hour = hourOf(now);
    if (hour == hourly.hour)
        return;
    hourly.previous = hour == hourly.hour + 1 ? hourly.current : LatencyHistograms();
    hourly.current = LatencyHistograms();
    hourly.hour = hour;
}

void BurnRecorder::recordTimes(const std::string &service, const AnswerTimes &times, TimePoint now)
{
    HourlyTimes &hourly = m_times[service];
    rotateHour(hourly, now);
    if (!times.hasFirstToken())
        return;
    hourly.current.firstToken.add(secondsOf(times.firstToken()));
    if (times.meanGap().count() == 0)
        return;
    hourly.current.meanGap.add(secondsOf(times.meanGap()));
    hourly.current.longestGap.add(secondsOf(times.longestGap()));
}

BurnSnapshot BurnRecorder::snapshot(TimePoint now) const
{
    BurnSnapshot snapshot;
    for (const auto &[key, series] : m_series) {
        const BurnWindows windows = series.windows(now);
        if (!windows.back().isEmpty())
            snapshot.series.emplace(key, windows);
    }
    for (const auto &[service, hourly] : m_times) {
        HourlyTimes rotated = hourly;
        rotateHour(rotated, now);
        rotated.current.merge(rotated.previous);
        snapshot.times.emplace(service, rotated.current);
    }
    return snapshot;
}

static constexpr std::array<EnumName<BurnAlert>, 3> AlertNames{{
        {BurnAlert::None, "none"},
        {BurnAlert::Ticket, "ticket"},
        {BurnAlert::Page, "page"},
}};

static constexpr std::array<EnumName<BurnGrouping>, 3> GroupingNames{{
        {BurnGrouping::Service, "service"},
        {BurnGrouping::Organisation, "organisation"},
        {BurnGrouping::Zone, "zone"},
}};

std::string_view burnAlertName(BurnAlert alert)
{
    return enumName(AlertNames, alert);
}

std::optional<BurnGrouping> burnGroupingFromName(std::string_view name)
{
    return enumValue(GroupingNames, name);
}

// The long window shows that the burn is significant, the short one that it is continuing.
const std::vector<BurnAlertRule> &burnAlertRules()
{
    static const std::vector<BurnAlertRule> Rules = {
            {BurnAlert::Page, BurnWindow::Hour1, BurnWindow::Minutes5, 14.4},
            {BurnAlert::Page, BurnWindow::Hours6, BurnWindow::Minutes30, 6},
            {BurnAlert::Ticket, BurnWindow::Days3, BurnWindow::Hours6, 1},
    };
    return Rules;
}

// With a large budget the burn rate stays low even if every answer misses the objective, so the
// threshold is capped at the burn rate of this ratio of missed answers.
static constexpr double MaxAlertErrorRatio = 0.75;

static BurnAlert alertOf(const BurnRow &row)
{
    for (const BurnAlertRule &rule : burnAlertRules()) {
        const double longRate = row.rates[static_cast<std::size_t>(rule.longWindow)];
        const double shortRate = row.rates[static_cast<std::size_t>(rule.shortWindow)];
        const double threshold = std::min(rule.threshold, MaxAlertErrorRatio / row.budget);
        if (longRate > threshold && shortRate > threshold)
            return rule.alert;
    }
    return BurnAlert::None;
}

static BurnKey groupOf(const BurnKey &key, BurnGrouping grouping)
{
    BurnKey group;
    group.service = key.service;
    if (grouping == BurnGrouping::Organisation)
        group.organisation = key.organisation;
    if (grouping == BurnGrouping::Zone)
        group.zone = key.zone;
    return group;
}

static const ObjectiveObject *objectiveOf(const ObjectSet &objects, const std::string &service)
{
    const auto found = objects.services.find(service);
    if (found == objects.services.end())
        return nullptr;
    const auto objective = objects.objectives.find(found->second.objective);
    return objective == objects.objectives.end() ? nullptr : &objective->second;
}

static bool hasObjective(const ObjectiveObject &objective, BurnAspect aspect)
{
    switch (aspect) {
    case BurnAspect::FirstToken:
        return objective.firstToken.count() > 0;
    case BurnAspect::TokenGap:
        return objective.tokenGap.count() > 0;
    case BurnAspect::Stall:
        return objective.stall.count() > 0;
    case BurnAspect::WholeAnswer:
        return true;
    }
    return false;
}

static BurnRow rowOf(const BurnKey &key, BurnAspect aspect, double budget,
                     const BurnWindows &windows)
{
    BurnRow row;
    row.key = key;
    row.aspect = aspect;
    row.budget = budget;
    const auto index = static_cast<std::size_t>(aspect);
    for (std::size_t i = 0; i < BurnWindowCount; ++i) {
        const std::uint64_t bad = windows[i].bad[index];
        row.answers[i] = windows[i].good[index] + bad;
        if (row.answers[i] > 0)
            row.rates[i] = static_cast<double>(bad) / static_cast<double>(row.answers[i]) / budget;
    }
    row.alert = alertOf(row);
    return row;
}

std::vector<BurnRow> burnRows(const BurnSnapshot &snapshot, const ObjectSet &objects,
                              BurnGrouping grouping)
{
    constexpr double MinBudget = 1e-6; // An objective for 100% of answers has no budget.
    std::map<BurnKey, BurnWindows> groups;
    for (const auto &[key, windows] : snapshot.series) {
        BurnWindows &group = groups[groupOf(key, grouping)];
        for (std::size_t i = 0; i < BurnWindowCount; ++i)
            group[i].add(windows[i]);
    }
    std::vector<BurnRow> rows;
    for (const auto &[key, windows] : groups) {
        const ObjectiveObject *objective = objectiveOf(objects, key.service);
        if (objective == nullptr)
            continue;
        for (std::size_t i = 0; i < BurnAspectCount; ++i) {
            const auto aspect = static_cast<BurnAspect>(i);
            const double share =
                    aspect == BurnAspect::WholeAnswer ? objective->wholeAnswers : objective->share;
            if (hasObjective(*objective, aspect))
                rows.push_back(rowOf(key, aspect, std::max(MinBudget, 1 - share), windows));
        }
    }
    constexpr auto Hour = static_cast<std::size_t>(BurnWindow::Hour1);
    std::stable_sort(rows.begin(), rows.end(), [](const BurnRow &a, const BurnRow &b) {
        return a.alert != b.alert ? a.alert > b.alert : a.rates[Hour] > b.rates[Hour];
    });
    return rows;
}

} // namespace currantwalk
