// Traffic, processor time and detection of fleets on virtual time.
#include <algorithm>
#include <optional>

#include "base/json.h"
#include "bench/slope.h"
#include "limits/limiter.h"
#include "testing/memberfleet.h"
#include "testing/targetfleet.h"

namespace currantwalk {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct FleetSize
{
    std::size_t members;
    std::size_t zones;
};

constexpr FleetSize FleetSizes[] = {{12, 3}, {60, 5}, {330, 27}};
constexpr seconds LongestStart{150};
constexpr seconds Window{20};

struct Detection
{
    std::vector<double> secondsToDeath; ///< At each node of the zone.
    std::size_t suspicions = 0;         ///< Of running nodes.
    std::size_t deaths = 0;             ///< Of running nodes.
};

} // namespace

static double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

static double startSeconds(MemberFleet &fleet)
{
    Duration passed{0};
    while (passed < LongestStart && !fleet.isConverged()) {
        fleet.advance(seconds(1));
        passed += seconds(1);
    }
    return secondsOf(passed);
}

// Returns the seconds until every node has the version in force.
static double publishSeconds(MemberFleet &fleet, LogOffset version)
{
    constexpr milliseconds Step{100};
    constexpr seconds Longest{30};
    fleet.publish(std::next(fleet.nodes().begin(),
                            static_cast<std::ptrdiff_t>(
                                    fleet.random().uniformBelow(fleet.nodes().size())))
                          ->first,
                  version);
    Duration passed{0};
    while (passed < Longest && fleet.countBelow(version) > 0) {
        fleet.advance(Step);
        passed += Step;
    }
    return secondsOf(passed);
}

static Detection detect(MemberFleet &fleet)
{
    constexpr seconds Watch{60};
    Detection detection;
    std::optional<VmId> victim;
    TimePoint killedAt{};
    fleet.observeChanges([&](const MemberFleet::Node &node, const Member &member) {
        if (member.zone != node.zone)
            return;
        if (victim && member.vm == *victim) {
            if (member.state == MemberState::Dead)
                detection.secondsToDeath.push_back(secondsOf(fleet.timers().now() - killedAt));
            return;
        }
        detection.suspicions += member.state == MemberState::Suspected ? 1 : 0;
        detection.deaths += member.state == MemberState::Dead ? 1 : 0;
    });
    fleet.advance(Watch);
    constexpr std::size_t Kills = 5;
    for (std::size_t i = 0; i < Kills; ++i) {
        victim = fleet.anyOf(fleet.zoneName(i % 3));
        killedAt = fleet.timers().now();
        fleet.kill(*victim);
        fleet.advance(seconds(15));
    }
    fleet.observeChanges(nullptr);
    return detection;
}

std::vector<Slope> measureMembership()
{
    Slope start{"cold start of all members at once", "members", "s", {}};
    Slope bytes{"membership bytes of a node", "members", "bytes/s", {}};
    Slope messages{"membership messages of a node", "members", "messages/s", {}};
    Slope processor{"membership processor time of a node", "members", "us/s", {}};
    Slope perMessage{"processor time of a membership message", "members", "us", {}};
    Slope reach{"time until a version is in force on all, slowest of five", "members", "s", {}};
    for (const FleetSize &size : FleetSizes) {
        MemberFleet::Options options;
        options.members = size.members;
        options.zones = size.zones;
        MemberFleet fleet(options);
        const auto count = static_cast<double>(size.members);
        start.points.push_back({count, startSeconds(fleet)});
        fleet.advance(seconds(20));
        const auto bytesBefore = static_cast<double>(fleet.bytesSent());
        const auto messagesBefore = static_cast<double>(fleet.messagesSent());
        const double processorBefore = processorSeconds();
        fleet.advance(Window);
        const double perNode = count * secondsOf(Window);
        const double used = (processorSeconds() - processorBefore) * 1e6;
        const double sent = static_cast<double>(fleet.messagesSent()) - messagesBefore;
        bytes.points.push_back(
                {count, (static_cast<double>(fleet.bytesSent()) - bytesBefore) / perNode});
        messages.points.push_back({count, sent / perNode});
        processor.points.push_back({count, used / perNode});
        perMessage.points.push_back({count, used / sent});
        double slowest = 0;
        constexpr LogOffset Publications = 5;
        for (LogOffset version = 1; version <= Publications; ++version)
            slowest = std::max(slowest, publishSeconds(fleet, version));
        reach.points.push_back({count, slowest});
    }
    Slope mean{"time from death to its detection, mean", "loss %", "s", {}};
    Slope slowest{"time from death to its detection, slowest", "loss %", "s", {}};
    Slope suspicions{"false suspicions heard by a node", "loss %", "1/min", {}};
    Slope deaths{"false deaths in a fleet of 60", "loss %", "1/min", {}};
    for (const double percent : {1.0, 5.0, 20.0}) {
        MemberFleet::Options options;
        options.members = 60;
        options.zones = 5;
        options.loss = percent / 100;
        MemberFleet fleet(options);
        fleet.advance(seconds(40));
        const Detection detection = detect(fleet);
        double sum = 0;
        double longest = 0;
        for (const double value : detection.secondsToDeath) {
            sum += value;
            longest = std::max(longest, value);
        }
        constexpr double Minutes = 2.25; // One watched, and five kills of 15 s each.
        const auto heard = static_cast<double>(detection.secondsToDeath.size());
        mean.points.push_back({percent, sum / std::max(1.0, heard)});
        slowest.points.push_back({percent, longest});
        suspicions.points.push_back(
                {percent, static_cast<double>(detection.suspicions) / Minutes / 60});
        deaths.points.push_back({percent, static_cast<double>(detection.deaths) / Minutes});
    }
    return {start, bytes, messages, processor,  perMessage,
            reach, mean,  slowest,  suspicions, deaths};
}

std::vector<Slope> measureTargets()
{
    Slope bytes{"digest bytes of a node", "targets of a zone of 12", "bytes/s", {}};
    Slope messages{"digest messages of a node", "targets of a zone of 12", "messages/s", {}};
    Slope probes{"probes of a node", "targets of a zone of 12", "probes/s", {}};
    Slope processor{"target table processor time of a node", "targets of a zone of 12", "us/s", {}};
    for (const std::size_t targets : {10U, 20U, 41U}) {
        MemberFleet::Options options;
        options.members = 24;
        options.zones = 2;
        MemberFleet idle(options);
        idle.advance(seconds(35));
        const double idleBefore = processorSeconds();
        idle.advance(Window);
        const double idleUsed = processorSeconds() - idleBefore;
        TargetFleet fleet(options, targets, seconds(5));
        fleet.advance(seconds(20));
        const auto bytesBefore = static_cast<double>(fleet.digestBytes());
        const auto messagesBefore = static_cast<double>(fleet.digestMessages());
        const auto probesBefore = static_cast<double>(fleet.probes());
        const double processorBefore = processorSeconds();
        fleet.advance(Window);
        const double perNode = 24 * secondsOf(Window);
        const double used = processorSeconds() - processorBefore - idleUsed;
        const auto size = static_cast<double>(targets);
        bytes.points.push_back(
                {size, (static_cast<double>(fleet.digestBytes()) - bytesBefore) / perNode});
        messages.points.push_back(
                {size, (static_cast<double>(fleet.digestMessages()) - messagesBefore) / perNode});
        probes.points.push_back(
                {size, (static_cast<double>(fleet.probes()) - probesBefore) / perNode});
        processor.points.push_back({size, used * 1e6 / perNode});
    }
    return {bytes, messages, probes, processor};
}

static ObjectSet limitedOrganisations(std::size_t count)
{
    ObjectSet objects;
    LimitObject limit;
    limit.requestsPerSecond = 10;
    limit.tokensPerSecond = 2000;
    limit.streams = 20;
    objects.limits["standard"] = limit;
    for (std::size_t i = 0; i < count; ++i)
        objects.organisations["organisation-" + std::to_string(i)].limit = "standard";
    for (std::size_t i = 0; i < 3; ++i)
        objects.zones["zone-" + std::to_string(i + 1)] = {};
    return objects;
}

std::vector<Slope> measureLimits()
{
    constexpr double RequestsPerSecond = 2200.0 / 330; // Of a node.
    constexpr milliseconds Step{50};
    Slope bytes{"limit bytes of a node at 6.7 requests/s", "organisations", "bytes/s", {}};
    Slope messages{"limit messages of a node at 6.7 requests/s", "organisations", "messages/s", {}};
    Slope active{"limits with state on a node at 6.7 requests/s", "organisations", "limits", {}};
    Slope state{"state of a limit in use", "limits with state on all 12 nodes", "bytes", {}};
    Slope admission{"processor time of an admission and its messages", "organisations", "us", {}};
    for (const std::size_t organisations : {140U, 1400U, 14000U}) {
        MemberFleet fleet(MemberFleet::Options{});
        fleet.advance(seconds(20));
        const ObjectSet objects = limitedOrganisations(organisations);
        std::map<VmId, std::unique_ptr<Limiter>> limiters;
        double sentBytes = 0;
        double sentMessages = 0;
        for (const auto &[vm, node] : fleet.nodes()) {
            LimiterOptions options;
            options.self = vm;
            options.zone = node->zone;
            LimiterHooks hooks;
            hooks.members = [self = node.get()] { return self->membership->members(); };
            hooks.send = [&, self = node.get()](const VmId &to, const Json::Value &message) {
                sentBytes += static_cast<double>(writeJson(message).size());
                sentMessages += 1;
                fleet.carry(*self, fleet.node(to).endpoint, [&, message](MemberFleet::Node &peer) {
                    (void)limiters.at(peer.vm)->onMessage(message);
                });
            };
            limiters[vm] = createLimiter(options, hooks, *node->timers);
            limiters[vm]->applyObjects(objects);
        }
        fleet.advance(seconds(20));
        const double heapBefore = heapBytes();
        const double processorBefore = processorSeconds();
        fleet.advance(Window);
        const double idle = processorSeconds() - processorBefore;
        const double busyBefore = processorSeconds();
        sentBytes = 0;
        sentMessages = 0;
        double asked = 0;
        const auto ask = [&](Limiter &limiter) {
            asked += 1;
            const std::string name =
                    "organisation-" + std::to_string(fleet.random().uniformBelow(organisations));
            const AdmissionResult verdict = limiter.admit(name, "assistant", true);
            if (!verdict.isAdmitted)
                return;
            fleet.timers().scheduleAfter(seconds(5), [&limiter, grant = verdict.grant] {
                limiter.charge(grant, 200);
                limiter.release(grant);
            });
        };
        for (Duration passed{0}; passed < Window; passed += Step) {
            for (const auto &[vm, limiter] : limiters) {
                if (fleet.random().chance(RequestsPerSecond * secondsOf(Step)))
                    ask(*limiter);
            }
            fleet.advance(Step);
        }
        const double used = processorSeconds() - busyBefore - idle;
        double limits = 0;
        for (const auto &[vm, limiter] : limiters)
            limits += static_cast<double>(limiter->activeLimitCount());
        const auto size = static_cast<double>(organisations);
        const double perNode = 12 * secondsOf(Window);
        bytes.points.push_back({size, sentBytes / perNode});
        messages.points.push_back({size, sentMessages / perNode});
        active.points.push_back({size, limits / 12});
        state.points.push_back({limits, heapBytes() - heapBefore});
        admission.points.push_back({size, used * 1e6 / asked});
        fleet.advance(seconds(10));
    }
    return {bytes, messages, active, state, admission};
}

} // namespace currantwalk
