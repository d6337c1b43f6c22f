#include "log/appender.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

static constexpr Duration SettlePollInterval = std::chrono::milliseconds(100);

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
    assert(options.maxGroup > 0 && options.maxInFlight > 0 && "an append holds a record");
}

Appender::~Appender()
{
    *m_self = nullptr;
    m_timers.cancel(m_sendTimer);
    for (const auto &[number, group] : m_groups)
        m_timers.cancel(group.timer);
}

void Appender::append(std::string record, Callback callback)
{
    if (m_queue.size() >= m_options.maxQueued) {
        m_timers.subscribeAfter(Duration(0), [callback = std::move(callback)] {
            callback(makeError(ErrorCode::Overloaded, "too many records wait for the log"));
        });
        return;
    }
    m_queue.push_back(Entry{std::move(record), std::move(callback)});
    if (m_sendTimer == NoTimer)
        scheduleSend(m_options.groupDelay);
}

void Appender::noteEnd(LogOffset end)
{
    m_end = std::max(m_end, end);
}

std::size_t Appender::unsettled() const
{
    std::size_t count = m_queue.size();
    for (const auto &[number, group] : m_groups)
        count += group.entries.size();
    return count;
}

void Appender::scheduleSend(Duration delay)
{
    m_sendTimer = m_timers.subscribeAfter(delay, [this] {
        m_sendTimer = NoTimer;
        send();
    });
}

void Appender::send()
{
    while (!m_queue.empty() && m_groups.size() < m_options.maxInFlight)
        sendGroup();
}

void Appender::sendGroup()
{
    const std::uint64_t number = ++m_lastGroup;
    Group &group = m_groups[number];
    group.scanFrom = m_end;
    std::vector<std::string> records;
    while (!m_queue.empty() && group.entries.size() < m_options.maxGroup) {
        records.push_back(m_queue.front().record);
        group.entries.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    group.timer = m_timers.subscribeAfter(m_options.appendTimeout, [this, number] {
        onAnswer(number, makeError(ErrorCode::LogAnswerLost, "no answer to an append in time"));
    });
    m_log.append(m_options.stream, std::move(records),
                 [self = m_self, number](absl::StatusOr<std::vector<LogOffset>> answer) {
                     if (*self)
                         (*self)->onAnswer(number, std::move(answer));
                 });
}

// An answer may also come while the group is being settled, after a timeout: it is as good.
void Appender::onAnswer(std::uint64_t number, absl::StatusOr<std::vector<LogOffset>> answer)
{
    const auto it = m_groups.find(number);
    if (it == m_groups.end())
        return;
    Group &group = it->second;
    if (answer.ok() && answer->size() == group.entries.size() && !answer->empty()) {
        finish(number, answer->front());
        return;
    }
    if (!answer.ok() && errorCode(answer.status()) == ErrorCode::LogUnavailable) {
        finish(number, answer.status());
        return;
    }
    if (!group.reader)
        settle(number, group);
}

void Appender::settle(std::uint64_t number, Group &group)
{
    m_timers.cancel(group.timer);
    group.timer = m_timers.subscribeAfter(m_options.settleTimeout, [this, number] {
        finish(number, makeError(ErrorCode::LogAnswerLost, "the stream did not show the record"));
    });
    StreamReader::Options options;
    options.stream = m_options.stream;
    options.from = group.scanFrom;
    options.pollInterval = SettlePollInterval;
    StreamReader::Hooks hooks;
    hooks.onRecord = [this, number](const LogRecord &record) { onScanned(number, record); };
    group.reader = StreamReader::create(options, std::move(hooks), m_log, m_timers, m_random);
    group.reader->start();
}

// Records of one append stand next to one another, so the first one's place tells all.
void Appender::onScanned(std::uint64_t number, const LogRecord &record)
{
    const auto it = m_groups.find(number);
    assert(it != m_groups.end() && "a group's reader goes with the group");
    if (record.data == it->second.entries.front().record)
        finish(number, record.offset);
}

void Appender::finish(std::uint64_t number, const absl::StatusOr<LogOffset> &first)
{
    auto node = m_groups.extract(number);
    assert(!node.empty() && "a group ends once");
    Group &group = node.mapped();
    m_timers.cancel(group.timer);
    if (first.ok())
        noteEnd(*first + group.entries.size());
    if (!m_queue.empty() && m_sendTimer == NoTimer)
        scheduleSend(Duration(0));
    const std::shared_ptr<Appender *> self = m_self;
    LogOffset index = 0;
    for (const Entry &entry : group.entries) {
        if (!*self)
            return;
        entry.callback(first.ok() ? absl::StatusOr<LogOffset>(*first + index) : first);
        ++index;
    }
}

} // namespace currantwalk
