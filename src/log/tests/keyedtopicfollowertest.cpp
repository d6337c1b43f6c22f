#include <map>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "log/keyedtopicfollower.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

/// A follower whose reads are answered explicitly by the test.
TEST_GROUP(KeyedTopicFollower)
{
    VirtualTimerService timers;
    RandomSource random{1};
    std::vector<KeyedTopicHooks::PageCallback> pages;
    std::vector<std::string> pageAfter;
    std::vector<KeyedTopicHooks::TailCallback> tails;
    std::vector<LogOffset> tailFrom;
    std::map<std::string, std::string> known;
    std::vector<TimePoint> currentTimes;
    int losses = 0;
    int returns = 0;
    std::unique_ptr<KeyedTopicFollower> follower;

    void setup() override
    {
        KeyedTopicHooks hooks;
        hooks.readNewest = [this](const std::string &after,
                                  KeyedTopicHooks::PageCallback callback) {
            pageAfter.push_back(after);
            pages.push_back(std::move(callback));
        };
        hooks.readTail = [this](LogOffset from, Duration, KeyedTopicHooks::TailCallback callback) {
            tailFrom.push_back(from);
            tails.push_back(std::move(callback));
        };
        KeyedTopicCallbacks events;
        events.onRecord = [this](const KeyedRecord &record) {
            if (record.value)
                known[record.key] = *record.value;
            else
                known.erase(record.key);
        };
        events.onKeyRemoved = [this](const std::string &key) { known.erase(key); };
        events.onUpToDate = [this](TimePoint when) { currentTimes.push_back(when); };
        events.onReadFailed = [this](const absl::Status &) { ++losses; };
        events.onRecovered = [this] { ++returns; };
        follower =
                KeyedTopicFollower::create({}, std::move(hooks), std::move(events), timers, random);
        follower->start();
    }

    static KeyedRecord record(const char *key, const char *value, LogOffset offset)
    {
        return {key, std::string(value), offset};
    }

    static absl::Status down()
    {
        return makeError(ErrorCode::LogUnavailable, "down");
    }
};

TEST(KeyedTopicFollower, readsAllPagesThenTheTailFromTheFirstPagesEnd)
{
    pages[0](KeyedPage{{record("a", "1", 3)}, true, 5});
    STRCMP_EQUAL("a", pageAfter[1].c_str());
    CHECK(currentTimes.empty());
    pages[1](KeyedPage{{record("b", "1", 6)}, false, 7});
    LONGS_EQUAL(1, currentTimes.size());
    LONGS_EQUAL(5, tailFrom[0]);
}

TEST(KeyedTopicFollower, olderRecordDoesNotReplaceANewerOne)
{
    pages[0](KeyedPage{{record("a", "new", 9)}, false, 5});
    tails[0](KeyedTail{{record("a", "old", 5)}, 6, 10});
    STRCMP_EQUAL("new", known["a"].c_str());
}

TEST(KeyedTopicFollower, tailReadAtTheEndIsCurrentAsOfItsRequest)
{
    pages[0](KeyedPage{{}, false, 5});
    const TimePoint asked = timers.now();
    timers.advance(800ms);
    tails[0](KeyedTail{{}, 5, 5});
    LONGS_EQUAL(2, currentTimes.size());
    CHECK(currentTimes[1] == asked);
}

TEST(KeyedTopicFollower, tailReadBelowTheEndIsNotCurrent)
{
    pages[0](KeyedPage{{}, false, 5});
    tails[0](KeyedTail{{record("a", "1", 5)}, 6, 9});
    LONGS_EQUAL(1, currentTimes.size());
    LONGS_EQUAL(6, tailFrom[1]);
}

TEST(KeyedTopicFollower, expiredRecordsCauseANewScan)
{
    pages[0](KeyedPage{{record("a", "1", 3), record("b", "1", 4)}, false, 5});
    tails[0](makeError(ErrorCode::LogRecordsExpired, "gone"));
    LONGS_EQUAL(2, pages.size());
    pages[1](KeyedPage{{record("b", "2", 8)}, false, 9});
    LONGS_EQUAL(1, known.size());
    STRCMP_EQUAL("2", known["b"].c_str());
}

TEST(KeyedTopicFollower, failuresAreRetriedWithBackoffAndReportedOnce)
{
    pages[0](KeyedPage{{}, false, 5});
    for (int i = 0; i < 20; ++i) {
        tails.back()(down());
        timers.advance(1000ms);
    }
    LONGS_EQUAL(1, losses);
    LONGS_EQUAL(21, tails.size());
    tails.back()(KeyedTail{{}, 5, 5});
    LONGS_EQUAL(1, returns);
}

TEST(KeyedTopicFollower, tailReadWithoutAnswerIsOverdue)
{
    pages[0](KeyedPage{{}, false, 5});
    timers.advance(1100ms);
    CHECK(!follower->isOverdue(150ms));
    timers.advance(100ms);
    CHECK(follower->isOverdue(150ms));
    tails[0](KeyedTail{{}, 5, 5});
    CHECK(!follower->isOverdue(150ms));
}

// A call in flight may be waiting for its timeout on an unresponsive connection.
TEST(KeyedTopicFollower, retryNowDoesNotWaitForTheCallInFlight)
{
    pages[0](KeyedPage{{}, false, 5});
    tails[0](down());
    timers.advance(1000ms);
    LONGS_EQUAL(2, tails.size());
    follower->retryNow();
    LONGS_EQUAL(3, tails.size());
    tails[2](KeyedTail{{record("a", "1", 5)}, 6, 6});
    LONGS_EQUAL(1, returns);
    tails[1](down());
    CHECK(!follower->isUnreachable());
    follower->retryNow();
    LONGS_EQUAL(4, tails.size());
}

// A rejected call must not cause retries beyond the backoff.
TEST(KeyedTopicFollower, rejectedCallsAreRetriedWithBackoff)
{
    pages[0](KeyedPage{{}, false, 5});
    const TimePoint end = timers.now() + 10s;
    std::size_t answered = 0;
    while (timers.now() < end) {
        while (answered < tails.size())
            tails[answered++](makeError(ErrorCode::RateLimited, "too many"));
        timers.advance(10ms);
    }
    CHECK(tails.size() <= 25);
}

/// The store comes back from a copy: its era rises, records that it had acknowledged are gone, and
/// their offsets are given out again.
TEST_GROUP(RestoredTopic)
{
    static constexpr Duration Grace = KeyedTopicFollower::RestoreGrace;

    VirtualTimerService timers;
    RandomSource random{1};
    std::vector<KeyedTopicHooks::PageCallback> pages;
    std::vector<KeyedTopicHooks::TailCallback> tails;
    std::map<std::string, std::string> known;
    std::vector<std::string> lost;
    std::vector<TimePoint> currentTimes;
    std::uint64_t restoredTo = 0;
    std::uint64_t settledEra = 0;
    std::unique_ptr<KeyedTopicFollower> follower;

    void setup() override
    {
        KeyedTopicHooks hooks;
        hooks.readNewest = [this](const std::string &, KeyedTopicHooks::PageCallback callback) {
            pages.push_back(std::move(callback));
        };
        hooks.readTail = [this](LogOffset, Duration, KeyedTopicHooks::TailCallback callback) {
            tails.push_back(std::move(callback));
        };
        KeyedTopicCallbacks events;
        events.onRecord = [this](const KeyedRecord &record) {
            if (record.value)
                known[record.key] = *record.value;
            else
                known.erase(record.key);
        };
        events.onKeyRemoved = [this](const std::string &key) { known.erase(key); };
        events.onKeyLost = [this](const std::string &key) { lost.push_back(key); };
        events.onUpToDate = [this](TimePoint when) { currentTimes.push_back(when); };
        events.onReadFailed = [](const absl::Status &) {};
        events.onRecovered = [] {};
        events.onRestored = [this](std::uint64_t, std::uint64_t era) { restoredTo = era; };
        KeyedTopicFollower::Options options;
        options.isEraSettled = [this](std::uint64_t era) { return settledEra >= era; };
        settledEra = 3;
        follower = KeyedTopicFollower::create(options, std::move(hooks), std::move(events), timers,
                                              random);
        follower->start();
        answerPage({{"a", "new", 90}, {"b", "1", 91}}, 92, 3);
    }

    struct Row
    {
        const char *key;
        const char *value;
        LogOffset offset;
    };

    static std::vector<KeyedRecord> records(const std::vector<Row> &rows)
    {
        std::vector<KeyedRecord> records;
        for (const Row &row : rows)
            records.push_back({row.key, std::string(row.value), row.offset});
        return records;
    }

    void answerPage(const std::vector<Row> &rows, LogOffset end, std::uint64_t era)
    {
        KeyedPage page{records(rows), false, end};
        page.origin.era = era;
        const auto callback = pages.back();
        callback(std::move(page));
    }

    void answerTail(const std::vector<Row> &rows, LogOffset next, std::uint64_t era)
    {
        KeyedTail tail{records(rows), next, next};
        tail.origin.era = era;
        const auto callback = tails.back();
        callback(std::move(tail));
    }
};

TEST(RestoredTopic, recordWrittenAgainUnderALowerOffsetCounts)
{
    answerTail({}, 80, 4);
    LONGS_EQUAL(4, restoredTo);
    LONGS_EQUAL(2, pages.size());
    answerPage({{"a", "old", 70}, {"b", "1", 71}}, 80, 4);
    answerTail({{"a", "newest", 80}}, 81, 4);
    STRCMP_EQUAL("newest", known["a"].c_str());
}

// The offsets that the follower has not read exist again, behind records that it has not seen.
TEST(RestoredTopic, tailOfTheNewEraIsNotTakenForTheOldOnesContinuation)
{
    answerTail({{"b", "9", 92}}, 93, 4);
    STRCMP_EQUAL("1", known["b"].c_str());
    answerPage({{"a", "old", 70}, {"b", "9", 92}, {"c", "1", 91}}, 93, 4);
    STRCMP_EQUAL("9", known["b"].c_str());
    STRCMP_EQUAL("1", known["c"].c_str());
}

TEST(RestoredTopic, answerOfAnEarlierEraIsNotUsed)
{
    answerTail({}, 80, 4);
    answerPage({{"a", "2", 70}}, 80, 4);
    answerTail({{"a", "late", 200}}, 201, 3);
    STRCMP_EQUAL("2", known["a"].c_str());
    LONGS_EQUAL(4, follower->era());
}

TEST(RestoredTopic, keyThatTheCopyLacksIsLostOnlyAfterTheGrace)
{
    answerTail({}, 80, 4);
    answerPage({{"a", "old", 70}}, 80, 4);
    timers.advance(Grace - 1ms);
    LONGS_EQUAL(0, lost.size());
    STRCMP_EQUAL("1", known["b"].c_str());
    timers.advance(2ms);
    LONGS_EQUAL(1, lost.size());
    STRCMP_EQUAL("b", lost[0].c_str());
}

TEST(RestoredTopic, keyWrittenAgainWithinTheGraceIsNotLost)
{
    answerTail({}, 80, 4);
    answerPage({{"a", "old", 70}}, 80, 4);
    timers.advance(Grace / 2);
    answerTail({{"b", "1", 80}}, 81, 4);
    timers.advance(Grace);
    LONGS_EQUAL(0, lost.size());
}

// Without a complete scan nothing is known to be missing.
TEST(RestoredTopic, noKeyIsLostWhileTheCopyCannotBeRead)
{
    answerTail({}, 80, 4);
    pages.back()(makeError(ErrorCode::LogUnavailable, "down"));
    timers.advance(2 * Grace);
    LONGS_EQUAL(0, lost.size());
}

TEST(RestoredTopic, readingProvesNothingUntilTheWritersHadTheirTime)
{
    currentTimes.clear();
    answerTail({}, 80, 4);
    const TimePoint restoredAt = timers.now();
    answerPage({{"a", "old", 70}, {"b", "1", 71}}, 80, 4);
    timers.advance(Grace - 1ms);
    answerTail({}, 80, 4);
    answerTail({}, 80, 4);
    LONGS_EQUAL(0, currentTimes.size());
    timers.advance(2ms);
    answerTail({}, 80, 4);
    answerTail({}, 80, 4);
    LONGS_EQUAL(1, currentTimes.size());
    CHECK(currentTimes[0] >= restoredAt + Grace);
}

TEST(RestoredTopic, secondRestoreStartsTheTimeAnew)
{
    answerTail({}, 80, 4);
    answerPage({{"a", "old", 70}}, 80, 4);
    timers.advance(Grace - 1ms);
    answerTail({}, 60, 5);
    answerPage({{"a", "older", 50}}, 60, 5);
    timers.advance(Grace - 1ms);
    LONGS_EQUAL(0, lost.size());
    timers.advance(2ms);
    LONGS_EQUAL(1, lost.size());
}

TEST(RestoredTopic, firstEraProvesNothingUntilItIsKnownToBeSettled)
{
    settledEra = 2;
    currentTimes.clear();
    answerTail({}, 92, 3);
    LONGS_EQUAL(0, currentTimes.size());
    settledEra = 3;
    answerTail({}, 92, 3);
    LONGS_EQUAL(1, currentTimes.size());
}
