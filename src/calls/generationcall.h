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

/// What to do when an engine is lost after tokens of its answer were delivered.
enum class LossPolicy {
    End,     ///< End the stream with a typed error.
    Restart, ///< Tell the caller that all earlier tokens are void, and start again.
};

/// How the answer goes to the caller.
enum class Delivery {
    Streamed, ///< Each token as it comes.
    Whole,    ///< All at the end; may restart unseen.
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
    std::uint32_t maxTokens = 0; ///< 0 where not said.
    Delivery delivery = Delivery::Streamed;
    LossPolicy lossPolicy = LossPolicy::End;
    TimePoint deadline{};
    std::uint64_t fingerprint = 0; ///< Of model and prompt; see PoisonTracker.
};

/// Where a caller's reconnection goes on: from a resume token.
struct ResumePoint
{
    GenerationId generation;
    std::uint32_t nextPosition = 0; ///< Of the first token that the caller lacks, counted from 0.
};

/// A try to run the request at one target. Attempt ids are unique in the fleet; an engine that gets
/// the same one twice attaches to the generation that it already runs.
struct GenerationAttempt
{
    AttemptNumber number = 0;
    std::string id;
    TargetId target;
};

/// How a generation ended at its engine.
enum class FinishReason { Stop, Length };

/// Where a request for a generation stands.
enum class GenerationState {
    New,
    Queued,     ///< Waits for a target.
    Sent,       ///< Sent to a target that has not named the generation yet.
    Streaming,  ///< Reads a generation.
    Recovering, ///< The exchange failed; waits to open or read again at the same target.
    Detached,   ///< The caller is gone; the generation runs on until the resume window closes.
    Settled,
};

/// Returns "new", "queued", "sent", "streaming", "recovering", "detached" or "settled".
std::string_view generationStateName(GenerationState state);

/// How long a generation outlives its caller's connection.
constexpr Duration ResumeWindow = std::chrono::seconds(30);

/// What the call asks of its surroundings. All are required unless said. None may call back into
/// the call from within itself; answers come as later calls of on…() with the exchange number given
/// here.
struct GenerationHooks
{
    /// Asks for a target; onPlaced() or onPlacementFailed() answers. A second one supersedes.
    std::function<void(std::uint64_t exchange, const std::vector<TargetId> &excluded)> place;
    /// Sends the prompt to the target as \a attempt.
    std::function<void(std::uint64_t exchange, const GenerationAttempt &attempt)> open;
    /// Whether the request may be what ended a target.
    std::function<bool()> isSuspect;
    /// Asks the target for a sign of life; onAlive() answers, or onExchangeFailed().
    std::function<void(std::uint64_t exchange, const TargetId &target)> proveAlive;
    /// Reads a running generation from \a from on.
    std::function<void(std::uint64_t exchange, const GenerationId &generation, std::uint32_t from)>
            resume;
    /// Drops the exchange: closes its connection, ignores its answer; takes back a placement that
    /// is still waiting.
    std::function<void(std::uint64_t exchange)> abandon;
    /// Has the engine stop the generation (by attempt where no id is known yet) and confirm it.
    std::function<void(const GenerationAttempt &attempt,
                       const std::optional<GenerationId> &generation)>
            cancel;
    /// Gives one token to the caller.
    std::function<void(const GenerationId &generation, std::uint32_t position,
                       const std::string &text)>
            deliver;
    /// Tells the caller that all tokens so far are void.
    std::function<void()> restart;
    /// Ends the request with the whole answer.
    std::function<void(FinishReason reason)> finish;
    /// Ends the request with an error. \a retryAfter of 0 says nothing on when to come back.
    std::function<void(const absl::Status &status, Outcome outcome, Duration retryAfter)> fail;
    /// The target died, or is taken to have, while it ran this request.
    std::function<void(const TargetId &target)> targetLost;
    /// Whether the service's retry budget allows one more attempt; spends it if so.
    std::function<bool()> takeRetry;
    /// Asks all other nodes whether one of them reads the generation now; onReadElsewhere()
    /// answers once all that may have taken it over have spoken. May be left empty where no other
    /// node can take it over.
    std::function<void(const GenerationId &generation)> askReaders;
};

/// The life of one request for a generation: every token once, in order, from one generation.
class GenerationCall
{
public:
    /// Hooks, \a timers and \a random must outlive the result.
    static std::unique_ptr<GenerationCall> create(GenerationRequest request, GenerationHooks hooks,
                                                  TimerService &timers, RandomSource &random);

    virtual ~GenerationCall() = default;

    /// Begins a fresh request.
    virtual void start() = 0;
    /// Begins a request that a caller resumed.
    virtual void startAt(const ResumePoint &point) = 0;

    // Answers of the surroundings. An exchange that is no longer current is counted and dropped.
    virtual void onPlaced(std::uint64_t exchange, const TargetId &target) = 0;
    virtual void onPlacementFailed(std::uint64_t exchange, const absl::Status &status,
                                   Duration retryAfter) = 0;
    /// The target answered proveAlive().
    virtual void onAlive(std::uint64_t exchange) = 0;
    /// The engine named the generation that it runs.
    virtual void onOpened(std::uint64_t exchange, const GenerationId &generation) = 0;
    virtual void onToken(std::uint64_t exchange, std::uint32_t position, std::string text) = 0;
    virtual void onFinished(std::uint64_t exchange, std::uint32_t tokens, FinishReason reason) = 0;
    /// \a wasSent tells whether any of the request may have reached the target. TargetRefused,
    /// TargetBusy, UnknownModel and NotFound then say that the engine refused to begin the attempt;
    /// NotFound, ResumeExpired and GenerationLost of a resume, that it has no such generation.
    virtual void onExchangeFailed(std::uint64_t exchange, const absl::Status &status,
                                  bool wasSent) = 0;
    /// The target is known to be dead, at \a incarnation or before.
    virtual void onTargetGone(const TargetId &target, Incarnation incarnation) = 0;

    /// The caller's connection closed. The generation is cancelled after the resume window.
    virtual void onCallerGone() = 0;
    /// Another node, or another connection of this one, goes on with the generation for the
    /// caller: it is left running and this call ends.
    virtual void onTakenOver() = 0;
    /// Answers askReaders(): true where a node reads the generation or may do so unknown to us.
    virtual void onReadElsewhere(bool isRead) = 0;
    /// The caller's connection cannot take more; tokens are then kept, and bounded.
    virtual void onCallerBlocked(bool isBlocked) = 0;

    virtual bool isSettled() const = 0;
    virtual GenerationState state() const = 0;
    /// Returns the generation that the caller's tokens come from, once it is known.
    virtual const std::optional<GenerationId> &generation() const = 0;
    virtual const GenerationRequest &request() const = 0;
    virtual std::uint64_t droppedAnswers() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_GENERATIONCALL_H
