#include <cmath>
#include <string>

#include "base/json.h"
#include "base/randomsource.h"
#include "observe/burn.h"
#include "observe/burnreport.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(LogHistogram)
{
    LogScale scale{0.001, 1.1, 200};
};

TEST(LogHistogram, quantilesAreExactToOneBucket)
{
    LogHistogram histogram(scale);
    for (int i = 1; i <= 1000; ++i)
        histogram.add(i / 1000.0);
    for (const double share : {0.1, 0.5, 0.95, 0.99})
        DOUBLES_EQUAL(1.0, histogram.quantile(share) / share, 0.1);
}

TEST(LogHistogram, mergedHistogramEqualsSumOfValues)
{
    RandomSource random(3);
    LogHistogram one(scale);
    LogHistogram other(scale);
    LogHistogram both(scale);
    for (int i = 0; i < 500; ++i) {
        const double value = random.exponential(1);
        (i % 3 == 0 ? one : other).add(value);
        both.add(value);
    }
    one.merge(other);
    CHECK(one.counts() == both.counts());
    CHECK_EQUAL(500U, one.total());
}

TEST(LogHistogram, valuesOutsideTheScaleAreKept)
{
    LogHistogram histogram(scale);
    histogram.add(0);
    histogram.add(-1);
    histogram.add(1e30);
    CHECK_EQUAL(3U, histogram.total());
    CHECK_EQUAL(2U, histogram.counts().front());
    CHECK_EQUAL(1U, histogram.counts().back());
}

TEST_GROUP(AnswerTimes)
{
    ObjectiveObject objective;

    void setup() override
    {
        objective.firstToken = 1s;
        objective.tokenGap = 50ms;
        objective.stall = 2s;
    }
};

TEST(AnswerTimes, objectivesAreMetUpToTheirLimits)
{
    AnswerTimes times(objective, TimePoint(5s));
    CHECK(!times.meetsFirstToken());
    for (int i = 0; i <= 10; ++i)
        times.onToken(TimePoint(6s + i * 50ms));
    CHECK(times.meetsFirstToken() && times.meetsTokenGap() && times.meetsStall());
    CHECK(times.firstToken() == 1s);
    CHECK(times.meanGap() == 50ms);
}

TEST(AnswerTimes, oneLongGapInAHundredIsAllowed)
{
    for (const int tokens : {100, 101}) {
        AnswerTimes times(objective, TimePoint());
        for (int i = 0; i < tokens; ++i)
            times.onToken(TimePoint(i * 10ms + (i > 0 ? 3s : 0s)));
        // 101 tokens have 100 gaps, one of them long.
        CHECK_EQUAL(tokens == 101, times.meetsTokenGap());
        CHECK(!times.meetsStall());
    }
}

TEST_GROUP(Burn)
{
    ObjectSet objects;
    BurnRecorder recorder;

    void setup() override
    {
        ObjectiveObject objective;
        objective.name = "prompt";
        objective.firstToken = 1s;
        objective.share = 0.9;
        objective.wholeAnswers = 0.99;
        objects.objectives["prompt"] = objective;
        ServiceObject service;
        service.name = "sheets";
        service.objective = "prompt";
        objects.services["sheets"] = service;
    }

    void record(const BurnKey &key, bool isQuick, bool isWhole, TimePoint now)
    {
        AnswerTimes times(objects.objectives["prompt"], now - 10s);
        times.onToken(now - (isQuick ? 9500ms : 1s));
        recorder.record(key, times, isWhole, now);
    }

    static const BurnRow *find(const std::vector<BurnRow> &rows, BurnAspect aspect)
    {
        for (const BurnRow &row : rows) {
            if (row.aspect == aspect)
                return &row;
        }
        return nullptr;
    }

    static double rate(const BurnRow &row, BurnWindow window)
    {
        return row.rates[static_cast<std::size_t>(window)];
    }
};

TEST(Burn, rateIsErrorRatioDividedByBudget)
{
    for (int i = 0; i < 100; ++i)
        record({"sheets", "depot", "bzh-1"}, i % 5 != 0, i % 50 != 0, TimePoint(1h));
    const auto rows = burnRows(recorder.snapshot(TimePoint(1h)), objects, BurnGrouping::Service);
    DOUBLES_EQUAL(2.0, rate(*find(rows, BurnAspect::FirstToken), BurnWindow::Hour1), 1e-9);
    DOUBLES_EQUAL(2.0, rate(*find(rows, BurnAspect::WholeAnswer), BurnWindow::Days3), 1e-9);
    CHECK(find(rows, BurnAspect::Stall) == nullptr);
}

TEST(Burn, windowsExcludeOlderAnswers)
{
    record({"sheets", "depot", "bzh-1"}, false, true, TimePoint(1h));
    const auto rateAfter = [this](Duration span, BurnWindow window) {
        const TimePoint now = TimePoint(1h) + span;
        const auto rows = burnRows(recorder.snapshot(now), objects, BurnGrouping::Service);
        const BurnRow *row = find(rows, BurnAspect::FirstToken);
        return row == nullptr ? 0 : rate(*row, window);
    };
    CHECK(rateAfter(4min, BurnWindow::Minutes5) > 0);
    CHECK_EQUAL(0.0, rateAfter(6min, BurnWindow::Minutes5));
    CHECK(rateAfter(6min, BurnWindow::Minutes30) > 0);
    CHECK(rateAfter(5h, BurnWindow::Hours6) > 0);
    CHECK_EQUAL(0.0, rateAfter(7h, BurnWindow::Hours6));
    for (int i = 1; i < 70; ++i)
        record({"sheets", "other", "bzh-1"}, true, true, TimePoint(1h + i * 1h));
    CHECK(rateAfter(70h, BurnWindow::Days3) > 0);
    CHECK_EQUAL(0.0, rateAfter(74h, BurnWindow::Days3));
}

TEST(Burn, groupsByOrganisationAndZone)
{
    record({"sheets", "depot", "bzh-1"}, false, true, TimePoint(1h));
    record({"sheets", "canteen", "bzh-2"}, true, true, TimePoint(1h));
    const BurnSnapshot snapshot = recorder.snapshot(TimePoint(1h));
    const auto byOrganisation = burnRows(snapshot, objects, BurnGrouping::Organisation);
    STRCMP_EQUAL("depot", byOrganisation.front().key.organisation.c_str());
    CHECK_EQUAL(4U, byOrganisation.size());
    const auto byZone = burnRows(snapshot, objects, BurnGrouping::Zone);
    STRCMP_EQUAL("bzh-1", byZone.front().key.zone.c_str());
}

TEST(Burn, alertNeedsBothWindows)
{
    for (int i = 0; i < 20; ++i)
        record({"sheets", "depot", "bzh-1"}, true, false, TimePoint(1h));
    auto rows = burnRows(recorder.snapshot(TimePoint(1h)), objects, BurnGrouping::Service);
    CHECK(find(rows, BurnAspect::WholeAnswer)->alert == BurnAlert::Page);
    CHECK(find(rows, BurnAspect::FirstToken)->alert == BurnAlert::None);
    // After the failure has ended the short windows are clear, but six hours still cause a ticket.
    rows = burnRows(recorder.snapshot(TimePoint(2h)), objects, BurnGrouping::Service);
    CHECK(find(rows, BurnAspect::WholeAnswer)->alert == BurnAlert::Ticket);
}

TEST(Burn, largeBudgetStillAlerts)
{
    objects.objectives["prompt"].share = 0.8;
    for (int i = 0; i < 20; ++i)
        record({"sheets", "depot", "bzh-1"}, false, true, TimePoint(1h));
    const auto rows = burnRows(recorder.snapshot(TimePoint(1h)), objects, BurnGrouping::Service);
    CHECK(find(rows, BurnAspect::FirstToken)->alert == BurnAlert::Page);
}

TEST(Burn, mergedSnapshotsAddUpThroughJson)
{
    BurnRecorder second;
    record({"sheets", "depot", "bzh-1"}, false, true, TimePoint(1h));
    AnswerTimes times(objects.objectives["prompt"], TimePoint(1h));
    times.onToken(TimePoint(1h) + 100ms);
    times.onToken(TimePoint(1h) + 150ms);
    second.record({"sheets", "depot", "bzh-1"}, times, true, TimePoint(1h));
    const auto parsed = BurnSnapshot::fromJson(second.snapshot(TimePoint(1h)).toJson());
    CHECK(parsed.ok());
    BurnSnapshot merged = recorder.snapshot(TimePoint(1h));
    merged.merge(*parsed);
    const auto rows = burnRows(merged, objects, BurnGrouping::Service);
    DOUBLES_EQUAL(5.0, rate(*find(rows, BurnAspect::FirstToken), BurnWindow::Hour1), 1e-9);
    CHECK_EQUAL(2U, merged.times.at("sheets").firstToken.total());
    CHECK_EQUAL(1U, merged.times.at("sheets").meanGap.total());
}

TEST(Burn, invalidJsonIsRejected)
{
    const Json::Value good = recorder.snapshot(TimePoint(1h)).toJson();
    CHECK(BurnSnapshot::fromJson(good).ok());
    for (const char *text :
         {"{}", "[]", R"({"series":[1],"times":{}})", R"({"series":[{}],"times":{}})",
          R"({"series":[],"times":{"s":{"first-token":[[64,1]],"mean-gap":[],"longest-gap":[]}}})",
          R"({"series":[],"times":{"s":{"first-token":[[1,-1]],"mean-gap":[],"longest-gap":[]}}})",
          R"({"series":[{"service":"s","organisation":"o","zone":"z","5m":[1]}],"times":{}})"}) {
        const auto value = parseJson(text);
        CHECK(value.ok());
        CHECK(errorCode(BurnSnapshot::fromJson(*value).status()) == ErrorCode::JsonInvalid);
    }
}

TEST(Burn, organisationsOverTheLimitAreCountedTogether)
{
    BurnRecorder small(10);
    const AnswerTimes times(objects.objectives["prompt"], TimePoint(1h));
    for (int i = 0; i < 1000; ++i)
        small.record({"sheets", std::to_string(i), "bzh-1"}, times, true, TimePoint(1h));
    const BurnSnapshot snapshot = small.snapshot(TimePoint(1h));
    CHECK_EQUAL(11U, snapshot.series.size());
    const auto rows = burnRows(snapshot, objects, BurnGrouping::Service);
    CHECK_EQUAL(1000U, rows.front().answers.back());
}

TEST(Burn, pageIsSelfContainedAndEscapesNames)
{
    record({"sheets", "<script>alert(1)</script>", "bzh-1"}, false, true, TimePoint(1h));
    const BurnSnapshot snapshot = recorder.snapshot(TimePoint(1h));
    const auto rows = burnRows(snapshot, objects, BurnGrouping::Organisation);
    const std::string html = renderBurnHtml(rows, snapshot);
    CHECK(html.find("<svg") != std::string::npos);
    CHECK(html.find("<script") == std::string::npos);
    CHECK(html.find("http") == std::string::npos);
    CHECK(html.find("&lt;script&gt;") != std::string::npos);
    const std::string text = renderBurnText(rows);
    CHECK(text.find("page: burn above 14.4 over 1h and 5m") != std::string::npos);
}
