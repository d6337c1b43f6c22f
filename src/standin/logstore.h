#ifndef CURRANTWALK_STANDIN_LOGSTORE_H
#define CURRANTWALK_STANDIN_LOGSTORE_H

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/timerservice.h"
#include "log/logservice.h"

namespace currantwalk::standin {

/// An append-only log of named streams, held in memory.
class LogStore
{
public:
    struct Options
    {
        std::uint32_t appendsPerSecond = 400; ///< Over all streams.
        Duration recordLifetime = std::chrono::hours(2);
        std::size_t maxPageRecords = 1000;
    };

    LogStore(const Options &options, TimerService &timers);

    /// Fails with LogUnavailable where the append limit is spent.
    absl::StatusOr<std::vector<LogOffset>> append(const std::string &stream,
                                                  std::vector<std::string> records);
    /// Fails with LogRecordsExpired where \a from is older than the oldest kept.
    absl::StatusOr<LogPage> read(const std::string &stream, LogOffset from, std::size_t limit);

    /// Changes how long records are kept; takes effect at once.
    void setRecordLifetime(Duration lifetime) { m_options.recordLifetime = lifetime; }

private:
    struct StoredRecord
    {
        std::string data;
        TimePoint appendedAt;
    };

    struct Stream
    {
        std::deque<StoredRecord> records;
        LogOffset oldest = 1;
    };

    bool takeAppend();
    void expire(Stream &stream);

    Options m_options;
    TimerService &m_timers;
    std::map<std::string, Stream> m_streams;
    TimePoint m_windowStart;
    std::uint32_t m_appendsInWindow = 0;
};

} // namespace currantwalk::standin

#endif // CURRANTWALK_STANDIN_LOGSTORE_H
