#include <set>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/json.h"
#include "base/outcome.h"
#include "base/randomsource.h"
#include "base/virtualtimerservice.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(Error){};

TEST(Error, makeErrorStoresCodeAsPayload)
{
    const absl::Status status = makeError(ErrorCode::NoTarget, "no engine serves the model");
    CHECK(errorCode(status) == ErrorCode::NoTarget);
    CHECK(retryClass(errorCode(status)) == RetryClass::Safe);
}

TEST(Error, everyCodeHasUniqueName)
{
    std::set<std::string_view> names;
    for (int i = 0; i <= static_cast<int>(ErrorCode::Internal); ++i) {
        const auto code = static_cast<ErrorCode>(i);
        CHECK(names.insert(errorName(code)).second);
        CHECK(errorFromName(errorName(code)) == code);
    }
}

TEST(Error, statusWithoutPayloadIsInternal)
{
    CHECK(errorCode(absl::InternalError("no payload")) == ErrorCode::Internal);
}

TEST_GROUP(Outcome){};

TEST(Outcome, namesRoundTrip)
{
    for (const Outcome outcome :
         {Outcome::Done, Outcome::NotRun, Outcome::Failed, Outcome::Unknown})
        CHECK(outcomeFromName(outcomeName(outcome)) == outcome);
    CHECK(!outcomeFromName("perhaps"));
}

TEST_GROUP(Endpoint){};

TEST(Endpoint, numericAddressesRoundTrip)
{
    for (const char *text : {"127.0.0.1:80", "[::1]:8443", "10.1.2.3:65535"}) {
        const absl::StatusOr<Endpoint> endpoint = Endpoint::parse(text);
        CHECK(endpoint.ok());
        STRCMP_EQUAL(text, endpoint->toString().c_str());
    }
}

TEST(Endpoint, rejectsHostNamesAndInvalidPorts)
{
    for (const char *text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                             "127.0.0.1:8x", "::1:80", "", ":80", "[127.0.0.1]:80", "1.2.3:4"})
        CHECK(errorCode(Endpoint::parse(text).status()) == ErrorCode::AddressInvalid);
}

TEST_GROUP(Json){};

TEST(Json, rejectsInvalidAndTrailingText)
{
    const std::string deep(200, '[');
    for (const std::string &text :
         {std::string("{\"a\":1,\"a\":2}"), std::string("{} x"), std::string("{\"a\":}"),
          std::string("\"\xC3\x28\""), std::string(""), deep, std::string("[1,]")})
        CHECK(errorCode(parseJson(text).status()) == ErrorCode::JsonInvalid);
}

TEST(Json, membersOfOtherTypeAreRejected)
{
    const absl::StatusOr<Json::Value> value = parseJson(R"({"s":"x","n":7,"b":true,"m":-1})");
    CHECK(value.ok());
    STRCMP_EQUAL("x", stringMember(*value, "s")->c_str());
    CHECK_EQUAL(7U, *unsignedMember(*value, "n"));
    CHECK(*boolMember(*value, "b"));
    CHECK(!unsignedMember(*value, "m").ok());
    CHECK(!stringMember(*value, "n").ok());
    CHECK(!stringMember(*value, "absent").ok());
}

TEST(Json, invalidUtf8IsRejected)
{
    CHECK(isValidUtf8("caf\xC3\xA9 \xE2\x82\xAC \xF0\x9F\x90\x9F"));
    for (const char *text : {"\xC0\xAF", "\xED\xA0\x80", "\xF4\x90\x80\x80", "\xE2\x82", "\x80"})
        CHECK(!isValidUtf8(text));
}

TEST_GROUP(VirtualTimerService)
{
    VirtualTimerService timers;
    std::vector<int> fired;
};

TEST(VirtualTimerService, runsInOrderOfDueTimeThenScheduling)
{
    timers.scheduleAfter(2s, [this] { fired.push_back(3); });
    timers.scheduleAfter(1s, [this] { fired.push_back(1); });
    timers.scheduleAfter(1s, [this] { fired.push_back(2); });
    timers.advance(2s);
    CHECK((fired == std::vector<int>{1, 2, 3}));
}

TEST(VirtualTimerService, cancelledTimerDoesNotRun)
{
    const TimerId id = timers.scheduleAfter(1s, [this] { fired.push_back(1); });
    timers.cancel(id);
    timers.cancel(id);
    timers.cancel(NoTimer);
    timers.advance(2s);
    CHECK(fired.empty());
    CHECK_EQUAL(0U, timers.pending());
}

TEST(VirtualTimerService, callbackMayScheduleTimerWithinAdvancedSpan)
{
    timers.scheduleAfter(1s, [this] {
        fired.push_back(1);
        timers.scheduleAfter(1s, [this] { fired.push_back(2); });
    });
    timers.advance(3s);
    CHECK((fired == std::vector<int>{1, 2}));
}

TEST_GROUP(RandomSource){};

TEST(RandomSource, sameSeedGivesSameSequence)
{
    RandomSource first(7);
    RandomSource second(7);
    RandomSource other(8);
    CHECK_EQUAL(first.next64(), second.next64());
    CHECK(first.next64() != other.next64());
}

TEST(RandomSource, exponentialHasGivenMean)
{
    constexpr int Draws = 20000;
    RandomSource random(1);
    double sum = 0;
    for (int i = 0; i < Draws; ++i)
        sum += random.exponential(3.0);
    DOUBLES_EQUAL(3.0, sum / Draws, 0.1);
}

TEST_GROUP(Ids){};

TEST(Ids, stableHashMatchesKnownValue)
{
    CHECK_EQUAL(0x44BC2CF5AD770999ULL, stableHash("abc"));
}
