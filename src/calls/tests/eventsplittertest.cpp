#include <string>
#include <vector>

#include "calls/eventsplitter.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

TEST_GROUP(EventSplitter){};

TEST(EventSplitter, splitsAlikeForEveryChunkBoundary)
{
    const std::string text = "id: 1\ndata: a\n\nversions: 3\nid: 2\r\ndata: b\r\n\r\n: note\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        EventSplitter splitter;
        std::string joined;
        std::vector<std::uint64_t> numbers;
        for (const std::string &part : {text.substr(0, cut), text.substr(cut)}) {
            const std::optional<std::vector<RawEvent>> events = splitter.feed(part);
            for (const RawEvent &event : *events) {
                joined += event.bytes;
                numbers.push_back(event.number.value_or(0));
            }
        }
        STRCMP_EQUAL(text.c_str(), joined.c_str());
        LONGS_EQUAL(3, numbers.size());
        LONGS_EQUAL(1, numbers[0]);
        LONGS_EQUAL(2, numbers[1]);
        LONGS_EQUAL(0, numbers[2]);
        CHECK(!splitter.isWithinEvent());
    }
}

TEST(EventSplitter, buffersIncompleteEvent)
{
    EventSplitter splitter;
    CHECK(splitter.feed("id: 1\ndata: a\n")->empty());
    CHECK(splitter.isWithinEvent());
}

TEST(EventSplitter, rejectsEventLargerThanLimit)
{
    EventSplitter splitter;
    CHECK(!splitter.feed(std::string(EventSplitter::MaxEventBytes + 1, 'x')).has_value());
}

TEST(EventSplitter, nonNumericIdIsIgnored)
{
    EventSplitter splitter;
    CHECK(!splitter.feed("id: 1a\n\n")->front().number.has_value());
    CHECK(!splitter.feed("id:\n\n")->front().number.has_value());
    LONGS_EQUAL(7, *splitter.feed("id:7\n\n")->front().number);
}
