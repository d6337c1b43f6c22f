#ifndef CURRANTWALK_OBSERVE_TESTS_LOGCAPTURE_H
#define CURRANTWALK_OBSERVE_TESTS_LOGCAPTURE_H

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <sstream>
#include <string>
#include <utility>

#include "observe/requestexplanation.h"

#include <CppUTest/TestHarness.h>

namespace currantwalk {

/// Captures log lines in a pipe that is read only by finish().
class LogCapture
{
public:
    explicit LogCapture(std::function<TimePoint()> now)
    {
        LONGS_EQUAL(0, pipe2(m_ends.data(), O_NONBLOCK));
        initBoundedLogging(m_ends[1], LogLevel::Info, std::move(now));
    }

    /// Stops capturing and returns the lines.
    LogSet finish()
    {
        initLogging(LogFormat::Text, LogLevel::Error);
        close(m_ends[1]);
        std::string text;
        std::array<char, 4096> part{};
        for (ssize_t size = 0; (size = read(m_ends[0], part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(size));
        close(m_ends[0]);
        LogSet logs;
        std::istringstream stream(text);
        logs.read(stream, "captured");
        return logs;
    }

private:
    std::array<int, 2> m_ends{};
};

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_TESTS_LOGCAPTURE_H
