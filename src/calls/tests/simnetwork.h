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

/// Faults of a single connection.
enum class ConnectionFault {
    None,
    ResetBefore, ///< Reset before anything is written.
    ResetDuring, ///< The target receives part of the request and discards it.
    ResetAfter,  ///< The target receives the request, the node no answer.
    LoseAnswer,  ///< No answer arrives, and the connection closes later.
    LateAnswer,
    DoubleAnswer, ///< Each message is delivered twice.
    CrossAnswer,  ///< An answer to another exchange is delivered first.
    Truncate,     ///< The connection closes instead of delivering the next message.
    Hang,         ///< The target accepts the connection and does nothing else with it.
};

/// One end of a link.
struct SimEndpoint
{
    std::string name;
    std::string zone;
};

/// A connection of a node to a target, for one exchange.
struct SimConnection
{
    NodeTimers *node = nullptr;
    std::shared_ptr<bool> isNodeAlive;
    SimEndpoint from;
    SimEndpoint to;
    bool isOpen = true;
    bool isRequestDelivered = false;
    bool isBrokenBeforeDelivery = false; ///< The connection broke before the request was delivered.
    ConnectionFault fault = ConnectionFault::None;
    bool isControlCall = false; ///< For a call about another exchange, such as a cancellation.
    /// Called once at the node when the connection breaks, with the error and whether anything was
    /// sent.
    std::function<void(const absl::Status &, bool)> onBroken;
    /// Delivers to the node an answer that belongs to no current exchange.
    std::function<void()> onCrossed;
};

using ConnectionPtr = std::shared_ptr<SimConnection>;

/// Simulates link delays, stalls, partitions between zones and faults of single connections.
class SimNetwork
{
public:
    static constexpr Duration OneWayDelay = std::chrono::microseconds(1500);
    static constexpr Duration ConnectTimeout = std::chrono::seconds(1);
    static constexpr Duration SilenceTimeout = std::chrono::seconds(15); ///< In a partition.

    SimNetwork(VirtualTimerService &sharedTimers, RandomSource &sharedRandom)
        : timers(sharedTimers), random(sharedRandom)
    {
    }

    /// Runs \a handler at the target. \a isListening returns whether the target's port is open.
    void connect(const ConnectionPtr &connection, const std::function<bool()> &isListening,
                 std::function<void()> handler);
    /// Runs \a handler at the node.
    void answer(const ConnectionPtr &connection, std::function<void()> handler);
    /// Closes the connection as seen by the node.
    void breakConnection(const ConnectionPtr &connection, const absl::Status &status);
    void breakAll(const std::function<bool(const SimConnection &)> &isAffected);

    void stallLink(const std::string &node, const std::string &target, Duration span);
    /// Lets the control calls to \a target fail with probability \a share, each in a way of its
    /// own, while its other connections work.
    void failControlCalls(const std::string &target, double share, Duration span);
    void partitionZone(const std::string &zone, Duration span);
    bool isPartitioned(const std::string &zone, const std::string &other) const;
    Duration partitionDuration(const std::string &zone, const std::string &other) const;

    VirtualTimerService &timers;
    RandomSource &random;
    /// Chooses the fault of a new connection.
    std::function<ConnectionFault()> drawFault = [] { return ConnectionFault::None; };
    std::map<ConnectionFault, std::uint64_t> faultCounts;
    std::vector<std::weak_ptr<SimConnection>> connections;

private:
    struct Partition
    {
        TimePoint since{};
        TimePoint until{};
    };

    struct FailingCalls
    {
        double share = 0;
        TimePoint until{};
    };

    ConnectionFault drawControlFault(const SimConnection &connection);
    TimePoint blockedUntil(const SimConnection &connection) const;
    void deliver(const ConnectionPtr &connection, TimePoint when, std::function<void()> handler);
    void notifyNode(const ConnectionPtr &connection, const std::function<void()> &handler);

    std::map<std::pair<std::string, std::string>, TimePoint> m_stalls;
    std::map<std::string, FailingCalls> m_failingCalls; // By target.
    std::map<std::string, Partition> m_partitions; // By zone, which is partitioned from all others.
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_SIMNETWORK_H
