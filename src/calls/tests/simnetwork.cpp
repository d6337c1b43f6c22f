#include "calls/tests/simnetwork.h"

#include <algorithm>
#include <array>

namespace currantwalk {

static constexpr Duration LostAnswerCloseDelay = std::chrono::seconds(2);
static constexpr Duration LateAnswerDelay = std::chrono::seconds(10);

static absl::Status lost(std::string_view detail)
{
    return makeError(ErrorCode::ConnectionLost, detail);
}

void SimNetwork::notifyNode(const ConnectionPtr &connection, const std::function<void()> &handler)
{
    if (!*connection->isNodeAlive)
        return;
    connection->node->run([connection, handler] {
        if (*connection->isNodeAlive)
            handler();
    });
}

void SimNetwork::breakConnection(const ConnectionPtr &connection, const absl::Status &status)
{
    if (!connection->isOpen)
        return;
    connection->isOpen = false;
    const bool wasSent =
            connection->isRequestDelivered || connection->fault == ConnectionFault::ResetDuring;
    connection->isBrokenBeforeDelivery = !connection->isRequestDelivered;
    notifyNode(connection,
               [connection, status, wasSent] { connection->onBroken(status, wasSent); });
}

void SimNetwork::breakAll(const std::function<bool(const SimConnection &)> &isAffected)
{
    const std::vector<std::weak_ptr<SimConnection>> all = std::move(connections);
    connections.clear();
    for (const std::weak_ptr<SimConnection> &weak : all) {
        const ConnectionPtr connection = weak.lock();
        if (!connection || !connection->isOpen)
            continue;
        connections.push_back(weak);
        if (isAffected(*connection))
            breakConnection(connection, lost("the connection was reset"));
    }
}

TimePoint SimNetwork::blockedUntil(const SimConnection &connection) const
{
    TimePoint until{};
    const auto stall = m_stalls.find({connection.from.name, connection.to.name});
    if (stall != m_stalls.end())
        until = stall->second;
    if (!isPartitioned(connection.from.zone, connection.to.zone))
        return until;
    for (const std::string &zone : {connection.from.zone, connection.to.zone}) {
        const auto partition = m_partitions.find(zone);
        if (partition != m_partitions.end())
            until = std::max(until, partition->second.until);
    }
    return until;
}

void SimNetwork::deliver(const ConnectionPtr &connection, TimePoint when,
                         std::function<void()> handler)
{
    timers.scheduleAt(when, [this, connection, handler = std::move(handler)] {
        const TimePoint until = blockedUntil(*connection);
        if (until > timers.now())
            return deliver(connection, until, handler);
        handler();
    });
}

ConnectionFault SimNetwork::drawControlFault(const SimConnection &connection)
{
    static constexpr std::array Faults{ConnectionFault::ResetBefore, ConnectionFault::ResetAfter,
                                       ConnectionFault::LoseAnswer, ConnectionFault::LateAnswer,
                                       ConnectionFault::Hang};
    const auto failing = m_failingCalls.find(connection.to.name);
    if (!connection.isControlCall || failing == m_failingCalls.end()
        || failing->second.until <= timers.now() || !random.chance(failing->second.share))
        return ConnectionFault::None;
    return Faults[random.uniformBelow(Faults.size())];
}

void SimNetwork::connect(const ConnectionPtr &connection, const std::function<bool()> &isListening,
                         std::function<void()> handler)
{
    connection->fault = drawFault();
    if (connection->fault == ConnectionFault::None)
        connection->fault = drawControlFault(*connection);
    ++faultCounts[connection->fault];
    connections.push_back(connection);
    const bool isReset = connection->fault == ConnectionFault::ResetBefore
                         || connection->fault == ConnectionFault::ResetDuring;
    if (isReset || isPartitioned(connection->from.zone, connection->to.zone)) {
        const Duration wait = isReset ? OneWayDelay : ConnectTimeout;
        const ErrorCode code = connection->fault == ConnectionFault::ResetDuring
                                       ? ErrorCode::ConnectionLost
                                       : ErrorCode::ConnectFailed;
        timers.scheduleAfter(wait, [this, connection, code] {
            breakConnection(connection, makeError(code, "no connection"));
        });
        return;
    }
    deliver(connection, timers.now() + OneWayDelay, [this, connection, isListening, handler] {
        if (connection->isBrokenBeforeDelivery)
            return;
        if (!isListening())
            return breakConnection(connection, makeError(ErrorCode::ConnectFailed, "refused"));
        connection->isRequestDelivered = true;
        if (connection->fault == ConnectionFault::Hang)
            return;
        handler();
        if (connection->fault == ConnectionFault::ResetAfter)
            breakConnection(connection, lost("reset after the write"));
        if (connection->fault == ConnectionFault::LoseAnswer)
            timers.scheduleAfter(LostAnswerCloseDelay, [this, connection] {
                breakConnection(connection, lost("closed without an answer"));
            });
    });
    // A request delayed by a stalled link may already have left the node.
    timers.scheduleAfter(OneWayDelay, [connection] { connection->isRequestDelivered = true; });
}

void SimNetwork::answer(const ConnectionPtr &connection, std::function<void()> handler)
{
    if (connection->fault == ConnectionFault::LoseAnswer)
        return;
    const bool isLate = connection->fault == ConnectionFault::LateAnswer;
    const TimePoint when = timers.now() + OneWayDelay + (isLate ? LateAnswerDelay : Duration(0));
    deliver(connection, when, [this, connection, handler = std::move(handler)] {
        if (!connection->isOpen)
            return;
        if (connection->fault == ConnectionFault::Truncate)
            return breakConnection(connection, makeError(ErrorCode::TargetProtocolError,
                                                         "closed within a message"));
        if (connection->fault == ConnectionFault::CrossAnswer)
            notifyNode(connection, connection->onCrossed);
        notifyNode(connection, handler);
        if (connection->fault == ConnectionFault::DoubleAnswer)
            notifyNode(connection, handler);
    });
}

void SimNetwork::stallLink(const std::string &node, const std::string &target, Duration span)
{
    m_stalls[{node, target}] = timers.now() + span;
}

void SimNetwork::failControlCalls(const std::string &target, double share, Duration span)
{
    m_failingCalls[target] = FailingCalls{share, timers.now() + span};
}

void SimNetwork::partitionZone(const std::string &zone, Duration span)
{
    m_partitions[zone] = Partition{timers.now(), timers.now() + span};
    timers.scheduleAfter(SilenceTimeout, [this, zone] {
        breakAll([this, &zone](const SimConnection &connection) {
            const bool isAcross = connection.from.zone == zone || connection.to.zone == zone;
            return isAcross
                   && partitionDuration(connection.from.zone, connection.to.zone) >= SilenceTimeout;
        });
    });
}

bool SimNetwork::isPartitioned(const std::string &zone, const std::string &other) const
{
    if (zone == other)
        return false;
    const auto isCutOff = [this](const std::string &name) {
        const auto partition = m_partitions.find(name);
        return partition != m_partitions.end() && partition->second.until > timers.now();
    };
    return isCutOff(zone) || isCutOff(other);
}

Duration SimNetwork::partitionDuration(const std::string &zone, const std::string &other) const
{
    if (!isPartitioned(zone, other))
        return Duration(0);
    Duration longest{0};
    for (const std::string &name : {zone, other}) {
        const auto partition = m_partitions.find(name);
        if (partition != m_partitions.end() && partition->second.until > timers.now())
            longest = std::max(longest, timers.now() - partition->second.since);
    }
    return longest;
}

} // namespace currantwalk
