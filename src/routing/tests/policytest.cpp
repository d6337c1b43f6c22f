#include <algorithm>
#include <map>
#include <numeric>
#include <string>

#include "routing/baselines.h"
#include "routing/policy.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(RoutingPolicy)
{
    std::vector<Target> targets;
    std::vector<const Target *> candidates;

    void makeTargets(std::size_t count, TargetKind kind = TargetKind::Engine)
    {
        targets.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            targets[i].id = TargetId("engine-" + std::to_string(i));
            targets[i].kind = kind;
            targets[i].load.capacityTokens = kind == TargetKind::Engine ? 50000 : 0;
            candidates.push_back(&targets[i]);
        }
    }

    static RoutingRequest request(int number)
    {
        RoutingRequest result;
        result.id = RequestId("r" + std::to_string(number));
        result.service = "plans";
        result.organisation = "depot";
        result.promptTokens = 500;
        result.holdDeadline = TimePoint(60s);
        return result;
    }

    std::map<std::string, int> placeMany(RoutingPolicy & policy, int count)
    {
        std::map<std::string, int> places;
        for (int i = 0; i < count; ++i) {
            const RoutingDecision decision = policy.decide(request(i), candidates, TimePoint());
            CHECK(decision.verdict == RoutingVerdict::Place);
            policy.onPlaced(request(i), decision.target, TimePoint());
            ++places[decision.target.text()];
        }
        return places;
    }
};

TEST(RoutingPolicy, everyKnownNameCreatesAPolicyThatPlaces)
{
    makeTargets(3);
    for (const std::string_view name : routingPolicyNames()) {
        const std::unique_ptr<RoutingPolicy> policy = createRoutingPolicy(name, 1);
        CHECK(policy->decide(request(1), candidates, TimePoint()).verdict == RoutingVerdict::Place);
    }
    CHECK(createRoutingPolicy("unheard-of", 1) == nullptr);
}

TEST(RoutingPolicy, excludedTargetIsNeverChosen)
{
    makeTargets(2);
    for (const std::string_view name : routingPolicyNames()) {
        const std::unique_ptr<RoutingPolicy> policy = createRoutingPolicy(name, 1);
        RoutingRequest excluding = request(1);
        excluding.excludedTargets.push_back(targets[0].id);
        for (int i = 0; i < 20; ++i)
            CHECK(policy->decide(excluding, candidates, TimePoint()).target == targets[1].id);
        excluding.excludedTargets.push_back(targets[1].id);
        CHECK(policy->decide(excluding, candidates, TimePoint()).verdict == RoutingVerdict::Hold);
    }
}

TEST(RoutingPolicy, suspectRequestRunsAloneOnItsTarget)
{
    makeTargets(2);
    targets[0].load.running = 1;
    for (const std::string_view name : routingPolicyNames()) {
        const std::unique_ptr<RoutingPolicy> policy = createRoutingPolicy(name, 1);
        RoutingRequest suspect = request(1);
        suspect.isSuspect = true;
        const RoutingDecision first = policy->decide(suspect, candidates, TimePoint());
        CHECK(first.target == targets[1].id);
        policy->onPlaced(suspect, first.target, TimePoint());
        for (int i = 2; i < 20; ++i)
            CHECK(policy->decide(request(i), candidates, TimePoint()).target == targets[0].id);
        RoutingRequest second = suspect;
        second.id = RequestId("other");
        CHECK(policy->decide(second, candidates, TimePoint()).verdict == RoutingVerdict::Hold);
    }
}

TEST(RoutingPolicy, plainCallsPreferTargetsWithFewerCallsInFlight)
{
    makeTargets(2, TargetKind::Plain);
    const std::unique_ptr<RoutingPolicy> policy = createRoutingPolicy("project", 1);
    for (int i = 0; i < 8; ++i)
        policy->onPlaced(request(i), targets[0].id, TimePoint());
    std::map<std::string, int> places;
    for (int i = 100; i < 200; ++i)
        ++places[policy->decide(request(i), candidates, TimePoint()).target.text()];
    CHECK(places["engine-1"] > places["engine-0"]);
    for (int i = 0; i < 8; ++i)
        policy->onReleased(request(i).id, true, 0, TimePoint());
    policy->onPlaced(request(9), targets[1].id, TimePoint());
    places.clear();
    for (int i = 100; i < 200; ++i)
        ++places[policy->decide(request(i), candidates, TimePoint()).target.text()];
    CHECK(places["engine-0"] > places["engine-1"]);
}

TEST(RoutingPolicy, roundRobinAndBilliardSpreadEvenly)
{
    makeTargets(4);
    for (const char *name : {"round-robin", "billiard"}) {
        const std::unique_ptr<RoutingPolicy> policy = createRoutingPolicy(name, 3);
        for (const auto &[target, count] : placeMany(*policy, 400))
            CHECK_EQUAL(100, count);
    }
}

TEST(RoutingPolicy, billiardFavoursLargerTargets)
{
    makeTargets(2);
    targets[0].load.capacityTokens = 150000;
    const std::unique_ptr<RoutingPolicy> policy = createRoutingPolicy("billiard", 3);
    std::map<std::string, int> places = placeMany(*policy, 400);
    CHECK(places["engine-0"] >= 300);
    CHECK(places["engine-1"] >= 40);
}

TEST(RoutingPolicy, squareRootSharesSumToOneAndDropSlowTargets)
{
    const std::vector<double> shares = squareRootShares({100, 100, 1}, 0.3);
    DOUBLES_EQUAL(1.0, std::accumulate(shares.begin(), shares.end(), 0.0), 1e-9);
    DOUBLES_EQUAL(0.5, shares[0], 1e-9);
    DOUBLES_EQUAL(0.0, shares[2], 1e-9);
}

TEST(RoutingPolicy, leastReportedChoosesTheLowestLoad)
{
    makeTargets(3);
    targets[0].load.usedTokens = 20000;
    targets[1].load.usedTokens = 10000;
    targets[2].load.usedTokens = 30000;
    const std::unique_ptr<RoutingPolicy> policy = createRoutingPolicy("least-reported", 1);
    CHECK(policy->decide(request(1), candidates, TimePoint()).target == targets[1].id);
}

TEST(RoutingPolicy, twoChoicesPlacesLessOnTheMostLoadedTarget)
{
    makeTargets(3);
    targets[2].load.usedTokens = 30000;
    const std::unique_ptr<RoutingPolicy> policy = createRoutingPolicy("two-choices", 1);
    std::map<std::string, int> places = placeMany(*policy, 900);
    CHECK(places["engine-2"] < places["engine-0"] / 2);
}

TEST(RoutingPolicy, projectHoldsWhileNoEngineHasRoom)
{
    makeTargets(2);
    for (Target &target : targets) {
        target.load.usedTokens = 49000;
        target.load.running = 20;
    }
    const std::unique_ptr<RoutingPolicy> policy = createRoutingPolicy("project", 1);
    for (const Target &target : targets)
        policy->onLoad(target, TimePoint());
    const RoutingDecision held = policy->decide(request(1), candidates, TimePoint());
    CHECK(held.verdict == RoutingVerdict::Hold);
    CHECK(held.retryAt > TimePoint());
    targets[1].load.usedTokens = 5000;
    targets[1].load.running = 2;
    targets[1].load.reportedAt = TimePoint(1s);
    policy->onLoad(targets[1], TimePoint(1s));
    CHECK(policy->decide(request(1), candidates, TimePoint(1s)).target == targets[1].id);
}

TEST(RoutingPolicy, projectCountsItsPlacementsSinceTheReport)
{
    makeTargets(4);
    const std::unique_ptr<RoutingPolicy> policy = createRoutingPolicy("project", 1);
    for (const Target &target : targets)
        policy->onLoad(target, TimePoint());
    std::map<std::string, int> places = placeMany(*policy, 8);
    CHECK_EQUAL(4U, places.size());
}
