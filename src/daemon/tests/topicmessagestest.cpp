#include <string>

#include "base/json.h"
#include "daemon/topicmessages.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(TopicMessages){};

TEST(TopicMessages, questionIsReadAsItWasWritten)
{
    const TopicQuestion question{SharedTopic::Targets, 4, 17, 750ms};
    const absl::StatusOr<TopicQuestion> read = decodeTopicQuestion(encodeTopicQuestion(question));
    CHECK(read.ok());
    CHECK(read->topic == SharedTopic::Targets);
    LONGS_EQUAL(4, read->era);
    LONGS_EQUAL(17, *read->from);
    CHECK(read->wait == 750ms);
    CHECK(!decodeTopicQuestion(encodeTopicQuestion({SharedTopic::Nodes, 0, std::nullopt, 0ms}))
                   ->from);
}

// Entries of the store may hold any bytes.
TEST(TopicMessages, recordsWithAnyBytesAreReadAsTheyWereWritten)
{
    KeyedTail tail;
    tail.records = {{"a", std::string("\xff\x00{", 3), 5}, {"b", std::nullopt, 9}};
    tail.next = 10;
    tail.end = 10;
    tail.origin = {3, Duration(-1500ms), true, Duration(20s), Duration(4s)};
    const Json::Value json = *parseJson(writeJson(encodeTopicTail(tail)));
    const absl::StatusOr<KeyedTail> read = decodeTopicTail(json);
    CHECK(read.ok());
    CHECK(*read->records[0].value == *tail.records[0].value);
    CHECK(!read->records[1].value);
    LONGS_EQUAL(9, read->records[1].offset);
    LONGS_EQUAL(10, read->next);
    LONGS_EQUAL(3, read->origin.era);
    CHECK(read->origin.provenAfter == Duration(-1500ms));
    CHECK(read->origin.sinceOutage == Duration(20s));
    CHECK(read->origin.outageLength == Duration(4s));
    tail.origin.provenAfter.reset();
    CHECK(!decodeTopicTail(encodeTopicTail(tail))->origin.provenAfter);
}

TEST(TopicMessages, malformedMessagesAreRefused)
{
    for (const char *text : {"null", "7", "[]", "{}", R"({"topic":"x","era":1,"wait_us":1})",
                             R"({"topic":"targets","era":-1,"wait_us":1})",
                             R"({"topic":"targets","era":1,"wait_us":1,"from":"x"})"})
        CHECK(!decodeTopicQuestion(*parseJson(text)).ok());
    for (const char *text : {"null", "[]", "{}", R"({"era":1,"next":1,"proven_us":0,"records":7})",
                             R"({"era":1,"next":1,"proven_us":"x","records":[]})",
                             R"({"era":1,"next":1,"proven_us":0,"records":[[]]})",
                             R"({"era":1,"next":1,"proven_us":0,"records":[["a",1,"?"]]})",
                             R"({"era":1,"next":1,"proven_us":0,"records":[["a",-1]]})",
                             R"({"era":1,"next":1,"proven_us":0,"records":[],"outage_us":-4})"})
        CHECK(!decodeTopicTail(*parseJson(text)).ok());
    KeyedTail tail;
    tail.origin.sinceOutage = Duration(1s);
    Json::Value json = encodeTopicTail(tail);
    CHECK(decodeTopicTail(json).ok());
    json["outage_length_us"] = "x";
    CHECK(!decodeTopicTail(json).ok());
}
