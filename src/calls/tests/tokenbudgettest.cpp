#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "calls/resumetoken.h"
#include "calls/retrybudget.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static ResumeToken sampleToken()
{
    ResumeToken token;
    token.request = RequestId("r\"1\xC3\xA9");
    token.organisation = "org";
    token.service = "chat";
    token.model = "m";
    token.point.generation = {TargetId("e1"), 7, 1ULL << 60};
    token.point.nextPosition = 41;
    token.vm = VmId("vm-1");
    return token;
}

TEST_GROUP(ResumeToken){};

TEST(ResumeToken, verifiedTokenEqualsSignedToken)
{
    const ResumeToken token = sampleToken();
    const absl::StatusOr<ResumeToken> read = verifyResumeToken(signResumeToken(token, "k"), "k");
    CHECK(read.ok());
    CHECK(read->request == token.request);
    CHECK(read->point.generation == token.point.generation);
    CHECK_EQUAL(41U, read->point.nextPosition);
    STRCMP_EQUAL("vm-1", read->vm.text().c_str());
}

TEST(ResumeToken, tokenWithAnyChangedByteIsRejected)
{
    const std::string text = signResumeToken(sampleToken(), "k");
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        const absl::Status status = verifyResumeToken(changed, "k").status();
        CHECK(!status.ok() && errorCode(status) == ErrorCode::ResumeTokenInvalid);
    }
    CHECK(!verifyResumeToken(text, "other").ok());
    CHECK(!verifyResumeToken(text.substr(0, text.size() - 1), "k").ok());
    CHECK(!verifyResumeToken("", "k").ok());
    CHECK(!verifyResumeToken(std::string(10000, 'A'), "k").ok());
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, retriesAreLimitedToShareOfFreshRequests)
{
    constexpr int Fresh = 1000;
    RetryBudget budget(0.1, 5);
    int retries = 0;
    for (int i = 0; i < Fresh; ++i) {
        budget.onFreshRequest();
        retries += budget.tryConsume() ? 1 : 0;
    }
    CHECK(retries >= Fresh / 10 - 1);
    CHECK(retries <= Fresh / 10 + 5);
}

TEST(RetryBudget, tokensAreCappedAtReserve)
{
    RetryBudget budget(0.5, 3);
    for (int i = 0; i < 1000; ++i)
        budget.onFreshRequest();
    int retries = 0;
    while (budget.tryConsume())
        ++retries;
    CHECK_EQUAL(3, retries);
}

TEST(RetryBudget, delayGrowsToBoundWithFullJitter)
{
    RandomSource random(1);
    Duration longest{0};
    Duration shortest = 1h;
    for (int i = 0; i < 2000; ++i) {
        CHECK(retryDelay(1, random) <= 50ms);
        const Duration delay = retryDelay(20, random);
        longest = std::max(longest, delay);
        shortest = std::min(shortest, delay);
    }
    CHECK(longest <= 2s);
    CHECK(longest > 1900ms);
    CHECK(shortest < 100ms);
}
