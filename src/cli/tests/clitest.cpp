#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <sysexits.h>

#include "base/json.h"
#include "cli/arguments.h"
#include "cli/commands.h"
#include "cli/exitcode.h"
#include "cli/operatorsession.h"
#include "cli/rendering.h"
#include "cli/texttable.h"
#include "net/eventloop.h"
#include "net/rpc.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static const std::string Sample = std::string(SAMPLES_DIRECTORY) + "/glaz-froid";

static absl::StatusOr<Arguments> parse(std::vector<const char *> words)
{
    words.insert(words.begin(), "currantwalk");
    words.push_back(nullptr);
    return parseArguments(static_cast<int>(words.size()) - 1, words.data());
}

TEST_GROUP(Arguments){};

TEST(Arguments, optionsMayStandAnywhere)
{
    const absl::StatusOr<Arguments> arguments =
            parse({"--node", "127.0.0.1:1", "publish", "--json", "a", "--base=7", "-n", "[::1]:2",
                   "--timeout", "5s", "b"});
    CHECK(arguments.ok());
    STRCMP_EQUAL("publish", arguments->command.c_str());
    CHECK((arguments->operands == std::vector<std::string>{"a", "b"}));
    CHECK_EQUAL(2U, arguments->nodes.size());
    CHECK_EQUAL(7U, *arguments->base);
    CHECK(arguments->isJson);
    CHECK(arguments->timeout == 5s);
}

TEST(Arguments, faultyOptionsAreRefused)
{
    for (const std::vector<const char *> &words :
         std::vector<std::vector<const char *>>{{"--colour"},
                                                {"--base", "x"},
                                                {"--base", ""},
                                                {"--timeout", "5"},
                                                {"--deadline", "soon"},
                                                {"--tls-certificate", "x"},
                                                {"--key-file"}})
        CHECK(errorCode(parse(words).status()) == ErrorCode::InvalidRequest);
    CHECK(errorCode(parse({"--node", "localhost:1"}).status()) == ErrorCode::AddressInvalid);
}

static std::string temporaryFile(const std::string &text)
{
    std::string path = "/tmp/clitest-XXXXXX";
    const int descriptor = mkstemp(path.data());
    CHECK(descriptor >= 0);
    close(descriptor);
    std::ofstream(path) << text;
    return path;
}

TEST_GROUP(Commands)
{
    std::ostringstream out;
    std::ostringstream err;
    std::map<std::string, absl::StatusOr<Json::Value>> answers;
    std::vector<std::pair<std::string, Json::Value>> calls;

    int run(const std::vector<const char *> &words)
    {
        out.str("");
        err.str("");
        calls.clear();
        const absl::StatusOr<Arguments> arguments = parse(words);
        CHECK(arguments.ok());
        const CommandContext context{
                *arguments, out, err, [this](const std::string &method, const Json::Value &params) {
                    calls.emplace_back(method, params);
                    const auto it = answers.find(method);
                    if (it == answers.end())
                        return absl::StatusOr<Json::Value>(
                                makeError(ErrorCode::PeerUnreachable, "no node"));
                    return it->second;
                }};
        return runCommand(context);
    }

    void answer(const std::string &method, const char *json)
    {
        answers.insert_or_assign(method, parseJson(json));
        CHECK(answers.at(method).ok());
    }

    bool outHas(const std::string &text) const
    {
        return out.str().find(text) != std::string::npos;
    }
};

TEST(Commands, eachHasHelp)
{
    for (const Command &command : allCommands()) {
        CHECK_EQUAL(EX_OK, run({"help", command.name}));
        CHECK(outHas(std::string("currantwalk [OPTION...] ") + command.name));
        CHECK_EQUAL(EX_OK, run({command.name, "--help"}));
    }
    CHECK_EQUAL(EX_OK, run({"--help"}));
    CHECK_EQUAL(EX_USAGE, run({}));
    CHECK_EQUAL(EX_USAGE, run({"dance"}));
    CHECK_EQUAL(EX_USAGE, run({"status", "extra"}));
    CHECK(calls.empty());
}

TEST(Commands, checkTellsFaultsAndTheirExitCode)
{
    CHECK_EQUAL(EX_OK, run({"check", Sample.c_str()}));
    const std::string services = Sample + "/services.toml";
    CHECK_EQUAL(EX_DATAERR, run({"check", services.c_str()}));
    CHECK(err.str().find("broken-reference: services/stock: pool") != std::string::npos);
    CHECK_EQUAL(EX_DATAERR, run({"check", "--json", services.c_str()}));
    CHECK(!(*parseJson(out.str()))["faults"].empty());
    CHECK_EQUAL(EX_NOINPUT, run({"check", "/nonexistent.toml"}));
}

TEST(Commands, logsAreCheckedAndExplainedWithoutANode)
{
    const std::string log =
            temporaryFile(R"({"time":"2026-03-21T12:55:01Z","level":"info","part":"callers",)"
                          R"("message":"Refused: stale-keys","request":"r1"})"
                          "\n");
    const std::string cut = temporaryFile("{\"time\":\"2026-\n");
    CHECK_EQUAL(EX_OK, run({"logs", "check", log.c_str()}));
    CHECK(outHas("1 lines keep the schema, 0 do not"));
    CHECK_EQUAL(EX_DATAERR, run({"logs", "check", log.c_str(), cut.c_str()}));
    CHECK(outHas(cut + ":1: "));
    CHECK_EQUAL(EX_USAGE, run({"logs", "wash", log.c_str()}));
    CHECK_EQUAL(EX_NOINPUT, run({"logs", "check", "/nonexistent.jsonl"}));
    CHECK_EQUAL(EX_OK, run({"explain", "r1", log.c_str()}));
    CHECK(outHas("was refused by " + log));
    CHECK_EQUAL(EX_OK, run({"explain", "--json", "r1", log.c_str()}));
    LONGS_EQUAL(1, static_cast<long>((*parseJson(out.str()))["lines"].size()));
    CHECK_EQUAL(EX_NOINPUT, run({"explain", "r2", log.c_str()}));
    CHECK(calls.empty());
    std::remove(log.c_str());
    std::remove(cut.c_str());
}

TEST(Commands, publishAsksTheBaseFirst)
{
    answer("status", R"({"config_version":12})");
    answer("publish", R"({"accepted":true,"version":13,"reason":"","winner":"","changes":[]})");
    CHECK_EQUAL(EX_OK, run({"publish", Sample.c_str(), "--author", "me"}));
    CHECK_EQUAL(2U, calls.size());
    const Json::Value &params = calls[1].second;
    CHECK_EQUAL(12U, params["base"].asUInt());
    STRCMP_EQUAL("me", params["author"].asString().c_str());
    CHECK_EQUAL(32U, params["publication_id"].asString().size());
    CHECK(params["objects"]["services"].isMember("stock"));
    CHECK(outHas("version 13"));
    CHECK_EQUAL(EX_OK, run({"publish", Sample.c_str(), "--base", "3", "--publication-id", "x"}));
    CHECK_EQUAL(1U, calls.size());
    CHECK_EQUAL(3U, calls[0].second["base"].asUInt());
}

TEST(Commands, publishTellsTheLoserOfARace)
{
    answer("publish", R"({"accepted":false,"version":9,"reason":"made from 7","winner":"her",
        "changes":[{"kind":"changed","object":"models/m",
                    "fields":[{"field":"version","before":"1","after":"2"}]}]})");
    CHECK_EQUAL(EX_CANTCREAT, run({"publish", Sample.c_str(), "--base", "7"}));
    CHECK(outHas("version 9 by her"));
    CHECK(outHas("version: 1 -> 2"));
}

TEST(Commands, publishWithoutAnAnswerIsUnknown)
{
    answers.insert_or_assign("publish", makeError(ErrorCode::DeadlineExceeded, "late"));
    CHECK_EQUAL(EX_IOERR,
                run({"publish", Sample.c_str(), "--base", "7", "--publication-id", "x1"}));
    CHECK(err.str().find("--publication-id x1") != std::string::npos);
}

TEST(Commands, publishOfAFaultySetCallsNobody)
{
    const std::string services = Sample + "/services.toml";
    CHECK_EQUAL(EX_DATAERR, run({"publish", services.c_str()}));
    CHECK(calls.empty());
}

TEST(Commands, diffComparesWithTheSetInForceOrWithAnother)
{
    answer("config", R"({"version":1,"objects":{"schema":1}})");
    CHECK_EQUAL(EX_OK, run({"diff", Sample.c_str()}));
    CHECK(outHas("added services/stock"));
    CHECK_EQUAL(EX_OK, run({"diff", Sample.c_str(), Sample.c_str()}));
    CHECK(outHas("no difference"));
    CHECK(calls.empty());
    answer("config", R"({"version":1})");
    CHECK_EQUAL(EX_PROTOCOL, run({"diff", Sample.c_str()}));
}

TEST(Commands, answersAreShownAsTablesOrJson)
{
    answer("status", R"({"vm":"vm1","zone":"a","incarnation":3,"phase":"serving","ready":true,
        "config_version":4,"config_age_ms":90000,"log_ok":true,"members":[{"vm":"vm2","zone":"b",
        "state":"alive","incarnation":1,"config_version":4,"endpoint":"127.0.0.1:9"}]})");
    answer("targets", R"({"targets":[{"id":"e1","kind":"engine","zone":"a","pool":"engines",
        "state":"live","models":[{"name":"m","version":"1"}],"running":2,"waiting":0,
        "used_tokens":50,"capacity_tokens":200,"preemptions":0,"report_age_ms":300}]})");
    answer("history", R"({"verdicts":[{"offset":5,"base":4,"author":"me","publication_id":"p",
        "accepted":false,"reason":"late"}]})");
    answer("burn", R"({"rows":[],"text":"s  first-token  0.6\n","missing_nodes":2})");
    answer("poison", R"({"entries":[{"fingerprint":"77","suspicion":"refused",
        "deaths":["e1","e2"]}]})");
    answer("explain", R"({"attempts":[{"target":"e1","rule":"reserve","score":0.5}]})");
    answer("outcome", R"({"outcome":"done","status":201})");
    const std::vector<std::pair<std::vector<const char *>, std::string>> cases{
            {{"status"}, "in force for 1.5 min"},
            {{"targets"}, "25%"},
            {{"targets"}, "m@1"},
            {{"history"}, "late"},
            {{"report", "burn"}, "0.6"},
            {{"report", "burn"}, "2 nodes did not answer"},
            {{"poison", "list"}, "e1,e2"},
            {{"explain", "r1"}, "reserve"},
            {{"outcome", "o", "s", "k"}, "done"}};
    for (const auto &[words, expected] : cases) {
        CHECK_EQUAL(EX_OK, run(words));
        CHECK_TEXT(outHas(expected), expected.c_str());
        std::vector<const char *> jsonWords = words;
        jsonWords.push_back("--json");
        CHECK_EQUAL(EX_OK, run(jsonWords));
        CHECK(parseJson(out.str()).ok());
    }
}

// Whatever a node of another version answers, nothing but odd cells come of it.
TEST(Commands, answersOfOtherShapesAreShownToo)
{
    for (const char *json : {"null", "[]", "7", "{}", R"({"members":7,"targets":{},"rows":[1]})"}) {
        for (const char *method : {"status", "targets", "history", "burn", "explain", "poison"})
            answer(method, json);
        for (const std::vector<const char *> &words :
             std::vector<std::vector<const char *>>{{"status"},
                                                    {"targets"},
                                                    {"history"},
                                                    {"report", "burn"},
                                                    {"explain", "r"},
                                                    {"poison", "list"}})
            CHECK_EQUAL(EX_OK, run(words));
    }
}

TEST(Commands, drainNamesOneNode)
{
    answer("drain", R"({"phase":"announced"})");
    CHECK_EQUAL(EX_OK, run({"drain", "--node", "127.0.0.1:1", "--deadline", "2m"}));
    CHECK_EQUAL(120000, calls[0].second["deadline_ms"].asInt64());
    CHECK_EQUAL(EX_USAGE, run({"drain", "--node", "127.0.0.1:1", "--node", "127.0.0.1:2"}));
    CHECK(calls.empty());
}

TEST(Commands, failuresHaveTheirExitCodes)
{
    const std::pair<ErrorCode, int> cases[] = {{ErrorCode::PeerUnreachable, EX_UNAVAILABLE},
                                               {ErrorCode::PeerRefused, EX_NOPERM},
                                               {ErrorCode::LogUnavailable, EX_TEMPFAIL},
                                               {ErrorCode::OutcomeUnknown, EX_IOERR},
                                               {ErrorCode::NotFound, EX_NOINPUT},
                                               {ErrorCode::Internal, EX_SOFTWARE}};
    for (const auto &[code, expected] : cases) {
        answers.insert_or_assign("status", makeError(code, "detail"));
        CHECK_EQUAL(expected, run({"status"}));
        CHECK(err.str().find(std::string(errorName(code))) != std::string::npos);
        CHECK_EQUAL(expected, run({"status", "--json"}));
        STRCMP_EQUAL(std::string(errorName(code)).c_str(),
                     (*parseJson(out.str()))["error"].asString().c_str());
    }
}

TEST(Commands, completionKnowsEachCommand)
{
    CHECK_EQUAL(EX_OK, run({"completion", "bash"}));
    for (const Command &command : allCommands())
        CHECK(outHas(command.name));
    CHECK_EQUAL(EX_USAGE, run({"completion", "fish"}));
}

TEST_GROUP(TextTable){};

TEST(TextTable, alignsByCharacters)
{
    TextTable table({"A", "B"});
    table.addRow({"\xC3\xA9t\xC3\xA9", "x"});
    table.addRow({"long word", ""});
    STRCMP_EQUAL("A          B\n\xC3\xA9t\xC3\xA9        x\nlong word\n", table.toString().c_str());
}

TEST_GROUP(OperatorSession){};

TEST(OperatorSession, triesTheNextNodeAndShowsItsKey)
{
    absl::StatusOr<std::unique_ptr<EventLoop>> loop = EventLoop::create({});
    CHECK(loop.ok());
    const std::unique_ptr<RpcServer> server = RpcServer::create("key");
    server->addMethod("status", [](const Json::Value &, const RpcResponder &respondTo) {
        Json::Value answer(Json::objectValue);
        answer["vm"] = "vm1";
        respondTo(answer);
    });
    HttpListenerOptions listener;
    listener.endpoint = Endpoint{"127.0.0.1", 0};
    const absl::StatusOr<Endpoint> live =
            (*loop)->server().listen(listener, [&server](std::shared_ptr<HttpExchange> exchange) {
                server->handle(exchange);
            });
    CHECK(live.ok());
    // Port 1 is not listened on.
    OperatorSession::Options options;
    options.nodes = {Endpoint{"127.0.0.1", 1}, *live};
    options.key = "key";
    const std::unique_ptr<OperatorSession> session = OperatorSession::create(options, **loop);
    const absl::StatusOr<Json::Value> answer =
            session->call("status", Json::Value(Json::objectValue));
    CHECK(answer.ok());
    STRCMP_EQUAL("vm1", (*answer)["vm"].asString().c_str());
    options.key = "wrong";
    const std::unique_ptr<OperatorSession> stranger = OperatorSession::create(options, **loop);
    const absl::StatusOr<Json::Value> refused =
            stranger->call("status", Json::Value(Json::objectValue));
    CHECK_EQUAL(EX_NOPERM, exitCode(errorCode(refused.status())));
    options.nodes.pop_back();
    const std::unique_ptr<OperatorSession> alone = OperatorSession::create(options, **loop);
    const absl::StatusOr<Json::Value> unreached =
            alone->call("status", Json::Value(Json::objectValue));
    CHECK(errorCode(unreached.status()) == ErrorCode::PeerUnreachable);
}
