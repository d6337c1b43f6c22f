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
#include "targets/targetlimits.h"

namespace currantwalk {

/// Returns whether an HTTP status is of the class 2xx.
bool isSuccessStatus(int status);

/// A request that is forwarded to a target byte for byte, with its answer returned unchanged.
struct RelayRequest
{
    RequestId id;
    RetrySemantics rule = RetrySemantics::AtMostOnce;
    std::uint32_t maxTargets = 1; ///< Number of targets that may run it.
    TimePoint deadline{};         ///< The caller's deadline or the route's, whichever is earlier.
    /// Number of the last event that the caller has from an earlier request for the same stream.
    std::optional<std::uint64_t> lastEvent;
    /// Time-out of an attempt of an idempotent request, after which it is sent to another target.
    /// 0 disables it.
    Duration attemptTimeout{0};
};

/// The parts of the head of a target's answer that decide how the call goes on.
struct RelayAnswerHead
{
    int status = 0;
    bool isNotRun = false;         ///< The target guarantees that it has not run the request.
    bool isTargetReplaced = false; ///< Another target now has the address; nothing has run.
    /// The answer belongs to another request, or was altered in transit.
    bool isMismatched = false;
    bool isSigned = false;           ///< Carries the target's signature.
    bool isTargetLeaving = false;    ///< The target says that it is leaving.
    bool endsWithConnection = false; ///< The end of the answer is the end of its connection.
    Duration retryAfter{0};          ///< Given by the target; 0 if it gave none.
    LimitNotice limit;
};

/// A copy of a running stream's memory, from which the stream can resume.
struct StreamCopy
{
    TargetId holder;       ///< Target that stores the copy and can resume the stream.
    TargetId issuer;       ///< Target that issued the handle.
    Endpoint handleIssuer; ///< Endpoint of the issuer.
    std::string handle;
    bool isBackup = false; ///< Maintained while the stream ran; freed when the run ends.
};

/// Where and after which event a stream resumes on another target.
struct StreamResume
{
    std::optional<StreamCopy> copy; ///< Nothing if the target has to process the prompt again.
    std::uint64_t lastEvent = 0;    ///< Number of the last event forwarded to the caller.
};

/// One send of a request to a target.
struct RelaySend
{
    std::uint64_t exchange = 0;
    TargetId target;
    std::optional<StreamResume> resume; ///< Set to resume a stream from a copy at the target.
    /// Target that receives a backup of the stream's memory while it runs at \c target.
    std::optional<TargetId> backup;
};

/// The state of a relayed request.
enum class RelayState {
    New,
    Sent,      ///< Waiting for the answer's head.
    Answering, ///< The answer's body is arriving.
    Settled,
};

/// Returns "new", "sent", "answering" or "settled".
std::string_view relayStateName(RelayState state);

/// A failure that the node answers itself, in place of a target's answer.
struct RelayFailure
{
    absl::Status status;
    Outcome outcome = Outcome::Unknown;
    Duration retryAfter{0}; ///< With NotRun; 0 if no time is given.
};

/// Result of one send to a target.
enum class SendResult {
    Answered,
    Failed,      ///< The target returned an error, or an incomplete or unusable answer.
    Unreachable, ///< No connection could be opened.
};

/// Hooks through which the call acts. All are required; none may call back into the call.
struct RelayHooks
{
    /// Chooses a target that is not in \a excluded.
    std::function<std::optional<TargetId>(const std::vector<TargetId> &excluded)> chooseTarget;
    std::function<void(const RelaySend &send)> send;
    /// Chooses the target for a backup of a stream's memory while it runs at \a target; nothing if
    /// a backup is not worth its memory.
    std::function<std::optional<TargetId>(const TargetId &target)> chooseBackupTarget;
    /// Returns the backup stored at \a holder; nothing if \a holder no longer accepts work.
    std::function<std::optional<StreamCopy>(const TargetId &holder)> findBackup;
    /// Closes the exchange's connection.
    std::function<void(std::uint64_t exchange)> abandon;
    /// Closes the exchange's connection and ends its run. onRunReleased() follows.
    std::function<void(std::uint64_t exchange)> endRun;
    /// Ends the run of \a exchange, whose connection stays open, as the stream is to go on from
    /// \a copy. onRunReleased() follows.
    std::function<void(std::uint64_t exchange, const StreamCopy &copy)> endMovedRun;
    /// Returns whether a stream may go on at \a holder.
    std::function<bool(const TargetId &holder)> mayResumeAt;
    /// Notes that the call holds \a bytes of answers. Returns whether it may.
    std::function<bool(std::size_t bytes)> holdBytes;
    /// Forwards the head of the answer of \a exchange.
    std::function<void(std::uint64_t exchange)> forwardHead;
    std::function<void(std::string_view bytes)> forwardBody;
    std::function<void()> forwardEnd;
    /// Aborts an answer whose head has been forwarded.
    std::function<void(const absl::Status &reason)> forwardAbort;
    std::function<void(const RelayFailure &failure)> fail;
    /// Consumes one retry of the service's budget. Returns false if there is none.
    std::function<bool()> takeRetry;
    /// Reports the result of a send to \a target.
    std::function<void(const TargetId &target, SendResult service)> report;
    /// Reports that the connection of \a exchange was lost before the answer was complete, though
    /// the request had been sent.
    std::function<void(std::uint64_t exchange)> reportLost;
    /// Chooses the target to which a stream at \a source is moved; nothing if there is none.
    std::function<std::optional<TargetId>(const TargetId &source,
                                          const std::vector<TargetId> &excluded)>
            chooseMoveTarget;
    /// Asks \a source to copy the stream's memory to \a destination. The result comes by
    /// onCopyResult().
    std::function<void(std::uint64_t move, const TargetId &source, const TargetId &destination)>
            requestCopy;
    /// Frees a copy that is no longer needed.
    std::function<void(const StreamCopy &copy)> freeCopy;
    /// Reports that another target now has the address of \a target.
    std::function<void(const TargetId &target)> reportTargetReplaced;
};

/// State machine of one relayed request. Sends it to one target after another as its repeat rule
/// allows, and answers it exactly once.
class RelayCall
{
public:
    /// Answers other than streams are buffered up to this size, so that an attempt at another
    /// target can still replace them.
    static constexpr std::size_t MaxBufferedBytes = std::size_t{256} * 1024;
    /// Number of sends that were refused or did not reach their target before the request fails.
    static constexpr std::uint32_t MaxUnexecutedSends = 4;
    /// Number of destinations tried for one stream before it stays at its target.
    static constexpr std::uint32_t MaxMoves = 5;
    /// Time for which a stream whose connection was lost waits for the end of its run, and without
    /// an event after which a run that is moved and can't be ended counts as lost.
    static constexpr Duration ReleaseTimeout = std::chrono::milliseconds(300);
    /// Number of times that a request to resume is sent until it reaches its target.
    static constexpr std::uint32_t MaxResumeSends = 3;
    /// Time between them.
    static constexpr Duration ResumeRetryGap = std::chrono::milliseconds(50);

    static std::unique_ptr<RelayCall> create(RelayRequest request, RelayHooks hooks,
                                             TimerService &timers);
    ~RelayCall();
    RelayCall(const RelayCall &) = delete;
    RelayCall &operator=(const RelayCall &) = delete;

    void start();
    /// Called when the connection of \a exchange is open, before the request is written. Returns
    /// whether the request may still be written.
    bool onConnected(std::uint64_t exchange);
    void onHead(std::uint64_t exchange, const RelayAnswerHead &head);
    void onBody(std::uint64_t exchange, std::string_view bytes);
    /// Called when the exchange ended; \a wasSent tells whether any byte of the request was
    /// written.
    void onEnd(std::uint64_t exchange, const absl::Status &status, bool wasSent);
    /// Called when the current target no longer accepts work and will stop within a second or two.
    void onTargetLeaving();
    /// Called when the copy requested as \a move is complete or has failed. Without \a isCallOver
    /// the target may still be making it.
    void onCopyResult(std::uint64_t move, const absl::StatusOr<StreamCopy> &copy,
                      bool isCallOver = true);
    /// Called when the run of \a exchange, which was to be ended, is over or, without \a hasEnded,
    /// can't be reached or can't be ended.
    void onRunReleased(std::uint64_t exchange, bool hasEnded);
    void onCallerGone();
    /// Called when the node is about to stop. Fails the request, or
    /// aborts an answer whose head has been forwarded.
    void onShutdown();

    bool isSettled() const { return m_state == RelayState::Settled; }
    RelayState state() const { return m_state; }
    const RelayRequest &request() const { return m_request; }
    std::uint32_t sends() const { return m_sends; }
    /// Returns the target of the current exchange; empty while there is none.
    const TargetId &target() const { return m_target; }
    /// Returns the number of the last event that was forwarded; nothing if there is none.
    const std::optional<std::uint64_t> &lastEvent() const { return m_lastEvent; }

private:
    RelayCall(RelayRequest request, RelayHooks hooks, TimerService &timers);

    void place(const absl::Status &reason);
    void sendTo(const TargetId &target);
    bool sendToAnother();
    void startAttemptTimer();
    void onAttemptTimeout();
    void onDeadline();
    void onProvenNotRun(const absl::Status &status, Duration retryAfter);
    void onUnusableAnswer(const absl::Status &status);
    bool mayRunAgain() const;
    bool isCurrent(std::uint64_t exchange) const;
    bool isMovable() const;
    void beginMove();
    void endRunOfMove(const StreamCopy &copy);
    bool isRunOfMoveEnding() const;
    void resumeFrom(const StreamCopy &copy);
    void sendResume();
    bool resumeLater(const absl::Status &reason);
    bool endRunFirst(const absl::Status &reason);
    bool endResumedRunFirst(const absl::Status &reason);
    void limitWaitForEnd();
    void watchMovedRun();
    void goOnElsewhere();
    bool mayResumeElsewhere() const;
    bool resumeFromBackup(const absl::Status &reason);
    bool resumeWithoutCopy(const absl::Status &reason);
    void onResumeNotRun();
    void onResumeHead(const RelayAnswerHead &head);
    void onResumeFailed(const absl::Status &status);
    void onSourceLost(const absl::Status &status);
    void cancelResume();
    void freeUnusedCopy();
    void forwardEvent(const RawEvent &event);
    void trackEventNumber(std::uint64_t number);
    bool isAfterGap(std::uint64_t number);
    void handleEvents(std::string_view bytes);
    void forwardBufferedAnswer();
    bool noteHeldBytes();
    void finish();
    void abortAnswer(const absl::Status &reason);
    void fail(const absl::Status &status, Duration retryAfter = Duration(0));
    void closeExchange();
    void settle();

    const RelayRequest m_request;
    const RelayHooks m_hooks;
    TimerService &m_timers;

    RelayState m_state = RelayState::New;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_exchange = 0; ///< Current exchange; 0 if there is none.
    TargetId m_target;
    std::vector<TargetId> m_excluded;
    std::uint32_t m_sends = 0;
    std::uint32_t m_possibleRuns = 0; ///< Sends that a target may have run.
    std::uint32_t m_unexecutedSends = 0;
    RelayAnswerHead m_head;
    EventSplitter m_events;
    std::string m_bufferedBody; ///< Body of an answer that is not yet forwarded.
    std::optional<std::uint64_t> m_lastEvent;
    std::uint64_t m_eventStep = 0;    ///< Difference of the last two event numbers; 0: unknown.
    bool m_hasIrregularSteps = false; ///< The differences of event numbers vary.
    bool m_isFirstEventAfterResume = false; ///< No event has arrived since the stream resumed.
    bool m_isForwarding = false;            ///< The answer's head has been forwarded.
    bool m_endsWithConnection = false;      ///< The answer of the current exchange.

    // Move of a stream away from a target that is leaving or lost.
    bool m_isTargetLeaving = false;
    std::optional<TargetId> m_backup;     ///< Stores the backup of the current target's run.
    std::optional<TargetId> m_nextBackup; ///< Backup for the run that is to resume.
    bool m_isSourceLost = false;          ///< The stream can only resume from a copy.
    absl::Status m_sourceFailure;
    std::uint32_t m_moves = 0;
    std::uint64_t m_pendingMove = 0;    ///< Copy in progress; 0 if there is none.
    std::uint32_t m_openCopyCalls = 0;  ///< Calls for copies that the target may be working on.
    std::uint64_t m_endingExchange = 0; ///< Whose run has to end before the stream resumes; or 0.
    std::uint64_t m_resumeExchange = 0; ///< Exchange that is to resume the stream; 0 if none.
    std::optional<StreamCopy> m_copy;
    std::vector<TargetId> m_triedDestinations; ///< Tried for a copy or a resume of this stream.
    std::uint32_t m_resumeSends = 0;           ///< From the current copy.
    TimerId m_resumeTimer = NoTimer;
    TimerId m_releaseTimer = NoTimer;
    TimerId m_deadlineTimer = NoTimer;
    TimerId m_attemptTimer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_RELAYCALL_H
