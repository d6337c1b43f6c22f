#ifndef CURRANTWALK_DAEMON_PLAINSESSION_H
#define CURRANTWALK_DAEMON_PLAINSESSION_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "calls/plaincall.h"
#include "config/objects.h"
#include "daemon/requestservices.h"

namespace currantwalk {

/// What a session is to do, put together from the caller's request and the published objects.
struct PlainOrder
{
    PlainRequest request;
    std::string pool;
    std::uint32_t priorityRank = 0;
    Duration maxHold{0};
    ObjectiveObject objective; ///< The service's; sets no bounds where it has none.
    AdmissionHandle grant;
};

/// Returns what stands for a caller's key in the log and at targets.
ClaimRequest claimOf(const PlainRequest &request);

/// Joins one caller's exchange to a PlainCall and that to the plain services.
class PlainSession
{
public:
    /// \a onSettled is called once, later; the session may be destroyed from it.
    PlainSession(const RequestServices &services, std::shared_ptr<HttpExchange> exchange,
                 PlainOrder order, std::function<void()> onSettled);
    ~PlainSession();

    PlainSession(const PlainSession &) = delete;
    PlainSession &operator=(const PlainSession &) = delete;

    void start();
    void onTargetGone(const TargetId &target);

private:
    PlainHooks makeHooks();
    void place(std::uint64_t exchange, const std::vector<TargetId> &excluded);
    void onPlacement(std::uint64_t exchange, const PlacementResult &placement);
    void send(std::uint64_t exchange, const TargetId &target);
    void onAnswer(std::uint64_t exchange, const TargetId &target,
                  absl::StatusOr<PlainResponse> response, bool wasSent);
    void abandon(std::uint64_t exchange);
    void lookUpKey(std::uint64_t exchange, const TargetId &target);
    void finish(const PlainResponse &response);
    void fail(const absl::Status &status, Outcome outcome, Duration retryAfter);
    void settle(bool isWhole, bool isGivenUp);
    void release(bool isComplete);
    void later(std::function<void()> action);

    const RequestServices &m_services;
    std::shared_ptr<HttpExchange> m_exchange;
    PlainOrder m_order;
    std::function<void()> m_onSettled;
    std::unique_ptr<PlainCall> m_call;
    TicketId m_ticket = 0;
    FetchId m_fetch = 0;
    std::optional<TargetId> m_placedAt;
    AnswerTimes m_times;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_PLAINSESSION_H
