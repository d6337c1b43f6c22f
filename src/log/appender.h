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

/// Appends records to one stream, several in one append. A lost answer is settled by reading the
/// stream for the records themselves, so each record must be unique: it bears an id of its writer.
class Appender
{
public:
    /// Gets the record's offset. Fails with LogUnavailable where it is not in the stream and will
    /// not be, with LogAnswerLost where that could not be found out, with Overloaded where too many
    /// are waiting.
    using Callback = std::function<void(absl::StatusOr<LogOffset>)>;

    struct Options
    {
        std::string stream;
        Duration groupDelay = std::chrono::milliseconds(3); ///< Wait for others to join an append.
        std::size_t maxGroup = 128;                         ///< Records in one append.
        std::size_t maxInFlight = 4;                        ///< Appends at once.
        std::size_t maxQueued = 4096;                       ///< Records that wait.
        Duration appendTimeout = std::chrono::seconds(3);
        Duration settleTimeout = std::chrono::seconds(5); ///< For reading after a lost answer.
    };

    /// \a log, \a timers and \a random must outlive the result.
    static std::unique_ptr<Appender> create(const Options &options, const LogHooks &log,
                                            TimerService &timers, RandomSource &random);
    ~Appender();

    Appender(const Appender &) = delete;
    Appender &operator=(const Appender &) = delete;

    /// Appends \a record; \a callback comes once and later. It is dropped with the appender.
    void append(std::string record, Callback callback);
    /// Tells the stream's end as read elsewhere, so that settling need not read from far back.
    void noteEnd(LogOffset end);
    /// Returns the number of records whose fate is not yet known.
    std::size_t unsettled() const;

private:
    struct Entry
    {
        std::string record;
        Callback callback;
    };

    /// One append and what it waits for.
    struct Group
    {
        std::vector<Entry> entries;
        LogOffset scanFrom = 1; ///< The group stands at this offset or later, if at all.
        TimerId timer = NoTimer;
        std::unique_ptr<StreamReader> reader; ///< While a lost answer is settled.
    };

    Appender(const Options &options, const LogHooks &log, TimerService &timers,
             RandomSource &random);

    void scheduleSend(Duration delay);
    void send();
    void sendGroup();
    void onAnswer(std::uint64_t number, absl::StatusOr<std::vector<LogOffset>> answer);
    void settle(std::uint64_t number, Group &group);
    void onScanned(std::uint64_t number, const LogRecord &record);
    void finish(std::uint64_t number, const absl::StatusOr<LogOffset> &first);

    const Options m_options;
    const LogHooks &m_log;
    TimerService &m_timers;
    RandomSource &m_random;

    std::deque<Entry> m_queue;
    std::map<std::uint64_t, Group> m_groups; // In flight, by number.
    std::uint64_t m_lastGroup = 0;
    LogOffset m_end = 1; // Lower bound of the stream's end.
    TimerId m_sendTimer = NoTimer;
    std::shared_ptr<Appender *> m_self; // Callbacks that outlive this find null.
};

} // namespace currantwalk

#endif // CURRANTWALK_LOG_APPENDER_H
