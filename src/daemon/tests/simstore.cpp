#include "daemon/tests/simstore.h"

#include <algorithm>
#include <utility>

#include "base/error.h"

namespace currantwalk {

// Of the nodes' client of the store, beyond the wait of a read.
static constexpr Duration CallTimeout = std::chrono::milliseconds(1000);

KeyedTopicHooks SimStore::topic(const std::string &name, const std::string &host)
{
    KeyedTopicHooks hooks;
    hooks.readNewest = [this, name, host](const std::string &after,
                                          KeyedTopicHooks::PageCallback done) {
        ++m_topics[name].calls;
        if (unanswered.contains(host)) {
            m_timers.scheduleAfter(CallTimeout, [this, host, done = std::move(done)] {
                answer(host, [done] { done(makeError(ErrorCode::LogAnswerLost, "no answer")); });
            });
            return;
        }
        const bool isReached = canReach(host);
        answer(host, [this, name, after, isReached, done = std::move(done)] {
            if (isReached)
                done(page(m_topics[name], after));
            else
                done(makeError(ErrorCode::LogUnavailable, "unreachable"));
        });
    };
    hooks.readTail = [this, name, host](LogOffset from, Duration wait,
                                        KeyedTopicHooks::TailCallback done) {
        ++m_topics[name].calls;
        if (!canReach(host)) {
            answer(host, [done = std::move(done)] {
                done(makeError(ErrorCode::LogUnavailable, "unreachable"));
            });
            return;
        }
        if (unanswered.contains(host)) {
            m_timers.scheduleAfter(wait + CallTimeout, [this, host, done = std::move(done)] {
                answer(host, [done] { done(makeError(ErrorCode::LogAnswerLost, "no answer")); });
            });
            return;
        }
        const std::uint64_t reader = ++m_lastReader;
        Topic &topic = m_topics[name];
        topic.waiting[reader] = {host, from, std::move(done)};
        if (from != topic.records.size())
            answerTail(topic, reader);
        else
            m_timers.scheduleAfter(wait, [this, &topic, reader] { answerTail(topic, reader); });
    };
    return hooks;
}

KeyedPage SimStore::page(const Topic &topic, const std::string &after) const
{
    std::map<std::string, KeyedRecord> newest;
    for (const KeyedRecord &record : topic.records)
        newest[record.key] = record;
    KeyedPage page;
    page.end = topic.records.size();
    page.origin.era = era;
    for (auto it = after.empty() ? newest.begin() : newest.upper_bound(after); it != newest.end();
         ++it) {
        if (!it->second.value)
            continue;
        page.hasMore = pageSize != 0 && page.records.size() == pageSize;
        if (page.hasMore)
            break;
        page.records.push_back(it->second);
    }
    return page;
}

void SimStore::compact(const std::string &topic)
{
    m_topics[topic].first = m_topics[topic].records.size();
}

void SimStore::answer(const std::string &host, std::function<void()> action)
{
    m_timers.scheduleAfter(latency, [this, host, action = std::move(action)] {
        if (deliver)
            deliver(host, action);
        else
            action();
    });
}

void SimStore::answerTail(Topic &topic, std::uint64_t reader)
{
    const auto it = topic.waiting.find(reader);
    if (it == topic.waiting.end())
        return;
    const Reader waiting = std::move(it->second);
    topic.waiting.erase(it);
    answer(waiting.host, [this, &topic, waiting] {
        if (!canReach(waiting.host))
            return waiting.done(makeError(ErrorCode::LogUnavailable, "unreachable"));
        if (waiting.from > topic.records.size() || waiting.from < topic.first)
            return waiting.done(makeError(ErrorCode::LogRecordsExpired, "no such offset"));
        KeyedTail tail;
        tail.origin.era = era;
        tail.records.assign(topic.records.begin() + static_cast<std::ptrdiff_t>(waiting.from),
                            topic.records.end());
        tail.next = topic.records.size();
        tail.end = topic.records.size();
        waiting.done(std::move(tail));
    });
}

void SimStore::append(const std::string &name, const std::string &key,
                      const std::optional<std::string> &value)
{
    Topic &topic = m_topics[name];
    topic.records.push_back({key, value, topic.records.size()});
    topic.writtenAt.push_back(m_timers.now());
    std::vector<std::uint64_t> readers;
    for (const auto &[reader, waiting] : topic.waiting)
        readers.push_back(reader);
    for (const std::uint64_t reader : readers)
        answerTail(topic, reader);
}

void SimStore::appendFrom(const std::string &host, const std::string &topic, const std::string &key,
                          const std::optional<std::string> &value,
                          std::function<void(const absl::Status &)> callback)
{
    ++m_topics[topic].calls;
    const bool isReached = canReach(host);
    if (isReached)
        append(topic, key, value);
    if (isReached && unanswered.contains(host)) {
        m_timers.scheduleAfter(CallTimeout, [this, host, callback = std::move(callback)] {
            answer(host,
                   [callback] { callback(makeError(ErrorCode::LogAnswerLost, "no answer")); });
        });
        return;
    }
    answer(host, [isReached, callback = std::move(callback)] {
        callback(isReached ? absl::OkStatus()
                           : makeError(ErrorCode::LogUnavailable, "unreachable"));
    });
}

void SimStore::restore(Duration age)
{
    ++era;
    const TimePoint copiedAt = m_timers.now() - age;
    for (auto &[name, topic] : m_topics) {
        const auto end = std::upper_bound(topic.writtenAt.begin(), topic.writtenAt.end(), copiedAt);
        topic.writtenAt.erase(end, topic.writtenAt.end());
        topic.records.resize(topic.writtenAt.size());
        topic.first = std::min<LogOffset>(topic.first, topic.records.size());
        for (const auto &[number, waiting] : std::exchange(topic.waiting, {}))
            answer(waiting.host, [done = waiting.done] {
                done(makeError(ErrorCode::LogAnswerLost, "the store was restored"));
            });
    }
}

std::uint64_t SimStore::calls(const std::string &topic) const
{
    const auto it = m_topics.find(topic);
    return it == m_topics.end() ? 0 : it->second.calls;
}

std::map<std::string, std::string> SimStore::newest(const std::string &topic) const
{
    std::map<std::string, std::string> values;
    const auto it = m_topics.find(topic);
    if (it == m_topics.end())
        return values;
    for (const KeyedRecord &record : it->second.records) {
        if (record.value)
            values[record.key] = *record.value;
        else
            values.erase(record.key);
    }
    return values;
}

} // namespace currantwalk
