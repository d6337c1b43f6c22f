#ifndef CURRANTWALK_OBSERVE_BURN_H
#define CURRANTWALK_OBSERVE_BURN_H

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "config/objects.h"
#include "observe/answertimes.h"
#include "observe/burnseries.h"
#include "observe/loghistogram.h"

namespace currantwalk {

/// Identifies a series of burn rates.
struct BurnKey
{
    std::string service;
    std::string organisation;
    std::string zone;

    friend bool operator==(const BurnKey &, const BurnKey &) = default;
    friend std::strong_ordering operator<=>(const BurnKey &, const BurnKey &) = default;
};

/// Latencies of a service's answers in seconds, over the last one to two hours.
struct LatencyHistograms
{
    LatencyHistograms();

    LogHistogram firstToken;
    LogHistogram meanGap;
    LogHistogram longestGap;

    void merge(const LatencyHistograms &other);
};

/// Counts of one daemon, or of several merged, for each window ending now.
struct BurnSnapshot
{
    std::map<BurnKey, BurnWindows> series;
    std::map<std::string, LatencyHistograms> times; ///< By service.

    void merge(const BurnSnapshot &other);
    Json::Value toJson() const;
    /// Reads what toJson() writes. Fails with JsonInvalid.
    static absl::StatusOr<BurnSnapshot> fromJson(const Json::Value &value);
};

/// Counts finished answers against their services' objectives. At most \a limit series are kept;
/// the answers of further organisations are counted together as "other".
class BurnRecorder
{
public:
    explicit BurnRecorder(std::size_t limit = 4096) : m_limit(limit) {}

    /// \a isWhole is whether the caller received the complete answer. Answers that the caller
    /// cancelled must not be recorded.
    void record(const BurnKey &key, const AnswerTimes &times, bool isWhole, TimePoint now);
    BurnSnapshot snapshot(TimePoint now) const;

private:
    struct HourlyTimes
    {
        std::int64_t hour = 0;
        LatencyHistograms current;
        LatencyHistograms previous;
    };

    BurnSeries &seriesFor(const BurnKey &key);
    void recordTimes(const std::string &service, const AnswerTimes &times, TimePoint now);
    static void rotateHour(HourlyTimes &hourly, TimePoint now);

    std::size_t m_limit;
    std::map<BurnKey, BurnSeries> m_series;
    std::map<std::string, HourlyTimes> m_times;
};

enum class BurnAlert { None, Ticket, Page };

/// Returns "none", "ticket" or "page".
std::string_view burnAlertName(BurnAlert alert);

/// A multi-window alert rule. The alert fires when the burn rate exceeds the threshold in both
/// windows or, if the budget is too large to reach it, when over three quarters of the answers in
/// both windows miss the objective.
struct BurnAlertRule
{
    BurnAlert alert = BurnAlert::None;
    BurnWindow longWindow = BurnWindow::Hour1;
    BurnWindow shortWindow = BurnWindow::Minutes5;
    double threshold = 0; ///< Multiple of the rate that exactly spends the budget in its period.
};

const std::vector<BurnAlertRule> &burnAlertRules();

/// The burn rates of one objective's error budget. A rate of 1 spends the budget in exactly its
/// period; a higher rate exhausts it earlier.
struct BurnRow
{
    BurnKey key; ///< Empty members match all values.
    BurnAspect aspect = BurnAspect::FirstToken;
    double budget = 0; ///< Ratio of answers that may miss the objective.
    std::array<double, BurnWindowCount> rates{};
    std::array<std::uint64_t, BurnWindowCount> answers{};
    BurnAlert alert = BurnAlert::None;
};

/// How the rows of a report are grouped in addition to the service.
enum class BurnGrouping { Service, Organisation, Zone };

std::optional<BurnGrouping> burnGroupingFromName(std::string_view name);

/// Returns the rows of all services that have an objective in \a objects, fastest burn first.
std::vector<BurnRow> burnRows(const BurnSnapshot &snapshot, const ObjectSet &objects,
                              BurnGrouping grouping);

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_BURN_H
