#ifndef CURRANTWALK_MEMBERSHIP_MEMBERSHIP_H
#define CURRANTWALK_MEMBERSHIP_MEMBERSHIP_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/randomsource.h"
#include "base/timerservice.h"

namespace currantwalk {

enum class MemberState {
    Alive,
    Suspected, ///< Did not answer, or its zone is unreachable; may still refute.
    Left,      ///< Announced that it leaves.
    Dead,
};

/// Returns "alive", "suspected", "left" or "dead".
std::string_view memberStateName(MemberState state);

/// The daemon of one VM, as known to other nodes.
struct Member
{
    VmId vm;
    std::string zone;
    Endpoint endpoint; ///< Address of its listener for peers.
    Incarnation incarnation = 0;
    MemberState state = MemberState::Alive;
    LogOffset configVersion = 0; ///< Last version known to be in force there.
    TimePoint changedAt{};
};

/// Maximum size of a fact passed to disseminate(), as JSON.
constexpr std::size_t MaxFactBytes = 600;

/// Failure detection and dissemination between daemons. Other slices can disseminate small facts,
/// which are piggybacked on its messages. Members are probed only by nodes of their own zone. For
/// other zones, a node knows the members that those zones report, and whether the zone is
/// reachable.
class Membership
{
public:
    struct Options
    {
        Member self;
        std::vector<Endpoint> seeds;
        Duration probeInterval = std::chrono::seconds(1);
        Duration probeTimeout = std::chrono::milliseconds(300);
        Duration suspicionTimeout = std::chrono::seconds(4);
        std::size_t bytesPerSecond = 2000; ///< Cap on bytes sent, measured as JSON.
        std::size_t bridgesPerLink = 2;    ///< Nodes of a zone that talk to each linked zone.
    };

    struct Hooks
    {
        /// Sends a message to a peer, which passes it to onMessage(). The message may be lost.
        std::function<void(const Endpoint &peer, const Json::Value &message)> send;
        std::function<void(const Member &member)> onChange;
        /// Called once for each fact that another node disseminated.
        std::function<void(const std::string &kind, const Json::Value &fact)> onFact;
    };

    static std::unique_ptr<Membership> create(const Options &options, Hooks hooks,
                                              TimerService &timers, RandomSource &random);

    virtual ~Membership() = default;

    virtual void start() = 0;
    virtual void onMessage(const Json::Value &message) = 0;
    /// Adds seeds, for example from the platform's list of VMs.
    virtual void addSeeds(const std::vector<Endpoint> &seeds) = 0;
    /// Disseminates a fact of at most MaxFactBytes of JSON to all nodes of this zone or of all
    /// zones. An equal fact from any node within one minute is treated as a duplicate.
    virtual void disseminate(const std::string &kind, const Json::Value &fact, bool isAllZones) = 0;
    /// Announces the version of the published configuration in force at this node.
    virtual void setConfigVersion(LogOffset version) = 0;
    /// Announces to all peers that this node leaves.
    virtual void leave() = 0;

    /// Returns all known members, including this node, ordered by id.
    virtual std::vector<Member> members() const = 0;
    virtual std::vector<Member> aliveMembersInZone(std::string_view zone) const = 0;
    virtual std::uint64_t messagesSent() const = 0;
    virtual std::uint64_t bytesSent() const = 0;
    /// Returns the number of received messages that were malformed or addressed to another VM.
    virtual std::uint64_t messagesRejected() const = 0;
    /// Returns the number of messages not sent because the cap on bytes was reached.
    virtual std::uint64_t messagesThrottled() const = 0;
};

/// Returns the \a count members with the highest rendezvous weight for \a key, best first.
std::vector<Member> rendezvousMembers(const std::vector<Member> &members, const std::string &key,
                                      std::size_t count);

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_MEMBERSHIP_H
