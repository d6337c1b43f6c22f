#ifndef CURRANTWALK_BENCH_CLUSTERRUN_H
#define CURRANTWALK_BENCH_CLUSTERRUN_H

#include <memory>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "bench/enginemodel.h"
#include "bench/runmeasures.h"
#include "routing/admissionqueue.h"

namespace currantwalk {

enum class Fault {
    None,
    EngineDies,    ///< One engine dies and comes back empty.
    ReportsFrozen, ///< No load report for a while.
};

struct ClusterShape
{
    std::size_t engines = 12;
    std::size_t nodes = 8;
    double reportAge = 1; ///< Mean age in s of the last load report.
    EngineShape engine;
};

struct RunOptions
{
    std::string policy;
    double seconds = 600;
    std::uint64_t seed = 1;
    Fault fault = Fault::None;
    ClusterShape cluster;
};

constexpr double FaultFrom = 200;       ///< s
constexpr double EngineBackAfter = 120; ///< s
constexpr double ReportsFrozenFor = 30; ///< s
constexpr double DeathNoticedAfter = 1; ///< s

/// One run of a policy over a workload: several nodes, each with its own policy, before the same
/// engines, on virtual time.
class ClusterRun
{
public:
    ClusterRun(const RunOptions &options, const std::vector<BenchRequest> &requests);

    RunMeasures run();

private:
    struct Engine
    {
        TargetId id;
        std::unique_ptr<EngineModel> model;
        bool isBusy = false; ///< A step is on its way.
        bool isAlive = true;
        Incarnation incarnation = 1;
    };
    struct Node
    {
        std::vector<Target> targets;
        std::unique_ptr<RoutingPolicy> policy;
        std::unique_ptr<AdmissionQueue> admission;
    };

    void createEngines();
    void createNodes();
    Node &nodeOf(std::size_t request) { return m_nodes[request % m_nodes.size()]; }
    double seconds() const;
    void after(double seconds, TimerService::Callback callback);
    void subscribeArrival(std::size_t request);
    void place(std::size_t request, const RoutingDecision &decision);
    void startStep(std::size_t engine);
    void onToken(std::size_t request, std::uint32_t generated);
    void onFinished(std::size_t request);
    void onCacheEvent(std::size_t engine, std::uint64_t prefix, bool isCached);
    void report(std::size_t engine);
    void deliver(std::size_t engine, const TargetLoad &load, Incarnation incarnation);
    void killEngine(std::size_t engine);
    void onEngineGone(std::size_t engine, const std::vector<std::size_t> &lost);
    void reviveEngine(std::size_t engine);
    std::size_t backlog() const;

    RunOptions m_options;
    const std::vector<BenchRequest> &m_requests;
    VirtualTimerService m_timers;
    RandomSource m_random;
    std::vector<Engine> m_engines;
    std::vector<Node> m_nodes;
    std::vector<std::uint32_t> m_generated; // Of each request, by its engine.
    CallerView m_view;
};

/// Draws the workload and runs one policy over it.
RunMeasures runPolicy(const RunOptions &options, const LoadShape &load, const RateShape &rate);

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_CLUSTERRUN_H
