#include <vector>

#include "base/randomsource.h"
#include "limits/retryallowance.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static RetryAllowance::Options options()
{
    RetryAllowance::Options options;
    options.ratio = 0.2;
    options.slack = 54;
    options.window = 10s;
    return options;
}

TEST_GROUP(RetryAllowance){};

TEST(RetryAllowance, withoutRequestsOnlyOwnSlackPartIsSpent)
{
    RetryAllowance allowance(options());
    allowance.setNodes(10);
    int taken = 0;
    while (allowance.take(TimePoint(1s)))
        ++taken;
    LONGS_EQUAL(5, taken);
    CHECK(!allowance.take(TimePoint(5s)));
    CHECK(allowance.take(TimePoint(11s)));
}

// Simulates seven nodes with bursts of requests to a service that fails all of them.
TEST(RetryAllowance, fleetRetriesStayWithinBudgetInEveryWindow)
{
    constexpr std::size_t Nodes = 7;
    RandomSource random(3);
    std::vector<RetryAllowance> allowances(Nodes, RetryAllowance(options()));
    for (RetryAllowance &allowance : allowances)
        allowance.setNodes(Nodes);
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    for (TimePoint now(0s); now < TimePoint(60s); now += 5ms) {
        const bool isBurst = (now.time_since_epoch() / 7s) % 2 == 0;
        if (!random.chance(isBurst ? 0.4 : 0.02))
            continue;
        RetryAllowance &allowance = allowances[random.below(Nodes)];
        allowance.onRequest(now);
        requests.push_back(now);
        if (allowance.take(now))
            retries.push_back(now);
    }
    const auto within = [](const std::vector<TimePoint> &times, TimePoint end) {
        std::size_t count = 0;
        for (const TimePoint time : times)
            count += time <= end && end - time < 10s ? 1 : 0;
        return count;
    };
    for (const TimePoint end : retries)
        CHECK(within(retries, end) <= 0.2 * static_cast<double>(within(requests, end)) + 54);
}
