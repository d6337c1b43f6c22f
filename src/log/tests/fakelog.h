#ifndef CURRANTWALK_LOG_TESTS_FAKELOG_H
#define CURRANTWALK_LOG_TESTS_FAKELOG_H

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/randomsource.h"
#include "base/timerservice.h"
#include "log/logservice.h"

namespace currantwalk {

/// In-memory log for tests, on virtual time and with seeded random faults.
class FakeLog
{
public:
    struct Faults
    {
        bool isUnavailable = false;  ///< Every request fails with LogUnavailable.
        bool isUnresponsive = false; ///< Requests get no answer and have no effect.
        double loseBeforeEffect = 0; ///< Share of appends whose answer and effect are lost.
        /// Share of appends whose answer is lost, but not their effect.
        double loseAfterEffect = 0;
        double lateEffect = 0;     ///< Share of appends that take effect after their failure.
        double silentLoss = 0;     ///< Share of lost answers that are not reported as a failure.
        double failRead = 0;       ///< Share of reads that fail.
        Duration maxExtraDelay{0}; ///< Maximum random extra delay of each request.
        std::size_t appendsPerSecond = 0; ///< 0: no limit; appends over the limit fail.
    };

    /// One client of the log, which can be disconnected individually.
    struct Client
    {
        bool isDisconnected = false;
        LogHooks hooks;
    };

    FakeLog(TimerService &timers, std::uint64_t seed) : m_timers(timers), m_random(seed) {}

    Faults faults;
    Duration delay = std::chrono::milliseconds(2); ///< One-way delay of requests and answers.
    Duration recordLifetime = std::chrono::hours(2);
    std::size_t appendCount = 0;
    std::size_t readCount = 0;

    Client &addClient()
    {
        m_clients.push_back(std::make_unique<Client>());
        Client *client = m_clients.back().get();
        client->hooks.append = [this, client](const std::string &stream,
                                              std::vector<std::string> records,
                                              LogHooks::AppendCallback callback) {
            append(*client, stream, std::move(records), std::move(callback));
        };
        client->hooks.read = [this, client](const std::string &stream, LogOffset from,
                                            std::size_t limit, LogHooks::ReadCallback callback) {
            read(*client, stream, from, limit, std::move(callback));
        };
        return *client;
    }

    /// Appends immediately and without faults.
    LogOffset put(const std::string &name, std::string data)
    {
        Stream &stream = m_streams[name];
        stream.all.push_back(data);
        stream.records.push_back(Kept{m_timers.now(), std::move(data)});
        return stream.oldest + stream.records.size() - 1;
    }

    /// Expires all records of a stream below \a offset.
    void expireBelow(const std::string &name, LogOffset offset)
    {
        Stream &stream = m_streams[name];
        while (!stream.records.empty() && stream.oldest < offset)
            dropOldest(stream);
    }

    /// Returns the records of a stream that are still kept.
    std::vector<LogRecord> records(const std::string &name)
    {
        const Stream &stream = m_streams[name];
        std::vector<LogRecord> result;
        for (std::size_t i = 0; i < stream.records.size(); ++i)
            result.push_back(LogRecord{stream.oldest + i, stream.records[i].data});
        return result;
    }

    /// Returns all records ever appended to a stream, including expired ones; the first has
    /// offset 1.
    const std::vector<std::string> &history(const std::string &name) { return m_streams[name].all; }

private:
    struct Kept
    {
        TimePoint appendedAt;
        std::string data;
    };

    struct Stream
    {
        LogOffset oldest = 1;
        std::deque<Kept> records;
        std::vector<std::string> all;
    };

    static void dropOldest(Stream &stream)
    {
        stream.records.pop_front();
        ++stream.oldest;
    }

    void expire(Stream &stream)
    {
        const TimePoint limit = m_timers.now() - recordLifetime;
        while (!stream.records.empty() && stream.records.front().appendedAt < limit)
            dropOldest(stream);
    }

    Duration oneWay()
    {
        return delay
               + (faults.maxExtraDelay.count() > 0 ? m_random.jitter(faults.maxExtraDelay)
                                                   : Duration(0));
    }

    void after(Duration span, std::function<void()> action)
    {
        m_timers.scheduleAfter(span, std::move(action));
    }

    bool isOverLimit()
    {
        while (!m_recentAppends.empty()
               && m_recentAppends.front() <= m_timers.now() - std::chrono::seconds(1))
            m_recentAppends.pop_front();
        if (faults.appendsPerSecond > 0 && m_recentAppends.size() >= faults.appendsPerSecond)
            return true;
        m_recentAppends.push_back(m_timers.now());
        return false;
    }

    void append(Client &client, const std::string &stream, std::vector<std::string> records,
                LogHooks::AppendCallback callback)
    {
        if (client.isDisconnected || faults.isUnresponsive)
            return;
        after(oneWay(),
              [this, &client, stream, records = std::move(records),
               callback = std::move(callback)] { onAppend(client, stream, records, callback); });
    }

    void onAppend(const Client &client, const std::string &stream,
                  const std::vector<std::string> &records, const LogHooks::AppendCallback &callback)
    {
        if (faults.isUnavailable || isOverLimit()) {
            reply(client, [callback] {
                callback(makeError(ErrorCode::LogUnavailable, "the fake log is out"));
            });
            return;
        }
        if (m_random.chance(faults.loseBeforeEffect)) {
            lose(client, callback);
            return;
        }
        if (m_random.chance(faults.lateEffect)) {
            after(m_random.jitter(std::chrono::seconds(4)),
                  [this, stream, records] { effect(stream, records); });
            lose(client, callback);
            return;
        }
        const std::vector<LogOffset> offsets = effect(stream, records);
        if (m_random.chance(faults.loseAfterEffect)) {
            lose(client, callback);
            return;
        }
        reply(client, [callback, offsets] { callback(offsets); });
    }

    std::vector<LogOffset> effect(const std::string &stream,
                                  const std::vector<std::string> &records)
    {
        ++appendCount;
        std::vector<LogOffset> offsets;
        for (const std::string &record : records)
            offsets.push_back(put(stream, record));
        return offsets;
    }

    void lose(const Client &client, const LogHooks::AppendCallback &callback)
    {
        if (m_random.chance(faults.silentLoss))
            return;
        reply(client, [callback] {
            callback(makeError(ErrorCode::LogAnswerLost, "the fake log lost the answer"));
        });
    }

    void reply(const Client &client, std::function<void()> answer)
    {
        after(oneWay(), [&client, answer = std::move(answer)] {
            if (!client.isDisconnected)
                answer();
        });
    }

    void read(Client &client, const std::string &stream, LogOffset from, std::size_t limit,
              LogHooks::ReadCallback callback)
    {
        if (client.isDisconnected || faults.isUnresponsive)
            return;
        after(oneWay(), [this, &client, stream, from, limit, callback = std::move(callback)] {
            absl::StatusOr<LogPage> answer = page(stream, from, limit);
            reply(client, [callback, answer = std::move(answer)] { callback(answer); });
        });
    }

    absl::StatusOr<LogPage> page(const std::string &name, LogOffset from, std::size_t limit)
    {
        ++readCount;
        if (faults.isUnavailable || m_random.chance(faults.failRead))
            return makeError(ErrorCode::LogUnavailable, "the fake log is out");
        Stream &stream = m_streams[name];
        expire(stream);
        if (from < stream.oldest)
            return makeError(ErrorCode::LogRecordsExpired, "the records expired");
        LogPage result;
        result.oldest = stream.oldest;
        result.end = stream.oldest + stream.records.size();
        result.next = from;
        while (result.next < result.end && result.records.size() < limit) {
            const Kept &kept = stream.records[result.next - stream.oldest];
            result.records.push_back(LogRecord{result.next, kept.data});
            ++result.next;
        }
        return result;
    }

    TimerService &m_timers;
    RandomSource m_random;
    std::map<std::string, Stream> m_streams;
    std::vector<std::unique_ptr<Client>> m_clients;
    std::deque<TimePoint> m_recentAppends;
};

} // namespace currantwalk

#endif // CURRANTWALK_LOG_TESTS_FAKELOG_H
