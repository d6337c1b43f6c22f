#ifndef CURRANTWALK_LOG_APPENDER_H
#define CURRANTWALK_LOG_APPENDER_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "log/logservice.h"
#include "log/streamreader.h"

namespace currantwalk {

/// Appends records to one stream in batches. If the answer to an append is lost, the outcome is
/// determined by searching the stream for the records, so each record must be unique, for example
/// by containing an id of its writer.
class Appender
{
public:
    /// Receives the record's offset. Fails with LogUnavailable if the record was not appended and
    /// will not be, with LogAnswerLost if that could not be determined, or with Overloaded if too
    /// many records are queued.
    using Callback = std::function<void(absl::StatusOr<LogOffset>)>;

    struct Options
    {
        std::string stream;
        Duration batchDelay = std::chrono::milliseconds(3); ///< Wait for further records.
        std::size_t maxBatchSize = 128;                     ///< Maximum records in one append.
        std::size_t maxInFlight = 4;                        ///< Maximum concurrent appends.
        std::size_t maxQueued = 4096;                       ///< Maximum queued records.
        Duration appendTimeout = std::chrono::seconds(3);
        Duration resolveTimeout = std::chrono::seconds(5); ///< For the search of the stream.
    };

    /// \a log, \a timers and \a random must outlive the result.
    static std::unique_ptr<Appender> create(const Options &options, const LogHooks &log,
                                            TimerService &timers, RandomSource &random);
    ~Appender();

    Appender(const Appender &) = delete;
    Appender &operator=(const Appender &) = delete;

    /// Appends \a record. \a callback is called once, never from within this call, and not after
    /// the appender was destroyed.
    void append(std::string record, Callback callback);
    /// Raises the known lower bound of the stream's end, so that searches after a lost answer start
    /// later in the stream.
    void updateEnd(LogOffset end);
    /// Returns the number of records whose outcome is not yet known.
    std::size_t unsettled() const;

private:
    struct Entry
    {
        std::string record;
        Callback callback;
    };

    /// One append in flight.
    struct Batch
    {
        std::vector<Entry> entries;
        LogOffset scanFrom = 1; ///< The records, if appended, have this offset or a later one.
        TimerId timer = NoTimer;
        std::unique_ptr<StreamReader> reader; ///< Set during a search of the stream.
    };

    Appender(const Options &options, const LogHooks &log, TimerService &timers,
             RandomSource &random);

    void scheduleSend(Duration delay);
    void send();
    void sendBatch();
    void onAnswer(std::uint64_t number, absl::StatusOr<std::vector<LogOffset>> answer);
    void resolve(std::uint64_t number, Batch &batch);
    void onScanned(std::uint64_t number, const LogRecord &record);
    void finish(std::uint64_t number, const absl::StatusOr<LogOffset> &first);

    const Options m_options;
    const LogHooks &m_log;
    TimerService &m_timers;
    RandomSource &m_random;

    std::deque<Entry> m_queue;
    std::map<std::uint64_t, Batch> m_batches; // In flight, by number.
    std::uint64_t m_lastBatch = 0;
    LogOffset m_end = 1; // Lower bound of the stream's end.
    TimerId m_sendTimer = NoTimer;
    std::shared_ptr<Appender *> m_self; // Set to null on destruction, for pending callbacks.
};

} // namespace currantwalk

#endif // CURRANTWALK_LOG_APPENDER_H
