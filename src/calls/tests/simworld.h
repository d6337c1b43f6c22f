#ifndef CURRANTWALK_CALLS_TESTS_SIMWORLD_H
#define CURRANTWALK_CALLS_TESTS_SIMWORLD_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "calls/tests/simdaemon.h"

namespace currantwalk {

/// An entry VM, through all lives of its daemon.
struct SimNode
{
    explicit SimNode(TimerService &shared) : timers(shared) {}

    SimPlace place;
    NodeTimers timers;
    Incarnation incarnation = 0;
    std::unique_ptr<SimDaemon> daemon; ///< Null while it is dead.
    std::shared_ptr<bool> life;        ///< Of the daemon that runs.
    FakeLog::Client *log = nullptr;
};

/// Three zones with entry VMs, engines and plain services around one log, on virtual time.
class SimWorld
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        std::size_t nodesPerZone = 1;
        std::size_t enginesPerZone = 1;
        std::size_t servicesPerZone = 1;
        bool servicesCheckKeys = false;
        bool isClaimTrustedUnread = false;
    };

    explicit SimWorld(const Options &options);
    ~SimWorld();

    SimWorld(const SimWorld &) = delete;
    SimWorld &operator=(const SimWorld &) = delete;

    void startDaemon(std::size_t node);
    void killDaemon(std::size_t node);
    void pauseDaemon(std::size_t node, Duration span);
    void killTarget(const std::string &name, Duration restartAfter, bool isSilent = false);
    void reclaimTarget(const std::string &name, Duration notice, Duration restartAfter);
    void cutZone(const std::string &zone, Duration span);
    void cutPeers(Duration span) { m_peersCutUntil = timers.now() + span; }

    void violate(const std::string &what);
    void later(Duration delay, std::function<void()> action);
    std::uint64_t begunGenerations(const std::string &tag) const;
    std::uint64_t runningGenerations() const;
    SimTarget *findTarget(const std::string &name);

    const Options options;
    VirtualTimerService timers;
    RandomSource random;
    SimNetwork network;
    FakeLog log;
    std::vector<std::unique_ptr<SimNode>> nodes;
    std::vector<std::unique_ptr<SimEngine>> engines;
    std::vector<std::unique_ptr<SimService>> services;
    std::map<std::string, std::uint32_t> effects; ///< Runs of each plain request, by tag.
    std::map<std::string, std::uint64_t> counts;  ///< Of what was brought about.
    std::vector<std::string> violations;
    std::function<void(std::size_t node, SimStep)> onStep = [](std::size_t, SimStep) {};

private:
    LogHooks logHooks(std::size_t node);
    DaemonSurroundings surroundings(std::size_t node);
    bool isReachable(std::size_t from, std::size_t to) const;
    void askPeers(std::size_t node, const GenerationId &generation,
                  const std::function<void(bool)> &answer);
    void tellTakenOver(std::size_t node, const ResumeToken &token, std::uint32_t tries);
    void announceGone(const std::string &target, Incarnation incarnation, const SimPlace &place);

    TimePoint m_peersCutUntil{};
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_SIMWORLD_H
