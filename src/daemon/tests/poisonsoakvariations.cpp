#include "daemon/tests/poisonsoak.h"

namespace currantwalk {

using namespace std::chrono_literals;

// From the users' rules.
static constexpr Duration StopGrace = 8s;

void PoisonSoak::repeat(Duration span, const std::function<Duration()> &drawPause,
                        const std::function<void()> &action)
{
    const Duration pause = drawPause();
    if (span < pause)
        return;
    m_fleet.timers.scheduleAfter(pause, [this, left = span - pause, drawPause, action] {
        action();
        repeat(left, drawPause, action);
    });
}

void PoisonSoak::varyPlatform()
{
    const bool givesCopies = m_platformRandom.chance(0.7);
    for (const std::unique_ptr<SimServer> &server : m_fleet.servers) {
        if (server->options.service != "engines")
            continue;
        server->options.dropsRuns = m_platformRandom.chance(0.5);
        server->options.givesCopies = givesCopies;
    }
    m_fleet.store.pageSize = 1 + m_platformRandom.uniformBelow(60);
    writeForeignKeys(Span);
}

void PoisonSoak::varyAnswers()
{
    for (const std::unique_ptr<SimServer> &server : m_fleet.servers) {
        if (m_answerRandom.chance(0.7))
            server->options.copyTime = m_answerRandom.jitter(3s);
    }
    if (m_answerRandom.chance(0.5)) {
        // A stream of the soak has about 400 bytes in a second.
        const std::size_t rate = 200 + m_answerRandom.uniformBelow(400);
        m_fleet.net.readRate = [rate](const std::string &client) {
            return client == EntryFleet::CallersHost ? rate : 0;
        };
    }
    repeat(
            Span, [this] { return 200ms + m_answerRandom.jitter(4s); },
            [this] {
                m_fleet.servers[m_answerRandom.uniformBelow(m_fleet.servers.size())]->loseAnswers();
            });
    // Stops come in series and overlap.
    repeat(
            Span, [this] { return 1s + m_answerRandom.jitter(12s); }, [this] { stopRandomNode(); });
}

void PoisonSoak::varyCalls()
{
    for (const std::unique_ptr<SimServer> &server : m_fleet.servers) {
        if (server->options.service != "engines")
            continue;
        server->options.dropsRuns = m_callRandom.chance(0.3);
        server->options.givesCopies = true;
        if (m_callRandom.chance(0.7))
            server->options.failedCallShare = 0.5 * m_callRandom.uniform();
    }
    // Both come in series and overlap.
    repeat(
            Span, [this] { return 500ms + m_callRandom.jitter(8s); }, [this] { haltRandomNode(); });
    repeat(
            Span, [this] { return 500ms + m_callRandom.jitter(4s); }, [this] { removeEntries(); });
}

void PoisonSoak::haltRandomNode()
{
    const std::size_t node = m_callRandom.uniformBelow(m_fleet.nodeCount());
    const Duration halt = 1s + m_callRandom.jitter(4s);
    const bool areTimersFirst = m_callRandom.chance(0.5);
    if (!m_fleet.isUp(node) || !m_halted.insert(node).second)
        return;
    noteNode(node, halt);
    m_fleet.pauseNode(node);
    m_fleet.timers.scheduleAfter(halt, [this, node, areTimersFirst] {
        m_halted.erase(node);
        if (m_fleet.isUp(node))
            m_fleet.resumeNode(node, areTimersFirst);
    });
}

// The servers serve for longer than they may be sent requests.
void PoisonSoak::removeEntries()
{
    const SimServer &chosen = *m_fleet.servers[m_callRandom.uniformBelow(m_fleet.servers.size())];
    // A target that may only have lapsed is used where no other is ready.
    const bool isOfAll = m_callRandom.chance(0.3);
    for (const std::unique_ptr<SimServer> &server : m_fleet.servers) {
        const bool isMeant = isOfAll ? server->options.service == "plain" : server.get() == &chosen;
        if (!isMeant)
            continue;
        server->options.announcesLeaving = false;
        server->options.leavingTime = 4s;
        server->leave();
    }
}

void PoisonSoak::stopRandomNode()
{
    const std::size_t node = m_answerRandom.uniformBelow(m_fleet.nodeCount());
    if (!m_fleet.isUp(node) || !m_fleet.node(node).isReady())
        return;
    m_fleet.node(node).beginDrain();
    killWhenStopped(node, m_fleet.timers.now() + StopGrace);
}

// The node is killed by now, and started again, if a disruption has hit it meanwhile.
void PoisonSoak::killWhenStopped(std::size_t node, TimePoint killedAt)
{
    constexpr Duration CheckInterval = 100ms;
    if (!m_fleet.isUp(node) || m_fleet.node(node).isReady())
        return;
    if (m_fleet.hasStopped(node) || m_fleet.timers.now() >= killedAt) {
        restart(node, 500ms);
        return;
    }
    m_fleet.timers.scheduleAfter(CheckInterval,
                                 [this, node, killedAt] { killWhenStopped(node, killedAt); });
}

// Some of them sort between the keys of servers; the empty one comes first of all.
void PoisonSoak::writeForeignKeys(Duration span)
{
    if (span < Duration::zero())
        return;
    const std::size_t keys = m_platformRandom.uniformBelow(12);
    for (std::size_t i = 0; i < keys; ++i) {
        std::string key = m_platformRandom.chance(0.5) ? "t1" : "";
        for (std::size_t size = m_platformRandom.uniformBelow(6); size > 0; --size)
            key += static_cast<char>(m_platformRandom.uniformBelow(256));
        m_fleet.store.append(EntryFleet::TargetsTopic, key, std::string("of another writer"));
    }
    if (m_platformRandom.chance(0.2))
        m_fleet.store.compact(EntryFleet::TargetsTopic);
    const Duration pause = 1s + m_platformRandom.jitter(5s);
    m_fleet.timers.scheduleAfter(pause, [this, left = span - pause] { writeForeignKeys(left); });
}

// One server of a service, or all, name a limit for some seconds, and another one after it.
void PoisonSoak::nameLimits(Duration span)
{
    const Duration until = 4s + m_limitRandom.jitter(8s);
    if (span < until)
        return;
    const std::string service = m_limitRandom.chance(0.5) ? "plain" : "engines";
    const bool isOfAll = m_limitRandom.chance(0.3);
    const std::size_t only = m_limitRandom.uniformBelow(m_fleet.servers.size());
    for (std::size_t i = 0; i < m_fleet.servers.size(); ++i) {
        SimServer &server = *m_fleet.servers[i];
        if (i != only && !(isOfAll && server.options.service == service))
            continue;
        server.setLimit(m_limitRandom.chance(0.1) ? 0 : 0.3 + 20 * m_limitRandom.uniform());
        if (m_limitRandom.chance(0.5))
            m_fleet.timers.scheduleAfter(until, [&server] { server.setLimit(std::nullopt); });
    }
    m_fleet.timers.scheduleAfter(until, [this, left = span - until] { nameLimits(left); });
}

} // namespace currantwalk
