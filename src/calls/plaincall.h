#ifndef CURRANTWALK_CALLS_PLAINCALL_H
#define CURRANTWALK_CALLS_PLAINCALL_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/randomsource.h"
#include "base/timerservice.h"

namespace currantwalk {

/// A caller's request to a plain service.
struct PlainRequest
{
    RequestId id;
    std::string organisation;
    std::string service;
    std::string method;
    std::string path; ///< Below the service's name, with the query.
    std::string contentType;
    std::string body;
    std::string idempotencyKey; ///< Empty where the caller sent none.
    bool isIdempotent = false;  ///< By method and by the service's declaration.
    bool targetChecksKeys = false;
    TimePoint deadline{};
    Duration keyWindow{0};
};

/// The answer of a plain service.
struct PlainResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
    Duration retryAfter{0}; ///< As the target said; 0 where it did not.
};

/// What became of a claim of an idempotency key.
enum class ClaimVerdict {
    Won,        ///< This node alone may send the request, once.
    Done,       ///< Another ran it; its result is known.
    Unknown,    ///< Another claimed it; its result is not known.
    Conflict,   ///< The key was claimed for another request.
    NotClaimed, ///< Proven that nothing was claimed: the request has not run.
};

struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::Unknown;
    /// With Done; nothing where the result was too large to keep.
    std::optional<PlainResponse> result;
    absl::Status status; ///< With Unknown, Conflict and NotClaimed.
};

/// Where a request to a plain service stands.
enum class PlainState {
    New,
    Claiming,  ///< Waits for its claim of the key.
    Queued,    ///< Waits for a target.
    Sent,      ///< Waits for the target's answer.
    Waiting,   ///< Backs off before the next step.
    LookingUp, ///< Asks the target what became of the request.
    Settled,
};

/// Returns "new", "claiming", "queued", "sent", "waiting", "looking-up" or "settled".
std::string_view plainStateName(PlainState state);

/// What the call asks of its surroundings. All are required; none calls back from within itself.
struct PlainHooks
{
    /// Asks for a target; onPlaced() or onPlacementFailed() answers.
    std::function<void(std::uint64_t exchange, const std::vector<TargetId> &excluded)> place;
    /// Sends the request to the target.
    std::function<void(std::uint64_t exchange, const TargetId &target)> send;
    std::function<void(std::uint64_t exchange)> abandon;
    /// Claims the caller's key; onClaim() answers. Without a key nobody else can send the request.
    std::function<void()> claim;
    /// Records the result of a claim that was won, for others that claim the same key.
    std::function<void(const PlainResponse &response)> recordResult;
    /// Records that a claim that was won has not been used and never will be.
    std::function<void()> recordNotRun;
    /// Records that what became of a claim that was won will not be known. May be left empty: then
    /// others that claim the key wait for a result until their deadlines.
    std::function<void()> recordUnknown;
    /// Asks a target that stores keys what became of the request; onKeyLookup() answers.
    std::function<void(std::uint64_t exchange, const TargetId &target)> lookUpKey;
    std::function<void(const PlainResponse &response)> finish;
    std::function<void(const absl::Status &status, Outcome outcome, Duration retryAfter)> fail;
    std::function<void(const TargetId &target)> targetLost;
    std::function<bool()> takeRetry;
};

/// The life of one request to a plain service: at most once unless it is idempotent.
class PlainCall
{
public:
    static std::unique_ptr<PlainCall> create(PlainRequest request, PlainHooks hooks,
                                             TimerService &timers, RandomSource &random);

    virtual ~PlainCall() = default;

    virtual void start() = 0;
    virtual void onPlaced(std::uint64_t exchange, const TargetId &target) = 0;
    virtual void onPlacementFailed(std::uint64_t exchange, const absl::Status &status,
                                   Duration retryAfter) = 0;
    virtual void onClaim(const ClaimAnswer &answer) = 0;
    virtual void onResponse(std::uint64_t exchange, PlainResponse response) = 0;
    /// \a wasSent tells whether any of the request may have reached the target. TargetRefused and
    /// TargetBusy then say that the target refused, in a way its protocol defines, before it ran
    /// anything; an HTTP status that does not promise this is a response.
    virtual void onExchangeFailed(std::uint64_t exchange, const absl::Status &status,
                                  bool wasSent) = 0;
    /// \a response is what the target stored for the key; nothing where it has not run it.
    virtual void onKeyLookup(std::uint64_t exchange,
                             absl::StatusOr<std::optional<PlainResponse>> response) = 0;
    virtual void onTargetGone(const TargetId &target) = 0;
    virtual void onCallerGone() = 0;

    virtual bool isSettled() const = 0;
    virtual PlainState state() const = 0;
    virtual const PlainRequest &request() const = 0;
    virtual std::uint64_t droppedAnswers() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_PLAINCALL_H
