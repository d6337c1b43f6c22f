#include "testing/targetfleet.h"

#include "base/json.h"

namespace currantwalk {

constexpr std::uint64_t EngineCapacity = 400'000;
constexpr std::uint64_t TokensPerReport = 1500;
constexpr std::size_t WatchersPerTarget = 2;

TargetFleet::TargetFleet(const MemberFleet::Options &options, std::size_t targetsPerZone,
                         Duration listLag)
    : m_fleet(options), m_listLag(listLag)
{
    for (std::size_t zone = 0; zone < options.zones; ++zone) {
        for (std::size_t i = 0; i < targetsPerZone; ++i) {
            const std::string name = m_fleet.zoneName(zone);
            const TargetId id("engine-" + std::to_string(zone + 1) + "-" + std::to_string(i + 1));
            m_engines[id].listed = {id,   TargetKind::Engine, {"10.1.0.1", 9000},
                                    name, "engines",          false};
        }
    }
    m_fleet.observeFacts(
            [this](MemberFleet::Node &node, const std::string &kind, const Json::Value &fact) {
                if (kind == "target" && m_tables.count(node.vm) > 0)
                    (void)m_tables.at(node.vm)->onAnnouncement(fact);
            });
    m_fleet.advance(std::chrono::seconds(15));
    for (auto &[vm, node] : m_fleet.nodes())
        start(*node);
}

void TargetFleet::start(MemberFleet::Node &node)
{
    TargetTable::Options options;
    options.zone = node.zone;
    options.digestStartDelay = node.random->jitter(options.digestInterval);
    TargetTable::Hooks hooks;
    hooks.probe = [this, &node](const Target &target) { probe(node, target.id); };
    hooks.isWatcher = [&node](const TargetId &target) {
        const std::vector<Member> alive = node.membership->aliveMembersInZone(node.zone);
        for (const Member &member : rendezvousMembers(alive, target.text(), WatchersPerTarget)) {
            if (member.vm == node.vm)
                return true;
        }
        return false;
    };
    hooks.onChange = [this](const Target &target) {
        if (target.state == TargetState::Leaving)
            m_leavingSince.try_emplace({target.id, target.incarnation}, m_fleet.timers().now());
    };
    hooks.onLoad = [](const Target &) {};
    hooks.broadcastDigest = [this, &node](const Json::Value &digest) { share(node, digest); };
    hooks.announce = [&node](const Json::Value &fact) {
        node.membership->disseminate("target", fact, true);
    };
    m_tables[node.vm] = TargetTable::create(options, hooks, *node.timers);
    m_tables[node.vm]->onTargetList(list());
    m_tables[node.vm]->start();
}

void TargetFleet::kill(const VmId &vm)
{
    m_tables.erase(vm);
    m_fleet.kill(vm);
}

void TargetFleet::advance(Duration span)
{
    constexpr Duration Step = std::chrono::seconds(1);
    for (Duration passed{0}; passed < span; passed += Step) {
        const std::vector<ListedTarget> lagging = list();
        m_fleet.timers().scheduleAfter(m_listLag, [this, lagging] {
            for (const auto &[vm, table] : m_tables)
                table->onTargetList(lagging);
        });
        m_fleet.advance(Step);
    }
}

std::vector<ListedTarget> TargetFleet::list() const
{
    std::vector<ListedTarget> rows;
    for (const auto &[id, engine] : m_engines)
        rows.push_back(engine.listed);
    return rows;
}

void TargetFleet::probe(MemberFleet::Node &node, const TargetId &target)
{
    ++m_probes;
    m_fleet.carry(node, node.endpoint, [this, target](MemberFleet::Node &asker) {
        Engine &engine = m_engines.at(target);
        if (!engine.isRunning || m_tables.count(asker.vm) == 0)
            return;
        engine.generated += TokensPerReport;
        TargetReport report;
        report.id = target;
        report.incarnation = engine.incarnation;
        report.isLeaving = engine.isSayingThatItLeaves;
        report.models = {{"assistant-large", "7"}, {"assistant-small", "3"}};
        report.load.reportedAt = m_fleet.timers().now();
        report.load.running = static_cast<std::uint32_t>(m_fleet.random().uniformBelow(32));
        report.load.waiting = static_cast<std::uint32_t>(m_fleet.random().uniformBelow(4));
        report.load.usedTokens = m_fleet.random().uniformBelow(EngineCapacity);
        report.load.capacityTokens = EngineCapacity;
        report.load.generatedTokens = engine.generated;
        m_tables.at(asker.vm)->onReport(report);
    });
}

void TargetFleet::share(MemberFleet::Node &node, const Json::Value &digest)
{
    const std::size_t bytes = writeJson(digest).size();
    const auto copy = std::make_shared<Json::Value>(digest);
    for (const Member &peer : node.membership->aliveMembersInZone(node.zone)) {
        if (peer.vm == node.vm)
            continue;
        m_digestBytes += bytes;
        ++m_digestMessages;
        m_fleet.carry(node, peer.endpoint, [this, copy](MemberFleet::Node &receiver) {
            if (m_tables.count(receiver.vm) > 0)
                (void)m_tables.at(receiver.vm)->onDigest(*copy);
        });
    }
}

} // namespace currantwalk
