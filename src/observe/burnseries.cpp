#include "observe/burnseries.h"

#include <algorithm>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<BurnAspect>, BurnAspectCount> AspectNames{{
        {BurnAspect::FirstToken, "first-token"},
        {BurnAspect::TokenGap, "token-gap"},
        {BurnAspect::Stall, "stall"},
        {BurnAspect::WholeAnswer, "whole-answer"},
}};

static constexpr std::array<EnumName<BurnWindow>, BurnWindowCount> WindowNames{{
        {BurnWindow::Minutes5, "5m"},
        {BurnWindow::Minutes30, "30m"},
        {BurnWindow::Hour1, "1h"},
        {BurnWindow::Hours6, "6h"},
        {BurnWindow::Days3, "3d"},
}};

static constexpr std::array<std::int64_t, BurnWindowCount> WindowMinutes{5, 30, 60, 360, 4320};
static constexpr std::int64_t MinutesKept = 360;
static constexpr std::int64_t HoursKept = 72;

std::string_view burnAspectName(BurnAspect aspect)
{
    return enumName(AspectNames, aspect);
}

std::string_view burnWindowName(BurnWindow window)
{
    return enumName(WindowNames, window);
}

std::optional<BurnWindow> burnWindowFromName(std::string_view name)
{
    return enumValue(WindowNames, name);
}

void BurnCounts::add(const BurnCounts &other)
{
    for (std::size_t i = 0; i < BurnAspectCount; ++i) {
        good[i] += other.good[i];
        bad[i] += other.bad[i];
    }
}

bool BurnCounts::isEmpty() const
{
    return *this == BurnCounts();
}

static std::int64_t minuteOf(TimePoint when)
{
    return std::chrono::duration_cast<std::chrono::minutes>(when.time_since_epoch()).count();
}

void BurnSeries::addTo(std::deque<Slot> &slots, std::int64_t number, const BurnCounts &counts)
{
    if (slots.empty() || slots.back().number < number)
        slots.push_back(Slot{number, BurnCounts()});
    slots.back().counts.add(counts);
}

// Merges minutes older than MinutesKept into their hour and removes hours older than HoursKept.
void BurnSeries::expire(std::int64_t minute)
{
    while (!m_minutes.empty() && m_minutes.front().number <= minute - MinutesKept) {
        addTo(m_hours, m_minutes.front().number / 60, m_minutes.front().counts);
        m_minutes.pop_front();
    }
    while (!m_hours.empty() && m_hours.front().number <= minute / 60 - HoursKept)
        m_hours.pop_front();
}

void BurnSeries::add(const BurnCounts &counts, TimePoint now)
{
    expire(minuteOf(now));
    addTo(m_minutes, minuteOf(now), counts);
}

BurnWindows BurnSeries::windows(TimePoint now) const
{
    BurnWindows windows;
    const std::int64_t minute = minuteOf(now);
    for (std::size_t i = 0; i < BurnWindowCount; ++i) {
        for (const Slot &slot : m_minutes) {
            if (slot.number > minute - WindowMinutes[i])
                windows[i].add(slot.counts);
        }
        for (const Slot &slot : m_hours) {
            if (slot.number * 60 > minute - WindowMinutes[i])
                windows[i].add(slot.counts);
        }
    }
    return windows;
}

} // namespace currantwalk
