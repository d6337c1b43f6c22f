#include "bench/runmeasures.h"

#include <algorithm>
#include <cmath>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<Measure>, MeasureCount> MeasureNames{{
        {Measure::Stall, "stall"},
        {Measure::Preemptions, "preemptions"},
        {Measure::Recomputed, "recomputed"},
        {Measure::FirstShort50, "first-short-50"},
        {Measure::FirstShort95, "first-short-95"},
        {Measure::FirstLong50, "first-long-50"},
        {Measure::FirstLong95, "first-long-95"},
        {Measure::GapShort50, "gap-short-50"},
        {Measure::GapShort95, "gap-short-95"},
        {Measure::GapShort99, "gap-short-99"},
        {Measure::GapShort999, "gap-short-99.9"},
        {Measure::GapLong50, "gap-long-50"},
        {Measure::GapLong95, "gap-long-95"},
        {Measure::GapLong99, "gap-long-99"},
        {Measure::GapLong999, "gap-long-99.9"},
        {Measure::WholeMean, "whole-mean"},
        {Measure::Goodput, "goodput"},
        {Measure::Fairness, "fairness"},
        {Measure::Shed, "shed"},
        {Measure::Lost, "lost"},
        {Measure::Backlog, "backlog"},
        {Measure::BacklogMiddle, "backlog-middle"},
}};

static constexpr LogScale TimeScale{0.001, 1.01, 1500};

std::string_view measureName(Measure measure)
{
    return enumName(MeasureNames, measure);
}

CallerView::CallerView(const std::vector<BenchRequest> &requests)
    : m_requests(requests),
      m_states(requests.size()),
      m_firstShort(TimeScale),
      m_firstLong(TimeScale),
      m_gapShort(TimeScale),
      m_gapLong(TimeScale)
{
}

void CallerView::addGap(bool isShort, double gap)
{
    (isShort ? m_gapShort : m_gapLong).add(gap);
    m_stall += gap > StallGap ? gap : 0;
}

// A generation that starts again shows the caller nothing new until it passes where it was.
void CallerView::onToken(std::size_t request, std::uint32_t generated, double now)
{
    State &state = m_states[request];
    if (generated <= state.tokens)
        return;
    const bool isShort = m_requests[request].isShort;
    if (state.tokens == 0)
        (isShort ? m_firstShort : m_firstLong).add(now - m_requests[request].at);
    else
        addGap(isShort, now - state.lastToken);
    state.tokens = generated;
    state.lastToken = now;
    ++m_tokens;
}

void CallerView::onFinished(std::size_t request, double now)
{
    m_states[request].isFinished = true;
    m_wholeSum += now - m_requests[request].at;
    ++m_finished;
}

void CallerView::onShed(std::size_t request)
{
    m_states[request].isShed = true;
    ++m_shed;
}

double CallerView::fairness() const
{
    std::array<double, BenchOrganisations> asked{};
    std::array<double, BenchOrganisations> served{};
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        asked[m_requests[i].organisation] += m_requests[i].answerTokens;
        served[m_requests[i].organisation] += m_states[i].tokens;
    }
    double sum = 0;
    double squares = 0;
    double count = 0;
    for (std::size_t i = 0; i < BenchOrganisations; ++i) {
        if (asked[i] == 0)
            continue;
        const double share = served[i] / asked[i];
        sum += share;
        squares += share * share;
        ++count;
    }
    return squares > 0 ? sum * sum / (count * squares) : 1;
}

// Waits that the end of the run cuts off count as long as they lasted.
void CallerView::finish(double now, RunMeasures &measures)
{
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        const State &state = m_states[i];
        if (state.isFinished || state.isShed)
            continue;
        const bool isShort = m_requests[i].isShort;
        if (state.tokens == 0)
            (isShort ? m_firstShort : m_firstLong).add(now - m_requests[i].at);
        else if (now - state.lastToken > StallGap)
            addGap(isShort, now - state.lastToken);
    }
    const auto set = [&measures](Measure measure, double value) {
        measures[static_cast<std::size_t>(measure)] = value;
    };
    set(Measure::Stall, m_stall);
    set(Measure::FirstShort50, m_firstShort.quantile(0.5));
    set(Measure::FirstShort95, m_firstShort.quantile(0.95));
    set(Measure::FirstLong50, m_firstLong.quantile(0.5));
    set(Measure::FirstLong95, m_firstLong.quantile(0.95));
    set(Measure::GapShort50, m_gapShort.quantile(0.5));
    set(Measure::GapShort95, m_gapShort.quantile(0.95));
    set(Measure::GapShort99, m_gapShort.quantile(0.99));
    set(Measure::GapShort999, m_gapShort.quantile(0.999));
    set(Measure::GapLong50, m_gapLong.quantile(0.5));
    set(Measure::GapLong95, m_gapLong.quantile(0.95));
    set(Measure::GapLong99, m_gapLong.quantile(0.99));
    set(Measure::GapLong999, m_gapLong.quantile(0.999));
    set(Measure::WholeMean, m_finished > 0 ? m_wholeSum / static_cast<double>(m_finished) : 0);
    set(Measure::Goodput, static_cast<double>(m_tokens) / now);
    set(Measure::Fairness, fairness());
    set(Measure::Shed, static_cast<double>(m_shed));
    set(Measure::Lost, static_cast<double>(m_lost));
}

// The ranks n/2 -+ 0.98 sqrt(n) enclose the median with 95 % confidence.
Median medianOf(std::vector<double> values)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    const double size = static_cast<double>(values.size());
    const double half = 0.98 * std::sqrt(size);
    const auto at = [&values, size](double rank) {
        return values[static_cast<std::size_t>(std::clamp(rank, 0.0, size - 1))];
    };
    const double middle = values.size() % 2 == 1
                                  ? values[values.size() / 2]
                                  : (values[values.size() / 2 - 1] + values[values.size() / 2]) / 2;
    return {middle, at(std::floor(size / 2 - half)), at(std::ceil(size / 2 + half))};
}

} // namespace currantwalk
