#include "bench/decisions.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "bench/workload.h"

namespace currantwalk {

static constexpr std::array<std::size_t, 5> TargetCounts{12, 41, 138, 412, 1100};
static constexpr std::size_t OwnPerTarget = 5; // Generations of this node at each engine.
static constexpr int Rounds = 7;
static constexpr int DecisionsPerRound = 4000;
static constexpr std::uint64_t EngineTokens = 60000;

static std::vector<Target> makeTargets(std::size_t count, bool isFull)
{
    std::vector<Target> targets(count);
    for (std::size_t i = 0; i < count; ++i) {
        targets[i].id = TargetId("engine-" + std::to_string(i));
        targets[i].load.capacityTokens = EngineTokens;
        targets[i].load.usedTokens = isFull ? EngineTokens : EngineTokens * (3 + i % 5) / 10;
        targets[i].load.running = 20;
    }
    return targets;
}

// Loads the policy as a busy node would be: generations at every engine, lengths and prefixes
// learnt.
static void warmUp(RoutingPolicy &policy, const std::vector<Target> &targets,
                   const std::vector<BenchRequest> &requests)
{
    const TimePoint now{};
    policy.onNodeCount(8);
    for (const Target &target : targets)
        policy.onLoad(target, now);
    std::size_t next = 0;
    for (; next < requests.size() / 2; ++next) {
        const BenchRequest &request = requests[next];
        const TargetId &target = targets[next % targets.size()].id;
        policy.onPlaced(request.routing, target, now);
        if (next >= targets.size() * OwnPerTarget)
            policy.onReleased(request.routing.id, true, request.answerTokens, now);
        if (request.sharedBlocks > 0)
            policy.onCacheEvent(target, request.routing.prefixHashes[request.sharedBlocks - 1],
                                true);
    }
}

/// Returns the median over rounds of the mean time of one decision, in microseconds.
static double timeDecisions(const std::string &name, std::size_t count, bool isFull)
{
    const std::vector<BenchRequest> requests =
            drawWorkload(loadShapes().front(), RateShape{100, 0, 0, 0}, 200, 1);
    const std::vector<Target> targets = makeTargets(count, isFull);
    std::vector<const Target *> candidates;
    for (const Target &target : targets)
        candidates.push_back(&target);
    const std::unique_ptr<RoutingPolicy> policy = createRoutingPolicy(name, 1);
    warmUp(*policy, targets, requests);
    std::array<double, Rounds> times{};
    std::size_t decided = 0; // Read below, so that no decision is optimised away.
    for (double &time : times) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < DecisionsPerRound; ++i) {
            const RoutingRequest &request =
                    requests[requests.size() / 2 + static_cast<std::size_t>(i)].routing;
            const RoutingDecision decision = policy->decide(request, candidates, TimePoint());
            decided += decision.reason.candidates;
        }
        const std::chrono::duration<double, std::micro> spent =
                std::chrono::steady_clock::now() - start;
        time = spent.count() / DecisionsPerRound;
    }
    std::nth_element(times.begin(), times.begin() + Rounds / 2, times.end());
    return decided > 0 ? times[Rounds / 2] : 0;
}

static int runDecisions(int, const char **)
{
    std::printf("microseconds a decision, by targets; at full engines a policy may hold\n%-22s",
                "policy");
    for (const std::size_t count : TargetCounts)
        std::printf(" %8zu", count);
    std::printf("\n");
    for (const std::string_view name : routingPolicyNames()) {
        for (const bool isFull : {false, true}) {
            std::printf("%-22s", (std::string(name) + (isFull ? " (full)" : "")).c_str());
            for (const std::size_t count : TargetCounts)
                std::printf(" %8.2f", timeDecisions(std::string(name), count, isFull));
            std::printf("\n");
        }
    }
    return EXIT_SUCCESS;
}

const BenchCommand DecisionsCommand = {"decisions", "times a routing decision", runDecisions};

} // namespace currantwalk
