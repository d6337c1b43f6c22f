#include "log/appender.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

static constexpr Duration ResolvePollInterval = std::chrono::milliseconds(100);

std::unique_ptr<Appender> Appender::create(const Options &options, const LogHooks &log,
                                           TimerService &timers, RandomSource &random)
{
    return std::unique_ptr<Appender>(new Appender(options, log, timers, random));
}

Appender::Appender(const Options &options, const LogHooks &log, TimerService &timers,
                   RandomSource &random)
    : m_options(options),
      m_log(log),
      m_timers(timers),
      m_random(random),
      m_self(std::make_shared<Appender *>(this))
{
    assert(options.maxBatchSize > 0 && options.maxInFlight > 0 && "limits are above 0");
}

Appender::~Appender()
{
    *m_self = nullptr;
    m_timers.cancel(m_sendTimer);
    for (const auto &[number, batch] : m_batches)
        m_timers.cancel(batch.timer);
}

void Appender::append(std::string record, Callback callback)
{
    if (m_queue.size() >= m_options.maxQueued) {
        m_timers.scheduleAfter(Duration(0), [callback = std::move(callback)] {
            callback(makeError(ErrorCode::Overloaded, "too many records are queued for the log"));
        });
        return;
    }
    m_queue.push_back(Entry{std::move(record), std::move(callback)});
    if (m_sendTimer == NoTimer)
        scheduleSend(m_options.batchDelay);
}

void Appender::updateEnd(LogOffset end)
{
    m_end = std::max(m_end, end);
}

std::size_t Appender::unsettled() const
{
    std::size_t count = m_queue.size();
    for (const auto &[number, batch] : m_batches)
        count += batch.entries.size();
    return count;
}

void Appender::scheduleSend(Duration delay)
{
    m_sendTimer = m_timers.scheduleAfter(delay, [this] {
        m_sendTimer = NoTimer;
        send();
    });
}

void Appender::send()
{
    while (!m_queue.empty() && m_batches.size() < m_options.maxInFlight)
        sendBatch();
}

void Appender::sendBatch()
{
    const std::uint64_t number = ++m_lastBatch;
    Batch &batch = m_batches[number];
    batch.scanFrom = m_end;
    std::vector<std::string> records;
    while (!m_queue.empty() && batch.entries.size() < m_options.maxBatchSize) {
        records.push_back(m_queue.front().record);
        batch.entries.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    batch.timer = m_timers.scheduleAfter(m_options.appendTimeout, [this, number] {
        onAnswer(number, makeError(ErrorCode::LogAnswerLost, "append timed out"));
    });
    m_log.append(m_options.stream, std::move(records),
                 [self = m_self, number](absl::StatusOr<std::vector<LogOffset>> answer) {
                     if (*self)
                         (*self)->onAnswer(number, std::move(answer));
                 });
}

// An answer that arrives after the timeout, while the stream is being searched, is still valid.
void Appender::onAnswer(std::uint64_t number, absl::StatusOr<std::vector<LogOffset>> answer)
{
    const auto it = m_batches.find(number);
    if (it == m_batches.end())
        return;
    Batch &batch = it->second;
    if (answer.ok() && answer->size() == batch.entries.size() && !answer->empty()) {
        finish(number, answer->front());
        return;
    }
    if (!answer.ok() && errorCode(answer.status()) == ErrorCode::LogUnavailable) {
        finish(number, answer.status());
        return;
    }
    if (!batch.reader)
        resolve(number, batch);
}

void Appender::resolve(std::uint64_t number, Batch &batch)
{
    m_timers.cancel(batch.timer);
    batch.timer = m_timers.scheduleAfter(m_options.resolveTimeout, [this, number] {
        finish(number,
               makeError(ErrorCode::LogAnswerLost,
                         "append not confirmed: the record was not found in the stream in time"));
    });
    StreamReader::Options options;
    options.stream = m_options.stream;
    options.from = batch.scanFrom;
    options.pollInterval = ResolvePollInterval;
    StreamReader::Hooks hooks;
    hooks.onRecord = [this, number](const LogRecord &record) { onScanned(number, record); };
    batch.reader = StreamReader::create(options, std::move(hooks), m_log, m_timers, m_random);
    batch.reader->start();
}

// Records of one append have consecutive offsets, so the first record's offset determines all.
void Appender::onScanned(std::uint64_t number, const LogRecord &record)
{
    const auto it = m_batches.find(number);
    assert(it != m_batches.end() && "a batch owns its reader");
    if (record.data == it->second.entries.front().record)
        finish(number, record.offset);
}

void Appender::finish(std::uint64_t number, const absl::StatusOr<LogOffset> &first)
{
    auto node = m_batches.extract(number);
    assert(!node.empty() && "a batch finishes once");
    Batch &batch = node.mapped();
    m_timers.cancel(batch.timer);
    if (first.ok())
        updateEnd(*first + batch.entries.size());
    if (!m_queue.empty() && m_sendTimer == NoTimer)
        scheduleSend(Duration(0));
    const std::shared_ptr<Appender *> self = m_self;
    LogOffset index = 0;
    for (const Entry &entry : batch.entries) {
        if (!*self)
            return;
        entry.callback(first.ok() ? absl::StatusOr<LogOffset>(*first + index) : first);
        ++index;
    }
}

} // namespace currantwalk
