#include <string>
#include <vector>

#include "net/sse.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

TEST_GROUP(Sse)
{
    std::vector<SseEvent> events;
    SseParser::Handler collect = [this](const SseEvent &event) { events.push_back(event); };
};

TEST(Sse, readsFieldsHoweverTheStreamIsSplit)
{
    const std::string stream = "\xEF\xBB\xBFid: 7\nevent: token\ndata: caf\xC3\xA9\ndata:  two\n\n"
                               ": comment\r\nretry: 250\r\ndata\r\n\r\nid:9\rdata:x\r\r"
                               "event: none\n\nother: y\ndata:z\n\n";
    const std::vector<SseEvent> expected{
            {"token", "caf\xC3\xA9\n two", "7"}, {"", "", ""}, {"", "x", "9"}, {"", "z", ""}};
    for (std::size_t part = 1; part <= stream.size(); ++part) {
        SseParser parser;
        events.clear();
        for (std::size_t at = 0; at < stream.size(); at += part)
            CHECK(parser.feed(std::string_view(stream).substr(at, part), collect).ok());
        CHECK(events == expected);
        CHECK(!parser.isWithinEvent());
        CHECK(parser.retryDelay() == std::chrono::milliseconds(250));
    }
}

TEST(Sse, unfinishedEventIsNotDelivered)
{
    SseParser parser;
    CHECK(parser.feed("data: part\n", collect).ok());
    CHECK(events.empty());
    CHECK(parser.isWithinEvent());
}

TEST(Sse, tooLargeEventIsATypedError)
{
    constexpr std::size_t MaxBytes = 64;
    for (const std::string &stream :
         {std::string(65, 'x'), "data: " + std::string(70, 'x') + "\n\n",
          "data:" + std::string(30, 'x') + "\ndata:" + std::string(30, 'x') + "\n\n"}) {
        SseParser parser(MaxBytes);
        CHECK(errorCode(parser.feed(stream, collect)) == ErrorCode::TargetProtocolError);
        CHECK(errorCode(parser.feed("data: x\n\n", collect)) == ErrorCode::TargetProtocolError);
        CHECK(events.empty());
    }
}

TEST(Sse, streamOfManyEventsIsNotTooLarge)
{
    SseParser parser(64);
    for (int i = 0; i < 100; ++i)
        CHECK(parser.feed("data: " + std::string(40, 'x') + "\n\n", collect).ok());
    CHECK_EQUAL(100U, events.size());
}

TEST(Sse, invalidUtf8IsATypedError)
{
    SseParser parser;
    CHECK(errorCode(parser.feed("data: \xC3\x28\n\n", collect)) == ErrorCode::TargetProtocolError);
    CHECK(events.empty());
}

TEST(Sse, badRetryAndIdAreIgnored)
{
    SseParser parser;
    CHECK(parser.feed(std::string("retry: 5s\nid: a\0b\ndata: x\n\n", 27), collect).ok());
    CHECK(!parser.retryDelay());
    CHECK((events == std::vector<SseEvent>{{"", "x", ""}}));
}

TEST(Sse, writesWhatItReads)
{
    for (const SseEvent &event :
         {SseEvent{"", "", ""}, SseEvent{"t", " a\nb\n", "5"}, SseEvent{"", "\n", "x y"}}) {
        SseParser parser;
        events.clear();
        CHECK(parser.feed(writeSse(event), collect).ok());
        CHECK((events == std::vector<SseEvent>{event}));
    }
    STRCMP_EQUAL("id: 12\nevent: ab\ndata: x\ndata: y\ndata: z\n\n",
                 writeSse({"a\nb", "x\r\ny\rz", "1\r2"}).c_str());
}
