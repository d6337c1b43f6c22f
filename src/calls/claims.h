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
    };

    static std::unique_ptr<Claims> create(const Options &options, LogHooks log,
                                          TimerService &timers);

    virtual ~Claims() = default;

    /// Claims a key; \a callback comes once, by the deadline.
    virtual void claim(const ClaimRequest &request, Callback callback) = 0;
    /// Records the result of a claim that was won.
    virtual void recordResult(const ClaimRequest &request, const PlainResponse &response) = 0;
    /// Records that a claim that was won was not used: the request has not run and will not.
    virtual void recordNotRun(const ClaimRequest &request, const absl::Status &status) = 0;
    /// Looks up what became of a key, without claiming it. Unclaimed keys give NotClaimed.
    virtual void lookUp(const ClaimRequest &request, Callback callback) = 0;
    /// Returns the number of claims and results not yet settled in the log; for drain.
    virtual std::size_t unsettled() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_CLAIMS_H
