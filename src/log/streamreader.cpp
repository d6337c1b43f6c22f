#include "log/streamreader.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

// Past the end of any stream, and exactly representable as a JSON number in a double.
static constexpr LogOffset PastAnyEnd = (LogOffset(1) << 53) - 1;

std::unique_ptr<StreamReader> StreamReader::create(const Options &options, Hooks hooks,
                                                   const LogHooks &log, TimerService &timers,
                                                   RandomSource &random)
{
    return std::unique_ptr<StreamReader>(
            new StreamReader(options, std::move(hooks), log, timers, random));
}

StreamReader::StreamReader(const Options &options, Hooks hooks, const LogHooks &log,
                           TimerService &timers, RandomSource &random)
    : m_options(options),
      m_hooks(std::move(hooks)),
      m_log(log),
      m_timers(timers),
      m_random(random),
      m_next(std::max<LogOffset>(options.from, 1)),
      m_isSeekingEnd(options.from == 0),
      m_self(std::make_shared<StreamReader *>(this))
{
    assert(options.pageSize > 0 && "a page holds at least one record");
}

StreamReader::~StreamReader()
{
    *m_self = nullptr;
    m_timers.cancel(m_timer);
}

void StreamReader::start()
{
    schedule(Duration(0));
}

void StreamReader::poll()
{
    if (!m_isReading)
        schedule(Duration(0));
}

void StreamReader::schedule(Duration delay)
{
    m_timers.cancel(m_timer);
    m_timer = m_timers.scheduleAfter(delay, [this] {
        m_timer = NoTimer;
        if (m_isSeekingOldest || m_isSeekingEnd)
            read(PastAnyEnd, 1);
        else
            read(m_next, m_options.pageSize);
    });
}

void StreamReader::read(LogOffset from, std::size_t limit)
{
    assert(!m_isReading && "one read at a time");
    m_isReading = true;
    m_readSentAt = m_timers.now();
    const std::uint64_t number = ++m_lastRead;
    m_timer = m_timers.scheduleAfter(m_options.readTimeout, [this, number] {
        onAnswer(number, makeError(ErrorCode::LogUnavailable, "read timed out"));
    });
    m_log.read(m_options.stream, from, limit,
               [self = m_self, number](absl::StatusOr<LogPage> answer) {
                   if (*self)
                       (*self)->onAnswer(number, std::move(answer));
               });
}

void StreamReader::onAnswer(std::uint64_t number, absl::StatusOr<LogPage> answer)
{
    if (!m_isReading || number != m_lastRead)
        return;
    m_isReading = false;
    m_timers.cancel(m_timer);
    m_timer = NoTimer;
    if (answer.ok()) {
        if (m_isSeekingOldest || m_isSeekingEnd)
            onBounds(*answer);
        else
            onPage(*answer);
        return;
    }
    if (errorCode(answer.status()) == ErrorCode::LogRecordsExpired) {
        m_isSeekingOldest = true;
        schedule(Duration(0));
        return;
    }
    onFailure(answer.status());
}

void StreamReader::onPage(const LogPage &page)
{
    // Streams are never truncated at the end, so an end below the offset read so far means that
    // this is a different log.
    if (page.end < m_next) {
        onFailure(makeError(ErrorCode::LogUnavailable,
                            "stream end is below the offset already read; retrying"));
        return;
    }
    m_failures = 0;
    const std::shared_ptr<StreamReader *> self = m_self;
    const TimePoint readSentAt = m_readSentAt;
    for (const LogRecord &record : page.records) {
        if (record.offset != m_next) {
            onFailure(makeError(ErrorCode::LogUnavailable,
                                "page has a gap between offsets; retrying"));
            return;
        }
        ++m_next;
        if (m_hooks.onRecord)
            m_hooks.onRecord(record);
        if (!*self)
            return;
    }
    const bool isAtEnd = m_next >= page.end;
    if (isAtEnd && m_hooks.onCaughtUp)
        m_hooks.onCaughtUp(readSentAt);
    if (!*self)
        return;
    const Duration pause =
            m_options.pollInterval * 9 / 10 + m_random.jitter(m_options.pollInterval / 5);
    schedule(isAtEnd ? pause : Duration(0));
}

void StreamReader::onBounds(const LogPage &page)
{
    const LogOffset next = m_isSeekingEnd ? page.end : page.oldest;
    const bool isStarting = std::exchange(m_isSeekingEnd, false);
    m_isSeekingOldest = false;
    m_failures = 0;
    if (next <= m_next) {
        schedule(isStarting ? Duration(0) : m_options.pollInterval);
        return;
    }
    const StreamGap gap{m_next, next};
    m_next = next;
    const std::shared_ptr<StreamReader *> self = m_self;
    if (m_hooks.onGap)
        m_hooks.onGap(gap);
    if (*self)
        schedule(Duration(0));
}

void StreamReader::onFailure(const absl::Status &status)
{
    ++m_failures;
    const std::shared_ptr<StreamReader *> self = m_self;
    if (m_hooks.onFailure)
        m_hooks.onFailure(status);
    if (*self)
        schedule(backoff());
}

// The jitter prevents all nodes from reading at once when the log is available again.
Duration StreamReader::backoff()
{
    constexpr std::uint32_t MaxDoublings = 16;
    const std::uint32_t doublings = std::min(m_failures - 1, MaxDoublings);
    const Duration longest =
            std::min(m_options.maxBackoff, m_options.pollInterval * (1U << doublings));
    return longest / 2 + m_random.jitter(longest / 2);
}

} // namespace currantwalk
