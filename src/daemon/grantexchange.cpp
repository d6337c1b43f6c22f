#include "daemon/grantexchange.h"

#include <algorithm>

#include "observe/logging.h"

namespace currantwalk {

static constexpr const char *GrantMethod = "grant";
static constexpr Duration AskTimeout = std::chrono::milliseconds(250);
// The node that forwards a question answers in time itself where it gets no answer.
static constexpr Duration ForwardTimeout = std::chrono::milliseconds(120);
// A caller waits no longer than this while one owner after the other does not answer.
static constexpr Duration MaxAskTime = std::chrono::milliseconds(300);
static constexpr Duration RetryWait = std::chrono::milliseconds(200);
static constexpr Duration MinBackoff = std::chrono::milliseconds(500);
static constexpr Duration MaxBackoff = std::chrono::seconds(10);
static constexpr Duration ProbeInterval = std::chrono::milliseconds(500);
static constexpr std::size_t MaxProbes = 3;
// Part of the limit that a node of another zone grants. The nodes of the target's zone may be cut
// off and grant too.
static constexpr double StandInPart = 0.25;

GrantExchange::GrantExchange(VmId vm, ZoneName zone, PeerLink &peers, const NodeDirectory &nodes,
                             TargetLimits &limits, Hooks hooks, Metrics &metrics,
                             TimerService &timers)
    : m_vm(std::move(vm)),
      m_zone(std::move(zone)),
      m_peers(peers),
      m_nodes(nodes),
      m_limits(limits),
      m_hooks(std::move(hooks)),
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

GrantDuty GrantExchange::dutyOf(const GrantRequest &request) const
{
    return findGrantDuty(m_nodes, m_backoff, m_vm, m_zone, request.limit.target, request.zone,
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
    const GrantDuty duty = dutyOf(request);
    if (!duty.owner) {
        done(grant(request, duty));
        return;
    }
    if (m_timers.now() - askedAt >= MaxAskTime) {
        done({{0, RetryWait}, std::nullopt});
        return;
    }
    callOwner(*duty.owner, request, AskTimeout,
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

// A node that answers again after others have taken its place would grant beside them as long as
// they pass it over.
void GrantExchange::probe(const std::vector<GrantOwner> &silent, const GrantRequest &request)
{
    if (silent.empty() || m_timers.now() - m_probedAt < ProbeInterval)
        return;
    m_probedAt = m_timers.now();
    GrantRequest question = request;
    question.count = 0;
    question.isForwarded = true;
    for (std::size_t i = 0; i < std::min(silent.size(), MaxProbes); ++i)
        callOwner(silent[i], question, ProbeInterval, [](const absl::StatusOr<GrantAnswer> &) {});
}

GrantAnswer GrantExchange::grant(const GrantRequest &request, const GrantDuty &duty)
{
    probe(duty.silent, request);
    takeLimit(request);
    const double part = duty.isStandIn ? StandInPart : 1;
    GrantAnswer answer;
    const TargetLimit *const known = m_limits.find(request.limit.target, request.limit.startedAt);
    if (known)
        answer.limit = *known;
    const std::optional<double> cold = coldRate(request);
    const bool isNamed = known ? known->perSecond.has_value() : !cold;
    if (!isNamed && !cold) {
        answer.granted.count = request.count;
        return answer;
    }
    std::optional<GrantTerms> terms;
    if (isNamed)
        terms = limitTerms(known ? *known->perSecond * part : 0);
    if (cold) {
        const std::optional<GrantTerms> ofCold =
                coldTerms(*cold, m_hooks.coldBound(),
                          grantRank(m_nodes, m_vm, m_zone, request.limit.target, request.zone));
        if (!ofCold) {
            answer.granted.wait = RetryWait;
            return answer;
        }
        terms = terms ? stricterTerms(*terms, *ofCold) : *ofCold;
    }
    answer.granted = m_grants.grant(request.limit.target, request.limit.startedAt, *terms,
                                    request.use, request.count, m_timers.now());
    return answer;
}

// A question about a cold target may be about a limit that it has never named.
void GrantExchange::takeLimit(const GrantRequest &request)
{
    if (request.limit.perSecond || !request.coldPerSecond)
        m_limits.merge(request.limit);
}

// Entries reach nodes at different times: the target is cold if either side knows it.
std::optional<double> GrantExchange::coldRate(const GrantRequest &request) const
{
    const std::optional<double> own =
            m_hooks.coldRate(request.limit.target, request.limit.startedAt);
    if (!own || !request.coldPerSecond)
        return own ? own : request.coldPerSecond;
    return std::min(*own, *request.coldPerSecond);
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
    takeLimit(*request);
    const GrantDuty duty = dutyOf(*request);
    if (!duty.owner || request->isForwarded) {
        responder(encodeGrantAnswer(grant(*request, duty), m_timers.now()));
        return;
    }
    request->isForwarded = true;
    callOwner(*duty.owner, *request, ForwardTimeout,
              [this, request = *request, responder](const absl::StatusOr<GrantAnswer> &answer) {
                  responder(encodeGrantAnswer(
                          answer.ok() ? *answer : grant(request, dutyOf(request)), m_timers.now()));
              });
}

} // namespace currantwalk
