#include "observe/burnreport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace currantwalk {

static constexpr std::size_t MaxPlots = 40; // Rows that get a plot, fastest burn first.

static const char *const LargeBudgetText =
        "Where the budget is too large for a threshold, 75 % of answers broken takes its place.";

static std::string number(double value, int decimals)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.*f", decimals, value);
    return text.data();
}

static std::string orAll(const std::string &name)
{
    return name.empty() ? "all" : name;
}

static std::vector<std::string> cellsOf(const BurnRow &row)
{
    std::vector<std::string> cells{row.key.service, orAll(row.key.organisation),
                                   orAll(row.key.zone), std::string(burnAspectName(row.aspect)),
                                   number(row.budget * 100, 2) + " %"};
    for (std::size_t i = 0; i < BurnWindowCount; ++i)
        cells.push_back(row.answers[i] == 0 ? "-" : number(row.rates[i], 2));
    cells.push_back(std::to_string(row.answers.back()));
    cells.emplace_back(burnAlertName(row.alert));
    return cells;
}

std::vector<std::vector<std::string>> burnTable(const std::vector<BurnRow> &rows)
{
    std::vector<std::string> heading{"service", "organisation", "zone", "promise", "budget"};
    for (std::size_t i = 0; i < BurnWindowCount; ++i)
        heading.push_back("burn " + std::string(burnWindowName(static_cast<BurnWindow>(i))));
    heading.emplace_back("answers 3d");
    heading.emplace_back("alert");
    std::vector<std::vector<std::string>> table{heading};
    for (const BurnRow &row : rows)
        table.push_back(cellsOf(row));
    return table;
}

static std::string ruleText(const BurnAlertRule &rule)
{
    return std::string(burnAlertName(rule.alert)) + ": burn above " + number(rule.threshold, 1)
           + " over " + std::string(burnWindowName(rule.longWindow)) + " and "
           + std::string(burnWindowName(rule.shortWindow));
}

std::string renderBurnText(const std::vector<BurnRow> &rows)
{
    const std::vector<std::vector<std::string>> table = burnTable(rows);
    std::vector<std::size_t> widths(table.front().size());
    for (const std::vector<std::string> &cells : table) {
        for (std::size_t i = 0; i < cells.size(); ++i)
            widths[i] = std::max(widths[i], cells[i].size());
    }
    std::string text;
    for (const std::vector<std::string> &cells : table) {
        for (std::size_t i = 0; i < cells.size(); ++i)
            text += cells[i] + std::string(widths[i] - cells[i].size() + 2, ' ');
        text += '\n';
    }
    for (const BurnAlertRule &rule : burnAlertRules())
        text += ruleText(rule) + '\n';
    return text + LargeBudgetText + '\n';
}

// Names come from published objects and callers, so they must be escaped.
static std::string escaped(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

static std::string htmlTable(const std::vector<BurnRow> &rows)
{
    std::string html = "<table>\n";
    const std::vector<std::vector<std::string>> table = burnTable(rows);
    for (std::size_t i = 0; i < table.size(); ++i) {
        const std::string tag = i == 0 ? "th" : "td";
        html += i == 0 ? "<tr>"
                       : "<tr class=\"" + std::string(burnAlertName(rows[i - 1].alert)) + "\">";
        for (const std::string &cell : table[i])
            html += "<" + tag + ">" + escaped(cell) + "</" + tag + ">";
        html += "</tr>\n";
    }
    return html + "</table>\n";
}

static std::string bar(double x, double width, double height, double floor, const char *colour)
{
    return "<rect x=\"" + number(x, 1) + "\" y=\"" + number(floor - height, 1) + "\" width=\""
           + number(width, 1) + "\" height=\"" + number(height, 1) + "\" fill=\"" + colour + "\"/>";
}

static std::string label(double x, double y, const std::string &text)
{
    return "<text x=\"" + number(x, 1) + "\" y=\"" + number(y, 1) + "\">" + escaped(text)
           + "</text>";
}

// Burn rates span orders of magnitude, so the bar height is the logarithm of 1 + burn rate.
static std::string burnPlot(const BurnRow &row)
{
    constexpr double Width = 44;
    constexpr double Floor = 100;
    constexpr double HeightPerUnit = 60;
    const std::string title = row.key.service + " " + orAll(row.key.organisation) + " "
                              + orAll(row.key.zone) + ": "
                              + std::string(burnAspectName(row.aspect));
    std::string svg = "<svg width=\"260\" height=\"130\" role=\"img\"><title>" + escaped(title)
                      + "</title>" + label(4, 14, title);
    for (std::size_t i = 0; i < BurnWindowCount; ++i) {
        const double x = 10 + Width * static_cast<double>(i);
        const double height = std::min(80.0, HeightPerUnit * std::log10(1 + row.rates[i]));
        svg += bar(x, Width - 8, height, Floor, row.rates[i] > 1 ? "#b03030" : "#307050");
        svg += label(x, Floor + 14, std::string(burnWindowName(static_cast<BurnWindow>(i))));
        svg += label(x, Floor + 26, number(row.rates[i], 1));
    }
    return svg + "</svg>\n";
}

static std::string timesPlot(const std::string &title, const LogHistogram &histogram)
{
    constexpr double Floor = 100;
    constexpr double Highest = 70;
    const std::vector<std::uint64_t> &counts = histogram.counts();
    const double most = static_cast<double>(*std::max_element(counts.begin(), counts.end()));
    std::string svg = "<svg width=\"420\" height=\"130\" role=\"img\"><title>" + escaped(title)
                      + "</title>" + label(4, 14, title);
    for (std::size_t i = 0; i < counts.size() && most > 0; ++i) {
        if (counts[i] > 0)
            svg += bar(10 + 6 * static_cast<double>(i), 5,
                       std::max(1.0, Highest * static_cast<double>(counts[i]) / most), Floor,
                       "#305070");
    }
    svg += label(10, Floor + 14, "1 ms");
    svg += label(10, Floor + 26,
                 "50 %: " + number(histogram.quantile(0.5), 3)
                         + " s, 95 %: " + number(histogram.quantile(0.95), 3)
                         + " s, 99 %: " + number(histogram.quantile(0.99), 3) + " s");
    return svg + "</svg>\n";
}

std::string renderBurnHtml(const std::vector<BurnRow> &rows, const BurnSnapshot &snapshot)
{
    std::string html = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                       "<title>Service-level burn</title><style>"
                       "body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}"
                       "text{font-size:11px}.page{background:#f4c7c7}.ticket{background:#f4e7c0}"
                       "</style></head><body>\n<h1>Service-level burn</h1>\n";
    html += htmlTable(rows);
    html += "<ul>\n";
    for (const BurnAlertRule &rule : burnAlertRules())
        html += "<li>" + escaped(ruleText(rule)) + "</li>\n";
    html += std::string("<li>") + LargeBudgetText + "</li>\n</ul>\n<h2>Burn by window</h2>\n";
    for (std::size_t i = 0; i < std::min(MaxPlots, rows.size()); ++i)
        html += burnPlot(rows[i]);
    html += "<h2>Times of the last hours</h2>\n";
    for (const auto &[service, times] : snapshot.times) {
        html += timesPlot(service + ": first token", times.firstToken);
        html += timesPlot(service + ": mean gap between tokens", times.meanGap);
        html += timesPlot(service + ": longest gap", times.longestGap);
    }
    return html + "</body></html>\n";
}

} // namespace currantwalk
