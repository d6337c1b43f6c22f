#ifndef CURRANTWALK_CALLS_CLAIMWRITER_H
#define CURRANTWALK_CALLS_CLAIMWRITER_H

#include <memory>
#include <string>
#include <vector>

#include "base/timerservice.h"
#include "log/appender.h"

namespace currantwalk {

/// Gathers the records of one stream of claims before they are appended: for longer, the more
/// appends the log turns down.
class ClaimWriter
{
public:
    enum class Urgency {
        Soon, ///< Somebody waits for it.
        Later,
    };

    /// \a timers must outlive the result.
    ClaimWriter(std::unique_ptr<Appender> appender, TimerService &timers);
    ~ClaimWriter();

    ClaimWriter(const ClaimWriter &) = delete;
    ClaimWriter &operator=(const ClaimWriter &) = delete;

    void append(std::string record, Urgency urgency, Appender::Callback callback);
    Duration gatherTime() const { return m_gatherTime; }

private:
    struct Entry
    {
        std::string record;
        Appender::Callback callback;
    };

    void flush();
    void onAnswer(const absl::StatusOr<LogOffset> &offset);

    const std::unique_ptr<Appender> m_appender;
    TimerService &m_timers;
    std::vector<Entry> m_entries;
    TimerId m_timer = NoTimer;
    TimePoint m_flushAt{};
    Duration m_gatherTime{0};
    TimePoint m_slowedAt{};
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_CLAIMWRITER_H
