#ifndef CURRANTWALK_LOG_STREAMREADER_H
#define CURRANTWALK_LOG_STREAMREADER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "log/logservice.h"

namespace currantwalk {

/// Records that expired before they were read.
struct StreamGap
{
    LogOffset expected = 0; ///< Offset that would have been read next.
    LogOffset oldest = 0;   ///< Lowest offset that can or shall be read; reading goes on from it.
};

/// Follows one stream of the log from an offset on by polling. While the log is out it polls with
/// exponential backoff and jitter.
class StreamReader
{
public:
    struct Options
    {
        std::string stream;
        /// Offset to read first. 0 stands for the end that the stream has at the first read; all
        /// before it is reported as a gap.
        LogOffset from = 1;
        Duration pollInterval = std::chrono::milliseconds(500);
        Duration maxBackoff = std::chrono::seconds(5);
        Duration readTimeout = std::chrono::seconds(3);
        std::size_t pageSize = 256; ///< Records asked for at once.
    };

    struct Hooks
    {
        std::function<void(const LogRecord &)> onRecord;
        /// Records were missed; comes before the first record after them.
        std::function<void(const StreamGap &)> onGap;
        /// All records that the stream had at \a asOf, by this node's clock, were delivered.
        std::function<void(TimePoint asOf)> onCaughtUp;
        /// A read failed, and will be tried again.
        std::function<void(const absl::Status &)> onFailure;
    };

    /// Hooks left empty are not called. \a log, \a timers and \a random must outlive the result.
    static std::unique_ptr<StreamReader> create(const Options &options, Hooks hooks,
                                                const LogHooks &log, TimerService &timers,
                                                RandomSource &random);
    ~StreamReader();

    StreamReader(const StreamReader &) = delete;
    StreamReader &operator=(const StreamReader &) = delete;

    void start();
    /// Reads now rather than at the next poll, unless a read is under way.
    void poll();

    /// Returns the offset that is read next.
    LogOffset next() const { return m_next; }
    /// Returns whether the last read that ended did so well.
    bool isHealthy() const { return m_failures == 0; }

private:
    StreamReader(const Options &options, Hooks hooks, const LogHooks &log, TimerService &timers,
                 RandomSource &random);

    void schedule(Duration delay);
    void read(LogOffset from, std::size_t limit);
    void onAnswer(std::uint64_t number, absl::StatusOr<LogPage> answer);
    void onPage(const LogPage &page);
    void onBounds(const LogPage &page);
    void onFailure(const absl::Status &status);
    Duration backoff();

    const Options m_options;
    const Hooks m_hooks;
    const LogHooks &m_log;
    TimerService &m_timers;
    RandomSource &m_random;

    LogOffset m_next;
    TimerId m_timer = NoTimer; // Of the next poll, or of the timeout of the read under way.
    std::uint64_t m_reads = 0; // Numbers reads, so that a late answer is told from a current one.
    bool m_isReading = false;
    bool m_isSeekingOldest = false; // The next read asks for the stream's bounds alone.
    bool m_isSeekingEnd;
    TimePoint m_askedAt{};
    std::uint32_t m_failures = 0;           // In a row.
    std::shared_ptr<StreamReader *> m_self; // Callbacks that outlive this find null.
};

} // namespace currantwalk

#endif // CURRANTWALK_LOG_STREAMREADER_H
