#include <string>

#include "log/keyedtopicmirror.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

TEST_GROUP(KeyedTopicMirror)
{
    KeyedTopicMirror mirror;

    void setup() override
    {
        mirror.apply({"a", "1", 3});
        mirror.apply({"b", "1", 7});
        mirror.setPosition(1, 10);
    }
};

TEST(KeyedTopicMirror, newestHasOneRecordOfEachKey)
{
    mirror.apply({"a", "2", 10});
    mirror.setPosition(1, 11);
    const KeyedPage page = mirror.newest();
    LONGS_EQUAL(2, page.records.size());
    LONGS_EQUAL(11, page.end);
    STRCMP_EQUAL("2", page.records[1].value->c_str());
}

TEST(KeyedTopicMirror, tailHasTombstonesInOrder)
{
    mirror.apply({"a", std::nullopt, 10});
    mirror.apply({"c", "1", 11});
    mirror.setPosition(1, 12);
    const absl::StatusOr<KeyedTail> tail = mirror.tail(10);
    CHECK(tail.ok());
    LONGS_EQUAL(2, tail->records.size());
    CHECK(!tail->records[0].value);
    LONGS_EQUAL(12, tail->next);
    LONGS_EQUAL(2, mirror.newest().records.size());
}

// The scan does not show the tombstones of what was deleted before it.
TEST(KeyedTopicMirror, tailFromBeforeTheFirstScanIsExpired)
{
    CHECK(errorCode(mirror.tail(9).status()) == ErrorCode::LogRecordsExpired);
    CHECK(mirror.tail(10).ok());
}

TEST(KeyedTopicMirror, tailFromBeforeADroppedTombstoneIsExpired)
{
    const std::size_t count = KeyedTopicMirror::MaxTombstones + 1;
    for (std::size_t i = 0; i < count; ++i)
        mirror.apply({"k" + std::to_string(i), std::nullopt, 10 + i});
    mirror.setPosition(1, 10 + count);
    CHECK(errorCode(mirror.tail(10).status()) == ErrorCode::LogRecordsExpired);
    CHECK(mirror.tail(11).ok());
}

TEST(KeyedTopicMirror, readersOfTheTailScanAgainIfAKeyWasFoundMissing)
{
    mirror.remove("unknown");
    CHECK(mirror.tail(10).ok());
    mirror.apply({"c", "1", 10});
    mirror.setPosition(1, 11);
    mirror.remove("a");
    CHECK(errorCode(mirror.tail(10).status()) == ErrorCode::LogRecordsExpired);
    CHECK(mirror.tail(11).ok());
}

// Guards against peers that keep a key for good: they have the position from before the scan.
TEST(KeyedTopicMirror, readersAtThePositionBeforeAScanScanAgainIfItFoundAKeyMissing)
{
    mirror.remove("a");
    mirror.setPosition(1, 13);
    CHECK(errorCode(mirror.tail(10).status()) == ErrorCode::LogRecordsExpired);
    CHECK(errorCode(mirror.tail(12).status()) == ErrorCode::LogRecordsExpired);
    CHECK(mirror.tail(13).ok());
    mirror.setPosition(1, 14);
    CHECK(mirror.tail(13).ok());
}

// Readers that were told this position before learn of the removal with the next change.
TEST(KeyedTopicMirror, aRemovalWithoutANewPositionIsToldWithTheNextOne)
{
    mirror.remove("a");
    mirror.setPosition(1, 10);
    CHECK(mirror.tail(10).ok());
    mirror.setPosition(1, 11);
    CHECK(errorCode(mirror.tail(10).status()) == ErrorCode::LogRecordsExpired);
    CHECK(mirror.tail(11).ok());
}

// A key that came and went between two scans was never in the mirror, but may be a reader's.
TEST(KeyedTopicMirror, readersFromBeforeTheEndOfALaterScanScanAgain)
{
    mirror.noteGap();
    mirror.setPosition(1, 15);
    CHECK(errorCode(mirror.tail(12).status()) == ErrorCode::LogRecordsExpired);
    CHECK(mirror.tail(15).ok());
}

TEST(KeyedTopicMirror, resetDropsWhatAnEarlierEraHad)
{
    mirror.reset(2);
    CHECK(!mirror.isComplete());
    LONGS_EQUAL(2, mirror.era());
    LONGS_EQUAL(0, mirror.newest().records.size());
}
