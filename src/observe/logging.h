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

/// The parts of the daemon; each line begins with the name of one.
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

/// Sets format and least level, for standard error. Lines before it are dropped.
void initLogging(LogFormat format, LogLevel level);

/// Sets bounded logging, one JSON object a line, to the file descriptor \a fd: a reader that is too
/// slow loses lines, and the process never waits for it.
void initBoundedLogging(int fd, LogLevel level, std::function<TimePoint()> now);

/// Writes one line.
void logLine(LogPart part, LogLevel level, std::string_view message);
/// Writes one line about the request \a requestId.
void logRequest(LogPart part, LogLevel level, std::string_view requestId, std::string_view message);

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_LOGGING_H
