#ifndef CURRANTWALK_NET_H2OCALL_H
#define CURRANTWALK_NET_H2OCALL_H

#include <array>
#include <unordered_set>

#include "net/h2oapi.h"
#include "net/http.h"
#include "net/tlscontext.h"

namespace currantwalk {

class ClientExchange;

/// The connections to one endpoint.
struct ClientPool
{
    h2o_socketpool_t native{};
    h2o_http1client_ctx_t client{};
    std::unique_ptr<TlsContext> tls;
    std::size_t active = 0; ///< Exchanges that the library works on.
};

/// What the exchanges of one client share.
struct ClientContext
{
    TimerService &timers;
    std::size_t maxHeadBytes = 0;
    std::size_t maxIdleConnections = 0; ///< For each endpoint.
    std::unordered_set<ClientExchange *> exchanges;
};

/// One exchange with the library's client. It lives as long as its caller or the library needs it.
class ClientExchange final : public std::enable_shared_from_this<ClientExchange>
{
public:
    ClientExchange(std::shared_ptr<ClientContext> context, ClientPool &pool,
                   const HttpCallOptions &options, HttpRequest request, HttpCallHooks hooks);
    ~ClientExchange();
    ClientExchange(const ClientExchange &) = delete;
    ClientExchange &operator=(const ClientExchange &) = delete;

    /// Starts connecting. Failures are reported from the loop's next round.
    void start();
    /// Ends the exchange with \a status from the loop's next round, before anything is sent.
    void refuse(absl::Status status) { failFromLoop(std::move(status)); }
    /// Drops the hooks and closes the connection.
    void abandon();
    void pause();
    void resume();
    SendProgress progress() const { return m_progress; }

private:
    using BodyCallback = h2o_http1client_body_cb;
    using HeadCallback = h2o_http1client_head_cb;

    static HeadCallback onConnect(h2o_http1client_t *client, const char *error,
                                  h2o_iovec_t **buffers, std::size_t *bufferCount, int *isHead);
    static BodyCallback onHead(h2o_http1client_t *client, const char *error, int minorVersion,
                               int status, h2o_iovec_t message, h2o_header_t *headers,
                               std::size_t headerCount, int headLength);
    static int onBody(h2o_http1client_t *client, const char *error);
    static void onHeadBytes(h2o_socket_t *socket, const char *error);
    static void onBodyBytes(h2o_socket_t *socket, const char *error);

    void connected(h2o_iovec_t **buffers, std::size_t *bufferCount);
    void headArrived(int status, const h2o_header_t *headers, std::size_t headerCount);
    void bodyArrived();
    void limitOverhead(std::size_t received);
    void wholeAnswerArrived();
    bool isCutOff() const;
    void deliverHeld();
    /// Reports the end once, without the library's part in it.
    void end(const absl::Status &status);
    /// Ends an exchange that the library may still work on.
    void fail(const absl::Status &status);
    void failFromLoop(absl::Status status);
    void releaseClient();
    void stopReading();
    void continueReading();
    void watchHead();
    void watchBody();
    void checkIdle();
    void armDeadline(Duration delay, std::function<void()> expired);
    void armStep(Duration delay, void (ClientExchange::*step)());
    absl::Status checkWritable() const;
    bool hasEarlyBytes() const;
    void buildHead();

    std::shared_ptr<ClientContext> m_context;
    ClientPool &m_pool;
    HttpCallOptions m_options;
    HttpRequest m_request;
    HttpCallHooks m_hooks;
    std::string m_head;
    std::array<h2o_iovec_t, 2> m_buffers{};
    h2o_http1client_t *m_client = nullptr;
    h2o_socket_cb m_readCallback = nullptr; ///< The library's, while reading is stopped or watched.
    std::string m_held;                     ///< Body that arrived while paused.
    TimerId m_deadline = NoTimer;
    TimerId m_stepTimer = NoTimer;
    TimePoint m_lastActivity{};
    std::size_t m_overheadBytes = 0; ///< Received since the last part of the head or the body.
    SendProgress m_progress = SendProgress::NothingSent;
    bool m_isStarting = false;
    bool m_isInLibrary = false; ///< A callback of the library is running.
    bool m_isPaused = false;
    bool m_isReadStopped = false;
    bool m_isEndHeld = false;
    bool m_isChunked = false;
    bool m_isCloseDelimited = false; ///< The answer's body ends with the connection.
    bool m_isBodyWatched = false;
    bool m_hasBodyProgress = false; ///< The current read has brought a part of the body.
    bool m_isReset = false;         ///< The connection ended by an error, not by a close.
    bool m_isEnded = false;
};

/// The caller's handle of an exchange.
class H2oCall final : public HttpCall
{
public:
    explicit H2oCall(std::shared_ptr<ClientExchange> exchange) : m_exchange(std::move(exchange)) {}
    ~H2oCall() override { m_exchange->abandon(); }
    H2oCall(const H2oCall &) = delete;
    H2oCall &operator=(const H2oCall &) = delete;

    SendProgress progress() const override { return m_exchange->progress(); }
    void pause() override { m_exchange->pause(); }
    void resume() override { m_exchange->resume(); }

private:
    std::shared_ptr<ClientExchange> m_exchange;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_H2OCALL_H
