#ifndef CURRANTWALK_TESTING_MEMBERFLEET_H
#define CURRANTWALK_TESTING_MEMBERFLEET_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/randomsource.h"
#include "base/virtualtimerservice.h"
#include "membership/membership.h"

namespace currantwalk {

/// A node's own view of the virtual time: its timers wait while the node is paused.
class PausableTimers : public TimerService
{
public:
    explicit PausableTimers(TimerService &timers) : m_timers(timers) {}

    TimePoint now() const override { return m_timers.now(); }
    TimerId scheduleAt(TimePoint when, Callback callback) override;
    void cancel(TimerId id) override;
    void pauseUntil(TimePoint when) { m_pausedUntil = when; }
    TimePoint pausedUntil() const { return m_pausedUntil; }

private:
    void run(TimerId id);

    TimerService &m_timers;
    std::map<TimerId, std::pair<TimerId, Callback>> m_subscriptions; ///< With the id beneath.
    TimerId m_lastId = NoTimer;
    TimePoint m_pausedUntil{};
};

/// The membership of many nodes in one process, on virtual time over a network that loses messages
/// and can be cut between zones. Nodes fetch a newer published version from the peer that has it.
class MemberFleet
{
public:
    struct Options
    {
        std::size_t members = 12;
        std::size_t zones = 3;
        double loss = 0;
        Duration zoneLatency = std::chrono::milliseconds(1);
        Duration linkLatency = std::chrono::milliseconds(40);
        std::size_t bytesPerSecond = 2000;
        std::uint64_t seed = 1;
    };

    struct Node
    {
        VmId vm;
        std::string zone;
        Endpoint endpoint;
        std::unique_ptr<RandomSource> random;
        std::unique_ptr<PausableTimers> timers;
        std::unique_ptr<Membership> membership;
        LogOffset version = 0;
        TimePoint versionAt{};
        bool isFetching = false;
        std::map<std::string, std::uint32_t> facts; ///< Times that each was given.
    };

    using ChangeObserver = std::function<void(const Node &node, const Member &member)>;
    using FactObserver =
            std::function<void(Node &node, const std::string &kind, const Json::Value &fact)>;

    explicit MemberFleet(const Options &options);
    ~MemberFleet();

    /// Adds and starts a node that knows three others as seeds.
    VmId add(const std::string &zone);
    void kill(const VmId &vm);
    void leave(const VmId &vm);
    void pause(const VmId &vm, Duration span);
    /// Cuts a zone off from all others.
    void cut(const std::string &zone) { m_cutZones.insert(zone); }
    void heal() { m_cutZones.clear(); }
    void setLoss(double loss) { m_options.loss = loss; }
    void publish(const VmId &vm, LogOffset version);
    void advance(Duration span) { m_timers.advance(span); }

    Node &node(const VmId &vm) { return *m_nodes.at(vm); }
    std::map<VmId, std::unique_ptr<Node>> &nodes() { return m_nodes; }
    VirtualTimerService &timers() { return m_timers; }
    RandomSource &random() { return m_random; }
    VmId anyOf(const std::string &zone);
    std::string zoneName(std::size_t index) const;
    void observeChanges(ChangeObserver observer) { m_observer = std::move(observer); }
    void observeFacts(FactObserver observer) { m_factObserver = std::move(observer); }

    /// Whether every node takes just the nodes there are for alive, and in reach.
    bool isConverged();
    /// Returns how many nodes of zones that are not cut off have a lower version.
    std::size_t countBelow(LogOffset version);
    /// Passes a message between two nodes over the same network; returns false where it is lost.
    bool carry(const Node &from, const Endpoint &to, std::function<void(Node &)> deliver);
    std::uint64_t bytesSent();
    std::uint64_t messagesSent();

private:
    void fetch(Node &node, const Member &from);
    bool isCut(const std::string &a, const std::string &b) const;

    Options m_options;
    VirtualTimerService m_timers;
    RandomSource m_random;
    std::map<VmId, std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<Node>> m_dead;
    std::map<Endpoint, VmId> m_byEndpoint;
    std::set<std::string> m_cutZones;
    ChangeObserver m_observer;
    FactObserver m_factObserver;
    std::uint32_t m_lastNumber = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_TESTING_MEMBERFLEET_H
