#include <set>
#include <string>

#include "base/json.h"
#include "membership/bytebudget.h"
#include "membership/membertable.h"
#include "membership/zonelinks.h"
#include "testing/memberfleet.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(Membership)
{
    MemberFleet::Options options;

    MemberState stateAt(MemberFleet & fleet, const VmId &observer, const VmId &vm)
    {
        for (const Member &member : fleet.node(observer).membership->members()) {
            if (member.vm == vm)
                return member.state;
        }
        return MemberState::Dead;
    }
};

TEST(Membership, nodesFindEachOtherFromSeeds)
{
    MemberFleet fleet(options);
    fleet.advance(15s);
    CHECK(fleet.isConverged());
}

TEST(Membership, deathIsDetectedAndLeaveIsKnownImmediately)
{
    MemberFleet fleet(options);
    fleet.advance(15s);
    const VmId observer = fleet.anyOf("zone-1");
    const VmId left("vm-4");
    const VmId killed("vm-7");
    CHECK(fleet.node(left).zone == fleet.node(observer).zone);
    fleet.leave(left);
    fleet.advance(100ms);
    CHECK(stateAt(fleet, observer, left) == MemberState::Left);
    fleet.kill(killed);
    fleet.advance(20s);
    CHECK(stateAt(fleet, observer, killed) == MemberState::Dead);
    CHECK(fleet.isConverged());
}

TEST(Membership, pausedNodeRefutesItsDeath)
{
    MemberFleet fleet(options);
    fleet.advance(15s);
    const VmId observer = fleet.anyOf("zone-1");
    const VmId paused("vm-4");
    fleet.pause(paused, 15s);
    fleet.advance(14s);
    CHECK(stateAt(fleet, observer, paused) == MemberState::Dead);
    fleet.advance(15s);
    CHECK(fleet.isConverged());
}

TEST(Membership, pausedNodeDoesNotDeclareOthersDead)
{
    MemberFleet fleet(options);
    fleet.advance(15s);
    std::size_t falseDeaths = 0;
    const VmId paused("vm-4");
    fleet.pause(paused, 30s);
    fleet.advance(29s);
    fleet.observeChanges([&](const MemberFleet::Node &, const Member &member) {
        if (member.vm != paused && member.state == MemberState::Dead)
            ++falseDeaths;
    });
    fleet.advance(20s);
    CHECK_EQUAL(0U, falseDeaths);
}

TEST(Membership, partitionedZoneKeepsOwnMembersAndRejoins)
{
    MemberFleet fleet(options);
    fleet.advance(15s);
    fleet.cut("zone-2");
    fleet.advance(30s);
    const VmId inside = fleet.anyOf("zone-2");
    const VmId outside = fleet.anyOf("zone-1");
    CHECK_EQUAL(4U, fleet.node(inside).membership->aliveMembersInZone("zone-2").size());
    CHECK_EQUAL(0U, fleet.node(inside).membership->aliveMembersInZone("zone-1").size());
    CHECK_EQUAL(0U, fleet.node(outside).membership->aliveMembersInZone("zone-2").size());
    CHECK_EQUAL(4U, fleet.node(outside).membership->aliveMembersInZone("zone-3").size());
    fleet.heal();
    fleet.advance(20s);
    CHECK(fleet.isConverged());
}

TEST(Membership, factsAreDeliveredOnceAndZoneFactsStayInZone)
{
    MemberFleet fleet(options);
    fleet.advance(15s);
    const VmId origin = fleet.anyOf("zone-1");
    Json::Value fact(Json::objectValue);
    fact["x"] = 1;
    fleet.node(origin).membership->disseminate("wide", fact, true);
    fleet.node(origin).membership->disseminate("narrow", fact, false);
    fleet.advance(10s);
    for (const auto &[vm, node] : fleet.nodes()) {
        const bool isOrigin = vm == origin;
        CHECK_EQUAL(isOrigin ? 0U : 1U, node->facts["wide"]);
        CHECK_EQUAL(!isOrigin && node->zone == "zone-1" ? 1U : 0U, node->facts["narrow"]);
    }
}

TEST(Membership, rollingReplacementConverges)
{
    MemberFleet fleet(options);
    fleet.advance(15s);
    const std::size_t count = fleet.nodes().size();
    for (std::size_t i = 0; i < count; ++i) {
        const VmId old("vm-" + std::to_string(i + 1));
        fleet.add(fleet.node(old).zone);
        fleet.advance(3s);
        if (i % 2 == 0)
            fleet.leave(old);
        else
            fleet.kill(old);
    }
    fleet.advance(30s);
    CHECK_EQUAL(count, fleet.nodes().size());
    CHECK(fleet.isConverged());
}

TEST(Membership, sentBytesStayUnderCap)
{
    options.bytesPerSecond = 300;
    MemberFleet fleet(options);
    // Four seconds of the rate, and one message of maximum size.
    constexpr std::size_t Burst = 4 * 300 + 4000;
    for (int second = 10; second <= 60; second += 10) {
        fleet.advance(10s);
        for (const auto &[vm, node] : fleet.nodes())
            CHECK(node->membership->bytesSent()
                  <= 300 * static_cast<std::uint64_t>(second) + Burst);
    }
}

TEST(Membership, malformedMessagesAreCountedAndIgnored)
{
    MemberFleet fleet(options);
    fleet.advance(15s);
    Membership &membership = *fleet.node(VmId("vm-1")).membership;
    std::uint64_t refused = membership.messagesRejected();
    for (const char *text :
         {"[]", "{}", R"({"t":"?","f":"vm-2","i":1,"v":0,"h":1})",
          R"({"t":"p","f":"vm-1","i":1,"v":0,"h":1})", R"({"t":"p","f":"vm-2","i":1,"v":0})",
          R"({"t":"p","f":"vm-2","i":1,"v":0,"h":1,"n":"1"})",
          R"({"t":"q","f":"vm-2","i":1,"v":0,"h":1,"n":1})",
          R"({"t":"p","f":"vm-2","i":1,"v":0,"h":1,"u":[["vm-3",1,9]]})",
          R"({"t":"p","f":"vm-2","i":1,"v":0,"h":1,"u":[["vm-3",1,0,"z","host:1",0]]})",
          R"({"t":"p","f":"vm-2","i":1,"v":0,"h":1,"b":[["z",-1]]})",
          R"({"t":"p","f":"vm-2","i":1,"v":0,"h":1,"x":[[1,"k",1]]})",
          R"({"t":"s","f":"vm-2","i":1,"v":0,"h":1,"w":[7]})"}) {
        membership.onMessage(*parseJson(text));
        ++refused;
        CHECK_EQUAL(refused, membership.messagesRejected());
    }
    fleet.advance(5s);
    CHECK(fleet.isConverged());
}

TEST(Membership, removedMemberMovesOnlyItsOwnKeys)
{
    std::vector<Member> members;
    for (int i = 0; i < 12; ++i)
        members.push_back({VmId("vm-" + std::to_string(i)), "a", {}, 1, MemberState::Alive, 0, {}});
    std::vector<Member> fewer(members.begin(), members.end() - 1);
    int moved = 0;
    constexpr int Keys = 1000;
    for (int key = 0; key < Keys; ++key) {
        const std::string name = "key-" + std::to_string(key);
        const VmId before = rendezvousMembers(members, name, 1)[0].vm;
        const VmId after = rendezvousMembers(fewer, name, 1)[0].vm;
        if (before != after) {
            ++moved;
            CHECK(before == members.back().vm);
        }
    }
    CHECK(moved > Keys / 24 && moved < Keys / 6);
}

TEST_GROUP(MemberTable)
{
    MemberTable table;

    MemberUpdate update(Incarnation incarnation, MemberState state, bool isFull = true)
    {
        MemberUpdate update;
        update.vm = VmId("vm-1");
        update.incarnation = incarnation;
        update.state = state;
        update.isFull = isFull;
        update.zone = "a";
        update.endpoint = {"10.0.0.1", 1};
        return update;
    }
};

TEST(MemberTable, higherIncarnationOrStatePrecedenceSupersedes)
{
    CHECK(!table.apply(update(1, MemberState::Suspected, false), {}));
    CHECK(table.apply(update(1, MemberState::Alive), {}));
    CHECK(table.apply(update(1, MemberState::Suspected, false), {}));
    CHECK(!table.apply(update(1, MemberState::Alive), {}));
    CHECK(table.apply(update(2, MemberState::Alive), {}));
    CHECK(table.apply(update(2, MemberState::Dead, false), {}));
    CHECK(!table.apply(update(2, MemberState::Suspected, false), {}));
    CHECK(!table.apply(update(1, MemberState::Dead, false), {}));
}

TEST(MemberTable, hashCoversOnlyPresentMembers)
{
    const std::uint32_t empty = table.hash();
    table.apply(update(1, MemberState::Alive), {});
    const std::uint32_t alive = table.hash();
    CHECK(alive != empty);
    table.apply(update(1, MemberState::Suspected, false), {});
    CHECK_EQUAL(alive, table.hash());
    table.apply(update(1, MemberState::Dead, false), {});
    CHECK_EQUAL(empty, table.hash());
}

TEST_GROUP(ZoneLinks){};

TEST(ZoneLinks, reachableZonesAreConnectedWithinSixHops)
{
    std::vector<std::string> zones;
    for (char c = 'a'; c < 'a' + 26; ++c)
        zones.emplace_back(1, c);
    const std::set<std::string> unreachable{"b", "c", "e", "i", "q"};
    const auto isReachable = [&](const std::string &zone) { return unreachable.count(zone) == 0; };
    std::set<std::string> reached{"a"};
    for (int hop = 0; hop < 6; ++hop) {
        for (const std::string &from : std::set<std::string>(reached)) {
            for (const std::string &to : linkedZones(zones, from, isReachable)) {
                if (isReachable(to))
                    reached.insert(to);
            }
        }
    }
    CHECK_EQUAL(zones.size() - unreachable.size(), reached.size());
}
