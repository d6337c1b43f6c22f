#include "daemon/node.h"

#include <algorithm>
#include <utility>

#include "daemon/burncollector.h"
#include "daemon/poisonmessages.h"
#include "observe/logging.h"

namespace currantwalk {

static constexpr Duration VmListInterval = std::chrono::seconds(2);
static constexpr Duration PullRetryInterval = std::chrono::milliseconds(500);

void Node::collectBurn(std::function<void(const BurnSnapshot &, std::size_t missing)> callback)
{
    currantwalk::collectBurn(m_peers, otherMembers(), m_burn.snapshot(m_loop.timers().now()),
                             std::move(callback));
}

// A suspected member may still serve its callers; a dead one is taken to serve none.
std::vector<Member> Node::possibleReaders() const
{
    std::vector<Member> readers = m_membership->members();
    std::erase_if(readers, [this](const Member &member) {
        const bool isServing =
                member.state == MemberState::Alive || member.state == MemberState::Suspected;
        return !isServing || member.vm.text() == m_settings.vm;
    });
    return readers;
}

std::vector<Member> Node::otherMembers() const
{
    std::vector<Member> others = m_membership->members();
    std::erase_if(others, [this](const Member &member) {
        return member.state != MemberState::Alive || member.vm.text() == m_settings.vm;
    });
    return others;
}

void Node::onMember(const Member &member)
{
    logLine(LogPart::Membership, LogLevel::Debug,
            member.vm.text() + " is " + std::string(memberStateName(member.state)) + ".");
    const std::size_t nodes = m_membership->aliveMembersInZone(m_settings.zone).size();
    if (m_policy)
        m_policy->onNodeCount(static_cast<std::uint32_t>(std::max<std::size_t>(nodes, 1)));
    pullConfig(member);
}

void Node::pullConfig(const Member &member)
{
    const LogOffset own = m_config && m_config->current() ? m_config->current()->version : 0;
    if (m_isPulling || !m_config || member.configVersion <= own)
        return;
    m_isPulling = true;
    m_peers.call(member.endpoint, "config", Json::Value(Json::objectValue),
                 [this](const absl::StatusOr<Json::Value> &result) {
                     m_isPulling = false;
                     if (!result.ok())
                         return retryPull();
                     const absl::Status taken = m_config->onPeerVersion(*result);
                     if (!taken.ok())
                         logLine(LogPart::Config, LogLevel::Warning,
                                 "A peer's version was refused: " + std::string(taken.message()));
                 });
}

// A member's change is told once, so a pull that failed is tried again, at whoever is ahead then.
void Node::retryPull()
{
    m_loop.timers().scheduleAfter(PullRetryInterval, [this] {
        const std::vector<Member> others = otherMembers();
        const auto ahead = std::max_element(others.begin(), others.end(),
                                            [](const Member &left, const Member &right) {
                                                return left.configVersion < right.configVersion;
                                            });
        if (ahead != others.end())
            pullConfig(*ahead);
    });
}

static void logRefused(LogPart part, const absl::Status &status)
{
    if (!status.ok())
        logLine(part, LogLevel::Warning,
                "A peer's message was refused: " + std::string(status.message()));
}

void Node::onFact(const std::string &kind, const Json::Value &fact)
{
    if (kind == "target") {
        logRefused(LogPart::Targets, m_targets->onAnnouncement(fact));
    } else if (kind == "poison") {
        const absl::StatusOr<PoisonReport> report = decodePoisonReport(fact);
        logRefused(LogPart::Poison, report.status());
        if (report.ok())
            m_poison->onReport(*report);
    }
}

void Node::announceToZone(const char *kind, const Json::Value &fact)
{
    for (const Member &member : m_membership->aliveMembersInZone(m_settings.zone)) {
        if (member.vm.text() != m_settings.vm)
            m_peers.notify(member.endpoint, kind, fact);
    }
}

void Node::notifyVm(const VmId &vm, const char *method, const Json::Value &message)
{
    for (const Member &member : m_membership->members()) {
        if (member.vm == vm && vm.text() != m_settings.vm)
            m_peers.notify(member.endpoint, method, message);
    }
}

std::vector<Endpoint> Node::alivePeers() const
{
    std::vector<Endpoint> peers;
    for (const Member &member : m_membership->members()) {
        if (member.state == MemberState::Alive && member.vm.text() != m_settings.vm)
            peers.push_back(member.endpoint);
    }
    return peers;
}

void Node::refreshVmList()
{
    m_platform.fetchVms([this](const absl::StatusOr<VmList> &list) {
        if (list.ok()) {
            std::vector<Endpoint> seeds;
            for (const ListedVm &vm : list->entryVms)
                seeds.push_back(vm.endpoint);
            m_membership->addSeeds(seeds);
            m_targets->onTargetList(list->targets);
        }
        m_loop.timers().scheduleAfter(VmListInterval, [this] { refreshVmList(); });
    });
}

static void respondStatus(const absl::Status &status, const RpcResponder &respondTo)
{
    if (status.ok())
        respondTo(Json::Value(true));
    else
        respondTo(status);
}

void Node::addPeerMethods()
{
    RpcServer &server = m_peers.server();
    server.addMethod("member", [this](const Json::Value &params, const RpcResponder &respondTo) {
        m_membership->onMessage(params);
        respondTo(Json::Value(true));
    });
    server.addMethod("config", [this](const Json::Value &, const RpcResponder &respondTo) {
        if (m_config->current())
            respondTo(m_config->encodeCurrent());
        else
            respondTo(makeError(ErrorCode::NotReady, "no version is known here"));
    });
    server.addMethod("digest", [this](const Json::Value &params, const RpcResponder &respondTo) {
        respondStatus(m_targets->onDigest(params), respondTo);
    });
    server.addMethod("limits", [this](const Json::Value &params, const RpcResponder &respondTo) {
        respondStatus(m_limiter->onMessage(params), respondTo);
    });
    for (const char *kind : {"target", "poison"}) {
        server.addMethod(kind,
                         [this, kind](const Json::Value &params, const RpcResponder &respondTo) {
                             onFact(kind, params);
                             respondTo(Json::Value(true));
                         });
    }
    server.addMethod("burn", [this](const Json::Value &, const RpcResponder &respondTo) {
        respondTo(m_burn.snapshot(m_loop.timers().now()).toJson());
    });
    server.addMethod("reading", [this](const Json::Value &params, const RpcResponder &respondTo) {
        const absl::StatusOr<GenerationId> generation = decodeGeneration(params);
        if (generation.ok())
            respondTo(Json::Value(m_callers->isReading(*generation)));
        else
            respondTo(generation.status());
    });
    server.addMethod("taken-over",
                     [this](const Json::Value &params, const RpcResponder &respondTo) {
                         const absl::StatusOr<GenerationId> generation = decodeGeneration(params);
                         if (!generation.ok())
                             return respondTo(generation.status());
                         m_callers->onTakenOver(*generation);
                         respondTo(Json::Value(true));
                     });
}

} // namespace currantwalk
