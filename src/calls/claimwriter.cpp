#include "calls/claimwriter.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

// Delay of records that no request waits for, so that they join the append of another record.
static constexpr Duration DeferredDelay = std::chrono::milliseconds(20);
static constexpr Duration MinBackoff = std::chrono::milliseconds(10);
static constexpr Duration MaxBatchDelay = std::chrono::milliseconds(500);

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
    const Duration minDelay = urgency == Urgency::Immediate ? Duration(0) : DeferredDelay;
    const TimePoint due = m_timers.now() + std::max(m_batchDelay, minDelay);
    if (m_timer != NoTimer && m_flushAt <= due)
        return;
    m_timers.cancel(m_timer);
    m_flushAt = due;
    m_timer = m_timers.scheduleAt(due, [this] { flush(); });
}

void ClaimWriter::flush()
{
    m_timer = NoTimer;
    std::vector<Entry> entries = std::exchange(m_entries, {});
    for (Entry &entry : entries) {
        m_appender->append(std::move(entry.record),
                           [this, callback = std::move(entry.callback)](
                                   const absl::StatusOr<LogOffset> &offset) {
                               onAppended(offset);
                               callback(offset);
                           });
    }
}

// All records of one append fail together, so failures at the same instant count once. The delay
// decreases more slowly than it increases; otherwise the writers of all nodes would exceed the
// log's limit again at once.
void ClaimWriter::onAppended(const absl::StatusOr<LogOffset> &offset)
{
    if (offset.ok()) {
        m_batchDelay = m_batchDelay * 63 / 64;
        if (m_batchDelay < MinBackoff / 4)
            m_batchDelay = Duration(0);
        return;
    }
    const ErrorCode code = errorCode(offset.status());
    const bool isRejected = code == ErrorCode::LogUnavailable || code == ErrorCode::Overloaded;
    if (!isRejected || m_backedOffAt == m_timers.now())
        return;
    m_backedOffAt = m_timers.now();
    m_batchDelay = std::clamp(m_batchDelay * 2, MinBackoff, MaxBatchDelay);
}

} // namespace currantwalk
