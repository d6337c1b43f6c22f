#include "membership/nodedirectory.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static NodeRecord entry(const char *zone, Incarnation incarnation = 1)
{
    return {{"10.0.0.1", 7200}, ZoneName(zone), incarnation};
}

TEST_GROUP(NodeDirectory)
{
    NodeDirectory directory{{}, VmId("self")};
};

TEST(NodeDirectory, recordsRoundTripAndMalformedOnesAreRejected)
{
    const absl::StatusOr<NodeRecord> read = decodeNodeRecord(encodeNodeRecord(entry("z", 7)));
    CHECK(read.ok());
    CHECK(*read == entry("z", 7));
    CHECK(!decodeNodeRecord("").ok());
    CHECK(!decodeNodeRecord("{}").ok());
    CHECK(!decodeNodeRecord(R"({"peers":"x","zone":"z","incarnation":1})").ok());
}

TEST(NodeDirectory, listsOtherNodesOfZone)
{
    directory.update(VmId("self"), entry("z"));
    directory.update(VmId("a"), entry("z"));
    directory.update(VmId("b"), entry("y"));
    LONGS_EQUAL(1, directory.availablePeersIn(ZoneName("z"), {}).size());
    LONGS_EQUAL(3, directory.size());
    LONGS_EQUAL(2, directory.zones().size());
    directory.remove(VmId("b"));
    LONGS_EQUAL(2, directory.size());
}

TEST(NodeDirectory, unlistedNodeCountsItself)
{
    LONGS_EQUAL(1, directory.size());
    directory.update(VmId("a"), entry("z"));
    LONGS_EQUAL(2, directory.size());
}

TEST(NodeDirectory, failedPeerIsSkippedUntilBackoffEndsOrItRestarts)
{
    directory.update(VmId("a"), entry("z"));
    directory.onFailure(VmId("a"), TimePoint(1s));
    LONGS_EQUAL(0, directory.availablePeersIn(ZoneName("z"), TimePoint(2s)).size());
    LONGS_EQUAL(1, directory.availablePeersIn(ZoneName("z"), TimePoint(3s)).size());
    directory.onFailure(VmId("a"), TimePoint(4s));
    directory.update(VmId("a"), entry("z"));
    LONGS_EQUAL(0, directory.availablePeersIn(ZoneName("z"), TimePoint(5s)).size());
    directory.update(VmId("a"), entry("z", 2));
    LONGS_EQUAL(1, directory.availablePeersIn(ZoneName("z"), TimePoint(5s)).size());
}
