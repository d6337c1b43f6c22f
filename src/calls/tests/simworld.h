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

/// An entry VM with the successive incarnations of its daemon.
struct SimNode
{
    explicit SimNode(TimerService &shared) : timers(shared) {}

    SimEndpoint place;
    NodeTimers timers;
    Incarnation incarnation = 0;
    std::unique_ptr<SimDaemon> daemon;   ///< Null while the daemon is stopped.
    std::shared_ptr<bool> isDaemonAlive; ///< Set to false when the current daemon is killed.
    FakeLog::Client *log = nullptr;
};

/// Simulates three zones with entry VMs, engines, plain services and one log on virtual time.
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
        bool isClaimReadBackSkipped = false;
    };

    explicit SimWorld(const Options &options);
    ~SimWorld();

    SimWorld(const SimWorld &) = delete;
    SimWorld &operator=(const SimWorld &) = delete;

    void startDaemon(std::size_t node);
    void killDaemon(std::size_t node);
    void pauseDaemon(std::size_t node, Duration span, bool areTimersFirst = false);
    void killTarget(const std::string &name, Duration restartAfter,
                    bool keepsConnectionsOpen = false);
    void reclaimTarget(const std::string &name, Duration notice, Duration restartAfter);
    void partitionZone(const std::string &zone, Duration span);
    void partitionPeers(Duration span) { m_peersPartitionedUntil = timers.now() + span; }

    void reportViolation(const std::string &what);
    void schedule(Duration delay, std::function<void()> action);
    std::uint64_t startedGenerations(const std::string &tag) const;
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
    std::map<std::string, std::uint32_t> effects; ///< Executions of plain requests, by tag.
    std::map<std::string, std::uint64_t> counts;  ///< Of simulated events, by name.
    std::vector<std::string> violations;
    std::function<void(std::size_t node, SimRequestStep)> onStep = [](std::size_t, SimRequestStep) {
    };

private:
    LogHooks logHooks(std::size_t node);
    DaemonEnvironment environment(std::size_t node);
    void sendPoisonReport(SimNode &node, const PoisonReport &report);
    bool isReachable(std::size_t from, std::size_t to) const;
    void queryPeers(std::size_t node, const GenerationId &generation,
                    const std::function<void(bool)> &answer);
    void notifyTakenOver(std::size_t node, const ResumeToken &token, std::uint32_t tries);
    void scheduleDeathReports(const std::string &target, Incarnation incarnation,
                              const SimEndpoint &place);

    TimePoint m_peersPartitionedUntil{};
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_SIMWORLD_H
