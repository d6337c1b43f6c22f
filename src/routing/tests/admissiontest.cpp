#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "routing/admissionqueue.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

namespace {

/// Places up to `room` requests. Requests of the service "short" have short expected answers and
/// may also use `shortRoom`.
class FakePolicy : public RoutingPolicy
{
public:
    int room = 0;
    int shortRoom = 0;
    int decisions = 0;

    RoutingDecision decide(const RoutingRequest &request, const std::vector<const Target *> &,
                           TimePoint now) override
    {
        ++decisions;
        const bool isShort = request.service == "short";
        RoutingDecision decision;
        decision.reason.expectedTokens = isShort ? 50 : 1000;
        const bool hasRoom = room > 0 || (isShort && shortRoom > 0);
        decision.verdict = hasRoom ? RoutingVerdict::Place : RoutingVerdict::Hold;
        decision.retryAt = now + 100ms;
        return decision;
    }
    void onPlaced(const RoutingRequest &request, const TargetId &, TimePoint) override
    {
        --(request.service == "short" && shortRoom > 0 ? shortRoom : room);
    }
    void onToken(const RequestId &, std::uint32_t, TimePoint) override {}
    void onReleased(const RequestId &, bool, std::uint32_t, TimePoint) override {}
    void onLoad(const Target &, TimePoint) override {}
    void onCacheEvent(const TargetId &, std::uint64_t, bool) override {}
    void onTargetGone(const TargetId &) override {}
    void onNodeCount(std::uint32_t) override {}
};

} // namespace

TEST_GROUP(AdmissionQueue)
{
    VirtualTimerService timers;
    FakePolicy policy;
    std::vector<std::string> placed;
    std::vector<std::string> shed;
    std::unique_ptr<AdmissionQueue> admission = AdmissionQueue::create(policy, hooks(), timers);

    AdmissionQueue::Hooks hooks()
    {
        AdmissionQueue::Hooks result;
        result.candidates = [](const RoutingRequest &) { return std::vector<const Target *>(); };
        result.place = [this](const RoutingRequest &request, const RoutingDecision &) {
            placed.push_back(request.id.text());
        };
        result.shed = [this](const RoutingRequest &request, const RoutingDecision &) {
            shed.push_back(request.id.text());
        };
        return result;
    }

    void submit(const char *id, const char *service, std::uint32_t rank = 1, Duration hold = 60s)
    {
        RoutingRequest request;
        request.id = RequestId(id);
        request.service = service;
        request.priorityRank = rank;
        request.holdDeadline = timers.now() + hold;
        admission->submit(request);
    }

    void addRoom(int room)
    {
        policy.room += room;
        admission->onCapacityChange();
    }
};

TEST(AdmissionQueue, requestIsPlacedAtOnceWithFreeCapacity)
{
    policy.room = 1;
    submit("a", "long");
    CHECK((placed == std::vector<std::string>{"a"}));
    CHECK_EQUAL(0U, admission->heldCount());
}

TEST(AdmissionQueue, equalPriorityIsServedInArrivalOrder)
{
    submit("a", "long");
    submit("b", "long");
    addRoom(1);
    CHECK((placed == std::vector<std::string>{"a"}));
    policy.room = 1;
    submit("c", "long");
    addRoom(1);
    CHECK((placed == std::vector<std::string>{"a", "b", "c"}));
}

TEST(AdmissionQueue, higherPriorityIsServedFirst)
{
    submit("low", "long", 2);
    submit("high", "long", 0);
    addRoom(1);
    CHECK((placed == std::vector<std::string>{"high"}));
}

TEST(AdmissionQueue, shortRequestOvertakesBlockedLongOne)
{
    submit("long", "long", 0);
    policy.shortRoom = 1;
    submit("short", "short", 1);
    CHECK((placed == std::vector<std::string>{"short"}));
    CHECK_EQUAL(1U, admission->heldCount());
}

TEST(AdmissionQueue, heldRequestIsRetriedWithoutAChange)
{
    submit("a", "long");
    policy.room = 1;
    timers.advance(200ms);
    CHECK((placed == std::vector<std::string>{"a"}));
}

TEST(AdmissionQueue, requestIsShedWhenItsHoldDeadlinePasses)
{
    submit("longHold", "long", 0, 60s);
    submit("shortHold", "long", 1, 5s);
    timers.advance(4999ms);
    CHECK(shed.empty());
    timers.advance(11ms);
    CHECK((shed == std::vector<std::string>{"shortHold"}));
    CHECK_EQUAL(1U, admission->heldCount());
}

TEST(AdmissionQueue, cancelledRequestIsRemoved)
{
    submit("a", "long");
    submit("b", "long");
    CHECK(admission->cancel(RequestId("a")));
    CHECK(!admission->cancel(RequestId("a")));
    addRoom(2);
    CHECK((placed == std::vector<std::string>{"b"}));
    timers.advance(120s);
    CHECK(shed.empty());
}

TEST(AdmissionQueue, requestWithExcludedTargetsBlocksNoOther)
{
    RoutingRequest excluding;
    excluding.id = RequestId("excluding");
    excluding.service = "long";
    excluding.excludedTargets.push_back(TargetId("engine-1"));
    excluding.holdDeadline = TimePoint(60s);
    admission->submit(excluding);
    policy.room = 1;
    submit("a", "long");
    CHECK((placed == std::vector<std::string>{"a"}));
}

TEST(AdmissionQueue, eachQueueIsRetriedOncePerChange)
{
    for (int i = 0; i < 500; ++i)
        submit(std::to_string(i).c_str(), "long");
    policy.decisions = 0;
    admission->onCapacityChange();
    CHECK_EQUAL(1, policy.decisions);
}
