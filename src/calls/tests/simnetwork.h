#ifndef CURRANTWALK_CALLS_TESTS_SIMNETWORK_H
#define CURRANTWALK_CALLS_TESTS_SIMNETWORK_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/randomsource.h"
#include "base/virtualtimerservice.h"
#include "calls/tests/nodetimers.h"

namespace currantwalk {

/// What goes wrong on one connection.
enum class ConnectionFault {
    None,
    ResetBefore, ///< Before anything is written.
    ResetDuring, ///< The target gets a part, and drops it.
    ResetAfter,  ///< The target gets all of it, the node no answer.
    LoseAnswer,  ///< Nothing comes back, and the connection closes after a while.
    LateAnswer,
    DoubleAnswer, ///< Each message comes twice.
    CrossAnswer,  ///< An answer to some other exchange comes first.
    Truncate,     ///< It closes instead of the next message.
};

/// One end of a link.
struct SimPlace
{
    std::string name;
    std::string zone;
};

/// A connection of a node to a target, for one exchange.
struct SimConnection
{
    NodeTimers *node = nullptr;
    std::shared_ptr<bool> isNodeAlive;
    SimPlace from;
    SimPlace to;
    bool isOpen = true;
    bool isRequestDelivered = false;
    bool isNeverSent = false; ///< It broke before anything was written.
    ConnectionFault fault = ConnectionFault::None;
    /// Told to the node once, when it breaks: the failure, and whether anything was sent.
    std::function<void(const absl::Status &, bool)> onBroken;
    /// Gives the node an answer that belongs to no current exchange.
    std::function<void()> onCrossed;
};

using ConnectionPtr = std::shared_ptr<SimConnection>;

/// Links with delay, stalls, cuts between zones and faults on single connections.
class SimNetwork
{
public:
    static constexpr Duration OneWay = std::chrono::microseconds(1500);
    static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
    static constexpr Duration SilenceTimeout = std::chrono::seconds(15); ///< Of a cut connection.

    SimNetwork(VirtualTimerService &sharedTimers, RandomSource &sharedRandom)
        : timers(sharedTimers), random(sharedRandom)
    {
    }

    /// Has \a handler run at the target. \a isListening tells whether the target's port is open.
    void connect(const ConnectionPtr &connection, const std::function<bool()> &isListening,
                 std::function<void()> handler);
    /// Has \a handler run at the node.
    void answer(const ConnectionPtr &connection, std::function<void()> handler);
    /// Closes the connection as seen by the node.
    void breakConnection(const ConnectionPtr &connection, const absl::Status &status);
    void breakAll(const std::function<bool(const SimConnection &)> &isHit);

    void stallLink(const std::string &node, const std::string &target, Duration span);
    void cutZone(const std::string &zone, Duration span);
    bool isCut(const std::string &zone, const std::string &other) const;
    Duration cutFor(const std::string &zone, const std::string &other) const;

    VirtualTimerService &timers;
    RandomSource &random;
    /// Draws the fault of a new connection.
    std::function<ConnectionFault()> drawFault = [] { return ConnectionFault::None; };
    std::map<ConnectionFault, std::uint64_t> faultCounts;
    std::vector<std::weak_ptr<SimConnection>> connections;

private:
    struct Cut
    {
        TimePoint since{};
        TimePoint until{};
    };

    TimePoint blockedUntil(const SimConnection &connection) const;
    void deliver(const ConnectionPtr &connection, TimePoint when, std::function<void()> handler);
    void tellNode(const ConnectionPtr &connection, const std::function<void()> &handler);

    std::map<std::pair<std::string, std::string>, TimePoint> m_stalls;
    std::map<std::string, Cut> m_cuts; // By zone: cut from all others.
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_SIMNETWORK_H
