#include "bench/streamrig.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;

static constexpr std::size_t Streams = 7;
static constexpr std::size_t Bursts = 3;

TEST_GROUP(Datapath)
{
    std::unique_ptr<StreamRig> rig = std::move(StreamRig::create(Streams, Bursts).value());

    void checkRuns(Forwarder * forwarder)
    {
        const absl::StatusOr<StreamFigures> figures = rig->run(forwarder);
        CHECK(figures.ok());
        CHECK_EQUAL(Streams * Bursts, figures->events);
        CHECK_EQUAL(forwarder != nullptr, figures->processorTimePerEvent > 0);
    }
};

TEST(Datapath, eachWayDeliversEveryEvent)
{
    checkRuns(nullptr);
    for (const auto make : {&makeBareForwarder, &makeEventForwarder}) {
        const absl::StatusOr<std::unique_ptr<Forwarder>> forwarder = make(rig->source());
        CHECK(forwarder.ok());
        checkRuns(forwarder->get());
        checkRuns(forwarder->get());
    }
}
