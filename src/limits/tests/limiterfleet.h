#ifndef CURRANTWALK_LIMITS_TESTS_LIMITERFLEET_H
#define CURRANTWALK_LIMITS_TESTS_LIMITERFLEET_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "limits/limiter.h"
#include "testing/memberfleet.h"

namespace currantwalk {

/// The limiters of many nodes over the fake network, with callers that ask in a steady stream.
class LimiterFleet
{
public:
    struct Load
    {
        double requestsPerSecond = 0; ///< At each node.
        Duration lasts{0};            ///< Of a stream; 0 for a request that is none.
        double tokensPerSecond = 0;   ///< Of a stream.
    };

    LimiterFleet(const MemberFleet::Options &options, const ObjectSet &objects)
        : m_fleet(options), m_objects(objects)
    {
        m_fleet.advance(std::chrono::seconds(20));
        for (const auto &[vm, node] : m_fleet.nodes())
            start(*node);
    }

    void start(MemberFleet::Node &node)
    {
        LimiterOptions options;
        options.self = node.vm;
        options.zone = node.zone;
        LimiterHooks hooks;
        hooks.members = [&node] { return node.membership->members(); };
        hooks.send = [this, &node](const VmId &to, const Json::Value &message) {
            if (m_fleet.nodes().count(to) == 0)
                return;
            m_fleet.carry(node, m_fleet.node(to).endpoint,
                          [this, message](MemberFleet::Node &peer) {
                              if (m_limiters.count(peer.vm) > 0)
                                  (void)m_limiters.at(peer.vm)->onMessage(message);
                          });
        };
        std::unique_ptr<Limiter> limiter = createLimiter(options, hooks, *node.timers);
        limiter->onObjects(m_objects);
        m_limiters[node.vm] = std::move(limiter);
    }

    void stop(const VmId &vm)
    {
        for (const auto &[id, owner] : m_streams)
            m_running -= owner == vm ? 1 : 0;
        std::erase_if(m_streams, [&](const auto &item) { return item.second == vm; });
        m_limiters.erase(vm);
        m_fleet.kill(vm);
    }

    /// Lets every node's callers ask for \a span; a caller that is refused goes away.
    void run(const Load &load, Duration span, const std::string &zone = "")
    {
        constexpr Duration Step = std::chrono::milliseconds(50);
        const double perStep = load.requestsPerSecond * 0.05;
        for (Duration passed{0}; passed < span; passed += Step) {
            std::vector<VmId> nodes;
            for (const auto &[vm, limiter] : m_limiters)
                nodes.push_back(vm);
            for (const VmId &vm : nodes) {
                if (!zone.empty() && m_fleet.node(vm).zone != zone)
                    continue;
                for (double due = perStep; due > 0; due -= 1) {
                    if (due >= 1 || m_fleet.random().chance(due))
                        ask(vm, load);
                }
            }
            m_fleet.advance(Step);
            m_mostRunning = std::max(m_mostRunning, m_running);
        }
    }

    LimitVerdict ask(const VmId &vm, const Load &load)
    {
        const bool isStream = load.lasts > Duration(0);
        const LimitVerdict verdict = m_limiters.at(vm)->admit("org", "assistant", isStream);
        if (!verdict.isAdmitted)
            return verdict;
        ++m_admitted;
        ++m_admittedIn[m_fleet.node(vm).zone];
        ++m_admittedAt[vm];
        if (isStream)
            hold(vm, verdict.grant, load);
        else
            m_limiters.at(vm)->release(verdict.grant);
        return verdict;
    }

    MemberFleet &fleet() { return m_fleet; }
    Limiter &limiter(const VmId &vm) { return *m_limiters.at(vm); }
    std::uint64_t takeAdmitted() { return std::exchange(m_admitted, 0); }
    std::uint64_t takeTokens() { return std::exchange(m_tokens, 0); }
    int takeMostRunning() { return std::exchange(m_mostRunning, m_running); }
    std::map<std::string, std::uint64_t> takeByZone() { return std::exchange(m_admittedIn, {}); }
    std::map<VmId, std::uint64_t> takeByNode() { return std::exchange(m_admittedAt, {}); }

private:
    void hold(const VmId &vm, LimitGrant grant, const Load &load)
    {
        const std::uint64_t id = ++m_lastStream;
        m_streams[id] = vm;
        ++m_running;
        m_mostRunning = std::max(m_mostRunning, m_running);
        constexpr int Parts = 10;
        const auto tokens = static_cast<std::uint32_t>(
                load.tokensPerSecond * std::chrono::duration<double>(load.lasts).count() / Parts);
        for (int part = 1; part <= Parts; ++part) {
            m_fleet.timers().subscribeAfter(load.lasts * part / Parts, [=, this] {
                if (m_streams.count(id) == 0)
                    return;
                m_tokens += tokens;
                m_limiters.at(vm)->charge(grant, tokens);
                if (part < Parts)
                    return;
                m_limiters.at(vm)->release(grant);
                m_streams.erase(id);
                --m_running;
            });
        }
    }

    MemberFleet m_fleet;
    ObjectSet m_objects;
    std::map<VmId, std::unique_ptr<Limiter>> m_limiters;
    std::map<std::uint64_t, VmId> m_streams;
    std::map<std::string, std::uint64_t> m_admittedIn;
    std::map<VmId, std::uint64_t> m_admittedAt;
    std::uint64_t m_lastStream = 0;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_tokens = 0;
    int m_running = 0;
    int m_mostRunning = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_TESTS_LIMITERFLEET_H
