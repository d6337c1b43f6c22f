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

/// What burn is reported by.
struct BurnKey
{
    std::string service;
    std::string organisation;
    std::string zone;

    friend bool operator==(const BurnKey &, const BurnKey &) = default;
    friend std::strong_ordering operator<=>(const BurnKey &, const BurnKey &) = default;
};

/// Times of a service's answers, in seconds, of the last one to two hours.
struct BurnTimes
{
    BurnTimes();

    LogHistogram firstToken;
    LogHistogram meanGap;
    LogHistogram longestGap;

    void merge(const BurnTimes &other);
};

/// What one daemon, or several merged, saw in each window up to now.
struct BurnSnapshot
{
    std::map<BurnKey, BurnWindows> series;
    std::map<std::string, BurnTimes> times; ///< By service.

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

    /// \a isWhole tells whether the caller got its whole answer. One that the caller itself gave up
    /// is not to be recorded.
    void record(const BurnKey &key, const AnswerTimes &times, bool isWhole, TimePoint now);
    BurnSnapshot snapshot(TimePoint now) const;

private:
    struct HourlyTimes
    {
        std::int64_t hour = 0;
        BurnTimes current;
        BurnTimes previous;
    };

    BurnSeries &seriesFor(const BurnKey &key);
    void recordTimes(const std::string &service, const AnswerTimes &times, TimePoint now);
    static void turnHour(HourlyTimes &hourly, TimePoint now);

    std::size_t m_limit;
    std::map<BurnKey, BurnSeries> m_series;
    std::map<std::string, HourlyTimes> m_times;
};

enum class BurnAlert { None, Ticket, Page };

/// Returns "none", "ticket" or "page".
std::string_view burnAlertName(BurnAlert alert);

/// When an alert is due: both windows burn faster than the threshold, or, where the budget is too
/// large for that, three answers in four break the promise.
struct BurnAlertRule
{
    BurnAlert alert = BurnAlert::None;
    BurnWindow longWindow = BurnWindow::Hour1;
    BurnWindow shortWindow = BurnWindow::Minutes5;
    double threshold = 0; ///< Times the rate that spends the budget in just its period.
};

const std::vector<BurnAlertRule> &burnAlertRules();

/// How fast the budget of one promise is spent. 1 spends it in just its period; more runs out
/// early.
struct BurnRow
{
    BurnKey key; ///< Empty members stand for all.
    BurnAspect aspect = BurnAspect::FirstToken;
    double budget = 0; ///< Share of answers that may break the promise.
    std::array<double, BurnWindowCount> rates{};
    std::array<std::uint64_t, BurnWindowCount> answers{};
    BurnAlert alert = BurnAlert::None;
};

/// What the rows of a report are grouped by, beside the service.
enum class BurnGrouping { Service, Organisation, Zone };

std::optional<BurnGrouping> burnGroupingFromName(std::string_view name);

/// Returns the rows of all services that have an objective in \a objects, fastest burn first.
std::vector<BurnRow> burnRows(const BurnSnapshot &snapshot, const ObjectSet &objects,
                              BurnGrouping grouping);

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_BURN_H
