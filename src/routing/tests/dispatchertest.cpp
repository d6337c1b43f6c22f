#include <memory>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "routing/dispatcher.h"
#include "routing/zonepolicy.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

namespace {

/// Places requests while slots are free and holds them otherwise.
struct SlotPolicy : RoutingPolicy
{
    RoutingDecision decide(const RoutingRequest &, const std::vector<const Target *> &candidates,
                           TimePoint) override
    {
        RoutingDecision decision;
        decision.verdict = isShedding  ? RoutingVerdict::Shed
                           : slots > 0 ? RoutingVerdict::Place
                                       : RoutingVerdict::Hold;
        if (candidates.empty())
            decision.verdict = RoutingVerdict::Hold;
        else
            decision.target = candidates.front()->id;
        return decision;
    }
    void onPlaced(const RoutingRequest &, const TargetId &, TimePoint) override { --slots; }
    void onToken(const RequestId &, std::uint32_t, TimePoint) override {}
    void onReleased(const RequestId &, bool, std::uint32_t, TimePoint) override { ++slots; }
    void onLoad(const Target &, TimePoint) override {}
    void onCacheEvent(const TargetId &, std::uint64_t, bool) override {}
    void onTargetGone(const TargetId &) override {}
    void onNodeCount(std::uint32_t) override {}

    int slots = 0;
    bool isShedding = false;
};

} // namespace

TEST_GROUP(Dispatcher)
{
    VirtualTimerService timers;
    SlotPolicy policy;
    Target target;
    bool hasTarget = true;
    Dispatcher dispatcher{policy,
                          [this](const RoutingRequest &) {
                              return hasTarget ? std::vector<const Target *>{&target}
                                               : std::vector<const Target *>{};
                          },
                          timers};
    std::vector<std::string> order;
    std::vector<PlacementResult> placements;

    void setup() override
    {
        target.id = TargetId("e1");
    }

    TicketId submit(const std::string &name, std::uint32_t rank)
    {
        RoutingRequest request;
        request.id = RequestId(name);
        request.priorityRank = rank;
        request.arrivedAt = timers.now();
        request.holdDeadline = timers.now() + 10s;
        return dispatcher.submit(std::move(request),
                                 [this, name](const PlacementResult &placement) {
                                     order.push_back(name);
                                     placements.push_back(placement);
                                 });
    }
};

TEST(Dispatcher, requestsAreServedByPriorityThenArrival)
{
    submit("first-low", 2);
    submit("second-low", 2);
    submit("high", 0);
    timers.advance(100ms);
    CHECK(order.empty());
    policy.slots = 2;
    dispatcher.onCapacityChange();
    timers.advance(100ms);
    CHECK((order == std::vector<std::string>{"high", "first-low"}));
    CHECK_EQUAL(1U, dispatcher.waitingCount());
}

TEST(Dispatcher, requestIsRefusedAfterItsHoldDeadline)
{
    submit("a", 0);
    timers.advance(11s);
    CHECK_EQUAL(1U, placements.size());
    CHECK(errorCode(placements[0].status) == ErrorCode::Overloaded);
    CHECK(placements[0].retryAfter > 0s);
}

TEST(Dispatcher, shedRequestIsRefusedAtOnce)
{
    policy.isShedding = true;
    submit("a", 0);
    timers.advance(0s);
    CHECK_EQUAL(1U, placements.size());
    CHECK(errorCode(placements[0].status) == ErrorCode::Overloaded);
}

TEST(Dispatcher, requestWaitsForATarget)
{
    hasTarget = false;
    policy.slots = 1;
    submit("a", 0);
    timers.advance(3s);
    CHECK(placements.empty());
    hasTarget = true;
    dispatcher.onCapacityChange();
    timers.advance(1s);
    CHECK_EQUAL(1U, placements.size());
    CHECK(placements[0].status.ok());
}

TEST(Dispatcher, cancelledRequestGetsNoCallback)
{
    dispatcher.cancel(submit("a", 0));
    policy.slots = 1;
    timers.advance(20s);
    CHECK(placements.empty());
    CHECK_EQUAL(0U, dispatcher.waitingCount());
}

TEST(Dispatcher, placementCancelledBeforeItsCallbackIsReleased)
{
    policy.slots = 1;
    const TicketId ticket = submit("a", 0);
    CHECK_EQUAL(0, policy.slots);
    dispatcher.cancel(ticket);
    CHECK_EQUAL(1, policy.slots);
    timers.advance(1s);
    CHECK(placements.empty());
}

TEST_GROUP(ZonePolicy)
{
    /// Has a free slot only for targets in `zone`.
    struct SingleZonePolicy : SlotPolicy
    {
        RoutingDecision decide(const RoutingRequest &request,
                               const std::vector<const Target *> &candidates,
                               TimePoint now) override
        {
            slots = candidates.front()->zone == zone ? 1 : 0;
            return SlotPolicy::decide(request, candidates, now);
        }
        std::string zone;
    };

    Target local;
    Target remote;
    SingleZonePolicy *inner = new SingleZonePolicy;
    std::unique_ptr<RoutingPolicy> policy =
            createZonePolicy(std::unique_ptr<RoutingPolicy>(inner), "a");

    void setup() override
    {
        local.id = TargetId("local");
        local.zone = "a";
        remote.id = TargetId("remote");
        remote.zone = "b";
    }

    RoutingDecision decide(const std::vector<const Target *> &candidates,
                           const RoutingRequest &request = {})
    {
        return policy->decide(request, candidates, TimePoint());
    }
};

TEST(ZonePolicy, otherZoneIsUsedOnlyIfOwnZoneIsFull)
{
    inner->zone = "a";
    STRCMP_EQUAL("local", decide({&remote, &local}).target.text().c_str());
    inner->zone = "b";
    STRCMP_EQUAL("remote", decide({&remote, &local}).target.text().c_str());
    inner->zone = "c";
    CHECK(decide({&remote, &local}).verdict == RoutingVerdict::Hold);
}

TEST(ZonePolicy, requestWithoutCandidatesIsShedOnlyIfItExcludesTargets)
{
    CHECK(decide({}).verdict == RoutingVerdict::Hold);
    RoutingRequest request;
    request.excludedTargets = {TargetId("local")};
    CHECK(decide({}, request).verdict == RoutingVerdict::Shed);
}
