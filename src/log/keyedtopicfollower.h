#ifndef CURRANTWALK_LOG_KEYEDTOPICFOLLOWER_H
#define CURRANTWALK_LOG_KEYEDTOPICFOLLOWER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/randomsource.h"
#include "base/timerservice.h"

namespace currantwalk {

/// A record of a compacted topic, which keeps the newest record of each key.
struct KeyedRecord
{
    std::string key;
    std::optional<std::string> value; ///< Nothing for a tombstone, which deletes the key.
    LogOffset offset = 0;
};

/// A page of the newest records of all keys. The pages together are not a consistent snapshot.
struct KeyedPage
{
    std::vector<KeyedRecord> records;
    bool hasMore = false;
    LogOffset end = 0; ///< Offset of the next record to be appended, as of this page.
};

/// Consecutive records from the tail of the topic.
struct KeyedTail
{
    std::vector<KeyedRecord> records;
    LogOffset next = 0; ///< Offset to read from next.
    LogOffset end = 0;  ///< Offset of the next record to be appended, as of this answer.
};

/// How a follower reads its topic. Callbacks must not be called from within the call. Calling them
/// after the follower was destroyed has no effect.
struct KeyedTopicHooks
{
    using PageCallback = std::function<void(absl::StatusOr<KeyedPage>)>;
    using TailCallback = std::function<void(absl::StatusOr<KeyedTail>)>;

    /// Reads a page of the newest record of each key that sorts after \a after.
    std::function<void(const std::string &after, PageCallback callback)> readNewest;
    /// Reads the records from offset \a from on (long poll); answers when there is a record, or
    /// after \a wait. Fails with LogRecordsExpired if \a from is older than the oldest kept record.
    std::function<void(LogOffset from, Duration wait, TailCallback callback)> readTail;
};

/// Callbacks of a follower.
struct KeyedTopicCallbacks
{
    std::function<void(const KeyedRecord &)> onRecord;
    /// A known key has no record in a new scan of all keys.
    std::function<void(const std::string &key)> onKeyRemoved;
    /// All records that the topic had at \a when have been reported.
    std::function<void(TimePoint when)> onUpToDate;
    /// Reading the topic fails, or works again.
    std::function<void(const absl::Status &status)> onReadFailed;
    std::function<void()> onRecovered;
};

/// Follows a compacted topic: scans all keys, then reads each new record.
class KeyedTopicFollower
{
public:
    struct Options
    {
        Duration wait = std::chrono::milliseconds(1000); ///< Long-poll time for the tail.
        Duration minRetry = std::chrono::milliseconds(100);
        Duration maxRetry = std::chrono::milliseconds(1000);
    };

    static std::unique_ptr<KeyedTopicFollower> create(const Options &options, KeyedTopicHooks hooks,
                                                      KeyedTopicCallbacks events,
                                                      TimerService &timers, RandomSource &random);
    ~KeyedTopicFollower();
    KeyedTopicFollower(const KeyedTopicFollower &) = delete;
    KeyedTopicFollower &operator=(const KeyedTopicFollower &) = delete;

    void start();
    /// Retries at once if the last read failed. Called when another topic of the same store could
    /// be read. An answer that is still outstanding is ignored.
    void retryNow();
    /// Returns whether the last read failed.
    bool isUnreachable() const { return m_isLost; }
    /// Returns whether the answer to the current read of the tail is late by more than \a slack.
    bool isOverdue(Duration slack) const;

private:
    KeyedTopicFollower(const Options &options, KeyedTopicHooks hooks, KeyedTopicCallbacks events,
                       TimerService &timers, RandomSource &random);

    void startScan();
    void readPage();
    void handlePage(const absl::StatusOr<KeyedPage> &page);
    void finishScan();
    void readTail();
    void handleTail(const absl::StatusOr<KeyedTail> &tail);
    void handleRecord(const KeyedRecord &record);
    void resumeReading();
    void handleFailure(const absl::Status &status);
    void handleSuccess();

    const Options m_options;
    const KeyedTopicHooks m_hooks;
    const KeyedTopicCallbacks m_events;
    TimerService &m_timers;
    RandomSource &m_random;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

    std::uint64_t m_call = 0; ///< Number of the current read; answers to earlier ones are ignored.
    std::map<std::string, LogOffset> m_offsets; ///< Offset of the newest known record of each key.
    std::map<std::string, LogOffset> m_scannedKeys; ///< Keys seen in the current scan.
    std::string m_after;
    std::optional<LogOffset> m_readFrom;
    TimePoint m_scanStartedAt{};
    TimePoint m_sentAt{};
    std::uint32_t m_failures = 0;
    TimerId m_retryTimer = NoTimer;
    bool m_isLost = false;
    bool m_isScanComplete = false; ///< The scan is complete and the tail is being read.
};

} // namespace currantwalk

#endif // CURRANTWALK_LOG_KEYEDTOPICFOLLOWER_H
