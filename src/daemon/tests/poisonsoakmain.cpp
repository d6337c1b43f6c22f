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
    const poptOption options[] = {
            {"first-seed", 0, POPT_ARG_LONGLONG, &firstSeed, 0, "first seed to run", "N"},
            {"seeds", 0, POPT_ARG_LONGLONG, &seeds, 0, "number of seeds", "M"},
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
        const PoisonSoak::Report report = PoisonSoak(static_cast<std::uint64_t>(seed)).run();
        failed += report.violation.empty() ? 0 : 1;
        served += report.served;
        refused += report.refusedAsPoisonous;
        std::printf("seed %lld: crashes %zu, late arrivals %zu, harmless requests served %u, "
                    "refused as poisonous %u, digest %016llx%s%s\n",
                    seed, report.crashes, report.lateArrivals, report.served,
                    report.refusedAsPoisonous, static_cast<unsigned long long>(report.digest),
                    report.violation.empty() ? "" : ": ", report.violation.c_str());
    }
    std::printf("harmless requests served %llu, refused as poisonous %llu\n", served, refused);
    std::printf("%lld passed, %lld failed\n", seeds - failed, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
