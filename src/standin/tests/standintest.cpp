#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "standin/engine.h"
#include "standin/logstore.h"
#include "standin/plainservice.h"
#include "standin/standin.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace currantwalk::standin;
using namespace std::chrono_literals;

TEST_GROUP(Engine)
{
    VirtualTimerService timers;
    std::vector<std::uint32_t> positions;
    std::string endReason;

    static Engine::Options options()
    {
        Engine::Options options;
        options.capacityTokens = 400;
        options.models = {{"small", "1"}};
        return options;
    }

    static EngineRequest request(const std::string &attempt)
    {
        EngineRequest request;
        request.attempt = attempt;
        request.model = "small";
        request.prompt = "Is the case ready to run?";
        request.maxTokens = 300;
        return request;
    }

    EngineReader reader()
    {
        EngineReader reader;
        reader.onToken = [this](std::uint32_t position, const std::string &) {
            positions.push_back(position);
        };
        reader.onEnd = [this](const std::string &reason, std::uint32_t) { endReason = reason; };
        reader.onCancelled = [this] { endReason = "cancelled"; };
        return reader;
    }

    void checkPositionsGrowByOne()
    {
        for (std::size_t i = 0; i < positions.size(); ++i)
            CHECK_EQUAL(i, positions[i]);
    }
};

TEST(Engine, generatesEachPositionOnceThoughItPreempts)
{
    Engine engine(options(), timers, 1);
    for (int i = 0; i < 6; ++i)
        CHECK(engine.open(request("other-" + std::to_string(i))).ok());
    const absl::StatusOr<std::uint64_t> generation = engine.open(request("watched"));
    CHECK(generation.ok());
    CHECK(engine.read(*generation, 0, reader()).ok());
    timers.advance(120s);
    CHECK(!endReason.empty());
    checkPositionsGrowByOne();
    CHECK(engine.laggingLoad().load.preemptions > 0);
    CHECK_EQUAL(0U, engine.laggingLoad().load.usedTokens);
}

TEST(Engine, sameAttemptAttachesToTheSameGeneration)
{
    Engine engine(options(), timers, 1);
    const absl::StatusOr<std::uint64_t> first = engine.open(request("a"));
    const absl::StatusOr<std::uint64_t> second = engine.open(request("a"));
    CHECK_EQUAL(*first, *second);
    CHECK_EQUAL(1U, engine.generationsRun());
}

TEST(Engine, resumesFromAPosition)
{
    Engine engine(options(), timers, 1);
    const std::uint64_t generation = *engine.open(request("a"));
    CHECK(engine.read(generation, 0, reader()).ok());
    timers.advance(300ms);
    engine.detach(generation);
    const std::size_t seen = positions.size();
    CHECK(seen > 0);
    timers.advance(300ms);
    CHECK(engine.read(generation, static_cast<std::uint32_t>(seen), reader()).ok());
    timers.advance(60s);
    checkPositionsGrowByOne();
    CHECK(!endReason.empty());
}

TEST(Engine, cancelFreesMemoryAndTellsTheReader)
{
    Engine engine(options(), timers, 1);
    const std::uint64_t generation = *engine.open(request("a"));
    CHECK(engine.read(generation, 0, reader()).ok());
    timers.advance(100ms);
    CHECK(engine.cancel(generation));
    STRCMP_EQUAL("cancelled", endReason.c_str());
    CHECK(!engine.cancel(generation));
}

TEST(Engine, refusesOldFencesUnlessItIgnoresThem)
{
    Engine strict(options(), timers, 1);
    CHECK(strict.order(7, {{"small", "2"}}).ok());
    CHECK(errorCode(strict.order(6, {{"small", "1"}})) == ErrorCode::FencedOff);
    STRCMP_EQUAL("2", strict.models()[0].version.c_str());
    Engine::Options lax = options();
    lax.checksFencing = false;
    Engine ignoring(lax, timers, 1);
    CHECK(ignoring.order(7, {{"small", "2"}}).ok());
    CHECK(ignoring.order(6, {{"small", "1"}}).ok());
}

TEST(Engine, leavingEngineTakesNothingNew)
{
    Engine engine(options(), timers, 1);
    engine.setLeaving();
    CHECK(errorCode(engine.open(request("a")).status()) == ErrorCode::TargetRefused);
}

TEST_GROUP(LogStore)
{
    VirtualTimerService timers;
};

TEST(LogStore, offsetsGrowAndExpiredRecordsAreRefused)
{
    LogStore::Options options;
    options.recordLifetime = 10s;
    LogStore log(options, timers);
    CHECK_EQUAL(1U, log.append("s", {"a", "b"})->front());
    timers.advance(11s);
    CHECK_EQUAL(3U, log.append("s", {"c"})->front());
    CHECK(errorCode(log.read("s", 1, 10).status()) == ErrorCode::LogRecordsExpired);
    const absl::StatusOr<LogPage> page = log.read("s", 3, 10);
    CHECK_EQUAL(1U, page->records.size());
    CHECK_EQUAL(4U, page->end);
}

TEST(LogStore, limitsAppendsASecond)
{
    LogStore::Options options;
    options.appendsPerSecond = 2;
    LogStore log(options, timers);
    CHECK(log.append("s", {"a"}).ok());
    CHECK(log.append("s", {"b"}).ok());
    CHECK(errorCode(log.append("s", {"c"}).status()) == ErrorCode::LogUnavailable);
    timers.advance(1s);
    CHECK(log.append("s", {"c"}).ok());
}

TEST_GROUP(PlainService){};

TEST(PlainService, countsRunsAndStoresKeysOnlyWhereDeclared)
{
    PlainService counting(false);
    counting.handle("POST", "/reserve", "k", "{}");
    counting.handle("POST", "/reserve", "k", "{}");
    CHECK_EQUAL(2U, counting.runs("/reserve", "{}"));
    CHECK(!counting.storedAnswer("k"));
    PlainService storing(true);
    storing.handle("POST", "/reserve", "k", "{}");
    storing.handle("POST", "/reserve", "k", "{}");
    CHECK_EQUAL(1U, storing.runs("/reserve", "{}"));
    CHECK(storing.storedAnswer("k").has_value());
}

TEST_GROUP(Layout){};

TEST(Layout, namesTheLineOfAFault)
{
    const absl::StatusOr<Layout> layout = Layout::parse("seed = 1\n[[target]]\nid = \"e\"\n");
    CHECK(errorCode(layout.status()) == ErrorCode::SettingsInvalid);
    CHECK(layout.status().message().find("line 2") != absl::string_view::npos);
    CHECK(!Layout::parse("[").ok());
}
