#include <algorithm>
#include <string>
#include <vector>

#include "fleetfixture.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static const char *const StreamBody =
        R"({"model":"small","prompt":"plan the week","max_tokens":200,"stream":true})";

TEST_GROUP(Node)
{
    FleetFixture fleet{testLayout(2)};

    void setup() override
    {
        fleet.addNode("a");
        fleet.addNode("b");
        fleet.publish(testObjects());
    }

    void checkWhole(const CallerAnswer &answer, std::size_t tokens)
    {
        CHECK(answer.end.ok());
        CHECK(answer.isDone());
        CHECK_EQUAL(tokens, answer.tokens());
    }
};

TEST(Node, streamsAWholeAnswer)
{
    const std::shared_ptr<CallerAnswer> answer = fleet.complete(fleet.node(0), StreamBody);
    fleet.runUntil([&] { return answer->isEnded; });
    CHECK_EQUAL(200, answer->status);
    checkWhole(*answer, 200);
}

TEST(Node, answersWhole)
{
    const std::shared_ptr<CallerAnswer> answer = fleet.complete(
            fleet.node(1), R"({"model":"answers","prompt":"ready?","max_tokens":20})");
    fleet.runUntil([&] { return answer->isEnded; });
    CHECK_EQUAL(200, answer->status);
    CHECK(answer->body.find("\"completion_tokens\":20") != std::string::npos);
}

TEST(Node, refusesStrangersAndUnknownModels)
{
    const std::shared_ptr<CallerAnswer> unknown =
            fleet.complete(fleet.node(0), R"({"model":"none","prompt":"p"})");
    fleet.runUntil([&] { return unknown->isEnded; });
    CHECK_EQUAL(404, unknown->status);
    STRCMP_EQUAL("unknown_model", unknown->error("code").c_str());
    STRCMP_EQUAL("not-run", unknown->error("outcome").c_str());
}

TEST(Node, resumesTheSameGenerationThroughAnotherNodeAfterAKill)
{
    const std::shared_ptr<CallerAnswer> first = fleet.complete(fleet.node(0), StreamBody);
    fleet.runUntil([&] { return first->tokens() >= 20; });
    fleet.killNode(0);
    fleet.runUntil([&] { return first->isEnded; });
    CHECK(!first->isDone());
    const std::shared_ptr<CallerAnswer> second =
            fleet.complete(fleet.node(1), "", {{"last-event-id", first->lastEventId()}});
    fleet.runUntil([&] { return second->isEnded; });
    CHECK(second->isDone());
    CHECK_EQUAL(200U, first->tokens() + second->tokens());
    std::uint64_t generations = 0;
    for (const char *id : {"engine-0", "engine-1"})
        generations += fleet.standin().engine(id)->engine().generationsRun();
    CHECK_EQUAL(1U, generations);
}

TEST(Node, resumesAfterAResetLink)
{
    const std::shared_ptr<CallerAnswer> answer = fleet.complete(fleet.node(0), StreamBody);
    fleet.runUntil([&] { return answer->tokens() >= 20; });
    fleet.standin().engine("engine-0")->cutStreams();
    fleet.standin().engine("engine-1")->cutStreams();
    fleet.runUntil([&] { return answer->isEnded; });
    checkWhole(*answer, 200);
}

TEST(Node, endsTypedWhenTheEngineDiesAfterTokens)
{
    const std::shared_ptr<CallerAnswer> answer = fleet.complete(fleet.node(0), StreamBody);
    fleet.runUntil([&] { return answer->tokens() >= 20; });
    // An engine that is back with a higher incarnation says that the generation is lost; one that
    // stays away is tried for the resume window, which the tests of GenerationCall cover.
    fleet.standin().engine("engine-0")->crash(100ms);
    fleet.standin().engine("engine-1")->crash(100ms);
    fleet.runUntil([&] { return answer->isEnded; });
    CHECK(!answer->isDone());
    STRCMP_EQUAL("generation_lost", answer->error("code").c_str());
}

TEST(Node, restartsWhereTheCallerAskedForIt)
{
    const std::shared_ptr<CallerAnswer> answer =
            fleet.complete(fleet.node(0), StreamBody, {{"x-on-loss", "restart"}});
    fleet.runUntil([&] { return answer->tokens() >= 20; });
    const bool isFirst = fleet.standin().engine("engine-0")->engine().generationsRun() > 0;
    fleet.standin().engine(isFirst ? "engine-0" : "engine-1")->crash(0s);
    fleet.runUntil([&] { return answer->isEnded; });
    CHECK(answer->isDone());
    std::size_t afterRestart = 0;
    bool isRestarted = false;
    for (const SseEvent &event : answer->events) {
        isRestarted = isRestarted || event.type == "restart";
        afterRestart += isRestarted && event.type.empty() && !event.id.empty() ? 1 : 0;
    }
    CHECK(isRestarted);
    CHECK_EQUAL(200U, afterRestart);
}

TEST(Node, runsAWriteOnceForOneKeyAtTwoNodes)
{
    const HttpHeaders key{{"idempotency-key", "order-1"}};
    const std::string path = "/services/desk/reservations";
    const std::shared_ptr<CallerAnswer> first =
            fleet.request(fleet.node(0).callersEndpoint(), "POST", path, "{}", key);
    const std::shared_ptr<CallerAnswer> second =
            fleet.request(fleet.node(1).callersEndpoint(), "POST", path, "{}", key);
    fleet.runUntil([&] { return first->isEnded && second->isEnded; });
    CHECK_EQUAL(201, first->status);
    CHECK_EQUAL(201, second->status);
    STRCMP_EQUAL(first->body.c_str(), second->body.c_str());
    CHECK_EQUAL(1U, fleet.standin().plainService("desk")->writes());
}

TEST(Node, saysNotRunWhileTheLogIsOut)
{
    fleet.control("faults/log", R"({"kind":"outage"})");
    const std::shared_ptr<CallerAnswer> answer =
            fleet.request(fleet.node(0).callersEndpoint(), "POST", "/services/desk/reservations",
                          "{}", {{"idempotency-key", "order-2"}, {"x-timeout-ms", "3000"}});
    fleet.runUntil([&] { return answer->isEnded; });
    CHECK(answer->status >= 500);
    CHECK(answer->error("outcome") == "not-run" || answer->error("outcome") == "unknown");
    CHECK_EQUAL(0U, fleet.standin().plainService("desk")->writes());
}

TEST(Node, drainFinishesWhatIsInProgress)
{
    const std::shared_ptr<CallerAnswer> answer = fleet.complete(fleet.node(0), StreamBody);
    fleet.runUntil([&] { return answer->tokens() >= 5; });
    fleet.node(0).beginDrain();
    fleet.runUntil([&] { return !fleet.node(0).drain().isAcceptingRequests(); });
    const std::shared_ptr<CallerAnswer> refused = fleet.complete(fleet.node(0), StreamBody);
    fleet.runUntil([&] { return refused->isEnded; });
    STRCMP_EQUAL("draining", refused->error("code").c_str());
    fleet.runUntil([&] { return answer->isEnded; });
    checkWhole(*answer, 200);
    fleet.runUntil([&] { return fleet.node(0).drain().phase() == DrainPhase::Finished; });
}

TEST(Node, cancelsWhatNobodyWillRead)
{
    const std::shared_ptr<CallerAnswer> answer =
            fleet.complete(fleet.node(0), R"({"model":"small","prompt":"p","max_tokens":4000})");
    const auto generations = [this] {
        return fleet.standin().engine("engine-0")->engine().generationsRun()
               + fleet.standin().engine("engine-1")->engine().generationsRun();
    };
    fleet.runUntil([&] { return generations() == 1; });
    answer->call.reset();
    fleet.runUntil([&] {
        return fleet.standin().engine("engine-0")->cancels()
                       + fleet.standin().engine("engine-1")->cancels()
               == 1;
    });
}

TEST(Node, holdsAnOrganisationToItsLimitAcrossNodes)
{
    ObjectSet objects = testObjects();
    LimitObject limit;
    limit.name = "one";
    limit.streams = 1;
    objects.limits["one"] = limit;
    objects.organisations["org"].limit = "one";
    fleet.publishUpon(objects);
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    for (int i = 0; i < 8; ++i)
        answers.push_back(fleet.complete(fleet.node(0), StreamBody));
    fleet.runUntil([&] {
        return std::all_of(answers.begin(), answers.end(),
                           [](const auto &answer) { return answer->isEnded; });
    });
    std::size_t refused = 0;
    for (const std::shared_ptr<CallerAnswer> &answer : answers) {
        refused += answer->status == 429 ? 1 : 0;
        if (answer->status == 429)
            CHECK(findHeader(answer->headers, "retry-after").has_value());
    }
    CHECK(refused >= 7);
}

TEST(Node, firstRequestUnderALimitIsNotRefused)
{
    ObjectSet objects = testObjects();
    LimitObject limit;
    limit.name = "ample";
    limit.requestsPerSecond = 50;
    limit.tokensPerSecond = 6000;
    limit.streams = 8;
    objects.limits["ample"] = limit;
    objects.organisations["org"].limit = "ample";
    fleet.publishUpon(objects);
    for (std::size_t i = 0; i < 2; ++i) {
        const std::shared_ptr<CallerAnswer> answer = fleet.complete(
                fleet.node(i), R"({"model":"small","prompt":"ready?","max_tokens":3})");
        fleet.runUntil([&] { return answer->isEnded; });
        CHECK_EQUAL(200, answer->status);
    }
}

TEST(Node, refusesARequestThatKillsItsEngines)
{
    const std::vector<std::string> engines{"engine-0", "engine-1"};
    for (const std::string &id : engines)
        fleet.standin().engine(id)->setPoison("poison", 200ms);
    const char *const body = R"({"model":"small","prompt":"a poison pill","max_tokens":50})";
    const std::shared_ptr<CallerAnswer> first = fleet.complete(fleet.node(0), body);
    fleet.runUntil([&] { return first->isEnded; });
    STRCMP_EQUAL("poisonous_request", first->error("code").c_str());
    const auto crashes = [&] {
        std::uint64_t sum = 0;
        for (const std::string &id : engines)
            sum += fleet.standin().engine(id)->crashes();
        return sum;
    };
    CHECK_EQUAL(2U, crashes());
    const std::shared_ptr<CallerAnswer> again = fleet.complete(fleet.node(0), body);
    fleet.runUntil([&] { return again->isEnded; });
    CHECK_EQUAL(422, again->status);
    CHECK_EQUAL(2U, crashes());
}

TEST(Node, nodeLearnsOfPoisonousRequestsWhoseReportsItMissed)
{
    constexpr std::uint64_t Fingerprint = 7;
    fleet.node(0).poison().onReport({Fingerprint, TargetId("engine-0"), 1, 0});
    fleet.node(0).poison().onReport({Fingerprint, TargetId("engine-1"), 1, 0});
    fleet.addNode("a");
    const auto haveAll = [this](Suspicion suspicion) {
        const std::vector<std::size_t> nodes{0, 1, 2};
        return std::all_of(nodes.begin(), nodes.end(), [&](std::size_t node) {
            return fleet.node(node).poison().suspicion(Fingerprint) == suspicion;
        });
    };
    fleet.runUntil([&] { return haveAll(Suspicion::Refused); });
    fleet.node(1).poison().clear(Fingerprint);
    fleet.runUntil([&] { return haveAll(Suspicion::None); });
}

TEST(Node, servesAnInnocentRequestWhileEnginesRestart)
{
    for (const char *id : {"engine-0", "engine-1"})
        fleet.standin().engine(id)->crash(200ms);
    const std::shared_ptr<CallerAnswer> innocent =
            fleet.complete(fleet.node(1), R"({"model":"small","prompt":"ready?","max_tokens":5})");
    fleet.runUntil([&] { return innocent->isEnded; });
    CHECK_EQUAL(200, innocent->status);
}

TEST(Node, explainsAndReportsToOperatorsWithTheKeyAlone)
{
    const std::shared_ptr<CallerAnswer> answer = fleet.complete(fleet.node(0), StreamBody);
    fleet.runUntil([&] { return answer->isEnded; });
    Json::Value params(Json::objectValue);
    params["request"] = std::string(*findHeader(answer->headers, "x-request-id"));
    const absl::StatusOr<Json::Value> explained = fleet.operate(fleet.node(0), "explain", params);
    CHECK(explained.ok());
    CHECK_EQUAL(1U, (*explained)["attempts"].size());
    const std::shared_ptr<CallerAnswer> stranger =
            fleet.request(fleet.node(0).operatorsEndpoint(), "POST", "/rpc",
                          R"({"jsonrpc":"2.0","id":1,"method":"drain","params":{}})");
    fleet.runUntil([&] { return stranger->isEnded; });
    CHECK_EQUAL(401, stranger->status);
    CHECK(fleet.node(0).drain().isAcceptingRequests());
}
