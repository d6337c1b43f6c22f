#ifndef CURRANTWALK_DAEMON_GENERATIONSESSION_H
#define CURRANTWALK_DAEMON_GENERATIONSESSION_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "calls/generationcall.h"
#include "calls/resumetoken.h"
#include "config/objects.h"
#include "daemon/callerformat.h"
#include "daemon/requestservices.h"

namespace currantwalk {

/// What a session is to do, put together from the caller's request and the published objects.
struct GenerationOrder
{
    GenerationRequest request;
    CompletionInfo info;
    std::string pool;
    Duration maxHold{0};
    ObjectiveObject objective; ///< The service's; sets no bounds where it has none.
    std::optional<ResumePosition> resume;
    VmId resumedFrom; ///< The node that the caller's resume token came from.
    AdmissionHandle grant;
};

/// Joins one caller's exchange to a GenerationCall and that to the engines.
class GenerationSession
{
public:
    /// \a onSettled is called once, later; the session may be destroyed from it.
    GenerationSession(const RequestServices &services, std::shared_ptr<HttpExchange> exchange,
                      GenerationOrder order, std::function<void()> onSettled);
    ~GenerationSession();

    GenerationSession(const GenerationSession &) = delete;
    GenerationSession &operator=(const GenerationSession &) = delete;

    void start();
    void onTargetGone(const TargetId &target, Incarnation incarnation);
    /// The caller came back on another connection or through another node.
    void onTakenOver();
    /// Returns the generation that this session reads for its caller, if it is being read.
    std::optional<GenerationId> generationRead() const;
    /// Returns the generation of this session, read or not.
    const std::optional<GenerationId> &generation() const { return m_generation; }

private:
    enum class Ending { Whole, Broken, GivenUp };

    GenerationHooks makeHooks();
    void place(std::uint64_t exchange, const std::vector<TargetId> &excluded);
    void onPlacement(std::uint64_t exchange, const PlacementResult &placement);
    void open(std::uint64_t exchange, const GenerationAttempt &attempt);
    void probeLiveness(std::uint64_t exchange, const TargetId &id);
    void noteRunning(const TargetId &target, Incarnation incarnation);
    void resume(std::uint64_t exchange, const GenerationId &generation, std::uint32_t from);
    EngineExchangeHooks exchangeHooks(std::uint64_t exchange, const TargetId &target);
    void failLater(std::uint64_t exchange, ErrorCode code, const char *detail);
    void abandon(std::uint64_t exchange);
    void deliver(const GenerationId &generation, std::uint32_t position, const std::string &text);
    void writeToken(const GenerationId &generation, std::uint32_t position,
                    const std::string &text);
    void noteTokenTime();
    void restart();
    void finish(FinishReason reason);
    void fail(const absl::Status &status, Outcome outcome, Duration retryAfter);
    void settle(Ending ending);
    void release(bool isComplete);
    void later(std::function<void()> action);
    void startAnswer();
    void updateBlocked();

    const RequestServices &m_services;
    std::shared_ptr<HttpExchange> m_exchange;
    GenerationOrder m_order;
    std::function<void()> m_onSettled;
    std::unique_ptr<GenerationCall> m_call;
    std::unique_ptr<EngineExchange> m_engineExchange;
    std::uint64_t m_engineExchangeNumber = 0;
    TicketId m_ticket = 0;
    std::optional<TargetId> m_placedAt;
    std::optional<Incarnation> m_runningAt; ///< Of the engine, once the prompt was sent there.
    std::optional<GenerationId> m_generation;
    std::string m_text; ///< Of a whole answer.
    std::uint32_t m_delivered = 0;
    std::uint32_t m_generated = 0;
    AnswerTimes m_times;
    std::optional<TimePoint> m_lastTokenAt;
    TimerId m_blockedTimer = NoTimer;
    bool m_isAnswerStarted = false;
    bool m_isBlocked = false;
    /// Callbacks that outlive the session look here first.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_GENERATIONSESSION_H
