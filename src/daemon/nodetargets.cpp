#include "daemon/node.h"

#include <algorithm>
#include <utility>

#include "observe/logging.h"

namespace currantwalk {

static constexpr Duration PrefixEventInterval = std::chrono::seconds(2);
static constexpr std::size_t WatchersPerTarget = 2;

bool Node::isWatcher(const TargetId &target) const
{
    const std::vector<Member> nodes = m_membership->aliveMembersInZone(m_settings.zone);
    const std::vector<Member> watchers = rendezvousMembers(nodes, target.text(), WatchersPerTarget);
    return std::any_of(watchers.begin(), watchers.end(),
                       [this](const Member &member) { return member.vm.text() == m_settings.vm; });
}

void Node::probeTarget(const Target &target)
{
    const TargetTable::Options options;
    m_link.probe(target, options.probeTimeout,
                 [this, id = target.id](const absl::StatusOr<TargetReport> &report) {
                     if (report.ok())
                         m_targets->onReport(*report);
                     else
                         m_targets->onProbeFailed(id);
                 });
}

void Node::onTargetChange(const Target &target)
{
    Incarnation &known = m_incarnations[target.id];
    const Incarnation before = std::exchange(known, std::max(known, target.incarnation));
    const bool isRestarted = before > 0 && target.incarnation > before;
    const bool isGone = target.state == TargetState::Gone;
    if (!m_callers)
        return;
    if (isRestarted || isGone) {
        const Incarnation dead = isGone ? target.incarnation : target.incarnation - 1;
        logLine(LogPart::Targets, LogLevel::Warning,
                target.id.text() + (isGone ? " is gone." : " restarted."));
        m_policy->onTargetGone(target.id);
        m_nextPrefixEvents.erase(target.id);
        m_poison->onTargetDied(target.id, dead);
        m_callers->onTargetGone(target.id, dead);
        m_cancellations->onTargetGone(target.id, dead);
    }
    const bool isNew =
            !isGone && target.kind == TargetKind::Engine && !m_nextPrefixEvents.contains(target.id);
    if (isNew) {
        m_nextPrefixEvents[target.id] = 1;
        fetchPrefixEvents(target);
    }
    m_dispatcher->onCapacityChange();
}

void Node::fetchPrefixEvents(const Target &target)
{
    const auto next = m_nextPrefixEvents.find(target.id);
    if (next == m_nextPrefixEvents.end() || target.state == TargetState::Gone)
        return;
    m_link.fetchPrefixEvents(
            target, next->second,
            [this, id = target.id](const absl::StatusOr<std::vector<PrefixEvent>> &events) {
                const auto position = m_nextPrefixEvents.find(id);
                if (position == m_nextPrefixEvents.end())
                    return;
                if (events.ok()) {
                    for (const PrefixEvent &event : *events) {
                        m_policy->onCacheEvent(id, event.prefixHash, event.isCached);
                        position->second = std::max(position->second, event.number + 1);
                    }
                }
                m_loop.timers().scheduleAfter(PrefixEventInterval, [this, id] {
                    if (const Target *known = m_targets->find(id))
                        fetchPrefixEvents(*known);
                });
            });
}

std::string Node::poolOf(const RoutingRequest &request) const
{
    if (!m_index)
        return "";
    const ObjectSet &objects = m_index->objects();
    if (request.model.empty()) {
        const auto service = objects.services.find(request.service);
        return service == objects.services.end() ? "" : service->second.pool;
    }
    return m_index->poolOf(request.model);
}

static bool isExcluded(const RoutingRequest &request, const Target &target)
{
    const std::vector<TargetId> &excluded = request.excludedTargets;
    return std::find(excluded.begin(), excluded.end(), target.id) != excluded.end();
}

// A suspect request goes only where a crash would take no other generation along.
static bool isHarmless(const RoutingRequest &request, const Target &target)
{
    return !request.isSuspect || (target.load.running == 0 && target.load.waiting == 0);
}

std::vector<const Target *> Node::candidates(const RoutingRequest &request) const
{
    std::vector<const Target *> targets = m_targets->candidates(poolOf(request));
    std::erase_if(targets, [&request](const Target *target) {
        const bool isServing = request.model.empty() || target->isServing(request.model);
        return !isServing || isExcluded(request, *target) || !isHarmless(request, *target);
    });
    return targets;
}

} // namespace currantwalk
