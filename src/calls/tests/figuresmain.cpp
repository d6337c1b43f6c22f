#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "calls/tests/randomisedrun.h"
#include "calls/tests/simcaller.h"

using namespace currantwalk;
using namespace std::chrono_literals;

static double milliseconds(Duration span)
{
    return static_cast<double>(span.count()) / 1000.0;
}

// \pre values is not empty
static Duration quantile(std::vector<Duration> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

namespace {

struct ClaimLoad
{
    std::uint32_t shards = 1;
    std::size_t nodes = 8;
    double claimsPerSecond = 0;       ///< Total over all nodes.
    std::size_t appendsPerSecond = 0; ///< Limit of the log; 0: unlimited.
};

} // namespace

// Claims new keys for 4 s of virtual time and records a result for each; the log latency is 2 ms.
static void printClaimLoad(const ClaimLoad &load)
{
    constexpr Duration Span = 4s;
    VirtualTimerService timers;
    RandomSource random(1);
    FakeLog log(timers, 1);
    log.faults.appendsPerSecond = load.appendsPerSecond;
    std::vector<std::unique_ptr<Claims>> nodes;
    for (std::size_t i = 0; i < load.nodes; ++i) {
        Claims::Options options;
        options.vm = VmId("vm-" + std::to_string(i));
        options.incarnation = 1;
        options.shards = load.shards;
        nodes.push_back(Claims::create(options, log.addClient().hooks, timers));
    }
    std::vector<Duration> waits;
    std::size_t refused = 0;
    const auto claim = [&](std::size_t node, int number) {
        ClaimRequest request;
        request.key = std::to_string(number);
        request.deadline = timers.now() + 10s;
        request.keyWindow = 1h;
        nodes[node]->claim(request, [&, node, request, begun = timers.now()](const ClaimAnswer &a) {
            if (a.verdict != ClaimVerdict::Won) {
                ++refused;
                return;
            }
            waits.push_back(timers.now() - begun);
            nodes[node]->recordResult(request, PlainResponse{201, "", "reserved", Duration(0)});
        });
    };
    const int claims = static_cast<int>(load.claimsPerSecond * 4);
    for (int i = 0; i < claims; ++i) {
        timers.scheduleAt(TimePoint(random.jitter(Span)), [&claim, &random, &load, i] {
            claim(random.uniformBelow(load.nodes), i);
        });
    }
    timers.advance(Span + 12s);
    std::printf("  %2u shards, %5.0f claims/s offered, log limit %4zu appends/s: "
                "%5.2f claims an append with results, %5.1f%% won, "
                "median %6.1f ms, 99th percentile %7.1f ms\n",
                load.shards, load.claimsPerSecond, load.appendsPerSecond,
                static_cast<double>(waits.size()) / static_cast<double>(log.appendCount),
                100.0 * static_cast<double>(waits.size()) / claims,
                milliseconds(quantile(waits, 0.5)), milliseconds(quantile(waits, 0.99)));
}

// Measures the same calls with and without a key; the service takes 30 ms for each.
static void printClaimCost()
{
    for (const SimRequestKind kind : {SimRequestKind::Unkeyed, SimRequestKind::Keyed}) {
        SimWorld world(SimWorld::Options{3, 2, 1, 1, false, false});
        std::vector<std::unique_ptr<SimCaller>> callers;
        std::vector<TimePoint> begun;
        for (int i = 0; i < 1000; ++i) {
            SimCaller::Options options;
            options.kind = kind;
            options.name = std::to_string(i);
            callers.push_back(std::make_unique<SimCaller>(world, options));
            begun.push_back(TimePoint(1s) + i * 20ms);
            world.timers.scheduleAt(begun.back(), [caller = callers.back().get(), i] {
                caller->submit(static_cast<std::size_t>(i) % 6);
            });
        }
        world.timers.advance(2min);
        std::vector<Duration> waits;
        for (std::size_t i = 0; i < callers.size(); ++i)
            waits.push_back(callers[i]->endedAt() - begun[i]);
        std::printf("  %-8s median %5.1f ms, 99th percentile %5.1f ms\n",
                    std::string(simRequestKindName(kind)).c_str(),
                    milliseconds(quantile(waits, 0.5)), milliseconds(quantile(waits, 0.99)));
    }
}

// Measures the time from the death of the engine midway through a generation to the first token
// from the engine that replaces it.
static void printFailover(const char *name, const std::function<void(SimWorld &, std::string)> &die)
{
    std::vector<Duration> spans;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SimWorld world(SimWorld::Options{seed, 1, 1, 1, false, false});
        SimCaller::Options options;
        options.name = "r";
        options.lossPolicy = LossPolicy::Restart;
        SimCaller caller(world, options);
        TimePoint diedAt{};
        world.onStep = [&](std::size_t, SimRequestStep step) {
            if (step != SimRequestStep::Midway || diedAt != TimePoint{})
                return;
            diedAt = world.timers.now();
            world.schedule(Duration(0), [&] { die(world, world.nodes[0]->daemon->lastTarget()); });
        };
        caller.submit(0);
        world.timers.advance(5min);
        if (caller.end() == SimOutcome::Done && caller.firstTokenAt() > diedAt)
            spans.push_back(caller.firstTokenAt() - diedAt);
    }
    std::printf("  %-28s median %7.1f ms, 99th percentile %7.1f ms, of %zu\n", name,
                milliseconds(quantile(spans, 0.5)), milliseconds(quantile(spans, 0.99)),
                spans.size());
}

static void printDuplicates()
{
    RunReport total;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        total.add(RandomisedRun(seed, false).run());
    const double done = static_cast<double>(total.counts["duplicates that ended done"]);
    const double unknown = static_cast<double>(total.counts["duplicates that ended unknown"]);
    std::printf("  %.1f%% of %.0f duplicates got the result under the faults of seeds 1 to 100\n",
                100.0 * done / (done + unknown), done + unknown);
}

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::printf("claims and appends (8 nodes, log 2 ms away)\n");
    for (const std::uint32_t shards : {1U, 4U, 16U}) {
        for (const double rate : {20.0, 200.0, 2000.0})
            printClaimLoad(ClaimLoad{shards, 8, rate, 0});
        printClaimLoad(ClaimLoad{shards, 8, 2000, 300});
    }
    std::printf("what a claim adds to a call (log 2 ms away)\n");
    printClaimCost();
    std::printf("from engine death to the successor's first token (engine's own: 60 ms)\n");
    printFailover("process dies, port closes", [](SimWorld &world, const std::string &engine) {
        world.killTarget(engine, 1min);
    });
    printFailover("process restarts at once", [](SimWorld &world, const std::string &engine) {
        world.killTarget(engine, 50ms);
    });
    printFailover("VM vanishes, link silent", [](SimWorld &world, const std::string &engine) {
        world.network.stallLink(world.nodes[0]->place.name, engine, 1min);
        world.killTarget(engine, 2min, true);
    });
    std::printf("duplicates\n");
    printDuplicates();
    return 0;
}
