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
    LogOffset oldest = 0;   ///< Offset to continue from: the oldest kept, or the end.
};

/// Follows one stream of the log from an offset by polling. While the log is unavailable, it
/// retries with exponential backoff and jitter.
class StreamReader
{
public:
    struct Options
    {
        std::string stream;
        /// First offset to read. 0 means the end of the stream at the first read; earlier records
        /// are reported as a gap.
        LogOffset from = 1;
        Duration pollInterval = std::chrono::milliseconds(500);
        Duration maxBackoff = std::chrono::seconds(5);
        Duration readTimeout = std::chrono::seconds(3);
        std::size_t pageSize = 256; ///< Maximum records per read.
    };

    struct Hooks
    {
        std::function<void(const LogRecord &)> onRecord;
        /// Records were missed; called before the first record after the gap.
        std::function<void(const StreamGap &)> onGap;
        /// All records that the stream had at \a asOf, by this node's clock, were delivered.
        std::function<void(TimePoint asOf)> onCaughtUp;
        /// A read failed and will be retried.
        std::function<void(const absl::Status &)> onFailure;
    };

    /// Empty hooks are not called. \a log, \a timers and \a random must outlive the result.
    static std::unique_ptr<StreamReader> create(const Options &options, Hooks hooks,
                                                const LogHooks &log, TimerService &timers,
                                                RandomSource &random);
    ~StreamReader();

    StreamReader(const StreamReader &) = delete;
    StreamReader &operator=(const StreamReader &) = delete;

    void start();
    /// Reads now instead of at the next poll, unless a read is in flight.
    void poll();

    /// Returns the offset to read next.
    LogOffset next() const { return m_next; }
    /// Returns whether the last completed read succeeded.
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
    TimerId m_timer = NoTimer;    // Next poll, or timeout of the read in flight.
    std::uint64_t m_lastRead = 0; // Number of the last read, to ignore late answers.
    bool m_isReading = false;
    bool m_isSeekingOldest = false; // The next read only determines the stream's bounds.
    bool m_isSeekingEnd;
    TimePoint m_readSentAt{};
    std::uint32_t m_failures = 0;           // Consecutive.
    std::shared_ptr<StreamReader *> m_self; // Set to null on destruction, for pending callbacks.
};

} // namespace currantwalk

#endif // CURRANTWALK_LOG_STREAMREADER_H
