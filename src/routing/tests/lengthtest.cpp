#include <string>

#include "base/randomsource.h"
#include "routing/lengthestimator.h"
#include "routing/memoryforecast.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

TEST_GROUP(LengthEstimator)
{
    LengthEstimator lengths;

    void learnExponential(const std::string &service, const std::string &organisation, double mean)
    {
        RandomSource random(11);
        for (int i = 0; i < 400; ++i)
            lengths.learn(service, organisation,
                          static_cast<std::uint32_t>(1 + random.exponential(mean)));
    }
};

TEST(LengthEstimator, meanAndSurvivalMatchTheObservations)
{
    learnExponential("plans", "depot", 800);
    const LengthEstimator::View view = lengths.view("plans", "depot");
    DOUBLES_EQUAL(800.0, view.mean(), 160.0);
    DOUBLES_EQUAL(0.5, view.longerThan(800 * 0.693), 0.1);
    CHECK(view.longerThan(100) > view.longerThan(200));
}

TEST(LengthEstimator, unknownOrganisationUsesItsServiceEstimate)
{
    learnExponential("sheets", "depot", 60);
    const double known = lengths.view("sheets", "depot").mean();
    DOUBLES_EQUAL(known, lengths.view("sheets", "other").mean(), 0.5 * known);
    CHECK(lengths.view("unheard-of", "depot").mean() > 3 * known);
}

TEST(LengthEstimator, organisationsOfAServiceAreEstimatedSeparately)
{
    learnExponential("plans", "brief", 100);
    learnExponential("plans", "wordy", 2000);
    CHECK(lengths.view("plans", "wordy").mean() > 5 * lengths.view("plans", "brief").mean());
}

TEST(LengthEstimator, stateIsBounded)
{
    LengthEstimator small(10);
    for (int i = 0; i < 1000; ++i)
        small.learn("plans", "organisation-" + std::to_string(i), 100);
    CHECK(small.size() <= 10);
}

TEST(LengthEstimator, forecastIsConditionalOnGeneratedTokens)
{
    // Most answers have 50 tokens and the rest 2000, so one that has reached 300 is a long one.
    for (int i = 0; i < 300; ++i)
        lengths.learn("mixed", "depot", i % 10 == 0 ? 2000 : 50);
    const LengthEstimator::View view = lengths.view("mixed", "depot");
    const MemoryForecast fresh = forecastGeneration(view, 100, 0, 0);
    const MemoryForecast grown = forecastGeneration(view, 100, 300, 0);
    constexpr std::size_t Step512 = 10;
    CHECK(fresh.mean[Step512] < 0.3F * 612);
    CHECK(grown.mean[Step512] > 0.7F * 912);
}

TEST(LengthEstimator, forecastEndsAtMaxTokens)
{
    learnExponential("plans", "depot", 800);
    const MemoryForecast forecast = forecastGeneration(lengths.view("plans", "depot"), 100, 0, 256);
    constexpr std::size_t Step256 = 7;
    CHECK(forecast.mean[Step256 - 1] > 0);
    CHECK_EQUAL(0.0F, forecast.mean[Step256]);
    CHECK(peakMemory(forecast, 0) <= 356);
}
