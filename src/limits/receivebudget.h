#ifndef CURRANTWALK_LIMITS_RECEIVEBUDGET_H
#define CURRANTWALK_LIMITS_RECEIVEBUDGET_H

#include <cstddef>
#include <limits>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/timerservice.h"

namespace currantwalk {

/// How far a connection is with its current request.
enum class ReceivePhase {
    Idle,       ///< No byte of a request has come.
    Head,       ///< The head is not whole.
    Body,       ///< The body is not whole.
    InProgress, ///< The request is whole and is being answered.
};

/// What a connection, or its request, is closed or refused for.
enum class ReceiveLimit {
    Memory,      ///< Received bytes fill the budget.
    Connections, ///< There are as many connections as there may be.
    HeadTime,    ///< The head has taken too long.
    BodyTime,    ///< No part of the body has come for too long.
    IdleTime,    ///< No request has come for too long.
};

/// Returns "memory", "connections", "head-time", "body-time" or "idle-time".
std::string_view receiveLimitName(ReceiveLimit limit);

/// How long clients of one listener may take.
struct ReceiveTimes
{
    Duration head{0}; ///< For a head to arrive; 0: no limit.
    Duration idle{0}; ///< Between two parts of a body or two requests; 0: no limit.
};

/// Answers load of clients that send much and finish nothing: bounds the memory for received bytes
/// and the connections of a process, and says which connection is closed first. Requests in
/// progress are never chosen.
class ReceiveBudget
{
public:
    struct Options
    {
        /// Bytes for all requests that are received or in progress, with their copies.
        std::size_t memory = std::numeric_limits<std::size_t>::max();
        std::size_t connections = std::numeric_limits<std::size_t>::max();
    };

    /// What the library keeps for a connection that has received nothing.
    static constexpr std::size_t ConnectionBytes = std::size_t{2} * 1024;
    /// Bodies up to this size may use more than the budget, and larger ones less.
    static constexpr std::size_t SmallBodyBytes = std::size_t{16} * 1024;

    /// One connection; the budget must outlive it.
    class Holder
    {
    public:
        /// \a listener is the same for all connections of one listener, and outlives them.
        Holder(ReceiveBudget &budget, const ReceiveTimes &listener, TimePoint now);
        ~Holder();
        Holder(const Holder &) = delete;
        Holder &operator=(const Holder &) = delete;

        /// Notes that the connection has \a bytes in its buffer, some of which may have just come.
        void update(ReceivePhase phase, std::size_t bytes, TimePoint now);
        ReceivePhase phase() const { return m_phase; }
        /// Bytes that are counted for the connection.
        std::size_t bytes() const { return m_bytes; }

    private:
        friend class ReceiveBudget;

        ReceiveBudget &m_budget;
        const ReceiveTimes &m_listener;
        std::size_t m_index; ///< In the budget's list.
        std::size_t m_bytes = 0;
        ReceivePhase m_phase = ReceivePhase::Idle;
        TimePoint m_since; ///< When the request began or the connection became idle.
        TimePoint m_progressAt;
    };

    /// Bytes of a request in progress beside its connection's buffer.
    class Charge
    {
    public:
        Charge(std::shared_ptr<ReceiveBudget> budget, std::size_t bytes);
        ~Charge();
        Charge(const Charge &) = delete;
        Charge &operator=(const Charge &) = delete;

    private:
        const std::shared_ptr<ReceiveBudget> m_budget;
        const std::size_t m_bytes;
    };

    /// Returns the connections that a process with \a descriptors may accept: the rest is for files
    /// and for connections of its own.
    static std::size_t connectionsFor(std::size_t descriptors);

    void setOptions(const Options &options) { m_options = options; }
    const Options &options() const { return m_options; }

    std::size_t used() const { return m_used; }
    const std::vector<Holder *> &holders() const { return m_holders; }
    /// Returns whether connections have to be closed for their memory.
    bool isExceeded() const;
    bool isFull() const { return m_holders.size() >= m_options.connections; }
    /// Returns whether a body of \a bytes may be kept \a copies times beside the requests in
    /// progress.
    bool hasRoomFor(std::size_t bytes, std::size_t copies) const;

    /// Returns the connection to close while the memory is exceeded, or nullptr.
    Holder *largestHolder(TimePoint now) const;
    /// Returns the connection to close for a new one, or nullptr.
    Holder *oldestHolder() const;
    /// Returns the limit of time that \a holder has passed.
    static std::optional<ReceiveLimit> passedLimit(const Holder &holder, TimePoint now);

private:
    void count(Holder &holder, ReceivePhase phase, std::size_t bytes);

    Options m_options;
    std::vector<Holder *> m_holders;
    std::size_t m_used = 0;
    std::size_t m_inProgress = 0; ///< Part of the used bytes, of requests in progress.
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_RECEIVEBUDGET_H
