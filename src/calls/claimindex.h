#ifndef CURRANTWALK_CALLS_CLAIMINDEX_H
#define CURRANTWALK_CALLS_CLAIMINDEX_H

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/timerservice.h"
#include "calls/claimrecord.h"

namespace currantwalk {

/// What the records of one stream of claims say of each key. Depends on their order alone, so all
/// nodes that read the same records agree.
class ClaimIndex
{
public:
    struct Claim
    {
        std::string id;
        std::uint64_t fingerprint = 0;
        bool isVoid = false;
        bool isInDoubt = false;
        TimePoint seenAt{};
    };

    struct Result
    {
        LogOffset offset = 0; ///< Of the record that holds the response.
        std::uint64_t fingerprint = 0;
        TimePoint seenAt{};
    };

    struct Entry
    {
        std::vector<Claim> claims; ///< In order of offset, each id once.
        std::optional<Result> result;

        const Claim *find(const std::string &claimId) const;
        /// Returns the claim that stands: the first that is not void; null if there is none.
        const Claim *holder() const;
    };

    /// \a lifetime is how long the log keeps a record.
    explicit ClaimIndex(Duration lifetime) : m_lifetime(lifetime) {}

    void apply(const ClaimRecord &record, LogOffset offset, TimePoint now);
    /// Forgets what the log has expired by now.
    void expire(TimePoint now);
    void clear();
    /// Returns what is known of a key, or null.
    const Entry *find(const std::string &key) const;
    std::size_t size() const { return m_entries.size(); }

private:
    void expireKey(const std::string &key, TimePoint limit);

    const Duration m_lifetime;
    std::unordered_map<std::string, Entry> m_entries;
    std::deque<std::pair<TimePoint, std::string>> m_order; // Of records by when they were read.
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_CLAIMINDEX_H
