#include "routing/prefixindex.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

TEST_GROUP(PrefixIndex)
{
    PrefixIndex index{10};
    TargetId first{"engine-1"};
    TargetId second{"engine-2"};
    RoutingRequest request;

    void setup() override
    {
        request.promptTokens = 400;
        request.prefixHashes = {11, 12, 13, 14};
    }
};

TEST(PrefixIndex, longestKnownPrefixCountsDespiteMissingBlocks)
{
    index.onEvent(first, 11, true);
    index.onEvent(first, 13, true);
    index.onEvent(second, 11, true);
    CHECK_EQUAL(300U, index.cachedTokens(request, first));
    CHECK_EQUAL(100U, index.cachedTokens(request, second));
}

TEST(PrefixIndex, evictedBlocksAndRemovedTargetsAreDiscarded)
{
    index.onEvent(first, 12, true);
    index.onEvent(second, 12, true);
    index.onEvent(first, 12, false);
    CHECK_EQUAL(0U, index.cachedTokens(request, first));
    CHECK_EQUAL(200U, index.cachedTokens(request, second));
    index.onTargetGone(second);
    CHECK_EQUAL(0U, index.cachedTokens(request, second));
    CHECK_EQUAL(0U, index.size());
}

TEST(PrefixIndex, stateIsBounded)
{
    for (std::uint64_t hash = 0; hash < 1000; ++hash)
        index.onEvent(first, hash, true);
    CHECK_EQUAL(10U, index.size());
}
