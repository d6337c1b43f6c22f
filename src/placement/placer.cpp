#include "placement/placer.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>
#include <utility>

#include "placement/placementplan.h"

namespace currantwalk {

static constexpr Duration Minute = std::chrono::minutes(1);

static bool isAlike(const std::vector<LoadedModel> &left, const std::vector<LoadedModel> &right)
{
    return std::is_permutation(left.begin(), left.end(), right.begin(), right.end());
}

namespace {

class ZonePlacer : public Placer
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
        assert(options.loadsPerMinute > 0 && "some model can be loaded");
    }

    ~ZonePlacer() override
    {
        *m_self = nullptr;
        m_timers.cancel(m_timer);
    }

    void start() override { schedule(); }
    std::uint64_t mismatches() const override { return m_mismatches; }

private:
    /// What this node knows of an engine beside its reports.
    struct EngineState
    {
        Incarnation incarnation = 0;
        std::vector<LoadedModel> ordered; // Of the order under way.
        bool isUnderWay = false;
        bool isAnswered = false; // The engine took the order.
        TimePoint sentAt{};
        TimePoint notBefore{};      // No order is sent earlier.
        std::uint32_t failures = 0; // In a row.
        std::uint64_t number = 0;   // Of the latest order, so that a late answer is told.
    };

    void schedule()
    {
        m_timer = m_timers.subscribeAfter(m_options.interval, [this] {
            m_timer = NoTimer;
            look();
            schedule();
        });
    }

    void look()
    {
        const std::optional<Lease> lease = m_hooks.lease();
        const ObjectSet *objects = m_hooks.objects();
        if (!lease || !objects)
            return;
        if (lease->fence != m_fence)
            begin(lease->fence);
        if (m_isFencedOff)
            return;
        refill();
        const std::vector<const Target *> engines = liveEngines();
        forgetOthers(engines);
        for (const Target *engine : engines)
            judge(*engine);
        PlacementInput input{*objects, m_options.zone, {}, {}, m_options.modelsPerEngine};
        for (const Target *engine : engines)
            input.engines.push_back(planned(*engine));
        if (m_hooks.demand)
            input.demand = m_hooks.demand();
        for (const PlacementStep &step : planSteps(input))
            tryStep(step, *objects, engines);
    }

    // A former holder may have orders under way that engines take after this node's.
    void begin(LogOffset fence)
    {
        assert(fence > m_fence && "a lease is never taken with a lower fencing number");
        m_fence = fence;
        m_isFencedOff = false;
        m_settledAt = m_timers.now() + m_options.leaseDuration + m_options.orderFlight;
        m_states.clear();
    }

    void refill()
    {
        const TimePoint now = m_timers.now();
        const double minutes = static_cast<double>((now - m_refilledAt).count())
                               / static_cast<double>(Minute.count());
        // One load may be saved up, so no minute sees more than the rate and one.
        m_loads = std::min(1.0, m_loads + minutes * m_options.loadsPerMinute);
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

    void forgetOthers(const std::vector<const Target *> &engines)
    {
        std::erase_if(m_states, [&engines](const auto &entry) {
            return std::none_of(engines.begin(), engines.end(), [&entry](const Target *engine) {
                return engine->id == entry.first && engine->incarnation == entry.second.incarnation;
            });
        });
        for (const Target *engine : engines)
            m_states[engine->id].incarnation = engine->incarnation;
    }

    // An order has ended once a report that is younger shows it, or nothing came of it in time.
    void judge(const Target &engine)
    {
        EngineState &state = m_states.at(engine.id);
        if (!state.isUnderWay)
            return;
        const bool isReportYounger = engine.load.reportedAt > state.sentAt;
        if (isReportYounger && state.isAnswered && isAlike(engine.models, state.ordered)) {
            state.isUnderWay = false;
            state.failures = 0;
            return;
        }
        if (m_timers.now() - state.sentAt < m_options.loadTimeout)
            return;
        ++m_mismatches;
        state.isUnderWay = false;
        postpone(state);
    }

    PlannedEngine planned(const Target &engine) const
    {
        const EngineState &state = m_states.at(engine.id);
        PlannedEngine result{engine.id, engine.pool, engine.models, engine.models, false};
        if (!state.isUnderWay)
            return result;
        result.isBusy = true;
        std::erase_if(result.steady, [&state](const LoadedModel &model) {
            return std::find(state.ordered.begin(), state.ordered.end(), model)
                   == state.ordered.end();
        });
        // Counted as there, so that no second engine is asked for it.
        result.reported.insert(result.reported.end(), state.ordered.begin(), state.ordered.end());
        return result;
    }

    bool mayOrder(const Target &engine, const ObjectSet &objects) const
    {
        const auto pool = objects.pools.find(engine.pool);
        if (pool == objects.pools.end())
            return false;
        // An engine that checks fencing numbers refuses a former holder's orders by itself.
        const bool isSettled = pool->second.checksFencing || m_timers.now() >= m_settledAt;
        return isSettled && m_timers.now() >= m_states.at(engine.id).notBefore;
    }

    void tryStep(const PlacementStep &step, const ObjectSet &objects,
                 const std::vector<const Target *> &engines)
    {
        const auto it = std::find_if(engines.begin(), engines.end(), [&step](const Target *engine) {
            return engine->id == step.engine;
        });
        assert(it != engines.end() && "the plan speaks of engines that it was given");
        if (!mayOrder(**it, objects))
            return;
        const bool isLoad = !step.weights.empty();
        if (isLoad && m_loads < 1)
            return;
        EngineState &state = m_states.at(step.engine);
        state.isUnderWay = true;
        state.isAnswered = false;
        state.ordered = step.models;
        state.sentAt = m_timers.now();
        state.number = ++m_lastOrder;
        if (!isLoad) {
            send(step.engine, state.number);
            return;
        }
        m_loads -= 1;
        m_hooks.reserveLoad(step.weights, step.weightsVersion,
                            [self = m_self, engine = step.engine,
                             number = state.number](const absl::Status &status) {
                                if (*self)
                                    (*self)->onReserved(engine, number, status);
                            });
    }

    EngineState *findOrder(const TargetId &engine, std::uint64_t number)
    {
        const auto it = m_states.find(engine);
        const bool isCurrent =
                it != m_states.end() && it->second.isUnderWay && it->second.number == number;
        return isCurrent ? &it->second : nullptr;
    }

    void onReserved(const TargetId &engine, std::uint64_t number, const absl::Status &status)
    {
        EngineState *state = findOrder(engine, number);
        if (!state)
            return;
        if (status.ok()) {
            send(engine, number);
            return;
        }
        state->isUnderWay = false;
        postpone(*state);
    }

    // The lease is looked at once more: the weight store may have taken long to answer.
    void send(const TargetId &engine, std::uint64_t number)
    {
        EngineState &state = m_states.at(engine);
        const std::optional<Lease> lease = m_hooks.lease();
        const Target *target = findEngine(engine);
        if (!lease || lease->fence != m_fence || !target) {
            state.isUnderWay = false;
            return;
        }
        state.sentAt = m_timers.now();
        m_hooks.order(*target, m_fence, state.ordered,
                      [self = m_self, engine, number](const absl::Status &status) {
                          if (*self)
                              (*self)->onOrdered(engine, number, status);
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

    void onOrdered(const TargetId &engine, std::uint64_t number, const absl::Status &status)
    {
        EngineState *state = findOrder(engine, number);
        if (!state)
            return;
        if (status.ok()) {
            state->isAnswered = true;
            return;
        }
        // Another node holds the lease under a higher number; this one finds out soon.
        if (errorCode(status) == ErrorCode::FencedOff)
            m_isFencedOff = true;
        // A lost answer leaves it open what the engine does: its reports tell.
        if (retryClass(errorCode(status)) != RetryClass::Sound)
            state->isAnswered = true;
        else
            state->isUnderWay = false;
        postpone(*state);
    }

    void postpone(EngineState &state)
    {
        constexpr std::uint32_t MaxDoublings = 10;
        const std::uint32_t doublings = std::min(state.failures, MaxDoublings);
        ++state.failures;
        const Duration longest =
                std::min(m_options.maxRetryDelay, m_options.retryDelay * (1U << doublings));
        state.notBefore = m_timers.now() + longest / 2 + m_random.jitter(longest / 2);
    }

    const Options m_options;
    const Hooks m_hooks;
    TimerService &m_timers;
    RandomSource &m_random;
    TimerId m_timer = NoTimer;

    LogOffset m_fence = 0; // Of the lease under which m_states was made.
    bool m_isFencedOff = false;
    TimePoint m_settledAt{}; // No former holder's order takes effect later.
    std::unordered_map<TargetId, EngineState> m_states;
    double m_loads = 1; // That may begin now.
    TimePoint m_refilledAt;
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_mismatches = 0;
    std::shared_ptr<ZonePlacer *> m_self; // Callbacks that outlive this find null.
};

} // namespace

std::unique_ptr<Placer> Placer::create(const Options &options, Hooks hooks, TimerService &timers,
                                       RandomSource &random)
{
    return std::make_unique<ZonePlacer>(options, std::move(hooks), timers, random);
}

} // namespace currantwalk
