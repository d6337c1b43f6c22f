#ifndef CURRANTWALK_DAEMON_CALLERSAPI_H
#define CURRANTWALK_DAEMON_CALLERSAPI_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/generationsession.h"
#include "daemon/objectindex.h"
#include "daemon/plainsession.h"
#include "daemon/requestservices.h"
#include "drain/drain.h"

namespace currantwalk {

/// Serves callers: completions, plain services and the probes of the platform's balancer.
class CallersApi
{
public:
    struct Options
    {
        std::string vm; ///< Part of the request ids made here.
        Incarnation incarnation = 0;
    };

    struct Hooks
    {
        /// Returns the index of the set in force, or null before any is known.
        std::function<const ObjectIndex *()> index;
        std::function<bool()> isReady;
        std::function<bool()> isTakingWork;
        /// Brings the gauges up to date before they are read.
        std::function<void()> refreshGauges;
        /// Seconds since the epoch, for the field that callers' clients expect.
        std::function<std::int64_t()> wallClock;
    };

    /// \a services must outlive the result.
    CallersApi(Options options, Hooks hooks, const RequestServices &services);

    ~CallersApi();

    CallersApi(const CallersApi &) = delete;
    CallersApi &operator=(const CallersApi &) = delete;

    void handle(std::shared_ptr<HttpExchange> exchange);
    void onTargetGone(const TargetId &target, Incarnation incarnation);
    /// Returns whether a session here reads the generation for its caller.
    bool isReading(const GenerationId &generation) const;
    /// Another node has taken the generation over for its caller.
    void onTakenOver(const GenerationId &generation);
    std::size_t requestsInProgress() const;

private:
    void handleCompletion(CompletionForm form, const std::shared_ptr<HttpExchange> &exchange);
    void handleService(const std::shared_ptr<HttpExchange> &exchange);
    /// Tells a caller what became of one of its keys.
    void handleOutcome(const std::shared_ptr<HttpExchange> &exchange);
    void handleHealth(HttpExchange &exchange, bool isGood) const;
    /// Returns who calls. Fails with Draining, NotReady or Unauthenticated.
    absl::StatusOr<const OrganisationObject *> admit(const HttpRequest &request) const;
    absl::StatusOr<std::string> requestIdOf(const HttpRequest &request);
    absl::Status resumeInto(const CompletionRequest &completion, GenerationOrder *order) const;
    absl::StatusOr<GenerationOrder> makeOrder(const OrganisationObject &organisation,
                                              const CompletionRequest &completion,
                                              const std::string &requestId);
    absl::StatusOr<PlainOrder> makePlainOrder(const OrganisationObject &organisation,
                                              const HttpRequest &request,
                                              const std::string &requestId);
    /// What is asked of the limiter for one request.
    struct LimitQuery
    {
        std::shared_ptr<HttpExchange> exchange;
        std::string requestId;
        std::string organisation;
        std::string service;
        bool isStream = false;
        TimePoint waitUntil{};
    };
    /// Calls \a proceed once the limiter lets the request in, else refuses it.
    void passLimits(const LimitQuery &query, const std::function<void(AdmissionHandle)> &proceed);
    void startGeneration(const std::shared_ptr<HttpExchange> &exchange, GenerationOrder order);
    void startPlain(const std::shared_ptr<HttpExchange> &exchange, PlainOrder order);

    const Options m_options;
    const Hooks m_hooks;
    const RequestServices &m_services;
    std::map<std::uint64_t, std::unique_ptr<GenerationSession>> m_generations;
    std::map<std::uint64_t, std::unique_ptr<PlainSession>> m_plainCalls;
    std::uint64_t m_lastSession = 0;
    std::size_t m_waitingForLimits = 0; ///< Requests that wait for a share.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_CALLERSAPI_H
