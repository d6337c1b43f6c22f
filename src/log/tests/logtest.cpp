#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "log/appender.h"
#include "log/streamreader.h"
#include "log/tests/fakelog.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(StreamReader)
{
    VirtualTimerService timers;
    RandomSource random{1};
    FakeLog log{timers, 1};
    FakeLog::Client &client = log.addClient();
    std::vector<LogRecord> records;
    std::vector<StreamGap> gaps;
    int failures = 0;
    std::optional<TimePoint> caughtUp;
    std::unique_ptr<StreamReader> reader;

    void startReader(std::size_t pageSize = 256, LogOffset from = 1)
    {
        StreamReader::Options options;
        options.from = from;
        options.stream = "s";
        options.pageSize = pageSize;
        StreamReader::Hooks hooks;
        hooks.onRecord = [this](const LogRecord &record) { records.push_back(record); };
        hooks.onGap = [this](const StreamGap &gap) { gaps.push_back(gap); };
        hooks.onFailure = [this](const absl::Status &) { ++failures; };
        hooks.onCaughtUp = [this](TimePoint asOf) { caughtUp = asOf; };
        reader = StreamReader::create(options, std::move(hooks), client.hooks, timers, random);
        reader->start();
    }
};

TEST(StreamReader, deliversInOrderOverSeveralPages)
{
    for (int i = 1; i <= 10; ++i)
        log.put("s", std::to_string(i));
    startReader(3);
    timers.advance(1s);
    CHECK_EQUAL(10U, records.size());
    for (std::size_t i = 0; i < records.size(); ++i)
        CHECK_EQUAL(i + 1, records[i].offset);
    CHECK(caughtUp.has_value());
    log.put("s", "late");
    timers.advance(1s);
    CHECK_EQUAL(11U, records.size());
}

TEST(StreamReader, reportsExpiredRecordsAndContinues)
{
    for (int i = 1; i <= 10; ++i)
        log.put("s", std::to_string(i));
    log.expireBelow("s", 6);
    startReader();
    timers.advance(1s);
    CHECK_EQUAL(1U, gaps.size());
    CHECK_EQUAL(1U, gaps[0].expected);
    CHECK_EQUAL(6U, gaps[0].oldest);
    CHECK_EQUAL(5U, records.size());
}

TEST(StreamReader, startsAtTheEndIfFromIsZero)
{
    startReader(256, 0);
    timers.advance(1s);
    CHECK(gaps.empty());
    CHECK(caughtUp.has_value());
    log.put("s", "a");
    timers.advance(1s);
    CHECK_EQUAL(1U, records.size());
    startReader(256, 0);
    timers.advance(1s);
    CHECK_EQUAL(1U, gaps.size());
    CHECK_EQUAL(2U, gaps[0].oldest);
    log.put("s", "b");
    timers.advance(1s);
    CHECK_EQUAL(2U, records.size());
}

TEST(StreamReader, backsOffWhileTheLogIsUnavailable)
{
    log.faults.isUnavailable = true;
    startReader();
    timers.advance(60s);
    CHECK(failures >= 12); // At most 5 s apart.
    CHECK(failures < 40);  // Polls without backoff would be 120.
    CHECK(!reader->isHealthy());
    log.put("s", "x");
    log.faults.isUnavailable = false;
    timers.advance(6s);
    CHECK_EQUAL(1U, records.size());
    CHECK(reader->isHealthy());
}

TEST(StreamReader, continuesAfterReadTimeouts)
{
    log.put("s", "x");
    client.isDisconnected = true;
    startReader();
    timers.advance(20s);
    CHECK(failures > 0);
    client.isDisconnected = false;
    timers.advance(10s);
    CHECK_EQUAL(1U, records.size());
}

TEST(StreamReader, mayBeDestroyedWhileReading)
{
    log.put("s", "x");
    startReader();
    timers.advance(1ms);
    reader.reset();
    timers.advance(1s);
    CHECK_EQUAL(0U, timers.pending());
    CHECK(records.empty());
}

TEST_GROUP(Appender)
{
    VirtualTimerService timers;
    RandomSource random{1};
    FakeLog log{timers, 1};
    FakeLog::Client &client = log.addClient();
    std::unique_ptr<Appender> appender = make(Appender::Options());
    std::vector<absl::StatusOr<LogOffset>> results;

    std::unique_ptr<Appender> make(Appender::Options options)
    {
        options.stream = "s";
        return Appender::create(options, client.hooks, timers, random);
    }

    void append(const std::string &record)
    {
        appender->append(record, [this](const absl::StatusOr<LogOffset> &result) {
            results.push_back(result);
        });
    }
};

TEST(Appender, batchesRecordsIntoOneAppend)
{
    for (int i = 0; i < 20; ++i)
        append(std::to_string(i));
    CHECK_EQUAL(20U, appender->unsettled());
    timers.advance(1s);
    CHECK_EQUAL(1U, log.appendCount);
    CHECK_EQUAL(20U, results.size());
    for (std::size_t i = 0; i < results.size(); ++i)
        CHECK_EQUAL(i + 1, *results[i]);
    CHECK_EQUAL(0U, appender->unsettled());
}

TEST(Appender, resolvesAnswerLostAfterTheEffect)
{
    log.put("s", "other");
    log.faults.loseAfterEffect = 1;
    append("a");
    append("b");
    timers.advance(1s);
    CHECK_EQUAL(2U, results.size());
    CHECK_EQUAL(2U, *results[0]);
    CHECK_EQUAL(3U, *results[1]);
}

TEST(Appender, reportsAnswerLostIfTheStreamLacksTheRecord)
{
    log.faults.loseBeforeEffect = 1;
    append("a");
    timers.advance(10s);
    CHECK_EQUAL(1U, results.size());
    CHECK(errorCode(results[0].status()) == ErrorCode::LogAnswerLost);
    CHECK(log.records("s").empty());
}

TEST(Appender, reportsUnavailableDuringAnOutage)
{
    log.faults.isUnavailable = true;
    append("a");
    timers.advance(1s);
    CHECK_EQUAL(1U, results.size());
    CHECK(errorCode(results[0].status()) == ErrorCode::LogUnavailable);
}

TEST(Appender, rejectsRecordsBeyondTheQueueLimit)
{
    Appender::Options options;
    options.maxQueued = 2;
    appender = make(options);
    append("a");
    append("b");
    append("c");
    timers.advance(1s);
    CHECK_EQUAL(3U, results.size());
    CHECK(errorCode(results[0].status()) == ErrorCode::Overloaded);
    CHECK(results[1].ok());
    CHECK(results[2].ok());
}

// Under any loss, each reported offset is correct and each record reported as not appended is
// absent.
TEST(Appender, everyResultAgreesWithTheStream)
{
    log.faults.loseAfterEffect = 0.2;
    log.faults.loseBeforeEffect = 0.1;
    log.faults.lateEffect = 0.1;
    log.faults.silentLoss = 0.5;
    log.faults.failRead = 0.2;
    log.faults.maxExtraDelay = 800ms;
    log.faults.appendsPerSecond = 20;
    std::map<std::string, absl::StatusOr<LogOffset>> byRecord;
    RandomSource draws(3);
    constexpr int Records = 2000;
    for (int i = 0; i < Records; ++i) {
        const std::string record = std::to_string(i);
        appender->append(record, [&byRecord, record](const absl::StatusOr<LogOffset> &result) {
            CHECK(byRecord.emplace(record, result).second);
        });
        timers.advance(draws.jitter(20ms));
    }
    timers.advance(60s);
    CHECK_EQUAL(std::size_t(Records), byRecord.size());
    std::map<std::string, LogOffset> inStream;
    for (const LogRecord &record : log.records("s"))
        inStream.emplace(record.data, record.offset);
    int lost = 0;
    for (const auto &[record, result] : byRecord) {
        if (result.ok())
            CHECK_EQUAL(inStream.at(record), *result);
        else if (errorCode(result.status()) == ErrorCode::LogUnavailable)
            CHECK(!inStream.contains(record));
        else
            ++lost;
    }
    CHECK(lost < Records / 2);
}
