#include "placement/placementcontroller.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>
#include <utility>

#include "placement/placementplan.h"

namespace currantwalk {

static constexpr Duration Minute = std::chrono::minutes(1);

static bool hasSameModels(const std::vector<LoadedModel> &left,
                          const std::vector<LoadedModel> &right)
{
    return std::is_permutation(left.begin(), left.end(), right.begin(), right.end());
}

namespace {

class ZonePlacer : public PlacementController
{
public:
    ZonePlacer(const Options &options, Hooks hooks, TimerService &timers, RandomSource &random)
        : m_options(options),
          m_hooks(std::move(hooks)),
          m_timers(timers),
          m_random(random),
          m_refilledAt(timers.now()),
          m_self(std::make_shared<ZonePlacer *>(this))
    {
        assert(options.loadsPerMinute > 0 && "the load rate is positive");
    }

    ~ZonePlacer() override
    {
        *m_self = nullptr;
        m_timers.cancel(m_timer);
    }

    void start() override { schedule(); }
    std::uint64_t timedOutOrders() const override { return m_timedOutOrders; }

private:
    /// What this node knows of an engine in addition to its reports.
    struct EngineState
    {
        Incarnation incarnation = 0;
        std::vector<LoadedModel> ordered; // By the order in progress.
        bool isInProgress = false;
        bool isAccepted = false; // The engine has or may have accepted the order.
        TimePoint sentAt{};
        TimePoint notBefore{};         // Backoff: no order is sent earlier.
        std::uint32_t failures = 0;    // Consecutive.
        std::uint64_t orderNumber = 0; // Latest order; identifies stale answers.
        /// When the engine answered an order under this node's fencing number.
        std::optional<TimePoint> fencedAt;
    };

    void schedule()
    {
        m_timer = m_timers.scheduleAfter(m_options.interval, [this] {
            m_timer = NoTimer;
            reconcile();
            schedule();
        });
    }

    void reconcile()
    {
        const std::optional<Lease> lease = m_hooks.lease();
        const ObjectSet *objects = m_hooks.objects();
        if (!lease || !objects)
            return;
        if (lease->fence != m_fence)
            onNewLease(lease->fence);
        if (m_isFencedOff)
            return;
        refillLoadTokens();
        const std::vector<const Target *> engines = liveEngines();
        removeGoneEngines(engines);
        for (const Target *engine : engines)
            checkOrder(*engine);
        PlacementInput input{*objects, m_options.zone, {}, {}, m_options.modelsPerEngine};
        for (const Target *engine : engines)
            input.engines.push_back(toPlannedEngine(*engine));
        if (m_hooks.demand)
            input.demand = m_hooks.demand();
        for (const PlacementStep &step : planSteps(input))
            executeStep(step, *objects, engines);
    }

    // Orders of the former lease holder may still reach engines after those of this node.
    void onNewLease(LogOffset fence)
    {
        assert(fence > m_fence && "fencing numbers increase with each lease");
        m_fence = fence;
        m_isFencedOff = false;
        m_formerOrdersExpireAt = m_timers.now() + m_options.leaseDuration + m_options.maxOrderDelay;
        m_states.clear();
    }

    void refillLoadTokens()
    {
        const TimePoint now = m_timers.now();
        const double minutes = static_cast<double>((now - m_refilledAt).count())
                               / static_cast<double>(Minute.count());
        // The token bucket holds at most one load, so no minute sees more than the rate plus one.
        m_loadTokens = std::min(1.0, m_loadTokens + minutes * m_options.loadsPerMinute);
        m_refilledAt = now;
    }

    std::vector<const Target *> liveEngines() const
    {
        std::vector<const Target *> engines = m_hooks.engines();
        std::erase_if(engines, [this](const Target *engine) {
            return engine->state != TargetState::Live || engine->kind != TargetKind::Engine
                   || engine->zone != m_options.zone;
        });
        std::sort(engines.begin(), engines.end(), [](const Target *left, const Target *right) {
            return left->id.text() < right->id.text();
        });
        return engines;
    }

    void removeGoneEngines(const std::vector<const Target *> &engines)
    {
        std::erase_if(m_states, [&engines](const auto &entry) {
            return std::none_of(engines.begin(), engines.end(), [&entry](const Target *engine) {
                return engine->id == entry.first && engine->incarnation == entry.second.incarnation;
            });
        });
        for (const Target *engine : engines)
            m_states[engine->id].incarnation = engine->incarnation;
    }

    // An order ends when a later report shows the ordered models, or when the load timeout expires.
    void checkOrder(const Target &engine)
    {
        EngineState &state = m_states.at(engine.id);
        if (!state.isInProgress)
            return;
        const bool isReportNewer = engine.load.reportedAt > state.sentAt;
        if (isReportNewer && state.isAccepted && hasSameModels(engine.models, state.ordered)) {
            state.isInProgress = false;
            state.failures = 0;
            return;
        }
        if (m_timers.now() - state.sentAt < m_options.loadTimeout)
            return;
        ++m_timedOutOrders;
        state.isInProgress = false;
        backOff(state);
    }

    // Returns whether an order of a former lease holder can still reach the engine, or has reached
    // it since its last report. An engine that checks fencing numbers accepts such an order until
    // it has had one of this node.
    bool mayHaveFormerOrder(const Target &engine, const EngineState &state) const
    {
        const TimePoint settledAt =
                std::min(m_formerOrdersExpireAt, state.fencedAt.value_or(m_formerOrdersExpireAt));
        return engine.load.reportedAt < settledAt;
    }

    PlannedEngine toPlannedEngine(const Target &engine) const
    {
        const EngineState &state = m_states.at(engine.id);
        PlannedEngine result{engine.id, engine.pool, engine.models, engine.models, false};
        if (mayHaveFormerOrder(engine, state))
            result.retained.clear();
        if (!state.isInProgress)
            return result;
        result.isBusy = true;
        std::erase_if(result.retained, [&state](const LoadedModel &model) {
            return std::find(state.ordered.begin(), state.ordered.end(), model)
                   == state.ordered.end();
        });
        // Ordered models count as loaded, so that no second engine is ordered to load them.
        result.reported.insert(result.reported.end(), state.ordered.begin(), state.ordered.end());
        return result;
    }

    bool mayOrder(const Target &engine, const ObjectSet &objects) const
    {
        const auto pool = objects.pools.find(engine.pool);
        if (pool == objects.pools.end())
            return false;
        // Engines that check fencing numbers reject late orders of a former lease holder
        // themselves.
        const bool isSafeFromFormerOrders =
                pool->second.checksFencing || m_timers.now() >= m_formerOrdersExpireAt;
        return isSafeFromFormerOrders && m_timers.now() >= m_states.at(engine.id).notBefore;
    }

    void executeStep(const PlacementStep &step, const ObjectSet &objects,
                     const std::vector<const Target *> &engines)
    {
        const auto it = std::find_if(engines.begin(), engines.end(), [&step](const Target *engine) {
            return engine->id == step.engine;
        });
        assert(it != engines.end() && "the engine of a step is in the input of the plan");
        if (!mayOrder(**it, objects))
            return;
        const bool isLoad = !step.weights.empty();
        if (isLoad && m_loadTokens < 1)
            return;
        EngineState &state = m_states.at(step.engine);
        state.isInProgress = true;
        state.isAccepted = false;
        state.ordered = step.models;
        state.sentAt = m_timers.now();
        state.orderNumber = ++m_lastOrder;
        if (!isLoad) {
            send(step.engine, state.orderNumber);
            return;
        }
        m_loadTokens -= 1;
        m_hooks.reserveLoad(step.weights, step.weightsVersion,
                            [self = m_self, engine = step.engine,
                             orderNumber = state.orderNumber](const absl::Status &status) {
                                if (*self)
                                    (*self)->onReserved(engine, orderNumber, status);
                            });
    }

    EngineState *findOrder(const TargetId &engine, std::uint64_t orderNumber)
    {
        const auto it = m_states.find(engine);
        const bool isCurrent = it != m_states.end() && it->second.isInProgress
                               && it->second.orderNumber == orderNumber;
        return isCurrent ? &it->second : nullptr;
    }

    void onReserved(const TargetId &engine, std::uint64_t orderNumber, const absl::Status &status)
    {
        EngineState *state = findOrder(engine, orderNumber);
        if (!state)
            return;
        if (status.ok()) {
            send(engine, orderNumber);
            return;
        }
        state->isInProgress = false;
        backOff(*state);
    }

    // Checks the lease again because it may have expired while the weight store was answering.
    void send(const TargetId &engine, std::uint64_t orderNumber)
    {
        EngineState &state = m_states.at(engine);
        const std::optional<Lease> lease = m_hooks.lease();
        const Target *target = findEngine(engine);
        if (!lease || lease->fence != m_fence || !target) {
            state.isInProgress = false;
            return;
        }
        state.sentAt = m_timers.now();
        m_hooks.order(*target, m_fence, state.ordered,
                      [self = m_self, engine, orderNumber](const absl::Status &status) {
                          if (*self)
                              (*self)->onOrdered(engine, orderNumber, status);
                      });
    }

    const Target *findEngine(const TargetId &id) const
    {
        for (const Target *engine : m_hooks.engines()) {
            if (engine->id == id && engine->state == TargetState::Live)
                return engine;
        }
        return nullptr;
    }

    void onOrdered(const TargetId &engine, std::uint64_t orderNumber, const absl::Status &status)
    {
        EngineState *state = findOrder(engine, orderNumber);
        if (!state)
            return;
        if (status.ok()) {
            state->isAccepted = true;
            state->fencedAt = m_timers.now();
            return;
        }
        // Another node holds the lease with a higher fencing number. Stop until this node acquires
        // it again.
        if (errorCode(status) == ErrorCode::FencedOff)
            m_isFencedOff = true;
        // If the outcome is unknown, the engine may have accepted the order; its reports decide.
        if (retryClass(errorCode(status)) != RetryClass::Safe)
            state->isAccepted = true;
        else
            state->isInProgress = false;
        backOff(*state);
    }

    void backOff(EngineState &state)
    {
        constexpr std::uint32_t MaxDoublings = 10;
        const std::uint32_t doublings = std::min(state.failures, MaxDoublings);
        ++state.failures;
        const Duration maxDelay =
                std::min(m_options.maxRetryDelay, m_options.retryDelay * (1U << doublings));
        state.notBefore = m_timers.now() + maxDelay / 2 + m_random.jitter(maxDelay / 2);
    }

    const Options m_options;
    const Hooks m_hooks;
    TimerService &m_timers;
    RandomSource &m_random;
    TimerId m_timer = NoTimer;

    LogOffset m_fence = 0; // Fencing number of the lease that m_states belongs to.
    bool m_isFencedOff = false;
    TimePoint m_formerOrdersExpireAt{}; // Orders of former lease holders have no effect after this.
    std::unordered_map<TargetId, EngineState> m_states;
    double m_loadTokens = 1; // Tokens of the bucket; one per load.
    TimePoint m_refilledAt;
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_timedOutOrders = 0;
    std::shared_ptr<ZonePlacer *> m_self; // Null for callbacks that outlive this object.
};

} // namespace

std::unique_ptr<PlacementController> PlacementController::create(const Options &options,
                                                                 Hooks hooks, TimerService &timers,
                                                                 RandomSource &random)
{
    return std::make_unique<ZonePlacer>(options, std::move(hooks), timers, random);
}

} // namespace currantwalk
