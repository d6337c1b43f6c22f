#include <cstdio>
#include <cstdlib>

#include <popt.h>

#include "daemon/tests/poisonsoak.h"
#include "observe/logging.h"

using namespace currantwalk;

// Runs a range of seeds; the last line is 'N passed, N failed'.
int main(int argc, const char **argv)
{
    long long firstSeed = 1;
    long long seeds = 50;
    int nodes = 0;
    int doServersNameLimits = 0;
    int isPlatformVaried = 0;
    int areAnswersVaried = 0;
    int areCallsVaried = 0;
    const poptOption options[] = {
            {"first-seed", 0, POPT_ARG_LONGLONG, &firstSeed, 0, "first seed to run", "N"},
            {"seeds", 0, POPT_ARG_LONGLONG, &seeds, 0, "number of seeds", "M"},
            {"nodes", 0, POPT_ARG_INT, &nodes, 0, "number of nodes; 0: chosen by the seed", "N"},
            {"limits", 0, POPT_ARG_NONE, &doServersNameLimits, 0, "servers name limits", nullptr},
            {"platform", 0, POPT_ARG_NONE, &isPlatformVaried, 0,
             "engines that keep runs, other writers' keys, the last organisation goes", nullptr},
            {"answers", 0, POPT_ARG_NONE, &areAnswersVaried, 0,
             "copies that take time, answers that are lost, slow callers, planned stops", nullptr},
            {"calls", 0, POPT_ARG_NONE, &areCallsVaried, 0,
             "calls about runs that fail, nodes that stand still, entries that are removed",
             nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("daemonpoisonsoak", argc, argv, options, 0);
    const int result = poptGetNextOpt(context);
    poptFreeContext(context);
    if (result < -1) {
        std::fprintf(stderr, "daemonpoisonsoak: %s\n", poptStrerror(result));
        return EXIT_FAILURE;
    }
    initLogging(LogFormat::Text, LogLevel::Error);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    long long failed = 0;
    unsigned long long served = 0;
    unsigned long long refused = 0;
    for (long long seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        const PoisonSoak::Report report =
                PoisonSoak(static_cast<std::uint64_t>(seed), static_cast<std::size_t>(nodes),
                           {doServersNameLimits != 0, isPlatformVaried != 0, areAnswersVaried != 0,
                            areCallsVaried != 0})
                        .run();
        failed += report.violation.empty() ? 0 : 1;
        served += report.served;
        refused += report.refusedAsPoisonous;
        std::printf(
                "seed %lld: crashes %zu, late arrivals %zu, harmless requests served %u, "
                "refused as poisonous %u, by a part: crashes %zu, late arrivals %zu, begun %u of "
                "%u before and %u of %u after, digest %016llx%s%s\n",
                seed, report.crashes, report.lateArrivals, report.served, report.refusedAsPoisonous,
                report.partCrashes, report.latePartArrivals, report.soundBefore.begun,
                report.soundBefore.sent, report.soundAfter.begun, report.soundAfter.sent,
                static_cast<unsigned long long>(report.digest),
                report.violation.empty() ? "" : ": ", report.violation.c_str());
    }
    std::printf("harmless requests served %llu, refused as poisonous %llu\n", served, refused);
    std::printf("%lld passed, %lld failed\n", seeds - failed, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
