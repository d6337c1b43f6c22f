#include <vector>

#include "base/randomsource.h"
#include "limits/noderetrybudget.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static NodeRetryBudget::Options options()
{
    NodeRetryBudget::Options options;
    options.ratio = 0.2;
    options.slack = 54;
    options.window = 10s;
    return options;
}

TEST_GROUP(NodeRetryBudget){};

TEST(NodeRetryBudget, withoutRequestsOnlyOwnSlackPartIsSpent)
{
    NodeRetryBudget allowance(options());
    allowance.setNodeCount(10);
    int taken = 0;
    while (allowance.trySpend(TimePoint(1s)))
        ++taken;
    LONGS_EQUAL(5, taken);
    CHECK(!allowance.trySpend(TimePoint(5s)));
    CHECK(allowance.trySpend(TimePoint(11s)));
}

TEST(NodeRetryBudget, slackIsSpentOnlyAWindowAfterTheStart)
{
    NodeRetryBudget allowance(options(), TimePoint(20s));
    for (int request = 0; request < 20; ++request)
        allowance.onRequest(TimePoint(21s));
    int taken = 0;
    while (allowance.trySpend(TimePoint(29s)))
        ++taken;
    LONGS_EQUAL(3, taken);
    CHECK(allowance.remaining(TimePoint(30s)) >= 1);
}

TEST(NodeRetryBudget, slackIsNotSpentWhileTheNumberOfNodesIsUnknown)
{
    NodeRetryBudget allowance(options());
    allowance.setNodeCount(0);
    CHECK(!allowance.trySpend(TimePoint(20s)));
}

/// Seven nodes with bursts of requests to a service that fails all of them.
TEST_GROUP(NodeRetryBudgetFleet)
{
    static constexpr std::size_t Nodes = 7;
    RandomSource random{3};
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;

    /// Replaces the nodes in turn, one each \a replaceInterval; none if it is zero.
    void run(Duration replaceInterval)
    {
        std::vector<NodeRetryBudget> allowances(Nodes, NodeRetryBudget(options()));
        TimePoint nextReplacement = TimePoint(10s) + replaceInterval;
        std::size_t replaced = 0;
        for (TimePoint now(0s); now < TimePoint(60s); now += 5ms) {
            if (replaceInterval > Duration::zero() && now >= nextReplacement) {
                allowances[replaced++ % Nodes] = NodeRetryBudget(options(), now);
                nextReplacement += replaceInterval;
            }
            const bool isBurst = (now.time_since_epoch() / 7s) % 2 == 0;
            if (!random.chance(isBurst ? 0.4 : 0.02))
                continue;
            NodeRetryBudget &allowance = allowances[random.uniformBelow(Nodes)];
            allowance.setNodeCount(Nodes);
            allowance.onRequest(now);
            requests.push_back(now);
            if (allowance.trySpend(now))
                retries.push_back(now);
        }
    }

    static std::size_t within(const std::vector<TimePoint> &times, TimePoint end)
    {
        std::size_t count = 0;
        for (const TimePoint time : times)
            count += time <= end && end - time < 10s ? 1 : 0;
        return count;
    }

    void checkAllWindows() const
    {
        for (const TimePoint end : retries)
            CHECK(within(retries, end) <= 0.2 * static_cast<double>(within(requests, end)) + 54);
    }
};

TEST(NodeRetryBudgetFleet, retriesStayWithinBudgetInEveryWindow)
{
    run(0s);
    checkAllWindows();
}

TEST(NodeRetryBudgetFleet, retriesStayWithinBudgetWhileNodesAreReplaced)
{
    run(300ms);
    checkAllWindows();
}
