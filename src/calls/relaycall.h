#ifndef CURRANTWALK_CALLS_RELAYCALL_H
#define CURRANTWALK_CALLS_RELAYCALL_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/timerservice.h"
#include "calls/eventsplitter.h"
#include "config/servicecatalog.h"

namespace currantwalk {

/// A request whose bytes are passed on to one target and whose answer is passed back unchanged.
struct RelayRequest
{
    RequestId id;
    RepeatRule rule = RepeatRule::AtMostOnce;
    std::uint32_t maxTargets = 1; ///< That may begin to run it.
    TimePoint deadline{};         ///< The caller's, or the route's time limit if that is earlier.
    /// How long an idempotent request waits for one target before it is sent to another.
    Duration patience{0};
};

/// What the head of a target's answer says.
struct RelayAnswerHead
{
    int status = 0;
    bool isNotRun = false;      ///< The target promises that it has not run the request.
    bool isOtherTarget = false; ///< Another target has taken over the address; nothing has run.
    /// Belongs to another request, or has been altered on the way.
    bool isForeign = false;
    bool isSigned = false;  ///< Carries the target's signature.
    Duration retryAfter{0}; ///< As the target said; 0 where it did not.
};

/// A copy of a running stream's memory, from which the stream can go on.
struct StreamCopy
{
    TargetId holder;  ///< Where the stream can go on.
    Endpoint namedBy; ///< The target that gave the copy its name.
    std::string handle;
    bool isBackup = false; ///< Kept while the stream ran; it is freed with the run's end.
};

/// How a stream goes on elsewhere.
struct StreamResume
{
    StreamCopy copy;
    std::uint64_t lastEvent = 0; ///< The last one that the caller has.
};

/// One send of a request to a target.
struct RelaySend
{
    std::uint64_t exchange = 0;
    TargetId target;
    std::optional<StreamResume> resume; ///< The stream goes on from a copy that the target holds.
    /// Is sent a copy of the stream's memory while it runs at the target.
    std::optional<TargetId> backup;
};

/// Where a relayed request stands.
enum class RelayState {
    New,
    Sent,      ///< Waits for the answer's head.
    Answering, ///< The answer's body is arriving.
    Settled,
};

/// Returns "new", "sent", "answering" or "settled".
std::string_view relayStateName(RelayState state);

/// A final answer of the node's own.
struct RelayFailure
{
    absl::Status status;
    Outcome outcome = Outcome::Unknown;
    Duration retryAfter{0}; ///< With NotRun; 0 where the caller need not come back.
};

/// How a target served one send.
enum class TargetService {
    Answered,
    Failed,      ///< With an error of its own, or without a whole answer.
    Unreachable, ///< No connection could be opened.
};

/// What the call asks of its surroundings. All are required; none calls back from within itself.
struct RelayHooks
{
    /// Chooses a target that is not in \a excluded.
    std::function<std::optional<TargetId>(const std::vector<TargetId> &excluded)> place;
    std::function<void(const RelaySend &send)> send;
    /// Chooses where a copy of a stream's memory is kept while it runs at \a target; nothing where
    /// none is worth its room.
    std::function<std::optional<TargetId>(const TargetId &target)> placeBackup;
    /// Names the copy that \a holder keeps; nothing where \a holder takes no work any more.
    std::function<std::optional<StreamCopy>(const TargetId &holder)> findBackup;
    /// Closes the exchange's connection.
    std::function<void(std::uint64_t exchange)> abandon;
    /// Passes on the head of the answer of \a exchange.
    std::function<void(std::uint64_t exchange)> answerHead;
    std::function<void(std::string_view bytes)> answerBody;
    std::function<void()> answerEnd;
    /// Breaks off an answer whose head has been passed on.
    std::function<void(const absl::Status &reason)> answerAbort;
    std::function<void(const RelayFailure &failure)> fail;
    /// Spends one retry of the service's budget.
    std::function<bool()> takeRetry;
    /// The target answered, or failed to.
    std::function<void(const TargetId &target, TargetService service)> report;
    /// Chooses where a stream at \a source can be moved; nothing where it can't be.
    std::function<std::optional<TargetId>(const TargetId &source,
                                          const std::vector<TargetId> &excluded)>
            placeMove;
    /// Asks \a source to copy the stream's memory to \a destination; onCopied() answers.
    std::function<void(std::uint64_t move, const TargetId &source, const TargetId &destination)>
            copy;
    /// Frees a copy that is not needed any more.
    std::function<void(const TargetId &source, const StreamCopy &copy)> dropCopy;
    /// Another target has the address of \a target.
    std::function<void(const TargetId &target)> targetReplaced;
};

/// The life of one relayed request: sent to one target after another as its rule allows, answered
/// once.
class RelayCall
{
public:
    /// Answers that are no streams are held up to this size, so that another target's can take
    /// their place.
    static constexpr std::size_t MaxHeldBytes = std::size_t{256} * 1024;
    /// Targets that refused or could not be reached before the request is given up.
    static constexpr std::uint32_t MaxFruitlessSends = 4;
    /// Destinations that are tried for one stream before it stays where it is.
    static constexpr std::uint32_t MaxMoves = 5;
    /// How long a stream that goes on elsewhere may take to do so before its old target's events
    /// are passed on again.
    static constexpr Duration ResumePatience = std::chrono::milliseconds(300);

    static std::unique_ptr<RelayCall> create(RelayRequest request, RelayHooks hooks,
                                             TimerService &timers);
    ~RelayCall();
    RelayCall(const RelayCall &) = delete;
    RelayCall &operator=(const RelayCall &) = delete;

    void start();
    /// The connection of \a exchange is open and the request is about to be written; returns
    /// whether it still may be.
    bool onConnected(std::uint64_t exchange);
    void onHead(std::uint64_t exchange, const RelayAnswerHead &head);
    void onBody(std::uint64_t exchange, std::string_view bytes);
    /// The exchange ended; \a wasSent tells whether any byte of the request was written.
    void onEnd(std::uint64_t exchange, const absl::Status &status, bool wasSent);
    /// The current target takes no new work any more and will be gone within a second or two.
    void onTargetLeaving();
    /// The copy that was asked for as \a move is complete, or can't be had.
    void onCopied(std::uint64_t move, const absl::StatusOr<StreamCopy> &copy);
    void onCallerGone();
    /// The node is about to stop: ends the request with what is true of it.
    void onShutdown();

    bool isSettled() const { return m_state == RelayState::Settled; }
    RelayState state() const { return m_state; }
    const RelayRequest &request() const { return m_request; }
    std::uint32_t sends() const { return m_sends; }
    /// Returns the target of the current exchange; empty while there is none.
    const TargetId &target() const { return m_target; }

private:
    RelayCall(RelayRequest request, RelayHooks hooks, TimerService &timers);

    void place(const absl::Status &reason);
    void sendTo(const TargetId &target);
    bool sendToAnother();
    void armPatience();
    void onPatienceOver();
    void onDeadline();
    void onProvenNotRun(const absl::Status &status, Duration retryAfter);
    void onUnusable(const absl::Status &status);
    bool mayRunAgain() const;
    bool isCurrent(std::uint64_t exchange) const;
    bool isMovable() const;
    void beginMove();
    void resumeFrom(const StreamCopy &copy);
    bool resumeFromBackup(const absl::Status &reason);
    void onResumeHead(const RelayAnswerHead &head);
    void onResumeFailed(const absl::Status &status);
    void onSourceLost(const absl::Status &status);
    void dropResume();
    void dropUnusedCopy();
    void passEvent(const RawEvent &event);
    void noteNumber(std::uint64_t number);
    bool isBehindGap(std::uint64_t number);
    void takeEvents(std::string_view bytes);
    void passHeldAnswer();
    void finish();
    void breakOff(const absl::Status &reason);
    void fail(const absl::Status &status, Duration retryAfter = Duration(0));
    void dropExchange();
    void settle();

    const RelayRequest m_request;
    const RelayHooks m_hooks;
    TimerService &m_timers;

    RelayState m_state = RelayState::New;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_exchange = 0; ///< Current one; 0 while there is none.
    TargetId m_target;
    std::vector<TargetId> m_excluded;
    std::uint32_t m_sends = 0;
    std::uint32_t m_runsBegun = 0; ///< Sends that may have run.
    std::uint32_t m_fruitless = 0;
    RelayAnswerHead m_head;
    EventSplitter m_events;
    std::string m_held; ///< Body of an answer that is not yet passed on.
    std::optional<std::uint64_t> m_lastEvent;
    std::uint64_t m_eventStep = 0; ///< Between the numbers of the last two events; 0: not known.
    bool m_isUneven = false;       ///< Steps between events have differed.
    bool m_isResumed = false;      ///< No event has come since the stream goes on elsewhere.
    bool m_isPassing = false;      ///< The answer's head has been passed on.

    // The move of a stream whose target is leaving.
    bool m_isTargetLeaving = false;
    std::optional<TargetId> m_backup;     ///< Keeps a copy of the memory at the current target.
    std::optional<TargetId> m_nextBackup; ///< That of the target at which the stream is to go on.
    bool m_isSourceLost = false;          ///< The stream has broken off; only the move can save it.
    absl::Status m_sourceFailure;
    std::uint32_t m_moves = 0;
    std::uint64_t m_move = 0;   ///< The copy under way; 0 while there is none.
    std::uint64_t m_resume = 0; ///< The exchange by which the stream is to go on elsewhere.
    std::optional<StreamCopy> m_copy;
    std::vector<TargetId> m_fullTargets; ///< That refused a copy or a resumed stream.
    std::vector<RawEvent> m_heldEvents;  ///< From the old target while m_resume is tried.
    TimerId m_resumeTimer = NoTimer;
    TimerId m_deadlineTimer = NoTimer;
    TimerId m_patienceTimer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_RELAYCALL_H
