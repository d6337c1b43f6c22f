#ifndef CURRANTWALK_CALLS_TESTS_SIMDAEMON_H
#define CURRANTWALK_CALLS_TESTS_SIMDAEMON_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "blame/poisontracker.h"
#include "calls/cancellations.h"
#include "calls/claims.h"
#include "calls/generationcall.h"
#include "calls/plaincall.h"
#include "calls/resumetoken.h"
#include "calls/retrybudget.h"
#include "calls/tests/simtargets.h"
#include "drain/drain.h"
#include "log/tests/fakelog.h"

namespace currantwalk {

/// Steps of a request at which the fault matrix injects faults.
enum class SimRequestStep {
    Claiming,    ///< The claim was requested.
    ClaimStands, ///< The claim's record is in the log; the append's answer is in transit.
    Queued,
    Sent,
    Effect, ///< The plain service has run the request but not answered yet.
    Opened,
    FirstToken,
    Midway,
    LastToken,
    Recording, ///< The result is being appended to the log.
};

/// Events on a caller's connection.
struct CallerEvents
{
    std::function<void(const GenerationId &, std::uint32_t position, const std::string &text,
                       const std::string &resumeToken)>
            token;
    std::function<void()> restart;
    std::function<void()> finish;
    std::function<void(const PlainResponse &)> response;
    std::function<void(const absl::Status &, Outcome)> fail;
    std::function<void()> lost; ///< The connection to the daemon broke.
};

/// The parts of the simulation that a daemon uses.
struct DaemonEnvironment
{
    SimNetwork *network = nullptr;
    std::vector<std::unique_ptr<SimEngine>> *engines = nullptr;
    std::vector<std::unique_ptr<SimService>> *services = nullptr;
    LogHooks log;
    std::function<void(SimRequestStep)> onStep;
    std::function<void(const GenerationId &, std::function<void(bool)>)> queryPeers;
    std::function<void(const ResumeToken &)> notifyTakenOver;
    std::function<void(const PoisonReport &)> sendPoisonReport;
    /// Injected defect: the request is sent when the append is answered, before the claim is read
    /// back.
    bool isClaimReadBackSkipped = false;
};

/// One incarnation of a daemon, built from the production classes.
class SimDaemon
{
public:
    SimDaemon(SimEndpoint place, Incarnation incarnation, NodeTimers &timers,
              DaemonEnvironment environment, std::uint64_t seed);
    ~SimDaemon();

    SimDaemon(const SimDaemon &) = delete;
    SimDaemon &operator=(const SimDaemon &) = delete;

    using CallId = std::uint64_t;

    CallId generate(GenerationRequest request, std::uint32_t tokens, CallerEvents caller);
    CallId resume(GenerationRequest request, const std::string &token, std::uint32_t tokens,
                  CallerEvents caller);
    CallId callPlain(PlainRequest request, CallerEvents caller);
    void callerGone(CallId id);
    void callerBlocked(CallId id, bool isBlocked);
    void onTargetGone(const TargetId &target, Incarnation incarnation);
    void onPoisonReport(const PoisonReport &report) { m_poison->onReport(report); }
    void onTakenOver(const GenerationId &generation);
    bool isReading(const GenerationId &generation) const;
    std::size_t callsInProgress() const;
    std::size_t unsettled() const { return m_claims->unsettled() + m_cancellations->pending(); }

    Drain &drain() { return *m_drain; }
    const Claims &claims() const { return *m_claims; }
    bool hasExited() const { return m_hasExited; }
    std::uint64_t resumes() const { return m_resumes; }
    std::uint64_t droppedAnswers() const;
    /// Returns the target of the last exchange.
    const std::string &lastTarget() const { return m_lastTarget; }
    const ConnectionPtr &lastConnection() const { return m_lastConnection; }

private:
    struct GenerationEntry
    {
        std::unique_ptr<GenerationCall> call;
        CallerEvents caller;
        std::uint32_t tokens = 0;
        TargetId placedAt;
        bool hasAnsweredProbe = false; ///< The target answered a probe just before the send.
        std::map<std::uint64_t, ConnectionPtr> connections;
    };

    struct Plain
    {
        std::unique_ptr<PlainCall> call;
        CallerEvents caller;
        ClaimRequest claim;
        std::map<std::uint64_t, ConnectionPtr> connections;
    };

    static constexpr std::uint64_t NoSuchExchange = 1000000;

    ConnectionPtr connection(const SimEndpoint &target);
    ConnectionPtr beginExchange(CallId id, std::uint64_t exchange, const SimEngine &target);
    SimEngine &engine(const TargetId &id);
    SimService &service(const TargetId &id);
    SimTarget *pickEngine(const std::vector<TargetId> &excluded);
    SimTarget *pickService(const std::vector<TargetId> &excluded);
    SimTarget *pick(std::vector<SimTarget *> targets, const std::vector<TargetId> &excluded);
    bool isReportedLive(const SimTarget &target) const;

    void placeGeneration(CallId id, std::uint64_t exchange, const std::vector<TargetId> &excluded);
    void release(CallId id, bool isComplete);
    GenerationHooks generationHooks(CallId id);
    EngineAnswersPtr engineAnswers(CallId id, std::uint64_t exchange);
    void openExchange(CallId id, std::uint64_t exchange, const GenerationAttempt &attempt);
    void probeLiveness(CallId id, std::uint64_t exchange, const TargetId &target);
    void recordRunning(CallId id, const TargetId &target, Incarnation incarnation);
    void resumeExchange(CallId id, std::uint64_t exchange, const GenerationId &generation,
                        std::uint32_t from);
    void deliver(CallId id, const GenerationId &generation, std::uint32_t position,
                 const std::string &text);
    void sendCancel(std::uint64_t number, const GenerationAttempt &attempt,
                    const std::optional<GenerationId> &generation);

    PlainHooks plainHooks(CallId id);
    void sendPlain(CallId id, std::uint64_t exchange, const TargetId &target);
    void lookUpPlain(CallId id, std::uint64_t exchange, const TargetId &target);
    void claimPlain(CallId id);
    std::string plainTag(const PlainRequest &request) const;

    void schedule(std::function<void()> action);
    GenerationCall *generationCall(CallId id);
    PlainCall *plainCall(CallId id);

    const SimEndpoint m_place;
    NodeTimers &m_timers;
    const DaemonEnvironment m_world;
    RandomSource m_random;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    RetryBudget m_budget{0.2, 10};
    std::unique_ptr<Claims> m_claims;
    std::unique_ptr<PoisonTracker> m_poison;
    std::unique_ptr<Cancellations> m_cancellations;
    std::unique_ptr<Drain> m_drain;
    bool m_hasExited = false;
    CallId m_lastCall = 0;
    std::map<CallId, GenerationEntry> m_generations;
    std::map<CallId, Plain> m_plain;
    std::uint64_t m_resumes = 0;
    std::string m_lastTarget;
    ConnectionPtr m_lastConnection;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_SIMDAEMON_H
