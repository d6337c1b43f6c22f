#include "calls/claimwriter.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

// How long records wait that nobody waits for, so that they join the append of another.
static constexpr Duration LaterTime = std::chrono::milliseconds(20);
static constexpr Duration ShortestSlowing = std::chrono::milliseconds(10);
static constexpr Duration LongestGathering = std::chrono::milliseconds(500);

ClaimWriter::ClaimWriter(std::unique_ptr<Appender> appender, TimerService &timers)
    : m_appender(std::move(appender)), m_timers(timers)
{
}

ClaimWriter::~ClaimWriter()
{
    m_timers.cancel(m_timer);
}

void ClaimWriter::append(std::string record, Urgency urgency, Appender::Callback callback)
{
    m_entries.push_back(Entry{std::move(record), std::move(callback)});
    const Duration least = urgency == Urgency::Soon ? Duration(0) : LaterTime;
    const TimePoint due = m_timers.now() + std::max(m_gatherTime, least);
    if (m_timer != NoTimer && m_flushAt <= due)
        return;
    m_timers.cancel(m_timer);
    m_flushAt = due;
    m_timer = m_timers.subscribeAt(due, [this] { flush(); });
}

void ClaimWriter::flush()
{
    m_timer = NoTimer;
    std::vector<Entry> entries = std::exchange(m_entries, {});
    for (Entry &entry : entries) {
        m_appender->append(std::move(entry.record),
                           [this, callback = std::move(entry.callback)](
                                   const absl::StatusOr<LogOffset> &offset) {
                               onAnswer(offset);
                               callback(offset);
                           });
    }
}

// All records of one append fail together, and slow the writer once. Speeding up is slower than
// slowing down, or the writers of all nodes would run into the log's limit again at once.
void ClaimWriter::onAnswer(const absl::StatusOr<LogOffset> &offset)
{
    if (offset.ok()) {
        m_gatherTime = m_gatherTime * 63 / 64;
        if (m_gatherTime < ShortestSlowing / 4)
            m_gatherTime = Duration(0);
        return;
    }
    const ErrorCode code = errorCode(offset.status());
    const bool isTurnedDown = code == ErrorCode::LogUnavailable || code == ErrorCode::Overloaded;
    if (!isTurnedDown || m_slowedAt == m_timers.now())
        return;
    m_slowedAt = m_timers.now();
    m_gatherTime = std::clamp(m_gatherTime * 2, ShortestSlowing, LongestGathering);
}

} // namespace currantwalk
