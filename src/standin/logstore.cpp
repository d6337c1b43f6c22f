#include "standin/logstore.h"

#include <algorithm>

namespace currantwalk::standin {

static constexpr Duration AppendWindow = std::chrono::seconds(1);

LogStore::LogStore(const Options &options, TimerService &timers)
    : m_options(options), m_timers(timers), m_windowStart(timers.now())
{
}

absl::StatusOr<std::vector<LogOffset>> LogStore::append(const std::string &stream,
                                                        std::vector<std::string> records)
{
    if (!takeAppend())
        return makeError(ErrorCode::LogUnavailable, "the append limit is reached");
    Stream &target = m_streams[stream];
    std::vector<LogOffset> offsets;
    for (std::string &record : records) {
        offsets.push_back(target.oldest + target.records.size());
        target.records.push_back({std::move(record), m_timers.now()});
    }
    return offsets;
}

absl::StatusOr<LogPage> LogStore::read(const std::string &stream, LogOffset from, std::size_t limit)
{
    Stream &source = m_streams[stream];
    expire(source);
    LogPage page;
    page.oldest = source.oldest;
    page.end = source.oldest + source.records.size();
    if (from < source.oldest)
        return makeError(ErrorCode::LogRecordsExpired, std::to_string(source.oldest));
    const std::size_t most = std::min(limit, m_options.maxPageRecords);
    page.next = from;
    while (page.next < page.end && page.records.size() < most) {
        page.records.push_back({page.next, source.records[page.next - source.oldest].data});
        ++page.next;
    }
    return page;
}

bool LogStore::takeAppend()
{
    if (m_timers.now() - m_windowStart >= AppendWindow) {
        m_windowStart = m_timers.now();
        m_appendsInWindow = 0;
    }
    if (m_appendsInWindow >= m_options.appendsPerSecond)
        return false;
    ++m_appendsInWindow;
    return true;
}

void LogStore::expire(Stream &stream)
{
    const TimePoint oldestKept = m_timers.now() - m_options.recordLifetime;
    while (!stream.records.empty() && stream.records.front().appendedAt < oldestKept) {
        stream.records.pop_front();
        ++stream.oldest;
    }
}

} // namespace currantwalk::standin
