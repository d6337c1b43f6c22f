#ifndef CURRANTWALK_DAEMON_TOPICEXCHANGE_H
#define CURRANTWALK_DAEMON_TOPICEXCHANGE_H

#include <map>
#include <memory>
#include <vector>

#include "base/randomsource.h"
#include "daemon/peerlink.h"
#include "daemon/topicmessages.h"
#include "log/keyedtopicmirror.h"
#include "log/storeoutages.h"
#include "membership/readerselector.h"
#include "observe/metrics.h"

namespace currantwalk {

/// Reads topics of the store for this node's followers: from the node that reads for the zone, or
/// from the store if this node does. Answers peers from what the followers have read, with the time
/// up to which that is proven.
class TopicExchange
{
public:
    struct Options
    {
        /// Longest time that a question waits at a peer; a peer that went silent is noticed a
        /// little later.
        Duration maxPeerWait = std::chrono::milliseconds(750);
        /// The same for the nodes' own records, which change rarely.
        Duration maxNodesWait = std::chrono::seconds(5);
        /// Time beyond the wait until a peer counts as silent.
        Duration answerSlack = std::chrono::milliseconds(250);
        /// An answer that is proven for an earlier time is not used.
        Duration maxProofAge = std::chrono::milliseconds(3500);
        /// The same for the nodes' own records, which are read with longer waits.
        Duration maxNodesProofAge = std::chrono::seconds(35);
        /// The same for a peer that can't read the store.
        Duration maxLostProofAge = std::chrono::milliseconds(1000);
        /// Time beyond the wait until the store counts as silent.
        Duration storeSlack = std::chrono::milliseconds(200);
        /// Time after a restore of the store in which answers are used whatever they prove.
        Duration restoreTolerance = std::chrono::milliseconds(5000);
        /// Changes within this time go to peers in one answer.
        Duration answerDelay = std::chrono::milliseconds(10);
        /// Nodes of a zone that try the store, in each round of retries, while their peers can't
        /// read it.
        double triesPerRound = 1;
    };

    TopicExchange(const Options &options, ReaderSelector &selector, PeerLink &peers,
                  TimerService &timers, RandomSource &random, Metrics &metrics);
    ~TopicExchange();
    TopicExchange(const TopicExchange &) = delete;
    TopicExchange &operator=(const TopicExchange &) = delete;

    /// Starts answering peers, and asking them.
    void start();
    /// Returns hooks for the follower of \a topic; \a store reads it from the store.
    KeyedTopicHooks hooks(SharedTopic topic, KeyedTopicHooks store);
    /// Returns \a events with what the answers to peers need.
    KeyedTopicCallbacks callbacks(SharedTopic topic, KeyedTopicCallbacks events);
    /// Returns whether this node reads the store.
    bool isReader() const;

private:
    struct Waiting
    {
        TopicQuestion question;
        TimePoint arrivedAt{};
        RpcResponder responder;
        TimerId timer = NoTimer;
    };

    struct Topic
    {
        KeyedTopicHooks store;
        KeyedTopicMirror mirror;
        std::optional<TimePoint> provenAt;
        StoreOutages outages;
        std::optional<TimePoint> outageAt; ///< When the last outage of the store ended.
        Duration outageLength{0};
        std::optional<TimePoint> claimedAt; ///< The latest end of an outage that a peer told of.
        std::optional<TimePoint> restoredAt;
        std::optional<TimePoint> lostAt; ///< Since when reads of the store have failed.
        std::map<std::uint64_t, Waiting> waiting;
        TimerId answerTimer = NoTimer;
        TimerId overdueTimer = NoTimer; ///< Set while the store is being read.
    };

    /// One read by a follower, which may go to several peers.
    struct Read;

    void ask(const std::shared_ptr<Read> &read);
    void askPeer(const std::shared_ptr<Read> &read, const ReaderSelector::Peer &peer);
    void handleAnswer(const std::shared_ptr<Read> &read, const ReaderSelector::Peer &peer,
                      const absl::StatusOr<Json::Value> &result);
    void watchStore(SharedTopic name, Duration wait);
    void noteLost(Topic &topic);
    void noteRead(SharedTopic name, TimePoint provenAt);
    bool notePeerOutage(SharedTopic name, Duration sinceOutage, Duration length);
    void readStore(const std::shared_ptr<Read> &read);
    void handleStoreFailure(const std::shared_ptr<Read> &read, const absl::Status &status);
    bool isRecent(SharedTopic name, const ReadingOrigin &origin) const;
    bool isStoreTried(const Read &read);
    Duration waitAtPeer(const Read &read) const;

    void onQuestion(const Json::Value &json, const RpcResponder &responder);
    bool canAnswer(const Topic &topic, const TopicQuestion &question) const;
    void answer(Topic &topic, const Waiting &waiting);
    void answerLate(SharedTopic name, std::uint64_t number);
    void answerSoon(SharedTopic name);
    void answerWaiting(SharedTopic name);
    void answerAll(SharedTopic name);

    const Options m_options;
    ReaderSelector &m_selector;
    PeerLink &m_peers;
    TimerService &m_timers;
    RandomSource &m_random;
    Metrics &m_metrics;
    std::map<SharedTopic, Topic> m_topics;
    std::uint64_t m_lastQuestion = 0;
    bool m_isStarted = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TOPICEXCHANGE_H
