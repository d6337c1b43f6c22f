#ifndef CURRANTWALK_LIMITS_TESTS_LIMITERFLEET_H
#define CURRANTWALK_LIMITS_TESTS_LIMITERFLEET_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "limits/limiter.h"
#include "testing/memberfleet.h"

namespace currantwalk {

/// The limiters of many nodes on a simulated network, with callers that send requests at a steady
/// rate.
class LimiterFleet
{
public:
    struct Load
    {
        double requestsPerSecond = 0; ///< Per node.
        Duration duration{0};         ///< Of a stream; 0 for a request that is not a stream.
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
        limiter->applyObjects(m_objects);
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

    /// Sends requests to every node, or to those of \a zone, for \a span. Rejected callers do not
    /// retry.
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
                const auto certain = static_cast<int>(perStep);
                for (int i = 0; i < certain; ++i)
                    sendRequest(vm, load);
                if (m_fleet.random().chance(perStep - certain))
                    sendRequest(vm, load);
            }
            m_fleet.advance(Step);
            m_peakRunning = std::max(m_peakRunning, m_running);
        }
    }

    AdmissionResult sendRequest(const VmId &vm, const Load &load)
    {
        const bool isStream = load.duration > Duration(0);
        const AdmissionResult verdict = m_limiters.at(vm)->admit("org", "assistant", isStream);
        if (!verdict.isAdmitted)
            return verdict;
        ++m_admitted;
        ++m_admittedByZone[m_fleet.node(vm).zone];
        ++m_admittedByNode[vm];
        if (isStream)
            runStream(vm, verdict.grant, load);
        else
            m_limiters.at(vm)->release(verdict.grant);
        return verdict;
    }

    MemberFleet &fleet() { return m_fleet; }
    Limiter &limiter(const VmId &vm) { return *m_limiters.at(vm); }
    std::uint64_t takeAdmitted() { return std::exchange(m_admitted, 0); }
    std::uint64_t takeTokens() { return std::exchange(m_tokens, 0); }
    int takePeakRunning() { return std::exchange(m_peakRunning, m_running); }
    std::map<std::string, std::uint64_t> takeByZone()
    {
        return std::exchange(m_admittedByZone, {});
    }
    std::map<VmId, std::uint64_t> takeByNode() { return std::exchange(m_admittedByNode, {}); }

private:
    void runStream(const VmId &vm, AdmissionHandle grant, const Load &load)
    {
        const std::uint64_t id = ++m_lastStream;
        m_streams[id] = vm;
        ++m_running;
        m_peakRunning = std::max(m_peakRunning, m_running);
        constexpr int Parts = 10;
        const auto tokens = static_cast<std::uint32_t>(
                load.tokensPerSecond * std::chrono::duration<double>(load.duration).count()
                / Parts);
        for (int part = 1; part <= Parts; ++part) {
            m_fleet.timers().scheduleAfter(load.duration * part / Parts, [=, this] {
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
    std::map<std::string, std::uint64_t> m_admittedByZone;
    std::map<VmId, std::uint64_t> m_admittedByNode;
    std::uint64_t m_lastStream = 0;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_tokens = 0;
    int m_running = 0;
    int m_peakRunning = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_TESTS_LIMITERFLEET_H
