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

/// The state of each key, built from the records of one stream of claims. It depends only on the
/// order of the records, so all nodes that read the same records agree.
class ClaimIndex
{
public:
    struct Claim
    {
        std::string id;
        std::uint64_t fingerprint = 0;
        bool isWithdrawn = false;
        bool isOutcomeUnknown = false;
        TimePoint seenAt{};
    };

    struct Result
    {
        LogOffset offset = 0; ///< Offset of the record with the response.
        std::uint64_t fingerprint = 0;
        TimePoint seenAt{};
    };

    struct Entry
    {
        std::vector<Claim> claims; ///< In order of offset, each id once.
        std::optional<Result> result;

        const Claim *find(const std::string &claimId) const;
        /// Returns the winning claim, the first that was not withdrawn; null if there is none.
        const Claim *holder() const;
    };

    /// \a lifetime is the retention period of the log.
    explicit ClaimIndex(Duration lifetime) : m_lifetime(lifetime) {}

    void apply(const ClaimRecord &record, LogOffset offset, TimePoint now);
    /// Removes the records that have expired in the log by \a now.
    void expire(TimePoint now);
    void clear();
    /// Returns the state of \a key; null if no record names it.
    const Entry *find(const std::string &key) const;
    std::size_t size() const { return m_entries.size(); }

private:
    void expireKey(const std::string &key, TimePoint limit);

    const Duration m_lifetime;
    std::unordered_map<std::string, Entry> m_entries;
    // Keys by the time their records were read.
    std::deque<std::pair<TimePoint, std::string>> m_readOrder;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_CLAIMINDEX_H
