#ifndef CURRANTWALK_DAEMON_TESTS_SIMNET_H
#define CURRANTWALK_DAEMON_TESTS_SIMNET_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/virtualtimerservice.h"
#include "calls/tests/nodetimers.h"
#include "net/eventloop.h"

namespace currantwalk {

class SimNet;

/// How a host or a listener ends.
enum class SimEnd {
    Reset,  ///< Connections are reset at once.
    Silent, ///< Nothing more is sent; connections stay open until their time-outs.
};

/// One HTTP exchange between two hosts.
struct SimConversation
{
    std::uint64_t number = 0;
    std::string client;
    Endpoint server;
    HttpCallHooks hooks;
    HttpRequest request;
    std::function<void()> onServerClosed;
    std::function<void()> onDrained;
    TimerId deadline = NoTimer;
    SendProgress progress = SendProgress::NothingSent;
    bool isClientOpen = true;
    bool isServerOpen = false;
    bool isMuted = false;  ///< Whether its server has gone silent.
    bool isUnsent = false; ///< Whether the answer has ended and waits for the client to read.
    bool isCutOff = false; ///< Whether the server has ended before the client had read.
    std::size_t pendingBytes = 0;
    TimePoint readUntil{}; ///< When the client has read all that has been written.
};

/// HTTP between hosts on shared virtual time. Messages of one direction arrive in order; between
/// hosts that are cut off from each other they are lost.
class SimNet
{
public:
    static constexpr Duration Latency = std::chrono::microseconds(700);

    explicit SimNet(VirtualTimerService &timers) : m_timers(timers) {}
    ~SimNet();
    SimNet(const SimNet &) = delete;
    SimNet &operator=(const SimNet &) = delete;

    VirtualTimerService &timers() { return m_timers; }

    /// Returns whether messages between two hosts arrive; all do if it is not set.
    std::function<bool(const std::string &from, const std::string &to)> isReachable;
    /// Returns how many bytes of an answer a client reads in a second; 0, or not set: all at once.
    std::function<std::size_t(const std::string &client)> readRate;
    /// Returns how much longer than the latency a message takes; no longer if it is not set.
    std::function<Duration(const std::string &from, const std::string &to)> extraDelay;

    void addHost(const std::string &host, NodeTimers &timers) { m_hosts[host] = &timers; }
    /// Ends all listeners and exchanges of \a host, whose hooks are not called any more.
    void removeHost(const std::string &host);
    void listen(const Endpoint &endpoint, HttpHandler handler);
    /// Ends the listener and its exchanges.
    void close(const Endpoint &endpoint, SimEnd end);

    /// Called with each request that is sent; may be empty.
    std::function<void(const std::string &from, const Endpoint &to, const HttpRequest &request)>
            onRequest;

    std::unique_ptr<HttpCall> send(const std::string &client, const HttpCallOptions &options,
                                   HttpRequest request, HttpCallHooks hooks);
    /// Runs \a action at \a host after the latency, unless \a from cannot reach it.
    void deliver(const std::string &from, const std::string &host, std::function<void()> action);
    void endClient(const std::shared_ptr<SimConversation> &conversation,
                   const absl::Status &status);
    void endServer(const std::shared_ptr<SimConversation> &conversation);
    /// Runs \a action at the server when its client has read \a bytes more; not after the server
    /// has ended.
    void whenRead(const std::shared_ptr<SimConversation> &conversation, std::size_t bytes,
                  std::function<void()> action);
    /// Returns the answers of \a host that wait for clients to read.
    HttpUnsentAnswers unsentAnswers(const std::string &host) const;

private:
    friend class SimExchange;

    void refuseUnsendable(const std::shared_ptr<SimConversation> &conversation);
    void connect(const std::shared_ptr<SimConversation> &conversation,
                 const HttpCallOptions &options);
    void accept(const std::shared_ptr<SimConversation> &conversation);
    bool canReach(const std::string &from, const std::string &to) const;

    VirtualTimerService &m_timers;
    std::map<std::pair<std::string, std::string>, TimePoint> m_lastArrivals;
    std::map<std::string, NodeTimers *> m_hosts; ///< Other hosts run without timers of their own.
    std::map<Endpoint, HttpHandler> m_listeners;
    std::set<Endpoint> m_silent; ///< Endpoints that went silent.
    std::map<std::uint64_t, std::shared_ptr<SimConversation>> m_conversations; ///< By number.
    std::uint64_t m_lastConversation = 0;
};

/// The event loop of one host of a SimNet.
class SimEventLoop : public EventLoop
{
public:
    SimEventLoop(SimNet &net, std::string host);
    ~SimEventLoop() override;
    SimEventLoop(const SimEventLoop &) = delete;
    SimEventLoop &operator=(const SimEventLoop &) = delete;

    TimerService &timers() override { return m_timers; }
    HttpServer &server() override;
    HttpClient &client() override;
    void run() override {}
    void runOnce(Duration) override {}
    void stop() override { m_isStopped = true; }
    absl::Status onSignal(int, std::function<void()>) override { return absl::OkStatus(); }

    bool isStopped() const { return m_isStopped; }
    NodeTimers &nodeTimers() { return m_timers; }

private:
    class Server;
    class Client;

    SimNet &m_net;
    const std::string m_host;
    NodeTimers m_timers;
    std::unique_ptr<Server> m_server;
    std::unique_ptr<Client> m_client;
    bool m_isStopped = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TESTS_SIMNET_H
