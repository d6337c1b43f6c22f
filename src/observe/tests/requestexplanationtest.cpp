#include <sstream>

#include "observe/tests/logcapture.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

static std::string line(const std::string &time, const char *part, const std::string &message,
                        const std::string &request = "")
{
    return R"({"time":"2026-03-21T12:55:)" + time + R"(Z","level":"info","part":")" + part
           + R"(","message":")" + message + '"'
           + (request.empty() ? "" : R"(,"request":")" + request + '"') + "}\n";
}

TEST_GROUP(ExplainRequest)
{
    LogSet logs;

    void read(const std::string &text, const std::string &name = "file")
    {
        std::istringstream stream(text);
        logs.read(stream, name);
    }

    std::string explanationOf(const std::string &request)
    {
        const absl::StatusOr<RequestExplanation> story = explainRequest(logs, request);
        CHECK(story.ok());
        std::string text;
        for (const LoggedLine &record : story->records)
            text += record.message + "|";
        return text;
    }
};

TEST(ExplainRequest, validLinesAreRead)
{
    read(line("01.5", "calls", "m", "r1"), "one");
    read("  33.5217 vm-2 " + line("02", "daemon", "Started as vm-2."));
    LONGS_EQUAL(2, logs.records.size());
    CHECK(logs.parseErrors.empty());
    STRCMP_EQUAL("one", logs.records[0].source.c_str());
    STRCMP_EQUAL("r1", logs.records[0].request.c_str());
    CHECK(logs.records[0].part == LogPart::Calls);
    STRCMP_EQUAL("vm-2", logs.records[1].source.c_str());
}

TEST(ExplainRequest, invalidLinesAreReported)
{
    const std::string whole = line("01.5", "calls", "m", "r1");
    for (const std::string &faulty :
         {std::string("no JSON\n"), whole.substr(0, whole.size() / 2) + '\n',
          line("1.5", "calls", "m"), line("01.5", "nowhere", "m"), line("01.5", "calls", ""),
          std::string(
                  R"({"time":"2026-03-21T12:55:01Z","level":"loud","part":"calls","message":"m"})"),
          std::string(
                  R"({"time":"2026-03-21T12:55:01Z","level":"info","part":"calls","message":"m","x":1})"),
          std::string(
                  R"({"time":"2026-03-21T12:55:01Z","level":"info","part":"calls","message":"m","count":"x"})"),
          std::string(
                  R"({"time":"2026-03-21T12:55:01Z","level":"info","part":"calls","message":"m","request":""})")}) {
        LogSet set;
        std::istringstream stream("\n" + faulty);
        set.read(stream, "f");
        LONGS_EQUAL_TEXT(1, set.parseErrors.size(), faulty.c_str());
        LONGS_EQUAL(2, set.parseErrors[0].line);
        CHECK(set.records.empty());
    }
}

TEST(ExplainRequest, refusalIsExplainedByNodeState)
{
    read(line("00", "config", "The catalogue can't be read: reset")
                 + line("05", "callers", "Refused: stale-keys catalog=6", "r1")
                 + line("09", "config", "The catalogue can be read again."),
         "a");
    read(line("01", "config", "Catalogue 7 is in force."), "b");
    STRCMP_EQUAL("The catalogue can't be read: reset|Refused: stale-keys catalog=6|",
                 explanationOf("r1").c_str());
    STRCMP_EQUAL("It was refused by a before it was placed: stale-keys catalog=6.",
                 explainRequest(logs, "r1")->cause.c_str());
}

TEST(ExplainRequest, brokenStreamIsExplainedByTargetAndFailedCopy)
{
    read(line("02", "routing", "Sent to i-1 in z load=2", "r1")
                 + line("04.2", "targets", "Target i-1 of s is leaving.")
                 + line("05", "calls", "Copy to i-2 failed: reset", "r1")
                 + line("05.1", "calls", "Request ended: broken-off target=i-1", "r1"),
         "a");
    read(line("04.1", "targets", "Target i-1 of s is leaving.")
                 + line("03", "targets", "Target i-9 of s is leaving."),
         "b");
    const absl::StatusOr<RequestExplanation> story = explainRequest(logs, "r1");
    LONGS_EQUAL(4, story->records.size());
    STRCMP_EQUAL("b", story->records[1].source.c_str());
    STRCMP_EQUAL("It ended at a: broken-off target=i-1; before that: Copy to i-2 failed: reset",
                 story->cause.c_str());
}

TEST(ExplainRequest, requestOfKilledNodeIsExplainedByRestart)
{
    read(line("02", "routing", "Sent to i-1 in z", "r1") + line("09", "daemon", "Started as a."),
         "a");
    STRCMP_EQUAL("a was killed while the request was in progress, and started again at "
                 "2026-03-21T12:55:09.000000Z.",
                 explainRequest(logs, "r1")->cause.c_str());
    CHECK(errorCode(explainRequest(logs, "r2").status()) == ErrorCode::NotFound);
}

// All written lines conform to the schema, including the notice of dropped lines.
TEST(ExplainRequest, boundedLogsAreValidWhenReaderStalls)
{
    TimePoint now{};
    LogCapture capture([&now] { return now; });
    for (int i = 0; i < 2000; ++i)
        logRequest(LogPart::Calls, LogLevel::Info, "r" + std::to_string(i), "Request ended: done");
    now += std::chrono::seconds(5);
    logLine(LogPart::Daemon, LogLevel::Info, "Later.");
    logs = capture.finish();
    CHECK(logs.parseErrors.empty());
    CHECK(logs.records.size() >= 400);
    CHECK(logs.records.size() < 500);
}
