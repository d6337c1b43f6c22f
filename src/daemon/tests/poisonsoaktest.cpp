#include "daemon/tests/poisonsoak.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

TEST_GROUP(PoisonSoak){};

// More seeds by hand: utils/poisonsoak.sh --first-seed N --seeds M.
TEST(PoisonSoak, boundsHoldUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const PoisonSoak::Report report = PoisonSoak(seed).run();
        STRCMP_EQUAL("", report.violation.c_str());
    }
}
