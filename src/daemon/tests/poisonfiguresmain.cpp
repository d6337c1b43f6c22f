#include <cstdio>
#include <cstdlib>

#include <malloc.h>

#include "daemon/tests/entryfleet.h"
#include "observe/logging.h"

using namespace currantwalk;
using namespace std::chrono_literals;

namespace {

struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t bytesBetweenZones = 0;
};

struct Figures
{
    Traffic news;
    Traffic comparisons;
    std::uint64_t storeCalls = 0; ///< On the nodes' topic.
    std::size_t crashes = 0;
};

} // namespace

static constexpr Duration Span = 10s;

static Figures measure(std::size_t nodes, std::size_t zones, bool hasPoison)
{
    EntryFleet::Options options;
    options.nodes = nodes;
    options.zones = zones;
    options.generationServers = std::max<std::size_t>(12, nodes / 2);
    EntryFleet fleet(options);
    Figures figures;
    fleet.net.onRequest = [&](const std::string &from, const Endpoint &to,
                              const HttpRequest &request) {
        const bool isNews = request.body.find("poison-news") != std::string::npos;
        const bool isComparison = request.body.find("poison-compare") != std::string::npos;
        if (!isNews && !isComparison)
            return;
        Traffic &traffic = isNews ? figures.news : figures.comparisons;
        ++traffic.messages;
        traffic.bytes += request.body.size();
        if (fleet.zoneOfHost(from) != fleet.zoneOfHost(to.address))
            traffic.bytesBetweenZones += request.body.size();
    };
    const std::uint64_t callsBefore = fleet.store.calls(EntryFleet::RosterTopic);
    if (hasPoison)
        fleet.repeatPoison("/stream/p", 500ms, Span);
    fleet.run(Span);
    figures.storeCalls = fleet.store.calls(EntryFleet::RosterTopic) - callsBefore;
    figures.crashes = fleet.crashesBy("/stream/p");
    return figures;
}

static void print(const char *name, const Traffic &traffic)
{
    std::printf("  %-12s %6llu messages, %8llu bytes of bodies, %8llu between zones\n", name,
                static_cast<unsigned long long>(traffic.messages),
                static_cast<unsigned long long>(traffic.bytes),
                static_cast<unsigned long long>(traffic.bytesBetweenZones));
}

static void printMemory(std::size_t requests)
{
    VirtualTimerService timers;
    const auto tracker = PoisonTracker::create(timers, {[](const PoisonReport &) {}});
    const std::size_t before = mallinfo2().uordblks;
    for (std::size_t i = 0; i < requests; ++i) {
        for (const char *target : {"i-7f3a91c2aa", "i-7f3a91c2ab"})
            tracker->onReport({i, TargetId(target), 1'764'800'000'000, 0, true, false,
                               std::string(60, 'x'), 0s});
    }
    std::printf("%zu requests with 2 deaths: %.0f bytes each\n", requests,
                static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(requests));
}

// Prints what one poisonous request, sent each 0.5 s for 10 s, costs at several sizes.
int main()
{
    initLogging(LogFormat::Text, LogLevel::Error);
    for (const auto &[nodes, zones] :
         {std::pair(7, 3), std::pair(24, 3), std::pair(90, 4), std::pair(330, 27)}) {
        const Figures idle = measure(nodes, zones, false);
        const Figures busy = measure(nodes, zones, true);
        std::printf("%d nodes in %d zones, %zu crashes\n", nodes, zones, busy.crashes);
        print("news", busy.news);
        print("comparisons", busy.comparisons);
        std::printf("  store        %6lld more calls\n",
                    static_cast<long long>(busy.storeCalls - idle.storeCalls));
    }
    for (const std::size_t requests : {100U, 1000U, 10000U})
        printMemory(requests);
    return EXIT_SUCCESS;
}
