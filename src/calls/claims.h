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

/// What is claimed: one key of one organisation for one service, and the request it stands for.
struct ClaimRequest
{
    std::string organisation;
    std::string service;
    std::string key;
    std::uint64_t fingerprint = 0; ///< Of method, path and body.
    TimePoint deadline{};
    Duration keyWindow{0};
};

/// What claims came to, since the start.
struct ClaimCounts
{
    std::uint64_t won = 0;
    std::uint64_t done = 0;
    std::uint64_t unknown = 0;
    std::uint64_t conflict = 0;
    std::uint64_t notClaimed = 0;
    std::uint64_t appendsRepeated = 0; ///< After a failure or a lost answer.
    std::uint64_t recordsUnread = 0;   ///< Not understood, or expired before they were read.
};

/// Claims idempotency keys in the platform's log: of several claims the first by offset wins.
class Claims
{
public:
    using Callback = std::function<void(const ClaimAnswer &)>;

    struct Options
    {
        VmId vm;
        Incarnation incarnation = 0;
        std::uint32_t shards = 16; ///< Streams that claims are spread over; alike on all nodes.
        Duration groupDelay = std::chrono::milliseconds(3); ///< Wait for others to join an append.
        Duration recordLifetime = std::chrono::hours(2);    ///< That the log keeps a record for.
        Duration idlePoll = std::chrono::seconds(2);        ///< Of a shard that nobody waits for.
        Duration busyPoll = std::chrono::milliseconds(25);  ///< Of one that somebody waits for.
    };

    static std::unique_ptr<Claims> create(const Options &options, LogHooks log,
                                          TimerService &timers);

    virtual ~Claims() = default;

    /// Claims a key; \a callback comes once, later, and shortly before the deadline at the latest.
    /// Whoever gets Won must send the request or call recordNotRun().
    virtual void claim(const ClaimRequest &request, Callback callback) = 0;
    /// Records the result of a claim that was won.
    virtual void recordResult(const ClaimRequest &request, const PlainResponse &response) = 0;
    /// Records that a claim that was won was not used: the request has not run and will not.
    virtual void recordNotRun(const ClaimRequest &request, const absl::Status &status) = 0;
    /// Records that nobody will learn what became of a claim that was won.
    virtual void recordUnknown(const ClaimRequest &request) = 0;
    /// Looks up what became of a key, without claiming it. Unclaimed keys give NotClaimed.
    virtual void lookUp(const ClaimRequest &request, Callback callback) = 0;
    /// Returns the number of claims and results not yet settled in the log; for drain.
    virtual std::size_t unsettled() const = 0;
    virtual const ClaimCounts &counts() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_CLAIMS_H
