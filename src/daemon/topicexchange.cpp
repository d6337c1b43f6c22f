#include "daemon/topicexchange.h"

#include <algorithm>
#include <utility>

#include "observe/logging.h"

namespace currantwalk {

static constexpr const char *TopicMethod = "topic";

static std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

struct TopicExchange::Read
{
    SharedTopic topic = SharedTopic::Catalog;
    std::optional<LogOffset> from; ///< Nothing for the newest record of each key.
    std::string after;
    Duration wait{0};
    KeyedTopicHooks::PageCallback onPage;
    KeyedTopicHooks::TailCallback onTail;
    std::vector<ReaderSelector::Peer> peers; ///< Still to be asked.
    bool isPeerBehind = false;               ///< A peer answered that can't read the store itself.
    bool hasStoreFailed = false;

    void fail(const absl::Status &status) const
    {
        if (from)
            onTail(status);
        else
            onPage(status);
    }
};

TopicExchange::TopicExchange(const Options &options, ReaderSelector &selector, PeerLink &peers,
                             TimerService &timers, RandomSource &random, Metrics &metrics)
    : m_options(options),
      m_selector(selector),
      m_peers(peers),
      m_timers(timers),
      m_random(random),
      m_metrics(metrics)
{
}

TopicExchange::~TopicExchange()
{
    *m_alive = false;
    for (const auto &[name, topic] : m_topics) {
        m_timers.cancel(topic.answerTimer);
        m_timers.cancel(topic.overdueTimer);
        for (const auto &[number, waiting] : topic.waiting)
            m_timers.cancel(waiting.timer);
    }
}

void TopicExchange::start()
{
    m_isStarted = true;
    m_peers.server().addMethod(TopicMethod,
                               [this](const Json::Value &json, const RpcResponder &responder) {
                                   onQuestion(json, responder);
                               });
}

bool TopicExchange::isReader() const
{
    return !m_isStarted || m_selector.isReader(m_timers.now());
}

KeyedTopicHooks TopicExchange::hooks(SharedTopic topic, KeyedTopicHooks store)
{
    m_topics[topic].store = std::move(store);
    KeyedTopicHooks hooks;
    hooks.readNewest = [this, topic](const std::string &after,
                                     KeyedTopicHooks::PageCallback callback) {
        const auto read = std::make_shared<Read>();
        read->topic = topic;
        read->after = after;
        read->onPage = std::move(callback);
        // All keys are many bytes. After a restart of all nodes, the link of the zone's reader
        // would be too small to send them to each node.
        readStore(read);
    };
    hooks.readTail = [this, topic](LogOffset from, Duration wait,
                                   KeyedTopicHooks::TailCallback callback) {
        const auto read = std::make_shared<Read>();
        read->topic = topic;
        read->from = from;
        read->wait = wait;
        read->onTail = std::move(callback);
        if (m_isStarted)
            read->peers = m_selector.peersToAsk(m_timers.now());
        ask(read);
    };
    return hooks;
}

KeyedTopicCallbacks TopicExchange::callbacks(SharedTopic name, KeyedTopicCallbacks events)
{
    KeyedTopicCallbacks callbacks = events;
    callbacks.onRecord = [this, name, inner = events.onRecord](const KeyedRecord &record) {
        m_topics[name].mirror.apply(record);
        inner(record);
    };
    callbacks.onKeyRemoved = [this, name, inner = events.onKeyRemoved](const std::string &key) {
        m_topics[name].mirror.remove(key);
        inner(key);
    };
    callbacks.onRestored = [this, name, inner = events.onRestored](std::uint64_t earlier,
                                                                   std::uint64_t era) {
        m_topics[name].mirror.reset(era);
        m_topics[name].provenAt.reset();
        m_topics[name].restoredAt = m_timers.now();
        if (inner)
            inner(earlier, era);
    };
    callbacks.onScanned = [this, name, inner = events.onScanned] {
        m_topics[name].mirror.noteGap();
        if (inner)
            inner();
    };
    callbacks.onPosition = [this, name, inner = events.onPosition](std::uint64_t era,
                                                                   LogOffset next) {
        m_topics[name].mirror.setPosition(era, next);
        answerSoon(name);
        if (inner)
            inner(era, next);
    };
    callbacks.onUpToDate = [this, name, inner = events.onUpToDate](TimePoint when) {
        Topic &topic = m_topics[name];
        const bool isFirstProof = !topic.provenAt;
        topic.provenAt = std::max(when, topic.provenAt.value_or(when));
        noteRead(name, when);
        if (isFirstProof)
            answerAll(name);
        inner(when);
    };
    callbacks.onPeerOutage = [this, name, inner = events.onPeerOutage](Duration sinceOutage,
                                                                       Duration length) {
        if (notePeerOutage(name, sinceOutage, length) && inner)
            inner(sinceOutage, length);
    };
    return callbacks;
}

void TopicExchange::noteLost(Topic &topic)
{
    if (!topic.lostAt)
        topic.lostAt = m_timers.now();
}

void TopicExchange::noteRead(SharedTopic name, TimePoint provenAt)
{
    Topic &topic = m_topics[name];
    const TimePoint now = m_timers.now();
    if (const std::optional<TimePoint> lostAt = std::exchange(topic.lostAt, std::nullopt)) {
        const bool isOutage = topic.outages.isOutage(*lostAt, now);
        if (isOutage) {
            topic.outageAt = now;
            topic.outageLength = now - *lostAt;
        }
        logLine(LogPart::Peers, LogLevel::Info,
                "The store can be read again for " + std::string(sharedTopicName(name)) + " after "
                        + millisecondsText(now - *lostAt) + " ms"
                        + (isOutage ? "." : ", which does not count as an outage of the store."));
    }
    topic.outages.onProof(provenAt, now);
}

// Returns whether the store was unavailable, as far as is known here. That a peer could not read it
// may be due to the peer or its link alone.
bool TopicExchange::notePeerOutage(SharedTopic name, Duration sinceOutage, Duration length)
{
    Topic &topic = m_topics[name];
    const TimePoint endedAt = m_timers.now() - sinceOutage;
    const bool isOutage = topic.outages.isOutage(endedAt - length, endedAt);
    // A peer tells of it in each of its answers.
    const bool isNew =
            !topic.claimedAt || endedAt - *topic.claimedAt > StoreOutages::RecoverySpread;
    if (isNew) {
        topic.claimedAt = endedAt;
        m_metrics.count("currantwalk_peer_outages_total",
                        {{"topic", std::string(sharedTopicName(name))},
                         {"result", isOutage ? "taken" : "passed-over"}});
        logLine(LogPart::Peers, LogLevel::Info,
                "A peer could not read " + std::string(sharedTopicName(name)) + " for "
                        + millisecondsText(length) + " ms until " + millisecondsText(sinceOutage)
                        + " ms ago; this " + (isOutage ? "counts" : "does not count")
                        + " as an outage of the store.");
    }
    if (!isOutage)
        return false;
    if (!topic.outageAt || endedAt > *topic.outageAt) {
        topic.outageAt = endedAt;
        topic.outageLength = length;
    }
    return true;
}

void TopicExchange::ask(const std::shared_ptr<Read> &read)
{
    if (read->peers.empty() && read->hasStoreFailed) {
        read->fail(makeError(ErrorCode::LogUnavailable, "no node asked can read the store"));
        return;
    }
    if (read->peers.empty()) {
        readStore(read);
        return;
    }
    const ReaderSelector::Peer peer = read->peers.front();
    read->peers.erase(read->peers.begin());
    askPeer(read, peer);
}

Duration TopicExchange::waitAtPeer(const Read &read) const
{
    const bool isRare = read.topic == SharedTopic::Nodes;
    return std::min(read.wait, isRare ? m_options.maxNodesWait : m_options.maxPeerWait);
}

void TopicExchange::askPeer(const std::shared_ptr<Read> &read, const ReaderSelector::Peer &peer)
{
    const TopicQuestion question{read->topic, m_topics[read->topic].mirror.era(), read->from,
                                 waitAtPeer(*read)};
    m_peers.call(peer.record.peers, TopicMethod, encodeTopicQuestion(question),
                 question.wait + m_options.answerSlack,
                 [this, alive = m_alive, read, peer](const absl::StatusOr<Json::Value> &result) {
                     if (*alive)
                         handleAnswer(read, peer, result);
                 });
}

void TopicExchange::handleAnswer(const std::shared_ptr<Read> &read,
                                 const ReaderSelector::Peer &peer,
                                 const absl::StatusOr<Json::Value> &result)
{
    if (!result.ok() && errorCode(result.status()) == ErrorCode::LogRecordsExpired) {
        m_selector.onAnswer(peer);
        read->fail(result.status());
        return;
    }
    absl::StatusOr<KeyedTail> tail =
            result.ok() ? decodeTopicTail(*result) : absl::StatusOr<KeyedTail>(result.status());
    if (!tail.ok() || !isRecent(read->topic, tail->origin)) {
        read->isPeerBehind = read->isPeerBehind || tail.ok();
        // A peer that can't read the store is asked first again: if it were passed over, the peers
        // behind it would become readers one after the other while the store is away.
        if (!tail.ok())
            m_selector.onFailure(peer, m_timers.now());
        ask(read);
        return;
    }
    m_selector.onAnswer(peer);
    m_topics[read->topic].lostAt.reset();
    if (read->from)
        read->onTail(std::move(*tail));
    else
        read->onPage(KeyedPage{std::move(tail->records), false, tail->next, tail->origin});
}

// A restored store proves nothing for a while, to any node.
bool TopicExchange::isRecent(SharedTopic name, const ReadingOrigin &origin) const
{
    const Topic &topic = m_topics.at(name);
    const bool isRestored =
            topic.restoredAt && m_timers.now() - *topic.restoredAt < m_options.restoreTolerance;
    const bool isLost = origin.sinceOutage == Duration::zero();
    const Duration usual =
            name == SharedTopic::Nodes ? m_options.maxNodesProofAge : m_options.maxProofAge;
    const Duration limit = isLost ? m_options.maxLostProofAge : usual;
    return isRestored || (origin.provenAfter && *origin.provenAfter >= -limit);
}

// While the store is away for all, few of the zone's nodes try it in each round.
bool TopicExchange::isStoreTried(const Read &read)
{
    if (!read.isPeerBehind || !m_topics[read.topic].lostAt)
        return true;
    return m_random.chance(m_options.triesPerRound / static_cast<double>(m_selector.zoneSize()));
}

void TopicExchange::readStore(const std::shared_ptr<Read> &read)
{
    Topic &topic = m_topics[read->topic];
    if (!isStoreTried(*read)) {
        read->fail(makeError(ErrorCode::LogUnavailable, "the zone's readers can't read the store"));
        return;
    }
    watchStore(read->topic, read->wait);
    if (read->from) {
        topic.store.readTail(
                *read->from, read->wait,
                [this, alive = m_alive, read](absl::StatusOr<KeyedTail> tail) {
                    if (!*alive)
                        return;
                    m_timers.cancel(std::exchange(m_topics[read->topic].overdueTimer, NoTimer));
                    if (tail.ok())
                        read->onTail(std::move(tail));
                    else
                        handleStoreFailure(read, tail.status());
                });
        return;
    }
    topic.store.readNewest(
            read->after, [this, alive = m_alive, read](absl::StatusOr<KeyedPage> page) {
                if (!*alive)
                    return;
                m_timers.cancel(std::exchange(m_topics[read->topic].overdueTimer, NoTimer));
                if (page.ok())
                    read->onPage(std::move(page));
                else
                    handleStoreFailure(read, page.status());
            });
}

// Peers turn to another node before this one's call to a silent store has timed out.
void TopicExchange::watchStore(SharedTopic name, Duration wait)
{
    Topic &topic = m_topics[name];
    m_timers.cancel(topic.overdueTimer);
    topic.overdueTimer = m_timers.scheduleAfter(wait + m_options.storeSlack, [this, name] {
        m_topics[name].overdueTimer = NoTimer;
        noteLost(m_topics[name]);
        answerAll(name);
    });
}

// The store may turn away this zone's nodes and serve others.
void TopicExchange::handleStoreFailure(const std::shared_ptr<Read> &read,
                                       const absl::Status &status)
{
    Topic &topic = m_topics[read->topic];
    if (errorCode(status) == ErrorCode::LogRecordsExpired) {
        read->fail(status);
        return;
    }
    noteLost(topic);
    answerAll(read->topic);
    // A peer answers with all keys at once, so later pages can only be the store's.
    if (!m_isStarted || !read->after.empty()) {
        read->fail(status);
        return;
    }
    const TimePoint now = m_timers.now();
    read->hasStoreFailed = true;
    if (!read->from)
        read->peers = m_selector.peersToAsk(now);
    const std::vector<ReaderSelector::Peer> readers = m_selector.readersOfOtherZones(now);
    if (!readers.empty())
        read->peers.push_back(readers[m_random.uniformBelow(readers.size())]);
    ask(read);
}

void TopicExchange::onQuestion(const Json::Value &json, const RpcResponder &responder)
{
    absl::StatusOr<TopicQuestion> question = decodeTopicQuestion(json);
    if (!question.ok()) {
        responder(question.status());
        return;
    }
    question->wait = std::clamp(question->wait, Duration::zero(), m_options.maxNodesWait);
    m_selector.onAsked(m_timers.now());
    Topic &topic = m_topics[question->topic];
    Waiting waiting{*question, m_timers.now(), responder, NoTimer};
    const bool isOutdated = topic.lostAt && topic.provenAt
                            && m_timers.now() - *topic.provenAt > m_options.maxLostProofAge;
    if (canAnswer(topic, *question) || isOutdated) {
        answer(topic, waiting);
        return;
    }
    const std::uint64_t number = ++m_lastQuestion;
    waiting.timer = m_timers.scheduleAfter(
            question->wait, [this, name = question->topic, number] { answerLate(name, number); });
    topic.waiting.emplace(number, std::move(waiting));
}

// A question from a later era or position waits until this node has caught up.
bool TopicExchange::canAnswer(const Topic &topic, const TopicQuestion &question) const
{
    if (!topic.mirror.isComplete())
        return false;
    if (topic.mirror.era() != question.era && question.era != 0)
        return topic.mirror.era() > question.era;
    return !question.from || *question.from < topic.mirror.next();
}

void TopicExchange::answerLate(SharedTopic name, std::uint64_t number)
{
    Topic &topic = m_topics[name];
    const Waiting waiting = std::move(topic.waiting.extract(number).mapped());
    answer(topic, waiting);
}

void TopicExchange::answer(Topic &topic, const Waiting &waiting)
{
    const TopicQuestion &question = waiting.question;
    if (!topic.mirror.isComplete()) {
        waiting.responder(makeError(ErrorCode::NotReady, "the topic has not been read"));
        return;
    }
    const bool isOtherEra = question.era != 0 && question.era != topic.mirror.era();
    if (isOtherEra && question.era < topic.mirror.era() && question.from) {
        waiting.responder(makeError(ErrorCode::LogRecordsExpired, "the store was restored"));
        return;
    }
    const bool isBehind = question.from && *question.from > topic.mirror.next();
    if ((isOtherEra && question.era > topic.mirror.era()) || isBehind) {
        waiting.responder(makeError(ErrorCode::StaleVersion, "this node has read less"));
        return;
    }
    absl::StatusOr<KeyedTail> tail =
            question.from ? topic.mirror.tail(*question.from) : topic.mirror.tail(0);
    if (!question.from) {
        const KeyedPage page = topic.mirror.newest();
        tail = KeyedTail{page.records, page.end, page.end, page.origin};
    }
    if (!tail.ok()) {
        waiting.responder(tail.status());
        return;
    }
    tail->origin.provenAfter.reset();
    if (topic.provenAt)
        tail->origin.provenAfter = *topic.provenAt - waiting.arrivedAt;
    if (topic.lostAt) {
        tail->origin.sinceOutage = Duration::zero();
        tail->origin.outageLength = m_timers.now() - *topic.lostAt;
    } else if (topic.outageAt) {
        tail->origin.sinceOutage =
                std::max(m_timers.now() - *topic.outageAt, Duration(std::chrono::milliseconds(1)));
        tail->origin.outageLength = topic.outageLength;
    }
    waiting.responder(encodeTopicTail(*tail));
}

void TopicExchange::answerSoon(SharedTopic name)
{
    Topic &topic = m_topics[name];
    if (topic.answerTimer != NoTimer || topic.waiting.empty())
        return;
    topic.answerTimer =
            m_timers.scheduleAfter(m_options.answerDelay, [this, name] { answerWaiting(name); });
}

void TopicExchange::answerAll(SharedTopic name)
{
    Topic &topic = m_topics[name];
    for (const auto &[number, waiting] : std::exchange(topic.waiting, {})) {
        m_timers.cancel(waiting.timer);
        answer(topic, waiting);
    }
}

void TopicExchange::answerWaiting(SharedTopic name)
{
    Topic &topic = m_topics[name];
    topic.answerTimer = NoTimer;
    std::vector<Waiting> ready;
    for (auto it = topic.waiting.begin(); it != topic.waiting.end();) {
        if (!canAnswer(topic, it->second.question)) {
            ++it;
            continue;
        }
        m_timers.cancel(it->second.timer);
        ready.push_back(std::move(it->second));
        it = topic.waiting.erase(it);
    }
    for (const Waiting &waiting : ready)
        answer(topic, waiting);
}

} // namespace currantwalk
