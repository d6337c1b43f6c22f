#ifndef CURRANTWALK_NET_RECEIVEGUARD_H
#define CURRANTWALK_NET_RECEIVEGUARD_H

#include <functional>
#include <memory>
#include <vector>

#include "limits/receivebudget.h"
#include "net/h2oapi.h"
#include "net/http.h"

namespace currantwalk {

class ReceiveGuard;
class ResponseStream;

/// What the server keeps for one open connection; found through the library's socket.
struct ServerConnection : ReceiveBudget::Holder
{
    ServerConnection(ReceiveGuard &owner, const ReceiveTimes &listener, h2o_socket_t *opened);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    static ServerConnection *of(h2o_socket_t *socket)
    {
        return static_cast<ServerConnection *>(socket->on_close.data);
    }

    ReceiveGuard &guard;
    h2o_socket_t *const socket;
    ResponseStream *stream = nullptr;
    h2o_socket_cb libraryRead = nullptr; ///< What the guard's read callback calls on.
    bool *isGone = nullptr;              ///< Set when the connection is destroyed.
    std::size_t releasedBytes = 0;       ///< Of the buffer, given back to the system.
    std::size_t searchedBytes = 0;       ///< Of the buffer, in which the head does not end.
    bool isWatchDue = false;
};

/// Counts what the connections of a server hold, and closes those that the budget names. The
/// library collects a request in the connection's buffer without a look at the others, so its read
/// callback is wrapped in one that counts.
class ReceiveGuard
{
public:
    /// Copies of a body in progress beside the connection's buffer: the exchange's and a send's.
    static constexpr std::size_t BodyCopies = 2;

    explicit ReceiveGuard(TimerService &timers);
    ~ReceiveGuard();
    ReceiveGuard(const ReceiveGuard &) = delete;
    ReceiveGuard &operator=(const ReceiveGuard &) = delete;

    ReceiveBudget &budget() { return *m_budget; }
    const ReceiveBudget &budget() const { return *m_budget; }
    const std::shared_ptr<ReceiveBudget> &sharedBudget() const { return m_budget; }
    TimerService &timers() { return m_timers; }
    void setLimits(const HttpReceiveLimits &limits);

    /// Makes room for one more connection. Returns false where there is none.
    bool admitConnection();
    /// Watches the connection from the end of the loop's round on, as the library sets its read
    /// callback anew whenever it begins to read.
    void watchLater(ServerConnection &connection);
    /// Called at the end of each of the loop's rounds.
    void onRoundEnd();
    /// Makes room for the copies of a whole body. Returns false where there is none.
    bool admitBody(ServerConnection &connection, std::size_t bytes);
    /// Counts \a bytes that have come behind a request in progress and are not read. Returns false
    /// where there is no room for them.
    bool admitUnread(ServerConnection &connection, std::size_t bytes);
    /// Gives the memory of a whole body, which has been copied, back to the system.
    void releaseBody(ServerConnection &connection, const h2o_iovec_t &body);

private:
    static void onBytes(h2o_socket_t *socket, const char *error);
    static void watch(ServerConnection &connection);
    void onReceived(ServerConnection &connection);
    ReceivePhase findPhase(ServerConnection &connection) const;
    bool hasRoomForDeclared(const ServerConnection &connection) const;
    void makeRoom();
    static std::size_t bufferBytes(const ServerConnection &connection);
    void sweep();
    void close(ServerConnection &connection, ReceiveLimit limit);
    void report(ReceiveLimit limit, std::size_t bytes) const;

    friend struct ServerConnection;

    TimerService &m_timers;
    const std::shared_ptr<ReceiveBudget> m_budget;
    std::function<void(const HttpReceiveRefusal &)> m_onRefused;
    std::vector<ServerConnection *> m_toWatch;      ///< With nullptr for those that have closed.
    std::vector<ServerConnection *> m_beingWatched; ///< The same, in the round's end.
    TimerId m_sweepTimer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_RECEIVEGUARD_H
