#ifndef CURRANTWALK_NET_H2OSERVER_H
#define CURRANTWALK_NET_H2OSERVER_H

#include <unordered_set>

#include "net/h2oexchange.h"
#include "net/receiveguard.h"
#include "net/socketaddress.h"
#include "net/tlscontext.h"

namespace currantwalk {

/// One listening socket with the library's context, whose limits are its own.
class H2oListener
{
public:
    static absl::StatusOr<std::unique_ptr<H2oListener>>
    create(h2o_loop_t *loop, ReceiveGuard &guard, OpenAnswers &answers,
           const HttpListenerOptions &options, HttpHandler handler);
    ~H2oListener();
    H2oListener(const H2oListener &) = delete;
    H2oListener &operator=(const H2oListener &) = delete;

    const Endpoint &endpoint() const { return m_endpoint; }
    std::size_t connections() const { return m_connections.size(); }
    void setRequestLimits(const HttpRequestLimits &limits);
    void stopListening();
    /// Makes every open connection fail and hands on no request that still comes; the loop's next
    /// rounds then release the connections.
    void disconnectAll();

private:
    struct Handler : h2o_handler_t
    {
        H2oListener *listener;
    };
    struct Connection : ServerConnection
    {
        Connection(H2oListener &owner, h2o_socket_t *opened)
            : ServerConnection(owner.m_guard, owner.m_times, opened), listener(&owner)
        {
        }

        H2oListener *const listener;
    };

    H2oListener(h2o_loop_t *loop, ReceiveGuard &guard, OpenAnswers &answers,
                const HttpListenerOptions &options, HttpHandler handler);
    absl::Status open(const HttpListenerOptions &options);
    void configure(const HttpListenerOptions &options);
    static void onAcceptable(h2o_socket_t *socket, const char *error);
    static void onConnectionClosed(void *connection);
    static int onRequest(h2o_handler_t *handler, h2o_req_t *request);
    bool acceptOne();

    h2o_loop_t *m_loop;
    ReceiveGuard &m_guard;
    OpenAnswers &m_answers;
    HttpHandler m_handler;
    std::size_t m_maxConnections;
    std::size_t m_maxHeadBytes;
    ReceiveTimes m_times;
    Endpoint m_endpoint;
    std::unique_ptr<TlsContext> m_tls;
    h2o_globalconf_t m_config{};
    h2o_context_t m_context{};
    h2o_accept_ctx_t m_accept{};
    h2o_socket_t *m_socket = nullptr;
    std::unordered_set<Connection *> m_connections;
};

/// The server of a loop: a set of listeners.
class H2oServer final : public HttpServer
{
public:
    H2oServer(h2o_loop_t *loop, TimerService &timers) : m_loop(loop), m_guard(timers) {}

    absl::StatusOr<Endpoint> listen(const HttpListenerOptions &options,
                                    HttpHandler handler) override;
    void stopListening() override;
    std::size_t connections() const override;
    HttpUnsentAnswers unsentAnswers() const override { return m_answers.unsent(); }
    void setReceiveLimits(const HttpReceiveLimits &limits) override { m_guard.setLimits(limits); }
    void setRequestLimits(const Endpoint &listener, const HttpRequestLimits &limits) override;
    std::size_t receivedBytes() const override { return m_guard.budget().used(); }
    /// Called at the end of each of the loop's rounds.
    void onRoundEnd() { m_guard.onRoundEnd(); }
    void disconnectAll();

private:
    h2o_loop_t *m_loop;
    ReceiveGuard m_guard;
    OpenAnswers m_answers;
    std::vector<std::unique_ptr<H2oListener>> m_listeners;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_H2OSERVER_H
