#include "testing/memberfleet.h"

#include <cassert>

namespace currantwalk {

TimerId PausableTimers::scheduleAt(TimePoint when, Callback callback)
{
    const TimerId id = ++m_lastId;
    const TimerId beneath = m_timers.scheduleAt(when, [this, id] { run(id); });
    m_subscriptions.emplace(id, std::pair(beneath, std::move(callback)));
    return id;
}

void PausableTimers::cancel(TimerId id)
{
    const auto it = m_subscriptions.find(id);
    if (it == m_subscriptions.end())
        return;
    m_timers.cancel(it->second.first);
    m_subscriptions.erase(it);
}

void PausableTimers::run(TimerId id)
{
    if (now() < m_pausedUntil) {
        m_subscriptions.at(id).first = m_timers.scheduleAt(m_pausedUntil, [this, id] { run(id); });
        return;
    }
    const Callback callback = std::move(m_subscriptions.at(id).second);
    m_subscriptions.erase(id);
    callback();
}

MemberFleet::MemberFleet(const Options &options) : m_options(options), m_random(options.seed)
{
    for (std::size_t i = 0; i < options.members; ++i)
        add(zoneName(i % options.zones));
}

MemberFleet::~MemberFleet() = default;

std::string MemberFleet::zoneName(std::size_t index) const
{
    return "zone-" + std::to_string(index + 1);
}

VmId MemberFleet::add(const std::string &zone)
{
    const std::uint32_t number = ++m_lastNumber;
    auto node = std::make_unique<Node>();
    Node *self = node.get();
    self->vm = VmId("vm-" + std::to_string(number));
    self->zone = zone;
    self->endpoint = {"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250),
                      7000};
    self->random = std::make_unique<RandomSource>(m_options.seed * 100003 + number);
    self->timers = std::make_unique<PausableTimers>(m_timers);
    Membership::Options options;
    options.self.vm = self->vm;
    options.self.zone = zone;
    options.self.endpoint = self->endpoint;
    options.self.incarnation = 1;
    options.bytesPerSecond = m_options.bytesPerSecond;
    constexpr std::size_t Seeds = 3;
    for (std::size_t i = 0; i < Seeds && !m_nodes.empty(); ++i) {
        const auto it =
                std::next(m_nodes.begin(),
                          static_cast<std::ptrdiff_t>(m_random.uniformBelow(m_nodes.size())));
        options.seeds.push_back(it->second->endpoint);
    }
    Membership::Hooks hooks;
    hooks.send = [this, self](const Endpoint &to, const Json::Value &message) {
        carry(*self, to, [copy = std::make_shared<Json::Value>(message)](Node &receiver) {
            receiver.membership->onMessage(*copy);
        });
    };
    hooks.onChange = [this, self](const Member &member) {
        if (m_observer)
            m_observer(*self, member);
        if (member.configVersion > self->version && !self->isFetching)
            fetch(*self, member);
    };
    hooks.onFact = [this, self](const std::string &kind, const Json::Value &fact) {
        ++self->facts[kind];
        if (m_factObserver)
            m_factObserver(*self, kind, fact);
    };
    self->membership = Membership::create(options, hooks, *self->timers, *self->random);
    m_byEndpoint[self->endpoint] = self->vm;
    const VmId vm = self->vm;
    m_nodes.emplace(vm, std::move(node));
    self->membership->start();
    return vm;
}

void MemberFleet::kill(const VmId &vm)
{
    const auto it = m_nodes.find(vm);
    assert(it != m_nodes.end() && "only a running node can be killed");
    m_byEndpoint.erase(it->second->endpoint);
    it->second->membership.reset();
    m_dead.push_back(std::move(it->second));
    m_nodes.erase(it);
}

void MemberFleet::leave(const VmId &vm)
{
    node(vm).membership->leave();
    kill(vm);
}

void MemberFleet::pause(const VmId &vm, Duration span)
{
    node(vm).timers->pauseUntil(m_timers.now() + span);
}

void MemberFleet::publish(const VmId &vm, LogOffset version)
{
    Node &publisher = node(vm);
    assert(version >= publisher.version && "versions only go forward");
    publisher.version = version;
    publisher.versionAt = m_timers.now();
    publisher.membership->setConfigVersion(version);
}

VmId MemberFleet::anyOf(const std::string &zone)
{
    for (const auto &[vm, node] : m_nodes) {
        if (node->zone == zone)
            return vm;
    }
    assert(false && "the zone has a node");
    return {};
}

bool MemberFleet::isCut(const std::string &a, const std::string &b) const
{
    return a != b && (m_cutZones.count(a) > 0 || m_cutZones.count(b) > 0);
}

bool MemberFleet::carry(const Node &from, const Endpoint &to, std::function<void(Node &)> deliver)
{
    const auto it = m_byEndpoint.find(to);
    if (it == m_byEndpoint.end())
        return false;
    const Node &receiver = *m_nodes.at(it->second);
    if (isCut(from.zone, receiver.zone) || m_random.chance(m_options.loss))
        return false;
    const Duration latency =
            from.zone == receiver.zone ? m_options.zoneLatency : m_options.linkLatency;
    // The time to deliver is read when the message arrives: a paused node takes it after the pause.
    const TimePoint when = std::max(m_timers.now() + latency + m_random.jitter(latency),
                                    receiver.timers->pausedUntil());
    m_timers.scheduleAt(when, [this, vm = it->second, deliver = std::move(deliver)] {
        const auto node = m_nodes.find(vm);
        if (node != m_nodes.end())
            deliver(*node->second);
    });
    return true;
}

// Models the call by which a daemon asks a peer for the set that it has in force.
void MemberFleet::fetch(Node &node, const Member &from)
{
    constexpr Duration Timeout = std::chrono::milliseconds(300);
    node.isFetching = true;
    carry(node, from.endpoint, [this, to = node.endpoint](Node &peer) {
        carry(peer, to, [this, version = peer.version](Node &asker) {
            asker.isFetching = false;
            if (version > asker.version)
                publish(asker.vm, version);
        });
    });
    node.timers->scheduleAfter(Timeout, [this, vm = node.vm, from] {
        const auto asker = m_nodes.find(vm);
        if (asker == m_nodes.end() || !asker->second->isFetching)
            return;
        asker->second->isFetching = false;
        if (from.configVersion > asker->second->version)
            fetch(*asker->second, from);
    });
}

bool MemberFleet::isConverged()
{
    std::set<VmId> present;
    for (const auto &[vm, node] : m_nodes)
        present.insert(vm);
    for (const auto &[vm, node] : m_nodes) {
        std::set<VmId> alive;
        for (const Member &member : node->membership->members()) {
            if (member.state == MemberState::Alive)
                alive.insert(member.vm);
        }
        if (alive != present)
            return false;
    }
    return true;
}

std::size_t MemberFleet::countBelow(LogOffset version)
{
    std::size_t count = 0;
    for (const auto &[vm, node] : m_nodes) {
        if (m_cutZones.count(node->zone) == 0 && node->version < version)
            ++count;
    }
    return count;
}

std::uint64_t MemberFleet::bytesSent()
{
    std::uint64_t bytes = 0;
    for (const auto &[vm, node] : m_nodes)
        bytes += node->membership->bytesSent();
    return bytes;
}

std::uint64_t MemberFleet::messagesSent()
{
    std::uint64_t messages = 0;
    for (const auto &[vm, node] : m_nodes)
        messages += node->membership->messagesSent();
    return messages;
}

} // namespace currantwalk
