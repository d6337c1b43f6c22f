#ifndef CURRANTWALK_OBSERVE_LOGGING_H
#define CURRANTWALK_OBSERVE_LOGGING_H

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/timerservice.h"

namespace currantwalk {

enum class LogLevel { Debug, Info, Warning, Error };
enum class LogFormat { Text, Json };

/// The parts of the daemon. Each line names the part that wrote it.
enum class LogPart {
    Daemon,
    Callers,
    Calls,
    Claims,
    Config,
    Drain,
    Lease,
    Limits,
    Log,
    Membership,
    Operators,
    Peers,
    Placement,
    Poison,
    Routing,
    Targets
};

std::string_view logLevelName(LogLevel level);
std::optional<LogLevel> logLevelFromName(std::string_view name);
std::optional<LogFormat> logFormatFromName(std::string_view name);
std::string_view logPartName(LogPart part);
std::optional<LogPart> logPartFromName(std::string_view name);

/// Starts logging to standard error with a format and minimum level. Lines logged before are
/// dropped.
void initLogging(LogFormat format, LogLevel level);

/// Starts bounded logging to the file descriptor \a fd, one JSON object per line. Lines are dropped
/// if the reader is too slow; the process never blocks.
void initBoundedLogging(int fd, LogLevel level, std::function<TimePoint()> now);

/// Writes one line.
void logLine(LogPart part, LogLevel level, std::string_view message);
/// Writes one line that refers to the request \a requestId.
void logRequest(LogPart part, LogLevel level, std::string_view requestId, std::string_view message);

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_LOGGING_H
