#ifndef CURRANTWALK_CONFIG_DURATIONTEXT_H
#define CURRANTWALK_CONFIG_DURATIONTEXT_H

#include <optional>
#include <string>
#include <string_view>

#include "base/timerservice.h"

namespace currantwalk {

/// Parses a whole number followed by a unit (us, ms, s, m or h), such as "250ms". Returns nothing
/// if the text is malformed or the duration overflows.
std::optional<Duration> parseDuration(std::string_view text);
/// Formats \a duration in the largest unit that represents it exactly. \pre duration >= 0
std::string formatDuration(Duration duration);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_DURATIONTEXT_H
