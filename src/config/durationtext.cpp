#include "config/durationtext.h"

#include <array>
#include <cassert>
#include <charconv>
#include <limits>

namespace currantwalk {

namespace {

struct UnitRow
{
    std::string_view name;
    Duration length;
};

} // namespace

// Largest first.
static constexpr std::array<UnitRow, 5> Units{{
        {"h", std::chrono::hours(1)},
        {"m", std::chrono::minutes(1)},
        {"s", std::chrono::seconds(1)},
        {"ms", std::chrono::milliseconds(1)},
        {"us", std::chrono::microseconds(1)},
}};

std::optional<Duration> parseDuration(std::string_view text)
{
    Duration::rep number = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || number < 0)
        return std::nullopt;
    const std::string_view name(result.ptr, static_cast<std::size_t>(end - result.ptr));
    for (const UnitRow &unit : Units) {
        if (unit.name != name)
            continue;
        if (number > std::numeric_limits<Duration::rep>::max() / unit.length.count())
            return std::nullopt;
        return unit.length * number;
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    assert(duration.count() >= 0 && "durations in objects are not negative");
    if (duration.count() == 0)
        return "0s";
    for (const UnitRow &unit : Units) {
        if (duration % unit.length == Duration(0))
            return std::to_string(duration / unit.length) + std::string(unit.name);
    }
    assert(false && "each duration is a whole number of microseconds");
    return {};
}

} // namespace currantwalk
