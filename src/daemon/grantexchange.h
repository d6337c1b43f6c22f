#ifndef CURRANTWALK_DAEMON_GRANTEXCHANGE_H
#define CURRANTWALK_DAEMON_GRANTEXCHANGE_H

#include "daemon/peerlink.h"
#include "limits/grantmessages.h"
#include "limits/grantowner.h"

namespace currantwalk {

/// Asks other nodes for requests to targets with limits, and grants those to the targets that this
/// node is responsible for.
class GrantExchange
{
public:
    using Done = std::function<void(const GrantAnswer &)>;

    struct Hooks
    {
        /// Returns the requests a second that one start of a target takes, if it is cold.
        std::function<std::optional<double>(const TargetId &target, std::uint64_t startedAt)>
                coldRate;
        /// Returns what cold targets may get from all nodes together.
        std::function<ColdBound()> coldBound;
    };

    GrantExchange(VmId vm, ZoneName zone, PeerLink &peers, const NodeDirectory &nodes,
                  TargetLimits &limits, Hooks hooks, Metrics &metrics, TimerService &timers);
    ~GrantExchange() { *m_alive = false; }
    GrantExchange(const GrantExchange &) = delete;
    GrantExchange &operator=(const GrantExchange &) = delete;

    /// Takes what peers ask.
    void start();
    /// Asks the node that is responsible for the target, or the next one where it does not answer.
    /// Calls \a done once, then or later; with no grant where none answers in time.
    void ask(const GrantRequest &request, Done done);
    void expire() { m_grants.expire(m_timers.now()); }

private:
    void askFrom(const GrantRequest &request, TimePoint askedAt, Done done);
    void callOwner(const GrantOwner &owner, const GrantRequest &request, Duration timeout,
                   std::function<void(const absl::StatusOr<GrantAnswer> &)> done);
    GrantDuty dutyOf(const GrantRequest &request) const;
    GrantAnswer grant(const GrantRequest &request, const GrantDuty &duty);
    void takeLimit(const GrantRequest &request);
    std::optional<double> coldRate(const GrantRequest &request) const;
    void probe(const std::vector<GrantOwner> &silent, const GrantRequest &request);
    void onQuestion(const Json::Value &message, const RpcResponder &responder);

    const VmId m_vm;
    const ZoneName m_zone;
    PeerLink &m_peers;
    const NodeDirectory &m_nodes;
    TargetLimits &m_limits;
    const Hooks m_hooks;
    Metrics &m_metrics;
    TimerService &m_timers;
    TargetGrants m_grants;
    PeerBackoff m_backoff;
    TimePoint m_probedAt{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_GRANTEXCHANGE_H
