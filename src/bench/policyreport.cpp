#include "bench/policyreport.h"

#include <array>
#include <cstdio>

namespace currantwalk {

namespace {

struct Column
{
    Measure measure;
    const char *title;
    int decimals;
    double scale;
};

} // namespace

static constexpr std::array<Column, 15> Columns{{
        {Measure::Stall, "stall s", 0, 1},
        {Measure::Preemptions, "preempt", 0, 1},
        {Measure::FirstShort50, "1st-sh50", 2, 1},
        {Measure::FirstShort95, "1st-sh95", 2, 1},
        {Measure::FirstLong50, "1st-lg50", 2, 1},
        {Measure::FirstLong95, "1st-lg95", 2, 1},
        {Measure::GapShort50, "gapsh50ms", 1, 1000},
        {Measure::GapShort99, "gapsh99ms", 1, 1000},
        {Measure::GapShort999, "gapsh999", 1, 1000},
        {Measure::GapLong99, "gaplg99ms", 1, 1000},
        {Measure::GapLong999, "gaplg999", 1, 1000},
        {Measure::Recomputed, "recomp k", 0, 0.001},
        {Measure::Goodput, "tokens/s", 0, 1},
        {Measure::Fairness, "fair", 3, 1},
        {Measure::Shed, "shed", 0, 1},
}};

Median policyMedian(const ScenarioResult &result, const std::string &policy, Measure measure)
{
    const auto it = result.runs.find(policy);
    if (it == result.runs.end())
        return {};
    std::vector<double> values;
    for (const RunMeasures &run : it->second)
        values.push_back(run[static_cast<std::size_t>(measure)]);
    return medianOf(std::move(values));
}

std::string scenarioTable(const ScenarioResult &result)
{
    std::array<char, 160> cell{};
    std::snprintf(cell.data(), cell.size(), "%s, %s, capacity %.2f requests/s\n%-18s",
                  result.load.c_str(), result.scenario.c_str(), result.capacity, "policy");
    std::string text = cell.data();
    for (const Column &column : Columns) {
        std::snprintf(cell.data(), cell.size(), " %9s", column.title);
        text += cell.data();
    }
    text += '\n';
    for (const auto &[policy, runs] : result.runs) {
        std::snprintf(cell.data(), cell.size(), "%-18s", policy.c_str());
        text += cell.data();
        for (const Column &column : Columns) {
            const double value = policyMedian(result, policy, column.measure).middle;
            std::snprintf(cell.data(), cell.size(), " %9.*f", column.decimals,
                          value * column.scale);
            text += cell.data();
        }
        text += '\n';
    }
    return text;
}

Json::Value scenarioJson(const ScenarioResult &result)
{
    Json::Value value;
    value["load"] = result.load;
    value["scenario"] = result.scenario;
    value["capacity"] = result.capacity;
    for (const auto &[policy, runs] : result.runs) {
        Json::Value &row = value["policies"][policy];
        row["runs"] = static_cast<Json::UInt64>(runs.size());
        for (std::size_t i = 0; i < MeasureCount; ++i) {
            const Measure measure = static_cast<Measure>(i);
            const Median median = policyMedian(result, policy, measure);
            Json::Value &cell = row[std::string(measureName(measure))];
            cell["median"] = median.middle;
            cell["low"] = median.low;
            cell["high"] = median.high;
        }
    }
    return value;
}

} // namespace currantwalk
