#include "daemon/answerpoll.h"

#include <algorithm>

#include "daemon/requestfingerprint.h"
#include "observe/logging.h"

namespace currantwalk {

static constexpr const char *CountMethod = "poison-answers";
static constexpr std::size_t MaxAsked = 16;
// Bounds what a peer may state, so that sums do not overflow.
static constexpr std::uint64_t MaxCount = 1'000'000'000;
static constexpr std::uint64_t MaxWaitedMilliseconds = 100'000'000;
// Of the question and its answer.
static constexpr const char *FeaturesField = "features";
static constexpr const char *DoesWantWaitsField = "waits";
static constexpr const char *AnswersField = "answers";
static constexpr const char *WaitedField = "waited_ms";
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
    m_peers.server().addMethod(
            CountMethod, [this](const Json::Value &message, const RpcResponder &responder) {
                // What a node has counted since it started a moment ago says nothing.
                const bool isUsable = m_tracker.countingTime() >= MinCountingTime;
                responder(isUsable ? answersTo(message) : Json::Value());
            });
}

// Nodes of an earlier release ask for the numbers only, and expect an array of them.
Json::Value AnswerPoll::answersTo(const Json::Value &message) const
{
    const Json::Value &features = message.isObject() ? message[FeaturesField] : message;
    Json::Value counts(Json::arrayValue);
    Json::Value waits(Json::arrayValue);
    for (Json::ArrayIndex i = 0; features.isArray() && i < std::min(features.size(), MaxFeatures);
         ++i) {
        const CrashEvidence::Answers answers =
                features[i].isUInt64() ? m_tracker.answersHere(features[i].asUInt64())
                                       : CrashEvidence::Answers{};
        counts.append(Json::UInt64(answers.count));
        waits.append(Json::UInt64(
                std::chrono::duration_cast<std::chrono::milliseconds>(answers.waited).count()));
    }
    const bool doesWantWaits = message.isObject() && message[DoesWantWaitsField].isBool()
                               && message[DoesWantWaitsField].asBool();
    if (!doesWantWaits)
        return counts;
    Json::Value reply(Json::objectValue);
    reply[AnswersField] = std::move(counts);
    reply[WaitedField] = std::move(waits);
    return reply;
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
    message[FeaturesField] = Json::Value(Json::arrayValue);
    for (const std::uint64_t feature : poll.features)
        message[FeaturesField].append(Json::UInt64(feature));
    message[DoesWantWaitsField] = true;
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

static std::uint64_t boundedNumber(const Json::Value &value, std::uint64_t greatest)
{
    return value.isUInt64() ? std::min<std::uint64_t>(value.asUInt64(), greatest) : 0;
}

void AnswerPoll::onReply(std::uint64_t number, const absl::StatusOr<Json::Value> &reply)
{
    const auto known = m_polls.find(number);
    if (known == m_polls.end())
        return;
    Poll &poll = known->second;
    --poll.awaited;
    const Json::Value none(Json::arrayValue);
    const bool isObject = reply.ok() && reply->isObject();
    const Json::Value &counts = !reply.ok() ? none : isObject ? (*reply)[AnswersField] : *reply;
    const Json::Value &waits = isObject ? (*reply)[WaitedField] : none;
    const bool areWaitsUsable = waits.isArray() && waits.size() == poll.answers.size();
    if (counts.isArray() && counts.size() == poll.answers.size()) {
        ++poll.replies;
        for (Json::ArrayIndex i = 0; i < counts.size(); ++i) {
            poll.answers[i].count += boundedNumber(counts[i], MaxCount);
            if (areWaitsUsable)
                poll.answers[i].waited +=
                        std::chrono::milliseconds(boundedNumber(waits[i], MaxWaitedMilliseconds));
        }
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
        const CrashEvidence::Answers here = m_tracker.answersHere(poll.features[i]);
        const std::uint64_t divisor = std::max<std::uint64_t>(told, 1);
        const CrashEvidence::Answers ofAll{
                (poll.answers[i].count + here.count) * m_nodes.size() / divisor,
                (poll.answers[i].waited + here.waited) * m_nodes.size() / divisor};
        answers.push_back({poll.features[i], ofAll});
        const std::string requests = poll.features[i] == CrashEvidence::AllRequests
                                             ? " requests with any feature"
                                             : " requests with the suspected feature "
                                                       + fingerprintText(poll.features[i]);
        logLine(LogPart::Poison, LogLevel::Info,
                "About " + std::to_string(ofAll.count) + requests + " were answered lately; "
                        + std::to_string(told) + " of " + std::to_string(poll.asked + 1)
                        + " nodes have counted.");
    }
    m_tracker.onAnswersOfAll(answers, isKnown);
}

} // namespace currantwalk
