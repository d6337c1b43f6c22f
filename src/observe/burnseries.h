#ifndef CURRANTWALK_OBSERVE_BURNSERIES_H
#define CURRANTWALK_OBSERVE_BURNSERIES_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include "base/timerservice.h"

namespace currantwalk {

/// The parts of an objective that an answer is measured against.
enum class BurnAspect { FirstToken, TokenGap, Stall, WholeAnswer };
constexpr std::size_t BurnAspectCount = 4;

/// Returns "first-token", "token-gap", "stall" or "whole-answer".
std::string_view burnAspectName(BurnAspect aspect);

/// Windows over which the burn rate is measured, each ending now.
enum class BurnWindow { Minutes5, Minutes30, Hour1, Hours6, Days3 };
constexpr std::size_t BurnWindowCount = 5;

/// Returns "5m", "30m", "1h", "6h" or "3d".
std::string_view burnWindowName(BurnWindow window);
std::optional<BurnWindow> burnWindowFromName(std::string_view name);

/// Numbers of answers that met and missed each part of an objective.
struct BurnCounts
{
    std::array<std::uint64_t, BurnAspectCount> good{};
    std::array<std::uint64_t, BurnAspectCount> bad{};

    void add(const BurnCounts &other);
    bool isEmpty() const;
    friend bool operator==(const BurnCounts &, const BurnCounts &) = default;
};

using BurnWindows = std::array<BurnCounts, BurnWindowCount>;

/// Counts of one series over time, per minute for six hours and per hour for three days. Memory is
/// bounded by the windows; periods without answers use none.
class BurnSeries
{
public:
    void add(const BurnCounts &counts, TimePoint now);
    BurnWindows windows(TimePoint now) const;
    std::size_t slots() const { return m_minutes.size() + m_hours.size(); }

private:
    struct Slot
    {
        std::int64_t number = 0; // Minutes or hours since the clock's epoch.
        BurnCounts counts;
    };

    void expire(std::int64_t minute);
    static void addTo(std::deque<Slot> &slots, std::int64_t number, const BurnCounts &counts);

    std::deque<Slot> m_minutes;
    std::deque<Slot> m_hours;
};

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_BURNSERIES_H
