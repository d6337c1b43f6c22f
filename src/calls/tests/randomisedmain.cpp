#include <cstdio>
#include <cstdlib>

#include <popt.h>

#include "calls/tests/randomisedrun.h"

using namespace currantwalk;

static void print(const char *title, const std::map<std::string, std::uint64_t> &counts)
{
    std::printf("%s\n", title);
    for (const auto &[name, count] : counts)
        std::printf("  %-48s %llu\n", name.c_str(), static_cast<unsigned long long>(count));
}

// Runs a range of seeds; the last line is 'N passed, N failed'.
int main(int argc, const char **argv)
{
    long long firstSeed = 1;
    long long seeds = 50;
    int hasDefect = 0;
    const poptOption options[] = {
            {"first-seed", 0, POPT_ARG_LONGLONG, &firstSeed, 0, "first seed to run", "N"},
            {"seeds", 0, POPT_ARG_LONGLONG, &seeds, 0, "number of seeds", "M"},
            {"defect", 0, POPT_ARG_NONE, &hasDefect, 0, "send before the claim is read back",
             nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("callsrandomised", argc, argv, options, 0);
    const int result = poptGetNextOpt(context);
    poptFreeContext(context);
    if (result < -1) {
        std::fprintf(stderr, "callsrandomised: %s\n", poptStrerror(result));
        return EXIT_FAILURE;
    }
    RunReport total;
    long long failed = 0;
    for (long long seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        const RunReport report = RandomisedRun(static_cast<std::uint64_t>(seed), hasDefect).run();
        failed += report.violations.empty() ? 0 : 1;
        for (const std::string &violation : report.violations)
            std::printf("seed %lld: %s\n", seed, violation.c_str());
        total.add(report);
    }
    print("faults", total.faults);
    std::printf("pairs of faults: %zu\n", total.pairs.size());
    print("counts", total.counts);
    std::printf("%lld passed, %lld failed\n", seeds - failed, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
