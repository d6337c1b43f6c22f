#include "blame/crashevidence.h"

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

    void answer(std::initializer_list<std::uint64_t> request, int times)
    {
        for (int i = 0; i < times; ++i)
            evidence.addAnswer(features(request), now);
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

TEST(CrashEvidence, answersOfAllNodesCount)
{
    for (int i = 0; i < 3; ++i)
        crash({{Popular}});
    checkBlamed({Popular});
    evidence.setAnswersOfAll(Popular, 100, now);
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
