#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/virtualtimerservice.h"
#include "placement/placementcontroller.h"
#include "placement/placementplan.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static bool serves(const std::vector<LoadedModel> &models, const std::string &name)
{
    return std::any_of(models.begin(), models.end(),
                       [&name](const LoadedModel &model) { return model.name == name; });
}

namespace {

/// An engine that loads the ordered models and sends delayed reports.
struct FakeEngine
{
    Target target; ///< As reported.
    std::vector<LoadedModel> actual;
    LogOffset highestFence = 0;
    bool checksFencing = false;
    std::uint64_t orderNumber = 0;
};

struct PlacementNode
{
    std::optional<Lease> lease;
    std::unique_ptr<PlacementController> placer;
};

/// Simulates one zone: its engines, the weight store and the nodes that may hold the lease.
class SimulatedZone
{
public:
    SimulatedZone(bool checksFencing, std::uint64_t seed) : random(seed)
    {
        PoolObject pool;
        pool.name = "engines";
        pool.checksFencing = checksFencing;
        objects.pools["engines"] = pool;
        report();
    }

    void addEngine()
    {
        FakeEngine engine;
        engine.target.id = TargetId("e" + std::to_string(engines.size()));
        engine.target.zone = "z";
        engine.target.pool = "engines";
        engine.target.incarnation = 1;
        engine.checksFencing = objects.pools["engines"].checksFencing;
        engines.push_back(engine);
    }

    void publish(const std::string &model, const std::string &version, std::uint32_t replicas)
    {
        objects.models[model] =
                ModelObject{model, "engines", model + "-weights", version, 8192, replicas};
    }

    PlacementNode &addNode()
    {
        nodes.push_back(std::make_unique<PlacementNode>());
        PlacementNode &node = *nodes.back();
        PlacementController::Options options;
        options.zone = "z";
        options.loadsPerMinute = loadsPerMinute;
        PlacementController::Hooks hooks;
        hooks.lease = [&node] { return node.lease; };
        hooks.objects = [this] { return &objects; };
        hooks.engines = [this] {
            std::vector<const Target *> result;
            for (const FakeEngine &engine : engines)
                result.push_back(&engine.target);
            return result;
        };
        hooks.reserveLoad = [this](const std::string &, const std::string &,
                                   std::function<void(absl::Status)> callback) {
            const bool isRefused = random.chance(loadRefusalRate);
            if (!isRefused)
                loads.push_back(timers.now());
            timers.scheduleAfter(50ms, [callback, isRefused] {
                callback(isRefused ? makeError(ErrorCode::RateLimited, "too many loads")
                                   : absl::OkStatus());
            });
        };
        hooks.order = [this](const Target &engine, LogOffset fence,
                             const std::vector<LoadedModel> &models,
                             std::function<void(absl::Status)> callback) {
            order(engine.id, fence, models, std::move(callback));
        };
        node.placer = PlacementController::create(options, std::move(hooks), timers, random);
        node.placer->start();
        return node;
    }

    static Lease leaseOf(LogOffset fence)
    {
        return Lease{PlacementController::dutyName("z"), VmId("vm" + std::to_string(fence)), fence};
    }

    std::size_t servers(const std::string &model, const std::string &version = {}) const
    {
        return static_cast<std::size_t>(
                std::count_if(engines.begin(), engines.end(), [&](const FakeEngine &engine) {
                    return std::any_of(engine.actual.begin(), engine.actual.end(),
                                       [&](const LoadedModel &loaded) {
                                           return loaded.name == model
                                                  && (version.empty() || loaded.version == version);
                                       });
                }));
    }

    /// Advances time by \a span and returns the minimum number of engines serving the model.
    std::size_t minServers(const std::string &model, Duration span)
    {
        std::size_t minimum = servers(model);
        for (Duration passed{0}; passed < span; passed += 100ms) {
            timers.advance(100ms);
            minimum = std::min(minimum, servers(model));
        }
        return minimum;
    }

    std::size_t maxLoadsPerMinute() const
    {
        std::size_t maximum = 0;
        for (std::size_t first = 0; first < loads.size(); ++first) {
            std::size_t last = first;
            while (last < loads.size() && loads[last] < loads[first] + 1min)
                ++last;
            maximum = std::max(maximum, last - first);
        }
        return maximum;
    }

    /// Restarts the engine without any loaded models.
    void restart(FakeEngine &engine)
    {
        ++engine.target.incarnation;
        engine.actual.clear();
        engine.target.models.clear();
        engine.highestFence = 0;
        ++engine.orderNumber;
    }

    VirtualTimerService timers;
    RandomSource random;
    ObjectSet objects;
    std::deque<FakeEngine> engines;
    std::vector<std::unique_ptr<PlacementNode>> nodes;
    std::vector<TimePoint> loads;
    std::size_t orders = 0;
    std::size_t modelsLeftUnserved = 0; ///< Published models left without an engine.
    double loadRefusalRate = 0;
    double answerLossRate = 0;
    double orderLossRate = 0;
    Duration maxOrderDelay = 200ms; ///< Maximum delay of an order.
    Duration loadTime = 4s;
    double loadsPerMinute = 6; ///< For nodes added later.

private:
    // Reports are delayed by half a second.
    void report()
    {
        for (FakeEngine &engine : engines) {
            const TimePoint taken = timers.now();
            timers.scheduleAfter(500ms, [&engine, models = engine.actual, taken,
                                         incarnation = engine.target.incarnation] {
                if (incarnation != engine.target.incarnation)
                    return;
                engine.target.models = models;
                engine.target.load.reportedAt = taken;
            });
        }
        timers.scheduleAfter(1s, [this] { report(); });
    }

    void order(const TargetId &id, LogOffset fence, const std::vector<LoadedModel> &models,
               std::function<void(absl::Status)> callback)
    {
        ++orders;
        const bool isLost = random.chance(orderLossRate);
        const bool isAnswerLost = isLost || random.chance(answerLossRate);
        timers.scheduleAfter(random.jitter(maxOrderDelay), [this, id, fence, models, callback,
                                                            isLost, isAnswerLost] {
            const absl::Status status = isLost ? absl::OkStatus() : acceptOrder(id, fence, models);
            callback(isAnswerLost ? makeError(ErrorCode::ConnectionLost, "lost") : status);
        });
    }

    absl::Status acceptOrder(const TargetId &id, LogOffset fence,
                             const std::vector<LoadedModel> &models)
    {
        FakeEngine &engine = *std::find_if(engines.begin(), engines.end(),
                                           [&id](const auto &e) { return e.target.id == id; });
        if (engine.checksFencing && fence < engine.highestFence)
            return makeError(ErrorCode::FencedOff, "outdated fencing number");
        engine.highestFence = std::max(engine.highestFence, fence);
        const std::uint64_t number = ++engine.orderNumber;
        const std::vector<LoadedModel> before = engine.actual;
        std::erase_if(engine.actual, [&models](const LoadedModel &model) {
            return std::find(models.begin(), models.end(), model) == models.end();
        });
        for (const LoadedModel &model : before) {
            if (objects.models.contains(model.name) && servers(model.name) == 0)
                ++modelsLeftUnserved;
        }
        timers.scheduleAfter(loadTime, [&engine, models, number] {
            if (engine.orderNumber == number)
                engine.actual = models;
        });
        return absl::OkStatus();
    }
};

} // namespace

TEST_GROUP(Placement)
{
    std::unique_ptr<SimulatedZone> zone;

    PlacementNode &make(std::size_t engineCount, bool checksFencing = true, std::uint64_t seed = 1,
                        double loadsPerMinute = 6)
    {
        zone = std::make_unique<SimulatedZone>(checksFencing, seed);
        zone->loadsPerMinute = loadsPerMinute;
        for (std::size_t i = 0; i < engineCount; ++i)
            zone->addEngine();
        PlacementNode &node = zone->addNode();
        node.lease = SimulatedZone::leaseOf(1);
        return node;
    }
};

TEST(Placement, emptyEnginesLoadPublishedModelsWithinTheRate)
{
    make(4);
    zone->publish("large", "1", 2);
    zone->publish("small", "1", 3);
    zone->objects.adapters["style"] = AdapterObject{"style", "small", "style-weights", "1"};
    zone->timers.advance(5min);
    CHECK_EQUAL(2U, zone->servers("large", "1"));
    CHECK_EQUAL(3U, zone->servers("small", "1"));
    CHECK_EQUAL(3U, zone->servers("style", "1"));
    CHECK_EQUAL(8U, zone->loads.size());
    CHECK(zone->maxLoadsPerMinute() <= 7);
    const std::size_t orders = zone->orders;
    zone->timers.advance(30min);
    CHECK_EQUAL(orders, zone->orders);
}

TEST(Placement, unservedModelIsLoadedBeforeASecondReplica)
{
    make(4);
    zone->publish("a", "1", 4);
    zone->publish("b", "1", 1);
    zone->timers.advance(25s);
    CHECK(zone->servers("a") >= 1);
    CHECK_EQUAL(1U, zone->servers("b"));
}

TEST(Placement, versionChangesOneEngineAtATime)
{
    make(3);
    zone->publish("m", "1", 3);
    zone->timers.advance(3min);
    CHECK_EQUAL(3U, zone->servers("m", "1"));
    zone->publish("m", "2", 3);
    CHECK_EQUAL(2U, zone->minServers("m", 5min));
    CHECK_EQUAL(3U, zone->servers("m", "2"));
    CHECK_EQUAL(0U, zone->servers("m", "1"));
}

// The weight store's limit would allow all engines to change at the same time.
TEST(Placement, versionChangesOneEngineAtATimeAtAHighLoadRate)
{
    make(4, true, 1, 600);
    zone->publish("m", "1", 4);
    zone->timers.advance(1min);
    CHECK_EQUAL(4U, zone->servers("m", "1"));
    zone->publish("m", "2", 4);
    CHECK_EQUAL(3U, zone->minServers("m", 2min));
    CHECK_EQUAL(4U, zone->servers("m", "2"));
}

TEST(Placement, onlyServingEngineWaitsForASecondOne)
{
    make(2);
    zone->publish("m", "1", 1);
    zone->timers.advance(1min);
    zone->publish("m", "2", 1);
    CHECK_EQUAL(1U, zone->minServers("m", 3min));
    CHECK_EQUAL(2U, zone->servers("m", "2"));
    CHECK_EQUAL(0U, zone->servers("m", "1"));
}

TEST(Placement, onlyEngineOfAZoneLoadsBothVersions)
{
    make(1);
    zone->publish("m", "1", 1);
    zone->timers.advance(1min);
    zone->publish("m", "2", 1);
    CHECK_EQUAL(1U, zone->minServers("m", 3min));
    CHECK_EQUAL(1U, zone->servers("m", "2"));
    CHECK_EQUAL(0U, zone->servers("m", "1"));
}

TEST(Placement, leavingEngineIsReplaced)
{
    make(3);
    zone->publish("m", "1", 1);
    zone->timers.advance(1min);
    CHECK_EQUAL(1U, zone->servers("m"));
    FakeEngine &server = *std::find_if(zone->engines.begin(), zone->engines.end(),
                                       [](const auto &e) { return serves(e.actual, "m"); });
    server.target.state = TargetState::Leaving;
    zone->timers.advance(1min);
    CHECK_EQUAL(2U, zone->servers("m"));
}

TEST(Placement, surplusReplicaIsUnloadedForAnUnservedModel)
{
    make(2, true, 1, 60);
    for (const char *name : {"a", "b", "c", "d"})
        zone->publish(name, "1", 2);
    zone->timers.advance(3min);
    CHECK_EQUAL(2U, zone->servers("a"));
    zone->publish("a", "1", 1);
    zone->publish("e", "1", 1);
    CHECK_EQUAL(1U, zone->minServers("a", 3min));
    CHECK_EQUAL(1U, zone->servers("e"));
    for (const char *name : {"b", "c", "d"})
        CHECK_EQUAL(2U, zone->servers(name));
}

TEST(Placement, engineWithUnexpectedModelsIsCorrected)
{
    make(2);
    zone->publish("m", "1", 2);
    zone->timers.advance(1min);
    zone->engines[0].actual = {LoadedModel{"other", "9"}};
    zone->timers.advance(1min);
    CHECK_EQUAL(2U, zone->servers("m", "1"));
    CHECK_EQUAL(0U, zone->servers("other"));
}

TEST(Placement, restartedZoneReloadsWithinItsRate)
{
    make(8);
    zone->publish("a", "1", 8);
    zone->publish("b", "1", 8);
    zone->timers.advance(10min);
    CHECK_EQUAL(8U, zone->servers("b"));
    zone->loads.clear();
    zone->loadRefusalRate = 0.3;
    for (FakeEngine &engine : zone->engines)
        zone->restart(engine);
    zone->timers.advance(10min);
    CHECK_EQUAL(8U, zone->servers("a"));
    CHECK_EQUAL(8U, zone->servers("b"));
    CHECK(zone->maxLoadsPerMinute() <= 7);
}

TEST(Placement, nothingIsOrderedWithoutTheLease)
{
    PlacementNode &node = make(2);
    node.lease.reset();
    zone->publish("m", "1", 2);
    zone->timers.advance(5min);
    CHECK_EQUAL(0U, zone->orders);
}

TEST(Placement, newHolderWaitsForFormerOrdersWithoutFencing)
{
    make(1, false);
    zone->publish("m", "1", 1);
    zone->timers.advance(19s);
    CHECK_EQUAL(0U, zone->orders);
    zone->timers.advance(20s);
    CHECK_EQUAL(1U, zone->servers("m"));
}

TEST(Placement, fencedOffHolderStopsOrdering)
{
    PlacementNode &first = make(1);
    zone->publish("m", "1", 1);
    zone->timers.advance(30s);
    zone->engines[0].highestFence = 7;
    zone->publish("m", "2", 1);
    zone->timers.advance(30s);
    const std::size_t orders = zone->orders;
    zone->timers.advance(10min);
    CHECK_EQUAL(orders, zone->orders);
    first.lease = SimulatedZone::leaseOf(8);
    zone->timers.advance(3min);
    CHECK_EQUAL(1U, zone->servers("m", "2"));
}

// The former lease holder had older objects, and its last order arrives late at engines that do not
// check fencing numbers.
TEST(Placement, lateOrderOfAFormerHolderIsCorrected)
{
    PlacementNode &first = make(2, false);
    zone->publish("m", "1", 2);
    zone->timers.advance(2min);
    zone->maxOrderDelay = 8s;
    zone->publish("m", "2", 2);
    zone->timers.advance(1s);
    first.lease.reset();
    zone->publish("m", "3", 2);
    zone->maxOrderDelay = 200ms;
    PlacementNode &second = zone->addNode();
    second.lease = SimulatedZone::leaseOf(2);
    CHECK(zone->minServers("m", 5min) >= 1);
    CHECK_EQUAL(2U, zone->servers("m", "3"));
    CHECK_EQUAL(0U, zone->servers("m", "2"));
}

// Faults: the lease changes hands, orders and answers are lost and the weight store refuses loads
// while new versions are published.
TEST(Placement, everyModelStaysServedUnderFaults)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        make(4, seed % 2 == 0, seed, seed % 4 < 2 ? 6 : 600);
        zone->addNode();
        zone->publish("a", "1", 2);
        zone->publish("b", "1", 1);
        zone->timers.advance(3min);
        zone->maxOrderDelay = 8s;
        zone->loadRefusalRate = 0.2;
        zone->answerLossRate = 0.2;
        zone->orderLossRate = 0.1;
        RandomSource draws(seed);
        LogOffset fence = 1;
        for (int round = 0; round < 60; ++round) {
            if (draws.chance(0.5))
                zone->publish(draws.chance(0.5) ? "a" : "b", std::to_string(round),
                              1 + static_cast<std::uint32_t>(draws.uniformBelow(4)));
            if (draws.chance(0.3)) {
                for (const auto &node : zone->nodes)
                    node->lease.reset();
                zone->timers.advance(2s);
                zone->nodes[draws.uniformBelow(2)]->lease = SimulatedZone::leaseOf(++fence);
            }
            zone->timers.advance(draws.jitter(1min));
        }
        CHECK_EQUAL(0U, zone->modelsLeftUnserved);
        zone->orderLossRate = zone->answerLossRate = zone->loadRefusalRate = 0;
        zone->timers.advance(30min);
        for (const auto &[name, model] : zone->objects.models) {
            CHECK(zone->servers(name, model.version) >= model.replicas);
            CHECK_EQUAL(zone->servers(name), zone->servers(name, model.version));
        }
        CHECK(zone->orders > 20);
    }
}
