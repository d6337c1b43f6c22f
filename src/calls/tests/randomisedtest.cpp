#include <string>

#include "calls/tests/randomisedrun.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

TEST_GROUP(Randomised){};

TEST(Randomised, fixedSeedsBreakNoPromise)
{
    constexpr std::uint64_t Seeds = 50;
    RunReport total;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const RunReport report = RandomisedRun(seed, false).run();
        for (const std::string &violation : report.violations)
            FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
        total.add(report);
    }
    // A run that provoked nothing would prove nothing.
    CHECK(total.faults.size() >= 12);
    CHECK(total.pairs.size() >= 30);
    CHECK(total.counts["duplicates"] > 0);
    CHECK(total.counts["claims lost to a result"] > 0);
    CHECK(total.counts["resumes of a generation"] > 0);
    CHECK(total.counts["resumes by token"] > 0);
    CHECK(total.counts["answers dropped"] > 0);
}

TEST(Randomised, findsSendingBeforeTheClaimIsReadBack)
{
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const std::string &violation : RandomisedRun(seed, true).run().violations)
            found += violation.find("times") != std::string::npos ? 1 : 0;
    }
    CHECK(found > 0);
}
