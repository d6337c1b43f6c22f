#include "daemon/answerpoll.h"

#include <algorithm>

#include "daemon/requestfingerprint.h"
#include "observe/logging.h"

namespace currantwalk {

static constexpr const char *CountMethod = "poison-answers";
static constexpr std::size_t MaxAsked = 16;
// Bounds what a peer may state, so that sums do not overflow.
static constexpr std::uint64_t MaxCount = 1'000'000'000;
static constexpr Json::ArrayIndex MaxFeatures = 64;
static constexpr Duration MinCountingTime = std::chrono::seconds(10);
// Requests that crash their targets keep arriving while the counts are awaited.
static constexpr Duration Timeout = std::chrono::milliseconds(150);

AnswerPoll::AnswerPoll(PoisonTracker &tracker, PeerLink &peers, const NodeDirectory &nodes,
                       TimerService &timers, RandomSource &random)
    : m_tracker(tracker), m_peers(peers), m_nodes(nodes), m_timers(timers), m_random(random)
{
}

AnswerPoll::~AnswerPoll()
{
    *m_alive = false;
    for (const auto &[number, poll] : m_polls)
        m_timers.cancel(poll.timer);
}

void AnswerPoll::start()
{
    m_peers.server().addMethod(CountMethod, [this](const Json::Value &message,
                                                   const RpcResponder &responder) {
        const Json::Value &features = message.isObject() ? message["features"] : message;
        Json::Value counts(Json::arrayValue);
        for (Json::ArrayIndex i = 0;
             features.isArray() && i < std::min(features.size(), MaxFeatures); ++i) {
            const bool isValid = features[i].isUInt64();
            counts.append(
                    Json::UInt64(isValid ? m_tracker.answersHere(features[i].asUInt64()) : 0));
        }
        // What a node has counted since it started a moment ago says nothing.
        const bool isUsable = m_tracker.countingTime() >= MinCountingTime;
        responder(isUsable ? counts : Json::Value());
    });
}

void AnswerPoll::ask(const std::vector<std::uint64_t> &features)
{
    const std::uint64_t number = ++m_lastPoll;
    Poll &poll = m_polls[number];
    poll.features = features;
    poll.features.resize(std::min<std::size_t>(features.size(), MaxFeatures));
    poll.answers.resize(poll.features.size());
    std::vector<Endpoint> peers;
    for (const ZoneName &zone : m_nodes.zones()) {
        for (const auto &[vm, peer] : m_nodes.availablePeersIn(zone, m_timers.now()))
            peers.push_back(peer.peers);
    }
    poll.awaited = std::min(peers.size(), MaxAsked);
    poll.asked = poll.awaited;
    poll.timer = m_timers.scheduleAfter(poll.awaited == 0 ? Duration::zero() : Timeout,
                                        [this, number] { finish(number); });
    Json::Value message(Json::objectValue);
    message["features"] = Json::Value(Json::arrayValue);
    for (const std::uint64_t feature : poll.features)
        message["features"].append(Json::UInt64(feature));
    for (std::size_t asked = poll.awaited; asked > 0; --asked) {
        const std::size_t pick = m_random.uniformBelow(peers.size());
        m_peers.call(peers[pick], CountMethod, message,
                     [this, alive = m_alive, number](const absl::StatusOr<Json::Value> &reply) {
                         if (*alive)
                             onReply(number, reply);
                     });
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
    }
}

void AnswerPoll::onReply(std::uint64_t number, const absl::StatusOr<Json::Value> &reply)
{
    const auto known = m_polls.find(number);
    if (known == m_polls.end())
        return;
    Poll &poll = known->second;
    --poll.awaited;
    if (reply.ok() && reply->isArray() && reply->size() == poll.answers.size()) {
        ++poll.replies;
        for (Json::ArrayIndex i = 0; i < reply->size(); ++i)
            poll.answers[i] += (*reply)[i].isUInt64()
                                       ? std::min<std::uint64_t>((*reply)[i].asUInt64(), MaxCount)
                                       : 0;
    }
    if (poll.awaited == 0)
        finish(number);
}

void AnswerPoll::finish(std::uint64_t number)
{
    const auto known = m_polls.find(number);
    const Poll poll = std::move(known->second);
    m_polls.erase(known);
    m_timers.cancel(poll.timer);
    const std::uint64_t own = m_tracker.countingTime() >= MinCountingTime ? 1 : 0;
    const std::uint64_t told = poll.replies + own;
    const bool isKnown = 2 * told > poll.asked;
    std::vector<PoisonTracker::FeatureAnswers> answers;
    for (std::size_t i = 0; i < poll.features.size(); ++i) {
        const std::uint64_t sum = poll.answers[i] + m_tracker.answersHere(poll.features[i]);
        const std::uint64_t ofAll = sum * m_nodes.size() / std::max<std::uint64_t>(told, 1);
        answers.push_back({poll.features[i], ofAll});
        logLine(LogPart::Poison, LogLevel::Info,
                "About " + std::to_string(ofAll) + " requests with the suspected feature "
                        + fingerprintText(poll.features[i]) + " were answered lately; "
                        + std::to_string(told) + " of " + std::to_string(poll.asked + 1)
                        + " nodes have counted.");
    }
    m_tracker.onAnswersOfAll(answers, isKnown);
}

} // namespace currantwalk
