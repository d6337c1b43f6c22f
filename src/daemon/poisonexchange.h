#ifndef CURRANTWALK_DAEMON_POISONEXCHANGE_H
#define CURRANTWALK_DAEMON_POISONEXCHANGE_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/randomsource.h"
#include "blame/poisontracker.h"
#include "daemon/answerpoll.h"
#include "daemon/peerlink.h"
#include "daemon/poisoncomparison.h"
#include "log/keyedtopicfollower.h"
#include "membership/nodedirectory.h"

namespace currantwalk {

/// Keeps the nodes' knowledge of poisonous requests alike. Each death is sent to the other nodes at
/// once; nodes compare what they know from time to time; and refused requests are recorded in the
/// nodes' topic of the store, from which a starting node reads them and an operator clears them.
class PoisonExchange
{
public:
    struct Hooks
    {
        /// Writes the record \a key of the nodes' topic, or deletes it if \a value is nothing.
        std::function<void(const std::string &key, const std::optional<std::string> &value,
                           std::function<void(const absl::Status &)> callback)>
                writeRecord;
        std::function<std::uint64_t()> unixMilliseconds; ///< Returns the time of day.
    };

    /// Number of requests recorded in the store.
    static constexpr std::size_t MaxRecords = 256;

    PoisonExchange(const ZoneName &zone, PoisonTracker &tracker, PeerLink &peers,
                   const NodeDirectory &nodes, Hooks hooks, TimerService &timers,
                   RandomSource &random);
    ~PoisonExchange();
    PoisonExchange(const PoisonExchange &) = delete;
    PoisonExchange &operator=(const PoisonExchange &) = delete;

    /// Starts talking to other nodes; a node without peers doesn't.
    void start();
    /// Called with each death that this node detects.
    void onDeath(const PoisonReport &report);
    /// Called with each suspect that completed here.
    void onCleared(const PoisonClearing &clearing);
    /// Called when this node found a target alive whose death had been recorded.
    void onWithdrawn(const TargetLifetime &lifetime);
    /// Asks other nodes how many requests with each feature they have answered lately.
    void countAnswers(const std::vector<std::uint64_t> &features) { m_answerPoll.ask(features); }
    /// Called when the store was restored from a copy, which may lack records.
    void onRestored();
    /// Called with each record of the nodes' topic whose key names a request.
    void onRecord(const std::string &key, const std::optional<std::string> &value);

private:
    void sendSoon();
    void sendNews();
    void sendTo(const NodeRecord &peer, const Json::Value &message);
    void sendToZone(const ZoneName &zone, const Json::Value &message);
    void onNews(const Json::Value &message);
    std::vector<Endpoint> availablePeers() const;
    bool apply(const PoisonKnowledge &knowledge);
    void onRefused(std::uint64_t fingerprint, Duration delay);
    void scheduleRecord(std::uint64_t fingerprint, Duration delay);
    void writeRecord(std::uint64_t fingerprint);
    void deleteRecord(std::uint64_t fingerprint);
    void deleteWithdrawnRecords();
    void deleteExpiredRecords();

    const ZoneName m_zone;
    PoisonTracker &m_tracker;
    PeerLink &m_peers;
    const NodeDirectory &m_nodes;
    const Hooks m_hooks;
    TimerService &m_timers;
    RandomSource &m_random;
    PoisonComparison m_comparison;
    AnswerPoll m_answerPoll;
    PoisonKnowledge m_unsent;
    std::map<std::uint64_t, TimePoint> m_recorded; ///< When the store's records were first seen.
    std::set<std::uint64_t> m_logged;              ///< Refused requests that have their log line.
    std::map<std::uint64_t, TimerId> m_writeTimers;
    TimerId m_sendTimer = NoTimer;
    TimerId m_expiryTimer = NoTimer;
    bool m_isStarted = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_POISONEXCHANGE_H
