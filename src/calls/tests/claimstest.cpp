#include <memory>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "calls/claims.h"
#include "log/tests/fakelog.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(Claims)
{
    VirtualTimerService timers;
    FakeLog log{timers, 1};
    std::vector<std::unique_ptr<Claims>> nodes;
    std::vector<FakeLog::Client *> clients;
    std::vector<ClaimAnswer> answers;

    void setup() override
    {
        for (int i = 0; i < 3; ++i)
            addNode("vm-" + std::to_string(i));
    }

    void addNode(const std::string &name)
    {
        Claims::Options options;
        options.vm = VmId(name);
        options.incarnation = 1;
        options.shards = 1;
        clients.push_back(&log.addClient());
        nodes.push_back(Claims::create(options, clients.back()->hooks, timers));
    }

    ClaimRequest request(const std::string &key, std::uint64_t fingerprint = 7) const
    {
        ClaimRequest result;
        result.organisation = "organisation";
        result.service = "stock";
        result.key = key;
        result.fingerprint = fingerprint;
        result.deadline = timers.now() + 30s;
        result.keyWindow = 1h;
        return result;
    }

    std::size_t claim(int node, const ClaimRequest &claimed)
    {
        const std::size_t number = answers.size();
        answers.push_back(ClaimAnswer{});
        answers[number].status = makeError(ErrorCode::NotReady, "no answer yet");
        nodes[node]->claim(claimed,
                           [this, number](const ClaimAnswer &answer) { answers[number] = answer; });
        return number;
    }

    bool isAnswered(std::size_t number) const
    {
        const absl::Status &status = answers[number].status;
        return status.ok() || errorCode(status) != ErrorCode::NotReady;
    }

    bool isWon(std::size_t number) const
    {
        return isAnswered(number) && answers[number].verdict == ClaimVerdict::Won;
    }

    static PlainResponse response(const std::string &body)
    {
        PlainResponse result;
        result.status = 201;
        result.contentType = "text/plain";
        result.body = body;
        return result;
    }
};

TEST(Claims, oneOfConcurrentClaimsWinsAndOthersGetItsResult)
{
    const ClaimRequest claimed = request("k");
    for (int node = 0; node < 3; ++node)
        claim(node, claimed);
    timers.advance(1s);
    CHECK_EQUAL(1, isWon(0) + isWon(1) + isWon(2));
    const int winner = isWon(0) ? 0 : isWon(1) ? 1 : 2;
    nodes[winner]->recordResult(claimed, response("caf\xFF"));
    timers.advance(1s);
    for (int node = 0; node < 3; ++node) {
        if (node == winner)
            continue;
        CHECK(answers[node].verdict == ClaimVerdict::Done);
        STRCMP_EQUAL("caf\xFF", answers[node].result->body.c_str());
        CHECK_EQUAL(201, answers[node].result->status);
    }
    CHECK_EQUAL(0U, nodes[winner]->unsettled());
}

TEST(Claims, reusedKeyConflictsWithinOneOrganisationOnly)
{
    claim(0, request("k", 1));
    timers.advance(1s);
    const std::size_t other = claim(1, request("k", 2));
    ClaimRequest foreign = request("k", 2);
    foreign.organisation = "other";
    const std::size_t allowed = claim(2, foreign);
    timers.advance(1s);
    CHECK(answers[other].verdict == ClaimVerdict::Conflict);
    CHECK(isWon(allowed));
}

TEST(Claims, withdrawnClaimLetsNextClaimWin)
{
    const ClaimRequest claimed = request("k");
    claim(0, claimed);
    timers.advance(1s);
    const std::size_t next = claim(1, claimed);
    timers.advance(1s);
    CHECK(!isAnswered(next));
    nodes[0]->recordNotRun(claimed, absl::OkStatus());
    timers.advance(1s);
    CHECK(isWon(next));
}

TEST(Claims, claimOfFailedNodeIsUnknownUntilItsRecordExpires)
{
    claim(0, request("k"));
    timers.advance(1s);
    CHECK(isWon(0));
    nodes[0].reset();
    const std::size_t early = claim(1, request("k"));
    timers.advance(31s);
    CHECK(answers[early].verdict == ClaimVerdict::Unknown);
    timers.advance(2h);
    const std::size_t late = claim(1, request("k"));
    timers.advance(31s);
    CHECK(isWon(late));
}

TEST(Claims, unknownOutcomeIsReportedToWaitingClaimsAtOnce)
{
    claim(0, request("k"));
    const std::size_t other = claim(1, request("k"));
    timers.advance(1s);
    CHECK(!isAnswered(other));
    nodes[0]->recordUnknown(request("k"));
    timers.advance(1s);
    CHECK(isAnswered(other));
    CHECK(answers[other].verdict == ClaimVerdict::Unknown);
}

TEST(Claims, lostAppendAnswerIsResolvedByReadingTheLog)
{
    log.faults.loseAfterEffect = 1;
    const std::size_t first = claim(0, request("k"));
    const std::size_t second = claim(1, request("k"));
    timers.advance(10s);
    CHECK_EQUAL(1, isWon(first) + isWon(second));
}

TEST(Claims, appendTakingEffectAfterDeadlineDoesNotWin)
{
    log.faults.lateEffect = 1;
    log.faults.silentLoss = 1;
    ClaimRequest claimed = request("k");
    claimed.deadline = timers.now() + 20ms;
    const std::size_t late = claim(0, claimed);
    timers.advance(20ms);
    CHECK(isAnswered(late) && !isWon(late));
    log.faults = FakeLog::Faults();
    timers.advance(30s);
    CHECK(!isWon(late));
    CHECK_EQUAL(0U, nodes[0]->unsettled());
    const std::size_t next = claim(1, request("k"));
    timers.advance(1s);
    CHECK(isWon(next));
}

TEST(Claims, unavailableLogGivesUnknownAndReadableLogNotClaimed)
{
    log.faults.isUnavailable = true;
    const std::size_t withoutLog = claim(0, request("a"));
    timers.advance(31s);
    CHECK(answers[withoutLog].verdict == ClaimVerdict::Unknown);
    CHECK(errorCode(answers[withoutLog].status) == ErrorCode::LogUnavailable);
    log.faults = FakeLog::Faults();
    timers.advance(5s);
    log.faults.loseBeforeEffect = 1;
    const std::size_t withLog = claim(0, request("b"));
    timers.advance(31s);
    CHECK(answers[withLog].verdict == ClaimVerdict::NotClaimed);
}

TEST(Claims, lookUpReportsStateWithoutClaiming)
{
    std::vector<ClaimVerdict> verdicts;
    const auto lookUp = [&] {
        nodes[2]->lookUp(request("k", 0), [&verdicts](const ClaimAnswer &answer) {
            verdicts.push_back(answer.verdict);
        });
        timers.advance(1s);
    };
    lookUp();
    claim(0, request("k"));
    timers.advance(1s);
    lookUp();
    nodes[0]->recordResult(request("k"), response("x"));
    timers.advance(1s);
    lookUp();
    CHECK((verdicts
           == std::vector<ClaimVerdict>{ClaimVerdict::NotClaimed, ClaimVerdict::Unknown,
                                        ClaimVerdict::Done}));
}

TEST(Claims, claimsAreBatchedAndLargeResultsAreNotStored)
{
    for (int i = 0; i < 100; ++i)
        claim(0, request("k" + std::to_string(i)));
    timers.advance(1s);
    for (std::size_t i = 0; i < 100; ++i)
        CHECK(isWon(i));
    CHECK(log.appendCount <= 2);
    nodes[0]->recordResult(request("k0"), response(std::string(100000, 'x')));
    timers.advance(1s);
    const std::size_t later = claim(1, request("k0"));
    timers.advance(1s);
    CHECK(answers[later].verdict == ClaimVerdict::Done);
    CHECK(!answers[later].result);
}

TEST(Claims, undecodableRecordsAreSkipped)
{
    for (const char *text : {"", "[]", "{}", "[\"x\",\"k\",\"i\",1]", "[\"c\",1,2,3]",
                             "[\"r\",\"k\",\"i\",1,[1,\"!\",\"\"]]"})
        log.put("claims-0", text);
    const std::size_t number = claim(0, request("k"));
    timers.advance(1s);
    CHECK(isWon(number));
    CHECK_EQUAL(6U, nodes[0]->counts().recordsSkipped);
}
