#include "blame/crashevidence.h"
#include "base/randomsource.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

TEST_GROUP(CrashEvidence)
{
    static constexpr std::uint64_t Popular = 1;
    static constexpr std::uint64_t Poison = 2;
    static constexpr std::uint64_t Rare = 3;

    CrashEvidence evidence;
    TimePoint now{100s};
    std::uint64_t lastRequest = 1000;
    int crashes = 0;

    static std::vector<RequestFeature> features(std::initializer_list<std::uint64_t> fingerprints)
    {
        std::vector<RequestFeature> all;
        for (const std::uint64_t fingerprint : fingerprints)
            all.push_back({fingerprint, "f" + std::to_string(fingerprint)});
        return all;
    }

    using Requests = std::initializer_list<std::initializer_list<std::uint64_t>>;

    /// A target crashes a second after the last event, with a request for each list of features.
    void crash(Requests requests, Duration gap = 1s)
    {
        now += gap;
        ++crashes;
        for (const auto &request : requests)
            evidence.addWitness({TargetId("t" + std::to_string(crashes)), 1, now}, ++lastRequest,
                                features(request));
    }

    std::vector<std::uint64_t> blamed()
    {
        std::vector<std::uint64_t> fingerprints;
        for (const CrashEvidence::Verdict &verdict : evidence.verdicts(now))
            fingerprints.push_back(verdict.feature.fingerprint);
        return fingerprints;
    }

    void answer(std::initializer_list<std::uint64_t> request, int times, Duration wait = 100ms)
    {
        for (int i = 0; i < times; ++i)
            evidence.addAnswer(features(request), wait, now);
    }

    void checkBlamed(const std::vector<std::uint64_t> &expected)
    {
        CHECK(blamed() == expected);
    }
};

TEST(CrashEvidence, featureWithoutAnswersIsBlamedAtTheThirdCrash)
{
    answer({Popular}, 40);
    crash({{Popular, Poison}, {Popular, 11}});
    crash({{Popular, Poison}, {Popular, 12}});
    checkBlamed({});
    crash({{Popular, Poison}, {Popular, 13}});
    checkBlamed({Poison});
}

TEST(CrashEvidence, featureInTheFirstPlaceIsBlamedRatherThanThoseBehindIt)
{
    for (const std::uint64_t second : {11, 12, 13})
        crash({{Poison, second}});
    checkBlamed({Poison});
}

TEST(CrashEvidence, featureAtMoreCrashesIsBlamedRatherThanANarrowerOneOfSomeOfThem)
{
    answer({Popular}, 100);
    for (int i = 0; i < 3; ++i)
        crash({{Poison, Rare}});
    for (const std::uint64_t second : {11, 12})
        crash({{Poison, second}});
    checkBlamed({Poison});
}

TEST(CrashEvidence, narrowerFeatureIsBlamedWhereNothingElseTellsThemApart)
{
    for (int i = 0; i < 3; ++i)
        crash({{Popular, Poison}});
    checkBlamed({Poison});
}

TEST(CrashEvidence, answeredRequestsDoNotClearAFeatureThatCrashesMoreOften)
{
    for (int i = 0; i < 3; ++i)
        crash({{Popular, Poison}});
    answer({Popular, Poison}, 5);
    answer({Popular}, 40);
    checkBlamed({Poison});
}

TEST(CrashEvidence, featureOfManyAnswersIsNotBlamed)
{
    answer({Popular}, 100);
    for (int i = 0; i < 5; ++i)
        crash({{Popular}});
    checkBlamed({});
    now += 10min;
    for (int i = 0; i < 5; ++i)
        crash({{Popular}});
    checkBlamed({Popular});
}

// A part that crashes one server in ten.
TEST(CrashEvidence, featureAtMoreCrashesThanChanceGivesIsBlamedDespiteItsAnswers)
{
    answer({Popular}, 400);
    answer({Popular, Poison}, 40);
    for (int i = 0; i < 5; ++i)
        crash({{Popular, Poison}, {Popular, ++lastRequest}});
    checkBlamed({Poison});
}

TEST(CrashEvidence, featureOfAThirdOfTheRequestsIsNotBlamedForFiveOfEightCrashes)
{
    answer({Popular}, 1000);
    answer({Popular, Rare}, 500);
    for (int i = 0; i < 8; ++i) {
        if (i < 5)
            crash({{Popular, Rare}});
        else
            crash({{Popular}});
    }
    checkBlamed({});
}

// Requests that wait for long are at a server whenever it ends.
TEST(CrashEvidence, featureOfFewRequestsThatWaitForLongIsNotBlamed)
{
    answer({Popular}, 1000, 100ms);
    answer({Rare}, 30, 5s);
    for (int i = 0; i < 5; ++i)
        crash({{Popular}, {Rare}});
    checkBlamed({});
}

// The requests with it have come within the last seconds.
TEST(CrashEvidence, featureOfMostRequestsOfTheMomentIsNotBlamed)
{
    answer({Popular}, 5000);
    now += 2min;
    answer({Popular}, 20);
    answer({Rare}, 40);
    for (int i = 0; i < 5; ++i)
        crash({{Rare}});
    checkBlamed({});
}

TEST(CrashEvidence, featureIsNotComparedWhereNothingWasAnswered)
{
    evidence.setAnswersOfAll(Popular, {100, 10s}, now);
    for (int i = 0; i < 5; ++i)
        crash({{Popular}});
    checkBlamed({});
}

// Servers end at random among requests whose features are as popular as in a fleet.
TEST(CrashEvidence, chanceBlamesNoMoreFeaturesThanTheErrorRateAllows)
{
    constexpr std::size_t Runs = 3000;
    constexpr std::size_t Crashes = 12;
    RandomSource random(1);
    std::size_t blamedRuns = 0;
    const auto popular = [&random] {
        return 10 + static_cast<std::uint64_t>(30 * random.uniform() * random.uniform());
    };
    for (std::size_t run = 0; run < Runs; ++run) {
        evidence = CrashEvidence();
        for (int i = 0; i < 3000; ++i)
            answer({popular(), 100 + popular()}, 1);
        for (std::size_t i = 0; i < Crashes; ++i) {
            now += 1s;
            const TargetCrash end{TargetId("t" + std::to_string(++crashes)), 1, now};
            for (std::size_t left = 1 + random.uniformBelow(3); left > 0; --left)
                evidence.addWitness(end, ++lastRequest, features({popular(), 100 + popular()}));
        }
        blamedRuns += evidence.verdicts(now).empty() ? 0 : 1;
    }
    CHECK(static_cast<double>(blamedRuns) <= CrashEvidence::MaxErrorRate * Runs);
}

TEST(CrashEvidence, answersOfAllNodesCount)
{
    for (int i = 0; i < 3; ++i)
        crash({{Popular}});
    checkBlamed({Popular});
    evidence.setAnswersOfAll(Popular, {100, 10s}, now);
    evidence.setAnswersOfAll(CrashEvidence::AllRequests, {100, 10s}, now);
    checkBlamed({});
}

TEST(CrashEvidence, crashesThatOneFeatureExplainsBlameNoOther)
{
    answer({Rare}, 1);
    for (int i = 0; i < 4; ++i)
        crash({{Popular, Poison}, {Rare}});
    checkBlamed({Poison});
}

TEST(CrashEvidence, eachOfTwoFeaturesIsBlamedForItsCrashes)
{
    answer({Popular}, 100);
    for (int i = 0; i < 3; ++i) {
        crash({{Popular, Poison}});
        crash({{Popular, Rare}});
    }
    const std::vector<std::uint64_t> both = blamed();
    CHECK_EQUAL(2U, both.size());
    CHECK(both[0] != Popular && both[1] != Popular);
}

TEST(CrashEvidence, repetitionsOfOneRequestBlameNoFeature)
{
    for (int i = 0; i < 5; ++i) {
        now += 1s;
        evidence.addWitness({TargetId("t" + std::to_string(i)), 1, now}, 7, features({Poison}));
    }
    checkBlamed({});
}

TEST(CrashEvidence, targetsThatCrashTogetherAreOneEvent)
{
    for (int i = 0; i < 6; ++i)
        crash({{Popular}}, 10ms);
    checkBlamed({});
}

TEST(CrashEvidence, featureAtFewOfTheTargetsThatCrashTogetherIsNotBlamed)
{
    for (int round = 0; round < 4; ++round) {
        crash({{Popular}}, 5s);
        for (int i = 0; i < 3; ++i)
            crash({{++lastRequest}}, 10ms);
    }
    checkBlamed({});
}

TEST(CrashEvidence, featureOfRequestsThatAreEachLostTwiceIsBlamed)
{
    answer({Poison}, 5);
    for (int i = 0; i < 2; ++i) {
        const std::uint64_t request = ++lastRequest;
        for (int attempt = 0; attempt < 2; ++attempt) {
            now += 1s;
            evidence.addWitness({TargetId("t" + std::to_string(++crashes)), 1, now}, request,
                                features({Poison}));
        }
    }
    checkBlamed({});
    crash({{Poison}});
    checkBlamed({Poison});
}

TEST(CrashEvidence, refutedAndExpiredCrashesDoNotCount)
{
    for (int i = 0; i < 3; ++i)
        crash({{Poison}});
    evidence.removeCrashes([](const TargetCrash &crash) { return crash.target.text() == "t1"; });
    checkBlamed({});
    crash({{Poison}});
    checkBlamed({Poison});
    now += CrashEvidence::Lifetime;
    checkBlamed({});
}

TEST(CrashEvidence, aFloodOfCrashesAndFeaturesIsBounded)
{
    for (std::uint64_t i = 0; i < 500; ++i) {
        now += 1s;
        for (std::uint64_t j = 0; j < 100; ++j)
            evidence.addWitness({TargetId("t" + std::to_string(i)), 1, now}, i * 1000 + j,
                                features({i * 1000 + j, Poison}));
    }
    answer({Poison}, 100000);
    checkBlamed({});
}
