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

/// A caller's request to a plain service, that is, an HTTP service other than generation.
struct PlainRequest
{
    RequestId id;
    std::string organisation;
    std::string service;
    std::string method;
    std::string path; ///< Relative to the service's prefix, including the query.
    std::string contentType;
    std::string body;
    std::string idempotencyKey; ///< Empty if the caller sent none.
    bool isIdempotent = false;  ///< From the method and the service's configuration.
    bool targetChecksKeys = false;
    TimePoint deadline{};
    Duration keyWindow{0};
};

/// The response of a plain service.
struct PlainResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
    Duration retryAfter{0}; ///< From the target; 0 if it sent none.
};

/// The result of an attempt to claim an idempotency key.
enum class ClaimVerdict {
    Won,        ///< Only this node may send the request, and only once.
    Done,       ///< An earlier submission ran; its result is known.
    Unknown,    ///< Another submission claimed the key; its result is not known.
    Conflict,   ///< The key was claimed for a different request.
    NotClaimed, ///< The claim is proven absent: the request has not run.
};

struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::Unknown;
    /// Set with Done, unless the result was too large to store.
    std::optional<PlainResponse> result;
    absl::Status status; ///< Set with Unknown, Conflict and NotClaimed.
};

/// States of a request to a plain service.
enum class PlainState {
    New,
    Claiming,  ///< Waiting for the claim of the idempotency key.
    Queued,    ///< Waiting for a target.
    Sent,      ///< Waiting for the target's response.
    Waiting,   ///< Backing off before the next step.
    LookingUp, ///< Querying the target for the result stored for the key.
    Settled,
};

/// Returns "new", "claiming", "queued", "sent", "waiting", "looking-up" or "settled".
std::string_view plainStateName(PlainState state);

/// Callbacks through which a call uses its environment. All are required unless stated otherwise.
/// They must not call back into the PlainCall synchronously.
struct PlainHooks
{
    /// Requests a target; answered by onPlaced() or onPlacementFailed().
    std::function<void(std::uint64_t exchange, const std::vector<TargetId> &excluded)>
            requestPlacement;
    /// Sends the request to the target.
    std::function<void(std::uint64_t exchange, const TargetId &target)> sendRequest;
    std::function<void(std::uint64_t exchange)> abandonExchange;
    /// Claims the caller's idempotency key; answered by onClaim(). Not called for requests without
    /// a key, of which other nodes cannot recognise duplicates.
    std::function<void()> claimKey;
    /// Records the result of a request whose claim was won, for later claims of the same key.
    std::function<void(const PlainResponse &response)> recordResult;
    /// Records that the request of a claim that was won was not sent and will not be.
    std::function<void()> recordNotRun;
    /// Records that the outcome of a claim that was won will stay unknown. Optional; if empty,
    /// later claims of the key wait for a result until their deadlines.
    std::function<void()> recordUnknown;
    /// Queries a target that stores keys for the result of the request; answered by onKeyLookup().
    std::function<void(std::uint64_t exchange, const TargetId &target)> lookUpKey;
    std::function<void(const PlainResponse &response)> finish;
    std::function<void(const absl::Status &status, Outcome outcome, Duration retryAfter)> fail;
    std::function<void(const TargetId &target)> reportTargetLost;
    std::function<bool()> takeRetry;
};

/// Handles one request to a plain service. Runs it at most once unless it is idempotent.
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
    /// Called when the exchange has failed. \a wasSent is true if any part of the request may have
    /// reached the target. TargetRefused and TargetBusy mean that, as defined by its protocol, the
    /// target refused the request before running any of it. An HTTP status that does not guarantee
    /// this must be reported as a response.
    virtual void onExchangeFailed(std::uint64_t exchange, const absl::Status &status,
                                  bool wasSent) = 0;
    /// Called with the response that the target has stored for the key, or with no value if the
    /// target has not run the request.
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
