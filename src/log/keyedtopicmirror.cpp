#include "log/keyedtopicmirror.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

void KeyedTopicMirror::apply(const KeyedRecord &record)
{
    erase(record.key);
    m_offsets[record.key] = record.offset;
    m_records[record.offset] = record;
    if (!record.value && ++m_tombstones > MaxTombstones)
        dropOldestTombstone();
}

// The scan that found the key missing does not tell the offset of its tombstone. Readers behind the
// current position have to scan at once. One that is at it may have been answered before the
// removal, and has to scan when the position advances.
void KeyedTopicMirror::remove(const std::string &key)
{
    if (m_offsets.find(key) == m_offsets.end())
        return;
    erase(key);
    noteGap();
    if (m_next)
        m_completeFrom = std::max(m_completeFrom, *m_next);
}

void KeyedTopicMirror::reset(std::uint64_t era)
{
    *this = KeyedTopicMirror();
    m_era = era;
}

void KeyedTopicMirror::setPosition(std::uint64_t era, LogOffset next)
{
    m_era = era;
    const bool isAhead = !m_next || next > *m_next;
    if (!isAhead)
        return;
    if (std::exchange(m_hasGap, false))
        m_completeFrom = next;
    m_next = next;
}

void KeyedTopicMirror::erase(const std::string &key)
{
    const auto known = m_offsets.find(key);
    if (known == m_offsets.end())
        return;
    const auto record = m_records.find(known->second);
    if (record != m_records.end()) {
        m_tombstones -= record->second.value ? 0 : 1;
        m_records.erase(record);
    }
    m_offsets.erase(known);
}

void KeyedTopicMirror::dropOldestTombstone()
{
    const auto oldest = std::find_if(m_records.begin(), m_records.end(), [](const auto &entry) {
        return !entry.second.value.has_value();
    });
    m_completeFrom = std::max(m_completeFrom, oldest->first + 1);
    erase(std::string(oldest->second.key));
}

KeyedPage KeyedTopicMirror::newest() const
{
    KeyedPage page;
    page.end = m_next.value_or(0);
    page.origin.era = m_era;
    for (const auto &[offset, record] : m_records) {
        if (record.value)
            page.records.push_back(record);
    }
    return page;
}

absl::StatusOr<KeyedTail> KeyedTopicMirror::tail(LogOffset from) const
{
    if (from < m_completeFrom)
        return makeError(ErrorCode::LogRecordsExpired, "tombstones have been dropped");
    KeyedTail tail;
    tail.next = m_next.value_or(0);
    tail.end = tail.next;
    tail.origin.era = m_era;
    for (auto it = m_records.lower_bound(from); it != m_records.end(); ++it)
        tail.records.push_back(it->second);
    return tail;
}

} // namespace currantwalk
