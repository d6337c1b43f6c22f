#ifndef CURRANTWALK_OBSERVE_BOUNDEDWRITER_H
#define CURRANTWALK_OBSERVE_BOUNDEDWRITER_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/timerservice.h"

namespace currantwalk {

/// Writes lines to a file descriptor without blocking, limited by a token bucket. Dropped lines are
/// counted and reported in a separate line.
class BoundedWriter
{
public:
    struct Options
    {
        double linesPerSecond = 200; ///< A rate that a log reader on a small VM can sustain.
        double burst = 400;          ///< Capacity of the token bucket, in lines.
    };

    /// \a now returns the current time; \a notice formats the line that reports the number of
    /// dropped lines.
    BoundedWriter(int fd, const Options &options, std::function<TimePoint()> now,
                  std::function<std::string(std::uint64_t)> notice);

    /// Writes \a line and a newline, or drops the line.
    void write(std::string_view line);
    std::uint64_t droppedCount() const { return m_totalDropped; }

private:
    bool tryConsumeToken();
    bool tryWrite(std::string_view line) const;

    const int m_fd;
    const Options m_options;
    const std::function<TimePoint()> m_now;
    const std::function<std::string(std::uint64_t)> m_notice;
    double m_tokens;
    TimePoint m_refilledAt;
    std::uint64_t m_droppedSinceNotice = 0; ///< Since the last notice.
    std::uint64_t m_totalDropped = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_BOUNDEDWRITER_H
