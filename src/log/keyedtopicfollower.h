#ifndef CURRANTWALK_LOG_KEYEDTOPICFOLLOWER_H
#define CURRANTWALK_LOG_KEYEDTOPICFOLLOWER_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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

/// What the answer to a read says of where it comes from.
struct ReadingOrigin
{
    /// Number of times that the store has been restored from a copy; 0 if it was not told. Offsets
    /// of different eras cannot be compared.
    std::uint64_t era = 0;
    /// Up to when the answer is known to be complete, relative to the sending of the read. Negative
    /// if a peer answered from what it had read before; nothing if it has no proof in this era.
    std::optional<Duration> provenAfter = Duration(0);
    /// Whether the proof allows for the time that writers have after a restore.
    bool isEraSettled = false;
    /// Time since the peer that answered last failed to read the store; nothing if it never did, or
    /// if the store itself answered.
    std::optional<Duration> sinceOutage;
    /// Length of the time in which it failed to read the store until then.
    Duration outageLength{0};
};

/// A page of the newest records of all keys. The pages together are not a consistent snapshot.
struct KeyedPage
{
    std::vector<KeyedRecord> records;
    bool hasMore = false;
    LogOffset end = 0; ///< Offset of the next record to be appended, as of this page.
    ReadingOrigin origin = {};
};

/// Consecutive records from the tail of the topic.
struct KeyedTail
{
    std::vector<KeyedRecord> records;
    LogOffset next = 0; ///< Offset to read from next.
    LogOffset end = 0;  ///< Offset of the next record to be appended, as of this answer.
    ReadingOrigin origin = {};
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

/// Callbacks of a follower. Those without a function are not called.
struct KeyedTopicCallbacks
{
    std::function<void(const KeyedRecord &)> onRecord;
    /// A known key has no record in a new scan of all keys.
    std::function<void(const std::string &key)> onKeyRemoved;
    /// The store was restored from a copy without the key, and nobody has written it again within
    /// the restore grace.
    std::function<void(const std::string &key)> onKeyLost;
    /// All records that the topic had at \a when have been reported.
    std::function<void(TimePoint when)> onUpToDate;
    /// The store was restored from a copy: records that it had acknowledged may be missing. Not
    /// called for the first era. All keys are read again next.
    std::function<void(std::uint64_t earlierEra, std::uint64_t era)> onRestored;
    /// All keys were read: changes before the next position may not have been reported one by one.
    /// Called before onPosition.
    std::function<void()> onScanned;
    /// All records before \a next have been reported. Called after a scan and after each read of
    /// the tail, before onUpToDate.
    std::function<void(std::uint64_t era, LogOffset next)> onPosition;
    /// A peer that passes on the topic could not read the store for \a length until \a sinceOutage
    /// ago.
    std::function<void(Duration sinceOutage, Duration length)> onPeerOutage;
    /// A scan ended early: the keys after \a after can't be read, because of \a status. Only called
    /// with Options::areRecordsRenewed.
    std::function<void(const std::string &after, const absl::Status &status)> onScanIncomplete;
    /// Reading the topic fails, or works again.
    std::function<void(const absl::Status &status)> onReadFailed;
    std::function<void()> onRecovered;
};

/// Follows a compacted topic: scans all keys, then reads each new record.
class KeyedTopicFollower
{
public:
    /// How long the writers of a store that was restored from a copy may take to write again what
    /// the copy lacks.
    static constexpr Duration RestoreGrace = std::chrono::milliseconds(2200);

    struct Options
    {
        Duration wait = std::chrono::milliseconds(1000); ///< Long-poll time for the tail.
        Duration minRetry = std::chrono::milliseconds(100);
        Duration maxRetry = std::chrono::milliseconds(1000);
        /// Time between two reads of the tail if the first returned records, so that changes in
        /// quick succession take one call.
        Duration pause{0};
        Duration restoreGrace = RestoreGrace;
        /// Whether the writers write each record again within restoreGrace. A scan that can't be
        /// continued is then completed by reading the tail for that time; else it is tried again.
        bool areRecordsRenewed = false;
        /// Returns whether the writers have had that time in an era; asked in the first era that
        /// the follower sees, as it can't tell how long ago it began. Empty: they have.
        std::function<bool(std::uint64_t era)> isEraSettled;
        /// Returns whether what was read is as new as what is known from elsewhere; if it is not,
        /// the reading proves nothing. Empty: it is.
        std::function<bool()> isContentCurrent;
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
    /// Returns the era of the last answer; 0 before the first or if the store does not tell it.
    std::uint64_t era() const { return m_era; }
    /// Returns whether the answer to the current read of the tail is late by more than \a slack.
    bool isOverdue(Duration slack) const;

private:
    KeyedTopicFollower(const Options &options, KeyedTopicHooks hooks, KeyedTopicCallbacks events,
                       TimerService &timers, RandomSource &random);

    enum class Era {
        Same,
        Earlier, ///< The answer is older than one received before.
        Later,
    };

    Era checkEra(const ReadingOrigin &origin);
    bool isSettledAt(TimePoint when) const;
    void confirm(TimePoint when, bool isEraSettled);
    Duration tailWait();
    void expireUnconfirmed();
    void startScan();
    void readPage();
    void handlePage(const absl::StatusOr<KeyedPage> &page);
    void finishScan();
    void completeScan();
    void abandonScan(const absl::Status &reason);
    bool isScanBlocked(const absl::Status &failure) const;
    void removeUnlisted();
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
    std::uint64_t m_era = 0;
    bool m_isFirstEra = true;
    TimePoint m_eraSeenAt{}; ///< When the era of the last answer was first seen.
    /// Keys known from before the store was restored that have not been read since.
    std::set<std::string> m_unconfirmed;
    TimerId m_restoreTimer = NoTimer;
    /// From when on the tail completes a scan that was abandoned; nothing if none was.
    std::optional<TimePoint> m_renewedSince;
    /// Known keys that the abandoned scan did not reach, and that have not been read since.
    std::set<std::string> m_unlisted;
    std::string m_after;
    std::optional<LogOffset> m_readFrom;
    std::optional<TimePoint> m_scanProvenAt; ///< Nothing if a page of the scan proves nothing.
    bool m_isScanEraSettled = false;
    bool m_isProofDue = true; ///< The first read of this era that can prove something is to come.
    TimePoint m_sentAt{};
    std::uint32_t m_failures = 0;
    TimerId m_retryTimer = NoTimer;
    bool m_isLost = false;
    bool m_isScanComplete = false; ///< The scan is complete and the tail is being read.
};

} // namespace currantwalk

#endif // CURRANTWALK_LOG_KEYEDTOPICFOLLOWER_H
