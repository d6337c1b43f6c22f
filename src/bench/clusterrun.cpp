#include "bench/clusterrun.h"

#include <algorithm>
#include <cassert>
#include <string_view>

#include "bench/clairvoyant.h"

namespace currantwalk {

static constexpr double LeastReportInterval = 0.02;  // s
static constexpr std::uint32_t TokensPerNotice = 16; // Policies hear of every so many tokens.
static constexpr double CacheEventDelay = 2;         // s, at most
static constexpr double CacheEventLoss = 0.2;

ClusterRun::ClusterRun(const RunOptions &options, const std::vector<BenchRequest> &requests)
    : m_options(options),
      m_requests(requests),
      m_random(options.seed * 7919 + 17),
      m_generated(requests.size()),
      m_view(requests)
{
    createEngines();
    createNodes();
}

void ClusterRun::createEngines()
{
    m_engines.resize(m_options.cluster.engines);
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        EngineModel::Hooks hooks;
        hooks.onToken = [this](std::size_t request, std::uint32_t generated) {
            onToken(request, generated);
        };
        hooks.onFinished = [this](std::size_t request) { onFinished(request); };
        hooks.onCacheEvent = [this, i](std::uint64_t prefix, bool isCached) {
            onCacheEvent(i, prefix, isCached);
        };
        m_engines[i].id = TargetId("engine-" + std::to_string(i));
        m_engines[i].model =
                std::make_unique<EngineModel>(m_options.cluster.engine, m_requests, hooks);
    }
}

// A clairvoyant is one for all: it stands for what no set of nodes can know.
void ClusterRun::createNodes()
{
    std::vector<const EngineModel *> models;
    for (const Engine &engine : m_engines)
        models.push_back(engine.model.get());
    const bool isClairvoyant = clairvoyantKind(m_options.policy).has_value();
    m_nodes.resize(isClairvoyant ? 1 : m_options.cluster.nodes);
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        Node &node = m_nodes[i];
        node.targets.resize(m_engines.size());
        for (std::size_t k = 0; k < m_engines.size(); ++k) {
            node.targets[k].id = m_engines[k].id;
            node.targets[k].incarnation = 1;
            node.targets[k].load = m_engines[k].model->load();
        }
        const std::uint64_t seed = m_options.seed * 1000 + i;
        node.policy = isClairvoyant ? createClairvoyant(*clairvoyantKind(m_options.policy), models,
                                                        m_requests, seed)
                                    : createRoutingPolicy(m_options.policy, seed);
        assert(node.policy && "the command checks the policy's name");
        node.policy->onNodeCount(static_cast<std::uint32_t>(m_nodes.size()));
        for (const Target &target : node.targets)
            node.policy->onLoad(target, m_timers.now());
        AdmissionQueue::Hooks hooks;
        hooks.candidates = [&node](const RoutingRequest &) {
            std::vector<const Target *> live;
            for (const Target &target : node.targets) {
                if (target.state == TargetState::Live)
                    live.push_back(&target);
            }
            return live;
        };
        hooks.place = [this](const RoutingRequest &request, const RoutingDecision &decision) {
            place(std::stoul(request.id.text()), decision);
        };
        hooks.shed = [this](const RoutingRequest &request, const RoutingDecision &) {
            m_view.onShed(std::stoul(request.id.text()));
        };
        node.admission = AdmissionQueue::create(*node.policy, hooks, m_timers);
    }
}

double ClusterRun::seconds() const
{
    return static_cast<double>(m_timers.now().time_since_epoch().count()) / 1e6;
}

void ClusterRun::after(double seconds, TimerService::Callback callback)
{
    m_timers.scheduleAfter(Duration(static_cast<std::int64_t>(seconds * 1e6)), std::move(callback));
}

RunMeasures ClusterRun::run()
{
    const double interval = std::max(m_options.cluster.reportAge, LeastReportInterval);
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        after(m_random.uniform() * interval, [this, i] { report(i); });
    if (!m_requests.empty())
        subscribeArrival(0);
    if (m_options.fault == Fault::EngineDies)
        after(FaultFrom, [this] { killEngine(0); });
    RunMeasures measures{};
    after(m_options.seconds / 2, [this, &measures] {
        measures[static_cast<std::size_t>(Measure::BacklogMiddle)] = static_cast<double>(backlog());
    });
    m_timers.advance(Duration(static_cast<std::int64_t>(m_options.seconds * 1e6)));
    m_view.finish(seconds(), measures);
    measures[static_cast<std::size_t>(Measure::Backlog)] = static_cast<double>(backlog());
    for (const Engine &engine : m_engines) {
        measures[static_cast<std::size_t>(Measure::Preemptions)] +=
                static_cast<double>(engine.model->load().preemptions);
        measures[static_cast<std::size_t>(Measure::Recomputed)] +=
                static_cast<double>(engine.model->recomputedTokens());
    }
    return measures;
}

std::size_t ClusterRun::backlog() const
{
    std::size_t count = 0;
    for (const Node &node : m_nodes)
        count += node.admission->heldCount();
    for (const Engine &engine : m_engines)
        count += engine.model->waiting().size();
    return count;
}

void ClusterRun::subscribeArrival(std::size_t request)
{
    m_timers.scheduleAt(m_requests[request].routing.arrivedAt, [this, request] {
        if (request + 1 < m_requests.size())
            subscribeArrival(request + 1);
        nodeOf(request).admission->submit(m_requests[request].routing);
    });
}

void ClusterRun::place(std::size_t request, const RoutingDecision &decision)
{
    const auto engine =
            std::find_if(m_engines.begin(), m_engines.end(),
                         [&decision](const Engine &one) { return one.id == decision.target; });
    assert(engine != m_engines.end() && "policies choose among the candidates");
    m_generated[request] = 0;
    if (!engine->isAlive) {
        // The node learns of the death by the failure; the call is placed again then.
        after(DeathNoticedAfter, [this, request] {
            nodeOf(request).policy->onReleased(m_requests[request].routing.id, false, 0,
                                               m_timers.now());
            nodeOf(request).admission->submit(m_requests[request].routing);
        });
        return;
    }
    engine->model->submit(request);
    const std::size_t index = static_cast<std::size_t>(engine - m_engines.begin());
    // A step begins once all of this instant is known.
    after(0, [this, index] { startStep(index); });
}

void ClusterRun::startStep(std::size_t engine)
{
    Engine &one = m_engines[engine];
    if (one.isBusy || !one.isAlive)
        return;
    const double duration = one.model->beginStep();
    if (duration == 0)
        return;
    one.isBusy = true;
    after(duration, [this, engine, incarnation = one.incarnation] {
        Engine &stepped = m_engines[engine];
        if (!stepped.isAlive || stepped.incarnation != incarnation)
            return;
        stepped.model->endStep();
        stepped.isBusy = false;
        startStep(engine);
    });
}

void ClusterRun::onToken(std::size_t request, std::uint32_t generated)
{
    m_generated[request] = generated;
    m_view.onToken(request, generated, seconds());
    if (generated % TokensPerNotice == 1)
        nodeOf(request).policy->onToken(m_requests[request].routing.id, generated, m_timers.now());
}

void ClusterRun::onFinished(std::size_t request)
{
    m_view.onFinished(request, seconds());
    Node &node = nodeOf(request);
    node.policy->onReleased(m_requests[request].routing.id, true, m_generated[request],
                            m_timers.now());
    after(0, [&node] { node.admission->onCapacityChange(); });
}

void ClusterRun::onCacheEvent(std::size_t engine, std::uint64_t prefix, bool isCached)
{
    if (m_random.chance(CacheEventLoss))
        return;
    after(m_random.uniform() * CacheEventDelay, [this, engine, prefix, isCached] {
        for (Node &node : m_nodes)
            node.policy->onCacheEvent(m_engines[engine].id, prefix, isCached);
    });
}

void ClusterRun::report(std::size_t engine)
{
    const double interval = std::max(m_options.cluster.reportAge, LeastReportInterval);
    after(interval, [this, engine] { report(engine); });
    const bool isFrozen = m_options.fault == Fault::ReportsFrozen && seconds() >= FaultFrom
                          && seconds() < FaultFrom + ReportsFrozenFor;
    if (isFrozen || !m_engines[engine].isAlive)
        return;
    TargetLoad load = m_engines[engine].model->load();
    load.reportedAt = m_timers.now();
    const Incarnation incarnation = m_engines[engine].incarnation;
    after(m_options.cluster.reportAge / 2,
          [this, engine, load, incarnation] { deliver(engine, load, incarnation); });
}

void ClusterRun::deliver(std::size_t engine, const TargetLoad &load, Incarnation incarnation)
{
    for (Node &node : m_nodes) {
        Target &target = node.targets[engine];
        if (target.state != TargetState::Live || target.incarnation != incarnation)
            continue;
        target.load = load;
        node.policy->onLoad(target, m_timers.now());
        node.admission->onCapacityChange();
    }
}

void ClusterRun::killEngine(std::size_t engine)
{
    Engine &one = m_engines[engine];
    one.isAlive = false;
    one.isBusy = false;
    const std::vector<std::size_t> lost = one.model->die();
    after(DeathNoticedAfter, [this, engine, lost] { onEngineGone(engine, lost); });
    after(EngineBackAfter, [this, engine] { reviveEngine(engine); });
}

void ClusterRun::onEngineGone(std::size_t engine, const std::vector<std::size_t> &lost)
{
    for (Node &node : m_nodes) {
        node.targets[engine].state = TargetState::Gone;
        node.policy->onTargetGone(m_engines[engine].id);
    }
    for (const std::size_t request : lost) {
        m_view.onLost();
        Node &node = nodeOf(request);
        node.policy->onReleased(m_requests[request].routing.id, false, m_generated[request],
                                m_timers.now());
        node.admission->submit(m_requests[request].routing);
    }
}

void ClusterRun::reviveEngine(std::size_t engine)
{
    Engine &one = m_engines[engine];
    one.isAlive = true;
    ++one.incarnation;
    for (Node &node : m_nodes) {
        Target &target = node.targets[engine];
        target.state = TargetState::Live;
        target.incarnation = one.incarnation;
        target.firstSeen = m_timers.now();
        target.load = one.model->load();
        target.load.reportedAt = m_timers.now();
        node.policy->onLoad(target, m_timers.now());
        node.admission->onCapacityChange();
    }
}

RunMeasures runPolicy(const RunOptions &options, const LoadShape &load, const RateShape &rate)
{
    const std::vector<BenchRequest> requests =
            drawWorkload(load, rate, options.seconds, options.seed);
    ClusterRun run(options, requests);
    return run.run();
}

} // namespace currantwalk
