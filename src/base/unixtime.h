#ifndef CURRANTWALK_BASE_UNIXTIME_H
#define CURRANTWALK_BASE_UNIXTIME_H

#include <cstdint>

namespace currantwalk {

/// Returns the time of day in milliseconds. It may jump; use a TimerService to measure durations.
std::uint64_t unixMilliseconds();

} // namespace currantwalk

#endif // CURRANTWALK_BASE_UNIXTIME_H
