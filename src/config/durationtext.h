#ifndef CURRANTWALK_CONFIG_DURATIONTEXT_H
#define CURRANTWALK_CONFIG_DURATIONTEXT_H

#include <optional>
#include <string>
#include <string_view>

#include "base/timerservice.h"

namespace currantwalk {

/// Reads a whole number with its unit, one of us, ms, s, m and h: "250ms". Nothing where the text
/// is something else or too long a time.
std::optional<Duration> parseDuration(std::string_view text);
/// Writes \a duration in the largest unit that keeps it exact. \pre duration >= 0
std::string formatDuration(Duration duration);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_DURATIONTEXT_H
