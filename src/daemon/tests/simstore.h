#ifndef CURRANTWALK_DAEMON_TESTS_SIMSTORE_H
#define CURRANTWALK_DAEMON_TESTS_SIMSTORE_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "log/keyedtopicfollower.h"

namespace currantwalk {

/// The platform's store, with topics of newest records.
class SimStore
{
public:
    explicit SimStore(VirtualTimerService &timers) : m_timers(timers) {}

    /// Returns hooks for the node \a host.
    KeyedTopicHooks topic(const std::string &name, const std::string &host);
    void append(const std::string &topic, const std::string &key,
                const std::optional<std::string> &value);
    /// Appends for the node \a host, and answers it.
    void appendFrom(const std::string &host, const std::string &topic, const std::string &key,
                    const std::optional<std::string> &value,
                    std::function<void(const absl::Status &)> callback);
    std::map<std::string, std::string> newest(const std::string &topic) const;
    /// Replaces all topics by a copy of them that is \a age old, and raises the era. Reads that
    /// wait are broken off.
    void restore(Duration age);

    /// Told in all answers; 0: not told.
    std::uint64_t era = 0;
    /// Runs what an answer does at its host; at once if it is not set.
    std::function<void(const std::string &host, std::function<void()> action)> deliver;
    /// Hosts whose calls are done and never answered.
    std::set<std::string> unanswered;
    /// Whether calls are refused without being done.
    bool isBusy = false;
    /// Most records of a page of newest records, which are in the order of their keys; 0: a page
    /// has all.
    std::size_t pageSize = 0;
    /// Deletes the history of a topic: reads of the tail from before its end fail.
    void compact(const std::string &topic);
    /// From a call to its answer, beside the wait of a read.
    Duration latency = std::chrono::milliseconds(4);
    /// Returns whether \a host reaches the store; all do if it is not set.
    std::function<bool(const std::string &host)> isReachable;

    /// Returns the number of calls that nodes made on a topic.
    std::uint64_t calls(const std::string &topic) const;

private:
    struct Reader
    {
        std::string host;
        LogOffset from = 0;
        KeyedTopicHooks::TailCallback done;
    };

    struct Topic
    {
        std::vector<KeyedRecord> records;
        std::vector<TimePoint> writtenAt; ///< Of each record.
        LogOffset first = 0;              ///< Reads of the tail from before it fail.
        std::map<std::uint64_t, Reader> waiting;
        std::uint64_t calls = 0;
    };

    bool canReach(const std::string &host) const
    {
        return !isBusy && (!isReachable || isReachable(host));
    }
    KeyedPage page(const Topic &topic, const std::string &after) const;
    void answer(const std::string &host, std::function<void()> action);
    void answerTail(Topic &topic, std::uint64_t reader);

    VirtualTimerService &m_timers;
    std::map<std::string, Topic> m_topics;
    std::uint64_t m_lastReader = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TESTS_SIMSTORE_H
