#ifndef CURRANTWALK_DAEMON_RELAYSESSION_H
#define CURRANTWALK_DAEMON_RELAYSESSION_H

#include <map>
#include <memory>

#include "blame/poisontracker.h"
#include "calls/runstopper.h"
#include "config/catalogholder.h"
#include "daemon/entrytypes.h"
#include "drain/completionestimate.h"
#include "limits/bufferbudget.h"
#include "limits/targetlimiter.h"
#include "net/fetcher.h"
#include "observe/metrics.h"
#include "routing/roomadmission.h"
#include "routing/targetpace.h"
#include "targets/targetholdoffs.h"

namespace currantwalk {

/// A request or call that a target has answered.
struct TargetSendNote
{
    TargetId target;
    Incarnation startedAt = 0; ///< Of the target, as its entry said.
    TimePoint sentAt{};        ///< When the request was written, or before.
    std::string request{};     ///< Id of the caller's request; empty for calls of the node's own.
    bool isOwnCall = false;    ///< Whether it is a call of the node's own, which takes no slot.
};

/// What the sessions of an entry node share.
struct RelayServices
{
    TimerService &timers;
    HttpClient &client;
    const EntryBindings &bindings;
    const CatalogHolder &catalog;
    ServiceTargets &targets;
    TargetHoldOffs &holdOffs;
    TargetLimiter &limiter;
    TargetSelector &placer;
    const EntrySettings &settings;
    Fetcher &fetcher; ///< For calls to engines.
    /// Chooses a target of \a service that takes work, in \a zone where possible.
    std::function<const ServiceTarget *(const std::string &service,
                                        const std::vector<TargetId> &excluded, const ZoneName &zone,
                                        double spread)>
            choose;
    /// Chooses where a copy of a generation at \a target is kept; nullptr where no target has room.
    std::function<const ServiceTarget *(const std::string &service, const TargetId &target,
                                        const RequestLoad &load, std::uint32_t memoryTokens)>
            chooseBackup;
    /// Decides at which target of \a service a generation begins.
    std::function<RoomDecision(const std::string &service, const std::vector<TargetId> &excluded,
                               const RoomRequest &request)>
            askRoom;
    /// Returns how long all targets of \a service want nothing; zero if one takes work.
    std::function<Duration(const std::string &service)> timeUntilReturn;
    std::function<bool(const std::string &service)> takeRetry;
    std::function<void(const TargetId &target, SendResult service)> report;
    /// Takes what an answer of a target of \a service has shown of its pace.
    std::function<void(const std::string &service, const PaceSample &sample)> notePace;
    std::function<void(HttpExchange &exchange, const EntryRefusal &refusal)> refuse;
    std::function<bool()> isStopping;
    /// Returns the time until the process ends; nothing if it is not told to stop.
    std::function<std::optional<Duration>()> timeUntilStop;
    CompletionEstimate &completions;
    std::function<void()> loadsChanged;
    /// Calls \a done when the loads of other nodes are known as well as they can be soon.
    std::function<void(std::function<void()> done)> refreshLoads;
    /// Takes what a target says of itself in its answer to a request, whatever becomes of it.
    std::function<void(const TargetSendNote &send, const RelayAnswerHead &answer)> noteAnswer;
    /// The same for its answer to a call of the node's own.
    std::function<void(const TargetSendNote &send, const HttpResponse &response)> noteCallAnswer;
    /// Stops a run whose connection was closed or lost.
    std::function<void(AbandonedRun run)> stopRun;
    /// The same at once; calls \a onReleased once, when the run has ended or can't be ended.
    std::function<void(AbandonedRun run, RunStopper::ReleaseCallback onReleased)> stopRunAtOnce;
    /// Called before a request is sent to a target where a run of it may have to be stopped.
    std::function<void(const RequestId &id, const TargetId &target)> cancelStop;
    BufferBudget &buffers; ///< For bytes of answers.
    PoisonTracker &poison;
    Metrics &metrics;
};

/// One caller's request, joined to the loop: the relayed call between the caller's exchange and the
/// exchanges with targets.
class RelaySession
{
public:
    using Done = std::function<void(RelaySession *)>;

    RelaySession(RelayServices &services, std::shared_ptr<HttpExchange> exchange,
                 CallerRequest caller, AdmittedRequest admitted, std::string service,
                 std::uint64_t fingerprint, Done done);
    ~RelaySession();
    RelaySession(const RelaySession &) = delete;
    RelaySession &operator=(const RelaySession &) = delete;

    void start();
    /// Moves the request's stream away if it is at \a target, which is leaving.
    void targetLeaving(const TargetId &target);
    /// Ends the request because the process stops.
    void shutDown();

private:
    /// A target on the same network opens a connection within a few milliseconds; a lost packet
    /// takes a second to be sent again. Past this time another target is the better choice.
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);

    struct TargetExchange
    {
        std::unique_ptr<HttpCall> call;
        HttpResponseHead head;
        TargetId target;
        Incarnation incarnation = 0; ///< Of the target, as its entry says.
        Endpoint endpoint;           ///< Of the target.
        ZoneName zone;               ///< Of the target.
        bool isWaiting = true;       ///< No part of the answer has come.
        bool wasSent = false;        ///< The target may run the request.
        TimePoint sentAt{};          ///< When it was written.
        bool hasEnded = false;       ///< The target has ended the answer or the connection.
        bool isRunOver = false;      ///< The answer is whole, or says that there is no run.
        bool isRunEnding = false;    ///< Its run is ended while its connection is open.
        bool isResumed = false;      ///< It goes on with a stream that began elsewhere.
        double load = 0;             ///< At the target when it was written.
        /// Since when the events are timed, and the number of the first of them.
        std::optional<std::pair<TimePoint, std::uint64_t>> timedSince;
        std::pair<TimePoint, std::uint64_t> lastEvent; ///< When it came, and its number.
        std::optional<TargetId> backup;
    };

    void begin();
    RelayRequest relayRequest() const;
    RelayHooks relayHooks();
    RequestLoad load() const;
    bool mayUseKey(Duration maxAge) const;
    bool mayGoOn() const;
    bool isPoisonous() const;
    bool isRoomShared() const;
    std::optional<RoomRequest> roomRequest() const;
    std::optional<Duration> waitForRoom();
    std::uint32_t urgency() const;
    void logRoom(const RoomDecision &room, const RoomRequest &request) const;
    const ServiceTarget *chooseTarget(const std::vector<TargetId> &excluded);
    bool canEndBeforeStop() const;
    void noteRunning(std::uint64_t exchange);
    void noteLost(std::uint64_t exchange);
    bool isHeldOff(const ServiceTarget &target) const;
    std::optional<TargetId> place(const std::vector<TargetId> &excluded);
    std::optional<TargetId> chooseMoveTarget(const TargetId &source,
                                             const std::vector<TargetId> &excluded);
    void copy(std::uint64_t move, const TargetId &source, const TargetId &destination);
    void requestCopy(std::uint64_t move, const TargetId &source, const TargetId &destination);
    void failCopyLater(std::uint64_t move);
    TargetSendNote ownCall(const ServiceTarget &target) const;
    void reserve(std::uint64_t move, const TargetId &destination);
    void dropReservation(std::uint64_t move);
    void freeCopy(const StreamCopy &copy);
    std::optional<TargetId> chooseBackupTarget(const TargetId &target) const;
    std::optional<StreamCopy> findBackup(const TargetId &holder) const;
    void send(const RelaySend &order);
    GrantUse grantUse(const RelaySend &order) const;
    void refuseLater(std::uint64_t exchange);
    void connect(const RelaySend &order);
    bool takeGrant(std::uint64_t exchange) const;
    bool isEmptied(const ServiceTarget &target, std::string_view call) const;
    HttpCallHooks callHooks(std::uint64_t exchange, const TargetId &target, bool isResumed);
    void abandon(std::uint64_t exchange);
    void endRun(std::uint64_t exchange);
    void endMovedRun(std::uint64_t exchange, const StreamCopy &copy);
    RunStopper::ReleaseCallback releaseCallback(std::uint64_t exchange);
    bool mayResumeAt(const TargetId &holder) const;
    void close(std::uint64_t exchange);
    void release(const TargetExchange &exchange);
    bool mayRunOn(const TargetExchange &exchange) const;
    AbandonedRun abandonedRun(const TargetExchange &exchange) const;
    Endpoint endpointBeside(const TargetExchange &exchange) const;
    void notePart(std::uint64_t exchange);
    void noteFirstPart(const TargetExchange &exchange);
    void timeEvents(std::uint64_t exchange);
    void noteEvents(TargetExchange &exchange);
    void forwardHead(std::uint64_t exchange);
    Duration retryAfter(const RelayFailure &failure) const;
    void fail(const RelayFailure &failure);
    void forwardBody(std::string_view bytes);
    void setPaused(bool isPaused);
    bool isLate() const;
    void countOutcome(std::string_view outcome) const;
    void logSend(const ServiceTarget &target, const RelaySend &order) const;
    void logFailedSend(const TargetId &target, const absl::Status &status, bool wasSent) const;
    void logOutcome(std::string_view outcome, std::string_view reason) const;
    void finishIfSettled();

    RelayServices &m_services;
    std::shared_ptr<HttpExchange> m_exchange;
    const CallerRequest m_caller;
    const AdmittedRequest m_admitted;
    const std::string m_service;
    const std::uint64_t m_fingerprint;
    const std::vector<RequestFeature> m_features;
    const Done m_done;
    const TimePoint m_arrivedAt;
    int m_status = 0; ///< Of the answer that was passed on; 0: none yet.
    std::optional<TimePoint> m_firstPartAt;
    TimePoint m_lastPartAt{};
    Duration m_longestGap{0}; ///< Between two parts of the answer.
    std::unique_ptr<RelayCall> m_call;
    std::map<std::uint64_t, TargetExchange> m_exchanges;
    std::map<std::uint64_t, TargetId> m_reservations; ///< Of copies under way, by move.
    std::string m_copyHandle;                         ///< Of the latest copy that is complete.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    BufferBudget::Holder m_heldBytes;    ///< By the call.
    BufferBudget::Holder m_pendingBytes; ///< For the caller's connection.
    bool m_isPaused = false;             ///< The targets wait for the caller to read.
    bool m_isTooLate = false;     ///< Refused because the process ends before its answer would.
    bool m_isWithoutRoom = false; ///< Refused because no target has room for the generation.
    Duration m_roomRetryAfter{0};
    bool m_hasWaited = false; ///< For room, before it was sent.
    bool m_isDone = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_RELAYSESSION_H
