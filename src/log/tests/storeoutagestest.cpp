#include "log/storeoutages.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(StoreOutages)
{
    StoreOutages outages;

    static TimePoint at(Duration time)
    {
        return TimePoint(100s + time);
    }
};

TEST(StoreOutages, aTimeThatIsTooShortIsNone)
{
    CHECK(!outages.isOutage(at(0ms), at(999ms)));
    CHECK(outages.isOutage(at(0ms), at(1000ms)));
}

TEST(StoreOutages, aStoreThatAnswersMeanwhileIsAvailable)
{
    outages.onProof(at(500ms), at(1500ms));
    CHECK(!outages.isOutage(at(0ms), at(3s)));
    // The read was sent before, or answered after.
    CHECK(outages.isOutage(at(600ms), at(3s)));
    CHECK(outages.isOutage(at(-4s), at(400ms)));
}

// Guards against an outage that is passed over as this node was able to read earlier than its peer.
TEST(StoreOutages, nodesNoticeTheEndAtDifferentTimes)
{
    outages.onProof(at(2s), at(2s));
    CHECK(outages.isOutage(at(0ms), at(2900ms)));
    CHECK(!outages.isOutage(at(0ms), at(3s)));
}

TEST(StoreOutages, laterProofsSayNothingOfAnEarlierTime)
{
    for (int i = 0; i < 100; ++i)
        outages.onProof(at(5s + i * 750ms), at(6s + i * 750ms));
    CHECK(outages.isOutage(at(0ms), at(4s)));
}
