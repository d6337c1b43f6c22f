#ifndef CURRANTWALK_DAEMON_TESTS_LOOPTOPIC_H
#define CURRANTWALK_DAEMON_TESTS_LOOPTOPIC_H

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "log/keyedtopicfollower.h"

namespace currantwalk {

/// A topic of the store that a test fills, read by a node on a real loop.
struct LoopTopic
{
    KeyedTopicHooks hooks(TimerService &timers)
    {
        KeyedTopicHooks hooks;
        hooks.readNewest = [this, &timers](const std::string &,
                                           KeyedTopicHooks::PageCallback done) {
            timers.scheduleAfter(Duration::zero(), [this, done] {
                if (isDown)
                    done(makeError(ErrorCode::LogUnavailable, "down"));
                else
                    done(KeyedPage{records, false, records.size()});
            });
        };
        hooks.readTail = [this, &timers](LogOffset from, Duration,
                                         KeyedTopicHooks::TailCallback done) {
            polledAt = timers.now();
            waiting.emplace_back(from, std::move(done));
            if (from < records.size())
                timers.scheduleAfter(Duration::zero(), [this] { answerTails(); });
        };
        return hooks;
    }

    void append(const std::string &key, std::optional<std::string> value)
    {
        records.push_back({key, std::move(value), records.size()});
        answerTails();
    }

    void answerTails()
    {
        const auto answered = std::exchange(waiting, {});
        for (const auto &[from, done] : answered) {
            KeyedTail tail;
            tail.records.assign(records.begin() + static_cast<std::ptrdiff_t>(from), records.end());
            tail.next = records.size();
            tail.end = records.size();
            done(tail);
        }
    }

    std::vector<KeyedRecord> records;
    std::vector<std::pair<LogOffset, KeyedTopicHooks::TailCallback>> waiting;
    bool isDown = false;
    TimePoint polledAt{}; ///< When the last read of the tail was sent.
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TESTS_LOOPTOPIC_H
