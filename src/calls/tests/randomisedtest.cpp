#include <string>

#include "calls/tests/randomisedrun.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

// Sanitizers make a run about twenty times slower, and a few runs suffice to find memory errors.
#ifdef __SANITIZE_ADDRESS__
static constexpr std::uint64_t FixedSeeds = 5;
static constexpr std::uint64_t DefectSeeds = 2;
#else
static constexpr std::uint64_t FixedSeeds = 50;
static constexpr std::uint64_t DefectSeeds = 10;
#endif

TEST_GROUP(Randomised){};

TEST(Randomised, fixedSeedsCauseNoViolation)
{
    RunReport total;
    for (std::uint64_t seed = 1; seed <= FixedSeeds; ++seed) {
        const RunReport report = RandomisedRun(seed, false).run();
        for (const std::string &violation : report.violations)
            FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
        total.add(report);
    }
    // The test is meaningful only if the runs have injected enough faults and conflicts.
    CHECK(total.faults.size() >= 12);
    CHECK(total.pairs.size() >= 30);
    CHECK(total.counts["duplicates"] > 0);
    CHECK(total.counts["claims lost to a result"] > 0);
    CHECK(total.counts["resumes of a generation"] > 0);
    CHECK(total.counts["resumes by token"] > 0);
    CHECK(total.counts["answers dropped"] > 0);
    CHECK(total.faults["control-calls-fail"] > 0);
}

TEST(Randomised, sendBeforeClaimReadBackIsDetected)
{
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= DefectSeeds; ++seed) {
        for (const std::string &violation : RandomisedRun(seed, true).run().violations)
            found += violation.find("times") != std::string::npos ? 1 : 0;
    }
    CHECK(found > 0);
}
