#include "daemon/poisonmessages.h"
#include "daemon/requestfingerprint.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(PoisonMessages)
{
    static constexpr std::uint64_t Fingerprint = 0x00ab000000000001;
    static constexpr std::uint64_t WrittenAt = 1'700'000'000'000;
    const PoisonReport report{Fingerprint, TargetId("t"), 7, 0, true, true, "GET /x of o", 3s};
};

TEST(PoisonMessages, areReadAsTheyWereWritten)
{
    PoisonKnowledge knowledge;
    knowledge.reports = {report};
    knowledge.clearings = {{Fingerprint, 5s}};
    knowledge.lifetimes = {{TargetId("t"), 7, 9s, 1s}};
    const auto read = decodePoisonKnowledge(encodePoisonKnowledge(knowledge));
    CHECK(read.ok());
    CHECK(read->reports[0].age == 3s);
    CHECK(read->reports[0].wasAnswering);
    STRCMP_EQUAL("GET /x of o", read->reports[0].subject.c_str());
    CHECK(read->clearings[0].age == 5s);
    CHECK(read->lifetimes[0].ageOfStart == 9s);
    CHECK(read->lifetimes[0].ageOfEnd == 1s);
}

TEST(PoisonMessages, absentListsAreEmptyAndOthersAreRefused)
{
    const auto none = decodePoisonKnowledge(Json::Value(Json::objectValue));
    CHECK(none.ok());
    CHECK(none->reports.empty() && none->clearings.empty() && none->lifetimes.empty());
    CHECK(!decodePoisonKnowledge(Json::Value("x")).ok());
    for (const char *list : {"reports", "clearings", "alive"}) {
        Json::Value json(Json::objectValue);
        json[list] = 1;
        CHECK(!decodePoisonKnowledge(json).ok());
        Json::Value row(Json::arrayValue);
        row.append(Json::UInt64(1));
        row.append(Json::UInt64(~0ULL));
        json[list] = Json::Value(Json::arrayValue);
        json[list].append(row);
        CHECK(!decodePoisonKnowledge(json).ok());
    }
}

// A version without ages and subjects runs beside this one while nodes are replaced.
TEST(PoisonMessages, reportOfAnEarlierVersionIsRead)
{
    Json::Value json = encodePoisonReport(report);
    json.removeMember("age_us");
    json.removeMember("subject");
    json.removeMember("answering");
    const auto read = decodePoisonReport(json);
    CHECK(read.ok());
    CHECK(read->age == 0s);
    CHECK(!read->wasAnswering);
}

TEST(PoisonMessages, recordTellsTheAgeOfItsDeathsByTheTimeOfDay)
{
    const std::string text = encodePoisonRecord({Fingerprint, "GET /x of o", {report}}, WrittenAt);
    const auto later = decodePoisonRecord(text, WrittenAt + 60'000);
    CHECK(later.ok());
    CHECK_EQUAL(Fingerprint, later->fingerprint);
    STRCMP_EQUAL("GET /x of o", later->subject.c_str());
    CHECK(later->deaths[0].age == 63s);
    CHECK(decodePoisonRecord(text, WrittenAt - 60'000)->deaths[0].age == 3s);
    for (const char *other : {"", "[]", "{}", R"({"fingerprint":"1","written_ms":1})"})
        CHECK(!decodePoisonRecord(other, WrittenAt).ok());
}

TEST(PoisonMessages, keyOfARecordNamesItsRequest)
{
    STRCMP_EQUAL("poison/00ab000000000001", poisonRecordKey(Fingerprint).c_str());
    CHECK(isPoisonRecordKey(poisonRecordKey(Fingerprint)));
    CHECK(!isPoisonRecordKey("front-1"));
    CHECK_EQUAL(Fingerprint, *parsePoisonRecordKey(poisonRecordKey(Fingerprint)));
    for (const char *other : {"", "ab", "00ab00000000000x", "00ab0000000000011"})
        CHECK(!parseFingerprint(other));
}

TEST(PoisonMessages, requestsAreToldApartByPathOrganisationAndBody)
{
    const HttpRequest request{"POST", "/x", {{"id", "1"}}, "body"};
    HttpRequest other = request;
    other.headers[0].value = "2";
    CHECK_EQUAL(requestFingerprint(request, "o"), requestFingerprint(other, "o"));
    CHECK(requestFingerprint(request, "o") != requestFingerprint(request, "p"));
    other.body = "another";
    CHECK(requestFingerprint(request, "o") != requestFingerprint(other, "o"));
    other = request;
    other.path = "/y";
    CHECK(requestFingerprint(request, "o") != requestFingerprint(other, "o"));
}
