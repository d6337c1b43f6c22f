#include "calls/tests/simworld.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

static constexpr Duration DetectionTime = std::chrono::seconds(3);
static constexpr Duration PeerDelay = std::chrono::milliseconds(2);

SimWorld::SimWorld(const Options &given)
    : options(given), random(given.seed), network(timers, random), log(timers, given.seed + 1)
{
    for (const char *zone : {"a", "b", "c"}) {
        for (std::size_t i = 0; i < options.nodesPerZone; ++i) {
            nodes.push_back(std::make_unique<SimNode>(timers));
            nodes.back()->place = {"vm-" + std::string(zone) + std::to_string(i), zone};
            nodes.back()->log = &log.addClient();
        }
        for (std::size_t i = 0; i < options.enginesPerZone; ++i) {
            engines.push_back(std::make_unique<SimEngine>(network));
            engines.back()->place = {"engine-" + std::string(zone) + std::to_string(i), zone};
        }
        for (std::size_t i = 0; i < options.servicesPerZone; ++i) {
            services.push_back(std::make_unique<SimService>(network, options.servicesCheckKeys));
            services.back()->place = {"service-" + std::string(zone) + std::to_string(i), zone};
            services.back()->onEffect = [this](const std::string &tag) {
                ++effects[tag];
                onStep(0, SimRequestStep::Effect);
            };
        }
    }
    for (std::size_t i = 0; i < nodes.size(); ++i)
        startDaemon(i);
}

SimWorld::~SimWorld() = default;

void SimWorld::schedule(Duration delay, std::function<void()> action)
{
    timers.scheduleAfter(delay, std::move(action));
}

void SimWorld::reportViolation(const std::string &what)
{
    violations.push_back(what);
}

void SimWorld::startDaemon(std::size_t number)
{
    SimNode &node = *nodes[number];
    if (node.daemon)
        return;
    ++node.incarnation;
    node.isDaemonAlive = std::make_shared<bool>(true);
    node.daemon = std::make_unique<SimDaemon>(node.place, node.incarnation, node.timers,
                                              environment(number), random.next64());
}

void SimWorld::killDaemon(std::size_t number)
{
    SimNode &node = *nodes[number];
    if (!node.daemon)
        return;
    *node.isDaemonAlive = false;
    node.daemon.reset();
}

void SimWorld::pauseDaemon(std::size_t number, Duration span, bool areTimersFirst)
{
    NodeTimers &paused = nodes[number]->timers;
    if (paused.isPaused())
        return;
    paused.pause();
    schedule(span, [&paused, areTimersFirst] { paused.resume(areTimersFirst); });
}

// Answers of the log are deferred while the node is paused and discarded after it was killed.
LogHooks SimWorld::logHooks(std::size_t number)
{
    SimNode &node = *nodes[number];
    const std::shared_ptr<bool> isDaemonAlive = node.isDaemonAlive;
    const auto toNode = [&node, isDaemonAlive](const std::function<void()> &action) {
        node.timers.run([isDaemonAlive, action] {
            if (*isDaemonAlive)
                action();
        });
    };
    LogHooks hooks;
    hooks.append = [this, number, &node, toNode](const std::string &stream,
                                                 std::vector<std::string> records,
                                                 const LogHooks::AppendCallback &callback) {
        const bool isClaim = records.front().rfind("[\"c\"", 0) == 0;
        node.log->hooks.append(stream, std::move(records),
                               [this, number, isClaim, toNode,
                                callback](const absl::StatusOr<std::vector<LogOffset>> &offsets) {
                                   if (isClaim && offsets.ok())
                                       onStep(number, SimRequestStep::ClaimStands);
                                   schedule(std::chrono::microseconds(1),
                                            [toNode, callback, offsets] {
                                                toNode([callback, offsets] { callback(offsets); });
                                            });
                               });
    };
    hooks.read = [&node, toNode](const std::string &stream, LogOffset from, std::size_t limit,
                                 const LogHooks::ReadCallback &callback) {
        node.log->hooks.read(stream, from, limit,
                             [toNode, callback](const absl::StatusOr<LogPage> &page) {
                                 toNode([callback, page] { callback(page); });
                             });
    };
    return hooks;
}

DaemonEnvironment SimWorld::environment(std::size_t number)
{
    DaemonEnvironment result;
    result.network = &network;
    result.engines = &engines;
    result.services = &services;
    result.log = logHooks(number);
    result.onStep = [this, number](SimRequestStep step) { onStep(number, step); };
    result.queryPeers = [this, number](const GenerationId &generation,
                                       const std::function<void(bool)> &answer) {
        queryPeers(number, generation, answer);
    };
    result.notifyTakenOver = [this, number](const ResumeToken &token) {
        notifyTakenOver(number, token, 0);
    };
    result.sendPoisonReport = [this, number](const PoisonReport &report) {
        for (const auto &node : nodes) {
            const bool isOther = node.get() != nodes[number].get();
            if (isOther && node->daemon)
                sendPoisonReport(*node, report);
        }
    };
    result.isClaimReadBackSkipped = options.isClaimReadBackSkipped;
    return result;
}

void SimWorld::sendPoisonReport(SimNode &node, const PoisonReport &report)
{
    schedule(PeerDelay, [&node, report, isDaemonAlive = node.isDaemonAlive] {
        node.timers.run([&node, report, isDaemonAlive] {
            if (*isDaemonAlive)
                node.daemon->onPoisonReport(report);
        });
    });
}

bool SimWorld::isReachable(std::size_t from, std::size_t to) const
{
    return timers.now() >= m_peersPartitionedUntil
           && !network.isPartitioned(nodes[from]->place.zone, nodes[to]->place.zone);
}

// A peer that does not answer may have taken over the generation, so the query then stays
// unanswered.
void SimWorld::queryPeers(std::size_t number, const GenerationId &generation,
                          const std::function<void(bool)> &answer)
{
    schedule(PeerDelay,
             [this, number, generation, answer, isDaemonAlive = nodes[number]->isDaemonAlive] {
                 bool isRead = false;
                 for (std::size_t i = 0; i < nodes.size(); ++i) {
                     const bool isAlive = nodes[i]->daemon != nullptr;
                     if (isAlive && (!isReachable(number, i) || nodes[i]->timers.isPaused()))
                         return;
                     isRead = isRead || (isAlive && nodes[i]->daemon->isReading(generation));
                 }
                 nodes[number]->timers.run([isDaemonAlive, answer, isRead] {
                     if (*isDaemonAlive)
                         answer(isRead);
                 });
             });
}

void SimWorld::notifyTakenOver(std::size_t number, const ResumeToken &token, std::uint32_t tries)
{
    constexpr std::uint32_t MaxTries = 60;
    const auto it = std::find_if(nodes.begin(), nodes.end(), [&token](const auto &node) {
        return node->place.name == token.vm.text();
    });
    SimNode &writer = **it;
    const auto index = static_cast<std::size_t>(it - nodes.begin());
    if (!writer.daemon || tries > MaxTries)
        return;
    if (!isReachable(number, index)) {
        schedule(std::chrono::seconds(1),
                 [this, number, token, tries] { notifyTakenOver(number, token, tries + 1); });
        return;
    }
    schedule(PeerDelay, [&writer, token, isDaemonAlive = writer.isDaemonAlive] {
        writer.timers.run([&writer, token, isDaemonAlive] {
            if (*isDaemonAlive)
                writer.daemon->onTakenOver(token.point.generation);
        });
    });
}

SimTarget *SimWorld::findTarget(const std::string &name)
{
    for (const auto &engine : engines) {
        if (engine->place.name == name)
            return engine.get();
    }
    for (const auto &service : services) {
        if (service->place.name == name)
            return service.get();
    }
    return nullptr;
}

// Nodes that cannot reach a target for at least the detection time also presume it dead.
void SimWorld::scheduleDeathReports(const std::string &target, Incarnation incarnation,
                                    const SimEndpoint &place)
{
    schedule(DetectionTime, [this, target, incarnation, place] {
        const SimTarget *found = findTarget(target);
        const bool isDead = !found->isAlive || found->incarnation > incarnation;
        for (const auto &node : nodes) {
            if (!node->daemon)
                continue;
            const bool isUnreachable =
                    network.partitionDuration(node->place.zone, place.zone) >= DetectionTime;
            if (!isDead && !isUnreachable)
                continue;
            node->timers.run(
                    [&node = *node, target, incarnation, isDaemonAlive = node->isDaemonAlive] {
                        if (*isDaemonAlive)
                            node.daemon->onTargetGone(TargetId(target), incarnation);
                    });
        }
    });
}

void SimWorld::killTarget(const std::string &name, Duration restartAfter, bool keepsConnectionsOpen)
{
    SimTarget *target = findTarget(name);
    if (!target || !target->isAlive)
        return;
    target->kill(network, keepsConnectionsOpen);
    scheduleDeathReports(name, target->incarnation, target->place);
    schedule(restartAfter, [target] { target->restart(); });
}

void SimWorld::reclaimTarget(const std::string &name, Duration notice, Duration restartAfter)
{
    SimTarget *target = findTarget(name);
    if (!target || !target->isAlive || target->isLeaving)
        return;
    target->isLeaving = true;
    schedule(notice, [this, name, restartAfter] { killTarget(name, restartAfter); });
}

void SimWorld::partitionZone(const std::string &zone, Duration span)
{
    network.partitionZone(zone, span);
    for (const auto &node : nodes) {
        if (node->place.zone != zone)
            continue;
        node->log->isDisconnected = true;
        schedule(span, [&node = *node] { node.log->isDisconnected = false; });
    }
    for (const auto &engine : engines)
        scheduleDeathReports(engine->place.name, engine->incarnation, engine->place);
    for (const auto &service : services)
        scheduleDeathReports(service->place.name, service->incarnation, service->place);
}

std::uint64_t SimWorld::startedGenerations(const std::string &tag) const
{
    std::uint64_t begun = 0;
    for (const auto &engine : engines) {
        const auto it = engine->begun.find(tag);
        begun += it == engine->begun.end() ? 0 : it->second;
    }
    return begun;
}

std::uint64_t SimWorld::runningGenerations() const
{
    std::uint64_t running = 0;
    for (const auto &engine : engines)
        running += engine->runningGenerations();
    return running;
}

} // namespace currantwalk
