#ifndef CURRANTWALK_CALLS_CLAIMWRITER_H
#define CURRANTWALK_CALLS_CLAIMWRITER_H

#include <memory>
#include <string>
#include <vector>

#include "base/timerservice.h"
#include "log/appender.h"

namespace currantwalk {

/// Batches the records of one stream of claims before they are appended. The batching delay grows
/// while the log rejects appends.
class ClaimWriter
{
public:
    enum class Urgency {
        Immediate, ///< A request waits for the record.
        Deferred,  ///< The record may wait for others to join the append.
    };

    /// \a timers must outlive the writer.
    ClaimWriter(std::unique_ptr<Appender> appender, TimerService &timers);
    ~ClaimWriter();

    ClaimWriter(const ClaimWriter &) = delete;
    ClaimWriter &operator=(const ClaimWriter &) = delete;

    void append(std::string record, Urgency urgency, Appender::Callback callback);
    Duration batchDelay() const { return m_batchDelay; }

private:
    struct Entry
    {
        std::string record;
        Appender::Callback callback;
    };

    void flush();
    void onAppended(const absl::StatusOr<LogOffset> &offset);

    const std::unique_ptr<Appender> m_appender;
    TimerService &m_timers;
    std::vector<Entry> m_entries;
    TimerId m_timer = NoTimer;
    TimePoint m_flushAt{};
    Duration m_batchDelay{0};
    TimePoint m_backedOffAt{};
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_CLAIMWRITER_H
