#ifndef CURRANTWALK_CALLS_GENERATIONCALL_H
#define CURRANTWALK_CALLS_GENERATIONCALL_H

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
#include "targets/target.h"

namespace currantwalk {

/// What to do if an engine is lost after some tokens were delivered to the caller.
enum class LossPolicy {
    End,     ///< End the stream with a typed error.
    Restart, ///< Tell the caller to discard all earlier tokens, and restart the generation.
};

/// How the answer is sent to the caller.
enum class Delivery {
    Streamed, ///< Each token when it is received.
    Buffered, ///< All tokens at the end, so a restart is invisible to the caller.
};

/// A caller's request for a generation.
struct GenerationRequest
{
    RequestId id;
    std::string organisation;
    std::string service;
    std::string model;
    std::uint32_t priorityRank = 0;
    std::string prompt;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0; ///< 0 if the caller set no limit.
    Delivery delivery = Delivery::Streamed;
    LossPolicy lossPolicy = LossPolicy::End;
    TimePoint deadline{};
    std::uint64_t fingerprint = 0; ///< Hash of model and prompt; see PoisonTracker.
};

/// The position at which a reconnected caller continues, decoded from its resume token.
struct ResumePosition
{
    GenerationId generation;
    std::uint32_t nextPosition = 0; ///< First token, from 0, that the caller has not received.
};

/// An attempt to run the request at one target. Attempt ids are unique across the cluster; an
/// engine that receives the same id twice attaches the caller to the generation that it already
/// runs.
struct GenerationAttempt
{
    AttemptNumber number = 0;
    std::string id;
    TargetId target;
};

/// Why the engine ended a generation.
enum class FinishReason { Stop, Length };

/// States of a request for a generation.
enum class GenerationState {
    New,
    Queued,     ///< Waiting for a target.
    Sent,       ///< Sent to a target that has not reported the generation id yet.
    Streaming,  ///< Reading tokens of a generation.
    Recovering, ///< The exchange failed; waiting to retry, or reading is paused.
    Detached,   ///< The caller has disconnected; the generation runs until the resume window ends.
    Settled,
};

/// Returns "new", "queued", "sent", "streaming", "recovering", "detached" or "settled".
std::string_view generationStateName(GenerationState state);

/// How long a generation keeps running after its caller has disconnected.
constexpr Duration ResumeWindow = std::chrono::seconds(30);

/// Callbacks through which a call uses its environment. All are required unless stated otherwise.
/// They must not call back into the GenerationCall synchronously; results are reported by later
/// calls of its on...() functions with the same exchange number.
struct GenerationHooks
{
    /// Requests a target; answered by onPlaced() or onPlacementFailed(). A further call supersedes
    /// the earlier one.
    std::function<void(std::uint64_t exchange, const std::vector<TargetId> &excluded)>
            requestPlacement;
    /// Sends the prompt to the target as \a attempt.
    std::function<void(std::uint64_t exchange, const GenerationAttempt &attempt)> openGeneration;
    /// Returns whether the request is suspected of having crashed a target.
    std::function<bool()> isSuspect;
    /// Probes the target for liveness; answered by onProbeSucceeded() or onExchangeFailed().
    std::function<void(std::uint64_t exchange, const TargetId &target)> probeLiveness;
    /// Reads a running generation, beginning with the token at position \a from.
    std::function<void(std::uint64_t exchange, const GenerationId &generation, std::uint32_t from)>
            resumeGeneration;
    /// Abandons the exchange: closes its connection, ignores its answer and withdraws a placement
    /// request that is still queued.
    std::function<void(std::uint64_t exchange)> abandonExchange;
    /// Cancels the generation at the engine (by attempt id if no generation id is known yet) until
    /// the engine confirms it.
    std::function<void(const GenerationAttempt &attempt,
                       const std::optional<GenerationId> &generation)>
            cancelGeneration;
    /// Sends one token to the caller.
    std::function<void(const GenerationId &generation, std::uint32_t position,
                       const std::string &text)>
            deliverToken;
    /// Tells the caller to discard all tokens received so far.
    std::function<void()> notifyRestart;
    /// Ends the request successfully, after all tokens were delivered.
    std::function<void(FinishReason reason)> finish;
    /// Ends the request with an error. A \a retryAfter of 0 gives no advice on when to retry.
    std::function<void(const absl::Status &status, Outcome outcome, Duration retryAfter)> fail;
    /// Reports that the target died, or is presumed dead, while it ran this request.
    std::function<void(const TargetId &target)> reportTargetLost;
    /// Takes one retry from the service's retry budget; returns false if it is exhausted.
    std::function<bool()> takeRetry;
    /// Queries whether another node reads the generation; answered by onReaderQueryResult() after
    /// all nodes that may have resumed it have replied. Optional; leave empty if no other node can
    /// resume it.
    std::function<void(const GenerationId &generation)> queryReaders;
};

/// Handles one request for a generation. Delivers every token exactly once, in order, and from one
/// generation only, across retries and reconnections.
class GenerationCall
{
public:
    /// What the hooks refer to, \a timers and \a random must outlive the returned call.
    static std::unique_ptr<GenerationCall> create(GenerationRequest request, GenerationHooks hooks,
                                                  TimerService &timers, RandomSource &random);

    virtual ~GenerationCall() = default;

    /// Starts a new request.
    virtual void start() = 0;
    /// Starts a request that resumes an earlier generation.
    virtual void startAt(const ResumePosition &point) = 0;

    // Results of the hooks. Results for an exchange that is no longer current are counted and
    // ignored.
    virtual void onPlaced(std::uint64_t exchange, const TargetId &target) = 0;
    virtual void onPlacementFailed(std::uint64_t exchange, const absl::Status &status,
                                   Duration retryAfter) = 0;
    /// Called when the target has answered the liveness probe.
    virtual void onProbeSucceeded(std::uint64_t exchange) = 0;
    /// Called when the engine has reported the id of the generation that it runs.
    virtual void onOpened(std::uint64_t exchange, const GenerationId &generation) = 0;
    virtual void onToken(std::uint64_t exchange, std::uint32_t position, std::string text) = 0;
    virtual void onFinished(std::uint64_t exchange, std::uint32_t tokens, FinishReason reason) = 0;
    /// Called when the exchange has failed. \a wasSent is true if any part of the request may have
    /// reached the target. In that case, TargetRefused, TargetBusy, UnknownModel and NotFound mean
    /// that the engine refused to start the attempt. After a resume, NotFound, ResumeExpired and
    /// GenerationLost mean that the engine does not have the generation.
    virtual void onExchangeFailed(std::uint64_t exchange, const absl::Status &status,
                                  bool wasSent) = 0;
    /// Called when the target is reported dead in \a incarnation or an earlier one.
    virtual void onTargetGone(const TargetId &target, Incarnation incarnation) = 0;

    /// Called when the caller's connection has closed. A generation that the caller can resume is
    /// cancelled after the resume window, any other at once.
    virtual void onCallerGone() = 0;
    /// Called when the caller has resumed the generation through another node or on another
    /// connection to this one. Ends this call without cancelling the generation.
    virtual void onTakenOver() = 0;
    /// Reports the result of the query for other readers. \a isRead is true if another node reads
    /// the generation, or might without this node knowing.
    virtual void onReaderQueryResult(bool isRead) = 0;
    /// Called when the caller's connection stops or resumes accepting data. While it is blocked,
    /// tokens are buffered up to a limit, at which reading from the engine pauses.
    virtual void onCallerBlocked(bool isBlocked) = 0;

    virtual bool isSettled() const = 0;
    virtual GenerationState state() const = 0;
    /// Returns the generation whose tokens the caller receives, if it is known yet.
    virtual const std::optional<GenerationId> &generation() const = 0;
    virtual const GenerationRequest &request() const = 0;
    /// Returns how many answers were ignored because they were stale or duplicates.
    virtual std::uint64_t droppedAnswers() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_GENERATIONCALL_H
