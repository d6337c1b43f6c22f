#ifndef CURRANTWALK_CALLS_CLAIMS_H
#define CURRANTWALK_CALLS_CLAIMS_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/timerservice.h"
#include "calls/plaincall.h"
#include "log/logservice.h"

namespace currantwalk {

/// Identifies an idempotency key of an organisation for a service, and the request that uses it.
struct ClaimRequest
{
    std::string organisation;
    std::string service;
    std::string key;
    std::uint64_t fingerprint = 0; ///< Hash of method, path and body.
    TimePoint deadline{};
    Duration keyWindow{0};
};

/// Counts of claims by their result, since the start of the process.
struct ClaimCounts
{
    std::uint64_t won = 0;
    std::uint64_t done = 0;
    std::uint64_t unknown = 0;
    std::uint64_t conflict = 0;
    std::uint64_t notClaimed = 0;
    std::uint64_t appendRetries = 0;  ///< Retries after a failure or a lost answer.
    std::uint64_t recordsSkipped = 0; ///< Not decodable, or expired before they were read.
};

/// Claims idempotency keys in the platform's log. Of several claims of a key, the one with the
/// lowest log offset wins.
class Claims
{
public:
    using Callback = std::function<void(const ClaimAnswer &)>;

    struct Options
    {
        VmId vm;
        Incarnation incarnation = 0;
        std::uint32_t shards = 16; ///< Number of streams; the same on all nodes.
        Duration groupDelay = std::chrono::milliseconds(3); ///< Batching delay of appends.
        Duration recordLifetime = std::chrono::hours(2);    ///< Retention period of the log.
        /// Poll interval of a shard without waiting requests.
        Duration idlePollInterval = std::chrono::seconds(2);
        /// Poll interval of a shard with waiting requests.
        Duration activePollInterval = std::chrono::milliseconds(25);
    };

    static std::unique_ptr<Claims> create(const Options &options, LogHooks log,
                                          TimerService &timers);

    virtual ~Claims() = default;

    /// Claims a key. \a callback is called exactly once, never from within this call, and shortly
    /// before the deadline at the latest. A caller that gets Won must send the request or call
    /// recordNotRun().
    virtual void claim(const ClaimRequest &request, Callback callback) = 0;
    /// Records the response to the request of a won claim.
    virtual void recordResult(const ClaimRequest &request, const PlainResponse &response) = 0;
    /// Withdraws a won claim: its request has not run and will not run.
    virtual void recordNotRun(const ClaimRequest &request, const absl::Status &status) = 0;
    /// Records that the outcome of a won claim is unknown and will stay so.
    virtual void recordUnknown(const ClaimRequest &request) = 0;
    /// Looks up the state of a key without claiming it. Gives NotClaimed for an unclaimed key.
    virtual void lookUp(const ClaimRequest &request, Callback callback) = 0;
    /// Returns the number of unanswered requests and of outcomes not yet appended to the log. A
    /// draining node waits until it is 0.
    virtual std::size_t unsettled() const = 0;
    virtual const ClaimCounts &counts() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_CLAIMS_H
