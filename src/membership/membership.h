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
    Suspected, ///< Did not answer, or its whole zone is out of reach; may still refute it.
    Left,      ///< Said that it leaves.
    Dead,
};

/// Returns "alive", "suspected", "left" or "dead".
std::string_view memberStateName(MemberState state);

/// One VM's daemon as others know it.
struct Member
{
    VmId vm;
    std::string zone;
    Endpoint endpoint; ///< Of its listener for peers.
    Incarnation incarnation = 0;
    MemberState state = MemberState::Alive;
    LogOffset configVersion = 0; ///< Last known to be in force there.
    TimePoint changedAt{};
};

/// Largest fact that disseminate() takes.
constexpr std::size_t MaxFactBytes = 600;

/// Failure detection and dissemination between daemons. Small facts of other slices travel with
/// its messages. Members are probed by nodes of their own zone; of other zones a node knows what
/// those say of themselves, and whether they are in reach.
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
        std::size_t bytesPerSecond = 2000; ///< Cap on what this slice sends, as JSON.
        std::size_t bridgesPerLink = 2;    ///< Nodes of a zone that talk to one linked zone.
    };

    struct Hooks
    {
        /// Sends one message; it may be lost. The peer gives it to onMessage().
        std::function<void(const Endpoint &peer, const Json::Value &message)> send;
        std::function<void(const Member &member)> onChange;
        /// A fact that another node disseminated; each is given once.
        std::function<void(const std::string &kind, const Json::Value &fact)> onFact;
    };

    static std::unique_ptr<Membership> create(const Options &options, Hooks hooks,
                                              TimerService &timers, RandomSource &random);

    virtual ~Membership() = default;

    virtual void start() = 0;
    virtual void onMessage(const Json::Value &message) = 0;
    /// Adds seeds, such as from the platform's list of VMs.
    virtual void addSeeds(const std::vector<Endpoint> &seeds) = 0;
    /// Spreads a small fact, of at most MaxFactBytes as JSON, to all nodes of this zone or of all
    /// zones. The same fact told again within a minute, by any node, counts as the same.
    virtual void disseminate(const std::string &kind, const Json::Value &fact, bool isAllZones) = 0;
    /// Tells the version of the published set in force here.
    virtual void setConfigVersion(LogOffset version) = 0;
    /// Tells all that this node leaves.
    virtual void leave() = 0;

    /// Returns all members known, this node included, in order of id.
    virtual std::vector<Member> members() const = 0;
    virtual std::vector<Member> aliveInZone(std::string_view zone) const = 0;
    virtual std::uint64_t messagesSent() const = 0;
    virtual std::uint64_t bytesSent() const = 0;
    /// Messages received that were malformed or meant for another VM.
    virtual std::uint64_t messagesRefused() const = 0;
    /// Messages not sent because the cap on bytes was reached.
    virtual std::uint64_t messagesHeldBack() const = 0;
};

/// Returns the \a count members with the highest rendezvous weight for \a key, best first.
std::vector<Member> rendezvousMembers(const std::vector<Member> &members, const std::string &key,
                                      std::size_t count);

} // namespace currantwalk

#endif // CURRANTWALK_MEMBERSHIP_MEMBERSHIP_H
