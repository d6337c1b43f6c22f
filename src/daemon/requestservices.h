#ifndef CURRANTWALK_DAEMON_REQUESTSERVICES_H
#define CURRANTWALK_DAEMON_REQUESTSERVICES_H

#include <functional>
#include <memory>
#include <string>

#include "base/randomsource.h"
#include "base/timerservice.h"
#include "blame/poisontracker.h"
#include "calls/claims.h"
#include "calls/generationcall.h"
#include "calls/retrybudget.h"
#include "daemon/decisionlog.h"
#include "daemon/targetlink.h"
#include "limits/limiter.h"
#include "observe/answertimes.h"
#include "observe/metrics.h"
#include "routing/dispatcher.h"
#include "routing/policy.h"
#include "targets/targettable.h"

namespace currantwalk {

/// How one request went, for the report on service-level burn.
struct RequestRecord
{
    const std::string &service;
    const std::string &organisation;
    const AnswerTimes &times;
    bool isWhole = false;
};

/// What the sessions of a daemon share; all of it outlives them.
struct RequestServices
{
    TimerService &timers;
    RandomSource &random;
    TargetTable &targets;
    TargetLink &link;
    RoutingPolicy &policy;
    Dispatcher &dispatcher;
    PoisonTracker &poison;
    Limiter &limiter;
    Claims &claims;
    Metrics &metrics;
    DecisionLog &decisions;
    VmId vm; ///< This node's.
    std::string resumeKey;
    /// Returns the retry budget of a service.
    std::function<RetryBudget &(const std::string &service)> retryBudget;
    /// Asks all other nodes whether one reads the generation.
    std::function<void(const GenerationId &, std::function<void(bool isRead)>)> askReaders;
    /// Tells another node that this one goes on with a generation for its caller.
    std::function<void(const VmId &, const GenerationId &)> tellTakenOver;
    /// Has an engine stop a generation, until it confirms or is gone.
    std::function<void(const GenerationAttempt &, const std::optional<GenerationId> &)> cancel;
    /// A request ended; not called for one that its caller gave up.
    std::function<void(const RequestRecord &)> record;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_REQUESTSERVICES_H
