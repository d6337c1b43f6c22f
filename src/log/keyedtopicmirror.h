#ifndef CURRANTWALK_LOG_KEYEDTOPICMIRROR_H
#define CURRANTWALK_LOG_KEYEDTOPICMIRROR_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "log/keyedtopicfollower.h"

namespace currantwalk {

/// The records of a compacted topic as a follower has read them, from which peers are answered.
class KeyedTopicMirror
{
public:
    /// Number of tombstones kept for readers of the tail.
    static constexpr std::size_t MaxTombstones = 1024;

    /// Adds or replaces the record of a key.
    void apply(const KeyedRecord &record);
    /// Drops a key that the topic no longer has. Implies noteGap().
    void remove(const std::string &key);
    /// Tombstones before the next position are not known: readers of the tail that are behind it
    /// have to scan.
    void noteGap() { m_hasGap = true; }
    /// Drops all records; the topic is being read again in \a era.
    void reset(std::uint64_t era);
    /// Called when all records before \a next have been applied.
    void setPosition(std::uint64_t era, LogOffset next);

    /// Returns whether all records up to some offset are known.
    bool isComplete() const { return m_next.has_value(); }
    std::uint64_t era() const { return m_era; }
    /// Returns the offset of the next record to be applied. \pre isComplete()
    LogOffset next() const { return *m_next; }
    /// Returns the newest record of each key, tombstones left out.
    KeyedPage newest() const;
    /// Returns the records from offset \a from on, in order. Fails with LogRecordsExpired if
    /// tombstones among them have been dropped.
    absl::StatusOr<KeyedTail> tail(LogOffset from) const;

private:
    std::map<LogOffset, KeyedRecord> m_records; ///< The newest of each key, tombstones included.
    std::map<std::string, LogOffset> m_offsets;
    std::size_t m_tombstones = 0;
    LogOffset m_completeFrom = 0; ///< All tombstones from here on are known.
    bool m_hasGap = true;         ///< Those before the next position are not.
    std::uint64_t m_era = 0;
    std::optional<LogOffset> m_next;

    void erase(const std::string &key);
    void dropOldestTombstone();
};

} // namespace currantwalk

#endif // CURRANTWALK_LOG_KEYEDTOPICMIRROR_H
