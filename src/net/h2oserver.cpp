#include "net/h2oserver.h"

#include <cstdlib>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include "net/messagehead.h"
#include "net/refusalfilter.h"

namespace currantwalk {

// Connections taken in one round, so that a burst of them can't keep the others waiting.
static constexpr int MaxAcceptsPerRound = 64;
static constexpr std::uint16_t AnyPort = 65535;
// Bytes that the system keeps for a connection that is not read from.
static constexpr int ReceiveBufferBytes = 64 * 1024;

static std::uint64_t toMilliseconds(Duration duration)
{
    return static_cast<std::uint64_t>(
            std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

static absl::StatusOr<int> openListeningSocket(const SocketAddress &address)
{
    const int fd = ::socket(address.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return systemCallError("socket");
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    // Connections take the size over from the socket that accepts them.
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof(ReceiveBufferBytes));
    if (address.family() == AF_INET6)
        setsockopt(fd, IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof(on));
    if (::bind(fd, address.data(), address.size()) != 0) {
        absl::Status status = systemCallError("bind " + address.endpoint().toString());
        ::close(fd);
        return status;
    }
    if (::listen(fd, SOMAXCONN) != 0) {
        absl::Status status = systemCallError("listen " + address.endpoint().toString());
        ::close(fd);
        return status;
    }
    return fd;
}

absl::StatusOr<std::unique_ptr<H2oListener>>
H2oListener::create(h2o_loop_t *loop, ReceiveGuard &guard, OpenAnswers &answers,
                    const HttpListenerOptions &options, HttpHandler handler)
{
    std::unique_ptr<H2oListener> listener(
            new H2oListener(loop, guard, answers, options, std::move(handler)));
    const absl::Status status = listener->open(options);
    if (!status.ok())
        return status;
    return listener;
}

H2oListener::H2oListener(h2o_loop_t *loop, ReceiveGuard &guard, OpenAnswers &answers,
                         const HttpListenerOptions &options, HttpHandler handler)
    : m_loop(loop),
      m_guard(guard),
      m_answers(answers),
      m_handler(std::move(handler)),
      m_maxConnections(options.maxConnections),
      m_maxHeadBytes(options.maxHeadBytes)
{
    configure(options);
}

void H2oListener::configure(const HttpListenerOptions &options)
{
    h2o_config_init(&m_config);
    m_config.server_name = h2o_iovec_init(H2O_STRLIT("currantwalk"));
    m_config.max_request_entity_size = options.maxBodyBytes;
    m_config.handshake_timeout = toMilliseconds(options.requestTimeout);
    m_config.http1.req_timeout = toMilliseconds(options.requestTimeout);
    m_config.http1.upgrade_to_http2 = 0;
    h2o_hostconf_t *host =
            h2o_config_register_host(&m_config, h2o_iovec_init(H2O_STRLIT("default")), AnyPort);
    // Requests that the library refuses itself have no path yet and come to this one.
    registerRefusalFilter(&host->fallback_path);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    auto *handler = reinterpret_cast<Handler *>(h2o_create_handler(path, sizeof(Handler)));
    handler->on_req = &H2oListener::onRequest;
    handler->listener = this;
    h2o_context_init(&m_context, m_loop, &m_config);
    m_accept.ctx = &m_context;
    m_accept.hosts = m_config.hosts;
}

absl::Status H2oListener::open(const HttpListenerOptions &options)
{
    if (options.tls) {
        absl::StatusOr<std::unique_ptr<TlsContext>> tls = TlsContext::forServer(*options.tls);
        if (!tls.ok())
            return tls.status();
        m_tls = std::move(*tls);
        m_accept.ssl_ctx = m_tls->native();
    }
    const absl::StatusOr<SocketAddress> address = SocketAddress::fromEndpoint(options.endpoint);
    if (!address.ok())
        return address.status();
    const absl::StatusOr<int> fd = openListeningSocket(*address);
    if (!fd.ok())
        return fd.status();
    m_socket = h2o_evloop_socket_create(m_loop, *fd, H2O_SOCKET_FLAG_DONT_READ);
    m_socket->data = this;
    const absl::StatusOr<SocketAddress> bound = SocketAddress::ofSocket(*fd);
    if (!bound.ok())
        return bound.status();
    m_endpoint = bound->endpoint();
    h2o_socket_read_start(m_socket, &H2oListener::onAcceptable);
    return absl::OkStatus();
}

H2oListener::~H2oListener()
{
    stopListening();
    // This version of the library closes the context's queue without freeing it.
    h2o_multithread_queue_t *queue = m_context.queue;
    h2o_context_dispose(&m_context);
    std::free(queue);
    h2o_config_dispose(&m_config);
}

// The library refuses longer bodies as soon as their length is known; in chunks also one of just
// the limit, so the limit is one byte more and the handler's check has the last word.
void H2oListener::setRequestLimits(const HttpRequestLimits &limits)
{
    m_config.max_request_entity_size = limits.maxBodyBytes + 1;
    m_times = {limits.headTime, limits.idleTime};
}

void H2oListener::stopListening()
{
    if (m_socket)
        h2o_socket_close(std::exchange(m_socket, nullptr));
}

void H2oListener::disconnectAll()
{
    m_handler = nullptr;
    for (const Connection *connection : m_connections)
        ::shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
}

void H2oListener::onAcceptable(h2o_socket_t *socket, const char *error)
{
    if (error)
        return;
    auto *listener = static_cast<H2oListener *>(socket->data);
    for (int i = 0; i < MaxAcceptsPerRound && listener->acceptOne(); ++i) {
    }
}

bool H2oListener::acceptOne()
{
    h2o_socket_t *sock = m_socket ? h2o_evloop_socket_accept(m_socket) : nullptr;
    if (!sock)
        return false;
    // Closing at once lets the caller try another VM, where a full backlog would leave it waiting.
    if (m_connections.size() >= m_maxConnections) {
        h2o_socket_close(sock);
        return true;
    }
    if (!m_guard.admitConnection()) {
        h2o_socket_close(sock);
        return true;
    }
    auto *connection = new Connection(*this, sock);
    m_connections.insert(connection);
    sock->on_close.cb = &H2oListener::onConnectionClosed;
    sock->on_close.data = static_cast<ServerConnection *>(connection);
    const int on = 1;
    setsockopt(h2o_socket_get_fd(sock), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    h2o_accept(&m_accept, sock);
    m_guard.watchLater(*connection);
    return true;
}

void H2oListener::onConnectionClosed(void *data)
{
    auto *connection = static_cast<Connection *>(static_cast<ServerConnection *>(data));
    connection->listener->m_connections.erase(connection);
    delete connection;
}

// The input buffer begins with the request's head until the answer has been sent.
static std::string_view receivedBytes(const h2o_req_t &request)
{
    const h2o_buffer_t *input = request.conn->callbacks->get_socket(request.conn)->input;
    return {input->bytes, input->size};
}

static void refuseForMemory(HttpExchange &exchange)
{
    const std::string body =
            refusalBody(makeError(ErrorCode::Overloaded, "no memory for the request"));
    exchange.closeAfterAnswer();
    exchange.start({503,
                    {{"content-type", "application/json"},
                     {"content-length", std::to_string(body.size())},
                     {"retry-after", "1"}}});
    exchange.write(body);
    exchange.finish();
}

int H2oListener::onRequest(h2o_handler_t *handler, h2o_req_t *request)
{
    H2oListener *listener = reinterpret_cast<Handler *>(handler)->listener;
    const absl::Status status = checkRequestHead(receivedBytes(*request), listener->m_maxHeadBytes);
    if (!status.ok())
        request->http1_is_persistent = 0;
    ReceiveGuard &guard = listener->m_guard;
    ServerConnection &connection =
            *ServerConnection::of(request->conn->callbacks->get_socket(request->conn));
    const bool hasRoom = guard.admitBody(connection, request->entity.len);
    std::shared_ptr<H2oExchange> exchange =
            ResponseStream::attach(request, guard.timers(), listener->m_answers, hasRoom);
    guard.releaseBody(connection, request->entity);
    if (!listener->m_handler)
        exchange->abort();
    else if (!hasRoom)
        refuseForMemory(*exchange);
    else if (status.ok())
        listener->m_handler(std::move(exchange));
    else
        respond(*exchange, httpStatus(errorCode(status)), "application/json", refusalBody(status));
    return 0;
}

absl::StatusOr<Endpoint> H2oServer::listen(const HttpListenerOptions &options, HttpHandler handler)
{
    absl::StatusOr<std::unique_ptr<H2oListener>> listener =
            H2oListener::create(m_loop, m_guard, m_answers, options, std::move(handler));
    if (!listener.ok())
        return listener.status();
    const Endpoint endpoint = (*listener)->endpoint();
    m_listeners.push_back(std::move(*listener));
    return endpoint;
}

void H2oServer::stopListening()
{
    for (const std::unique_ptr<H2oListener> &listener : m_listeners)
        listener->stopListening();
}

std::size_t H2oServer::connections() const
{
    std::size_t sum = 0;
    for (const std::unique_ptr<H2oListener> &listener : m_listeners)
        sum += listener->connections();
    return sum;
}

void H2oServer::setRequestLimits(const Endpoint &listener, const HttpRequestLimits &limits)
{
    for (const std::unique_ptr<H2oListener> &each : m_listeners) {
        if (each->endpoint() == listener)
            each->setRequestLimits(limits);
    }
}

void H2oServer::disconnectAll()
{
    m_guard.setLimits({});
    m_answers.disconnect();
    for (const std::unique_ptr<H2oListener> &listener : m_listeners)
        listener->disconnectAll();
}

} // namespace currantwalk
