#include <set>
#include <string>

#include "membership/readerselector.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

/// The view of one node of each zone; all have the same directory.
TEST_GROUP(ReaderSelector)
{
    static constexpr TimePoint Now = TimePoint(100s);

    NodeDirectory directory{{}, VmId("outside")};

    void setup() override
    {
        for (const char *zone : {"x", "y", "z"}) {
            for (int i = 0; i < 40; ++i)
                add(vm(zone, i), zone, 1);
        }
    }

    static std::string vm(const char *zone, int index)
    {
        return std::string(zone) + std::to_string(index);
    }

    void add(const std::string &name, const char *zone, Incarnation incarnation)
    {
        directory.update(VmId(name), {{"10.0.0.1", 7200}, ZoneName(zone), incarnation});
    }

    // Returns the node's selector; the directory counts the node itself as a peer of "outside".
    ReaderSelector of(const std::string &name, const char *zone)
    {
        return ReaderSelector({}, VmId(name), ZoneName(zone), directory);
    }

    std::string firstOf(const char *zone)
    {
        for (int i = 0; i < 40; ++i) {
            if (of(vm(zone, i), zone).isReader(Now))
                return vm(zone, i);
        }
        return "";
    }
};

TEST(ReaderSelector, allNodesOfAZoneAskTheSameNode)
{
    for (const char *zone : {"x", "y", "z"}) {
        std::set<std::string> asked;
        std::set<std::string> readers;
        for (int i = 0; i < 40; ++i) {
            const auto peers = of(vm(zone, i), zone).peersToAsk(Now);
            if (peers.empty())
                readers.insert(vm(zone, i));
            else
                asked.insert(peers.front().vm.text());
        }
        LONGS_EQUAL(1, readers.size());
        CHECK(readers == asked);
    }
}

TEST(ReaderSelector, nextNodeIsAskedIfTheFirstFails)
{
    const std::string first = firstOf("x");
    const std::string other = first == "x0" ? "x1" : "x0";
    ReaderSelector selector = of(other, "x");
    const auto peers = selector.peersToAsk(Now);
    STRCMP_EQUAL(first.c_str(), peers.front().vm.text().c_str());
    selector.onFailure(peers.front(), Now);
    const auto next = selector.peersToAsk(Now);
    CHECK(next.empty() || next.front().vm.text() != first);
    CHECK(selector.peersToAsk(Now + 2s).front().vm.text() == first);
}

// Records of killed nodes stay in the store.
TEST(ReaderSelector, nodeThatKeepsFailingIsAskedMoreRarely)
{
    const std::string first = firstOf("x");
    ReaderSelector selector = of(first == "x0" ? "x1" : "x0", "x");
    TimePoint now = Now;
    int asked = 0;
    for (; now < Now + 60s; now += 100ms) {
        const auto peers = selector.peersToAsk(now);
        if (peers.empty() || peers.front().vm.text() != first)
            continue;
        ++asked;
        selector.onFailure(peers.front(), now);
    }
    CHECK(asked <= 6);
}

TEST(ReaderSelector, nodeThatStartedAgainIsAskedAtOnce)
{
    const std::string first = firstOf("x");
    ReaderSelector selector = of(first == "x0" ? "x1" : "x0", "x");
    selector.onFailure(selector.peersToAsk(Now).front(), Now);
    add(first, "x", 2);
    STRCMP_EQUAL(first.c_str(), selector.peersToAsk(Now).front().vm.text().c_str());
}

TEST(ReaderSelector, nodeThatIsAskedReadsTheStore)
{
    const std::string first = firstOf("x");
    ReaderSelector selector = of(first == "x0" ? "x1" : "x0", "x");
    CHECK(!selector.isReader(Now));
    selector.onAsked(Now);
    CHECK(selector.isReader(Now + 2s));
    CHECK(!selector.isReader(Now + 4s));
    // Its loads still go to the first node.
    CHECK(selector.firstBefore(Now).has_value());
}

TEST(ReaderSelector, otherZonesHaveOneReaderEach)
{
    const auto readers = of("x0", "x").readersOfOtherZones(Now);
    LONGS_EQUAL(2, readers.size());
    STRCMP_EQUAL(firstOf("y").c_str(), readers[0].vm.text().c_str());
    STRCMP_EQUAL(firstOf("z").c_str(), readers[1].vm.text().c_str());
}
