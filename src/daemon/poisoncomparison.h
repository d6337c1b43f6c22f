#ifndef CURRANTWALK_DAEMON_POISONCOMPARISON_H
#define CURRANTWALK_DAEMON_POISONCOMPARISON_H

#include <functional>
#include <memory>
#include <vector>

#include "base/randomsource.h"
#include "blame/poisontracker.h"
#include "daemon/peerlink.h"

namespace currantwalk {

/// Compares this node's knowledge of poisonous requests with that of a random other node, from time
/// to time. So a node that started late or missed a message learns what the others know.
class PoisonComparison
{
public:
    struct Hooks
    {
        /// Returns the nodes that can be asked.
        std::function<std::vector<Endpoint>()> peers;
        /// Called with what another node knows.
        std::function<void(const PoisonKnowledge &)> onKnowledge;
    };

    /// Number of requests of which a node tells another one.
    static constexpr std::size_t MaxRequests = 256;

    PoisonComparison(const PoisonTracker &tracker, PeerLink &peers, Hooks hooks,
                     TimerService &timers, RandomSource &random);
    ~PoisonComparison();
    PoisonComparison(const PoisonComparison &) = delete;
    PoisonComparison &operator=(const PoisonComparison &) = delete;

    void start();

private:
    void compareAfter(Duration delay);
    bool compare();
    void onMessage(const Json::Value &message);

    const PoisonTracker &m_tracker;
    PeerLink &m_peers;
    const Hooks m_hooks;
    TimerService &m_timers;
    RandomSource &m_random;
    TimerId m_timer = NoTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_POISONCOMPARISON_H
