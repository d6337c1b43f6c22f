#include "daemon/grantexchange.h"

#include "observe/logging.h"

namespace currantwalk {

static constexpr const char *GrantMethod = "grant";
static constexpr Duration AskTimeout = std::chrono::milliseconds(250);
// The node that forwards a question answers in time itself where it gets no answer.
static constexpr Duration ForwardTimeout = std::chrono::milliseconds(120);
// A caller waits no longer than this while one owner after the other does not answer.
static constexpr Duration MaxAskTime = std::chrono::milliseconds(300);
static constexpr Duration RetryWait = std::chrono::milliseconds(100);
static constexpr Duration MinBackoff = std::chrono::seconds(2);
static constexpr Duration MaxBackoff = std::chrono::seconds(30);

GrantExchange::GrantExchange(VmId vm, ZoneName zone, PeerLink &peers, const NodeDirectory &nodes,
                             TargetLimits &limits, Metrics &metrics, TimerService &timers)
    : m_vm(std::move(vm)),
      m_zone(std::move(zone)),
      m_peers(peers),
      m_nodes(nodes),
      m_limits(limits),
      m_metrics(metrics),
      m_timers(timers),
      m_backoff(MinBackoff, MaxBackoff)
{
}

void GrantExchange::start()
{
    m_peers.server().addMethod(GrantMethod,
                               [this](const Json::Value &message, const RpcResponder &responder) {
                                   onQuestion(message, responder);
                               });
}

std::optional<GrantOwner> GrantExchange::ownerOf(const GrantRequest &request) const
{
    return findGrantOwner(m_nodes, m_backoff, m_vm, m_zone, request.limit.target, request.zone,
                          m_timers.now());
}

void GrantExchange::ask(const GrantRequest &request, Done done)
{
    askFrom(request, m_timers.now(), [this, done = std::move(done)](const GrantAnswer &answer) {
        const bool isGranted = answer.granted.count > 0;
        m_metrics.count("currantwalk_limit_grants_total",
                        {{"result", isGranted ? "granted" : "refused"}});
        done(answer);
    });
}

void GrantExchange::askFrom(const GrantRequest &request, TimePoint askedAt, Done done)
{
    const std::optional<GrantOwner> owner = ownerOf(request);
    if (!owner) {
        done(grant(request));
        return;
    }
    if (m_timers.now() - askedAt >= MaxAskTime) {
        done({{0, RetryWait}, std::nullopt});
        return;
    }
    callOwner(*owner, request, AskTimeout,
              [this, request, askedAt,
               done = std::move(done)](const absl::StatusOr<GrantAnswer> &answer) {
                  if (answer.ok())
                      done(*answer);
                  else
                      askFrom(request, askedAt, done);
              });
}

void GrantExchange::callOwner(const GrantOwner &owner, const GrantRequest &request,
                              Duration timeout,
                              std::function<void(const absl::StatusOr<GrantAnswer> &)> done)
{
    m_peers.call(owner.record.peers, GrantMethod, encodeGrantRequest(request, m_timers.now()),
                 timeout,
                 [this, alive = m_alive, owner,
                  done = std::move(done)](const absl::StatusOr<Json::Value> &result) {
                     if (!*alive)
                         return;
                     const absl::StatusOr<GrantAnswer> answer =
                             result.ok() ? decodeGrantAnswer(*result, m_timers.now())
                                         : absl::StatusOr<GrantAnswer>(result.status());
                     if (answer.ok()) {
                         m_backoff.onAnswer(owner.vm);
                     } else {
                         logLine(LogPart::Limits, LogLevel::Info,
                                 "Node " + owner.vm.text() + " grants no requests: "
                                         + std::string(answer.status().message()));
                         m_backoff.onFailure(owner.vm, owner.record, m_timers.now());
                     }
                     done(answer);
                 });
}

GrantAnswer GrantExchange::grant(const GrantRequest &request)
{
    m_limits.merge(request.limit);
    GrantAnswer answer;
    const TargetLimit *const known = m_limits.find(request.limit.target, request.limit.startedAt);
    if (known)
        answer.limit = *known;
    if (known && !known->perSecond)
        answer.granted.count = request.count;
    else
        answer.granted = m_grants.grant(request.limit.target, request.limit.startedAt,
                                        known ? *known->perSecond : 0, request.use, request.count,
                                        m_timers.now());
    return answer;
}

// Another node may take this one for the owner only because it has missed an answer of the owner;
// both together would grant twice the limit.
void GrantExchange::onQuestion(const Json::Value &message, const RpcResponder &responder)
{
    absl::StatusOr<GrantRequest> request = decodeGrantRequest(message, m_timers.now());
    if (!request.ok()) {
        logLine(LogPart::Limits, LogLevel::Warning,
                "A peer's question for grants can't be read: "
                        + std::string(request.status().message()));
        responder(request.status());
        return;
    }
    m_limits.merge(request->limit);
    const std::optional<GrantOwner> owner = request->isForwarded ? std::nullopt : ownerOf(*request);
    if (!owner) {
        responder(encodeGrantAnswer(grant(*request), m_timers.now()));
        return;
    }
    request->isForwarded = true;
    callOwner(*owner, *request, ForwardTimeout,
              [this, request = *request, responder](const absl::StatusOr<GrantAnswer> &answer) {
                  responder(encodeGrantAnswer(answer.ok() ? *answer : grant(request),
                                              m_timers.now()));
              });
}

} // namespace currantwalk
