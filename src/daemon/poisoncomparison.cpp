#include "daemon/poisoncomparison.h"

#include "daemon/poisonmessages.h"
#include "observe/logging.h"

namespace currantwalk {

static constexpr const char *CompareMethod = "poison-compare";
static constexpr Duration Interval = std::chrono::seconds(5);
// A starting node looks for peers this often until it has some.
static constexpr Duration StartInterval = std::chrono::milliseconds(100);

PoisonComparison::PoisonComparison(const PoisonTracker &tracker, PeerLink &peers, Hooks hooks,
                                   TimerService &timers, RandomSource &random)
    : m_tracker(tracker),
      m_peers(peers),
      m_hooks(std::move(hooks)),
      m_timers(timers),
      m_random(random)
{
}

PoisonComparison::~PoisonComparison()
{
    *m_alive = false;
    m_timers.cancel(m_timer);
}

void PoisonComparison::start()
{
    m_peers.server().addMethod(
            CompareMethod, [this](const Json::Value &message, const RpcResponder &responder) {
                const Json::Value own = encodePoisonKnowledge(m_tracker.knowledge(MaxRequests));
                onMessage(message);
                responder(own);
            });
    compareAfter(StartInterval);
}

void PoisonComparison::compareAfter(Duration delay)
{
    m_timer = m_timers.scheduleAfter(
            delay, [this] { compareAfter(compare() ? Interval : StartInterval); });
}

// What only some nodes know reaches all in a few rounds.
bool PoisonComparison::compare()
{
    const std::vector<Endpoint> peers = m_hooks.peers();
    if (peers.empty())
        return false;
    m_peers.call(peers[m_random.uniformBelow(peers.size())], CompareMethod,
                 encodePoisonKnowledge(m_tracker.knowledge(MaxRequests)),
                 [this, alive = m_alive](const absl::StatusOr<Json::Value> &result) {
                     if (*alive && result.ok())
                         onMessage(*result);
                 });
    return true;
}

void PoisonComparison::onMessage(const Json::Value &message)
{
    const absl::StatusOr<PoisonKnowledge> knowledge = decodePoisonKnowledge(message);
    if (knowledge.ok())
        m_hooks.onKnowledge(*knowledge);
    else
        logLine(LogPart::Poison, LogLevel::Warning,
                "A peer's knowledge can't be read: " + std::string(knowledge.status().message()));
}

} // namespace currantwalk
