#ifndef CURRANTWALK_DAEMON_ANSWERPOLL_H
#define CURRANTWALK_DAEMON_ANSWERPOLL_H

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "base/randomsource.h"
#include "blame/poisontracker.h"
#include "daemon/peerlink.h"
#include "membership/nodedirectory.h"

namespace currantwalk {

/// Estimates what all nodes have answered of the requests with certain features, by asking some of
/// them.
class AnswerPoll
{
public:
    AnswerPoll(PoisonTracker &tracker, PeerLink &peers, const NodeDirectory &nodes,
               TimerService &timers, RandomSource &random);
    ~AnswerPoll();
    AnswerPoll(const AnswerPoll &) = delete;
    AnswerPoll &operator=(const AnswerPoll &) = delete;

    /// Begins to answer other nodes.
    void start();
    /// Tells the tracker the result within a fraction of a second. Nodes that do not answer are
    /// taken to be like the others.
    void ask(const std::vector<std::uint64_t> &features);

private:
    struct Poll
    {
        std::vector<std::uint64_t> features;
        std::vector<CrashEvidence::Answers> answers; ///< Of those that replied, by feature.
        std::size_t asked = 0;                       ///< Nodes, without this one.
        std::size_t awaited = 0;
        std::uint64_t replies = 0;
        TimerId timer = NoTimer;
    };

    Json::Value answersTo(const Json::Value &message) const;
    void onReply(std::uint64_t number, const absl::StatusOr<Json::Value> &reply);
    void finish(std::uint64_t number);

    PoisonTracker &m_tracker;
    PeerLink &m_peers;
    const NodeDirectory &m_nodes;
    TimerService &m_timers;
    RandomSource &m_random;
    std::map<std::uint64_t, Poll> m_polls;
    std::uint64_t m_lastPoll = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_ANSWERPOLL_H
