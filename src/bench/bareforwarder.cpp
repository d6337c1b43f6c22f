#include "bench/forwarder.h"

#include <array>
#include <cstdlib>
#include <string>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include "net/h2oapi.h"
#include "net/socketaddress.h"

namespace currantwalk {

static constexpr std::string_view SourceRequest = "GET / HTTP/1.1\r\nhost: source\r\n\r\n";
static constexpr std::string_view EventStream = "text/event-stream";
static constexpr std::uint64_t LongTimeoutMs = std::uint64_t{24} * 3600 * 1000;
static constexpr int MaxClosingRounds = 1000;

namespace {

struct BareStream : h2o_generator_t
{
    h2o_req_t *request = nullptr;
    h2o_http1client_t *client = nullptr;
    h2o_iovec_t sourceRequest{};
    std::string queued;
    std::string inFlight;
    bool isSending = false;
    bool isWhole = false;

    void flush()
    {
        inFlight.swap(queued);
        queued.clear();
        isSending = true;
        h2o_iovec_t buffer = h2o_iovec_init(inFlight.data(), inFlight.size());
        h2o_send(request, &buffer, buffer.len == 0 ? 0 : 1,
                 isWhole ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
    }
};

struct StreamHolder
{
    BareStream *stream;
};

class BareForwarder final : public Forwarder
{
public:
    BareForwarder();
    ~BareForwarder() override;
    BareForwarder(const BareForwarder &) = delete;
    BareForwarder &operator=(const BareForwarder &) = delete;

    absl::Status open(const Endpoint &source);
    const Endpoint &endpoint() const override { return m_endpoint; }
    // Two rounds, like those of EventLoop::runOnce().
    void runRound() override
    {
        h2o_evloop_run(m_loop, 0);
        h2o_evloop_run(m_loop, 0);
    }
    std::size_t connections() const override { return m_connections; }

private:
    struct Handler : h2o_handler_t
    {
        BareForwarder *forwarder;
    };

    static void onAcceptable(h2o_socket_t *socket, const char *error);
    static int onRequest(h2o_handler_t *handler, h2o_req_t *request);
    static h2o_http1client_head_cb onConnect(h2o_http1client_t *client, const char *error,
                                             h2o_iovec_t **buffers, std::size_t *bufferCount,
                                             int *isHead);
    static h2o_http1client_body_cb onHead(h2o_http1client_t *client, const char *error, int,
                                          int status, h2o_iovec_t, h2o_header_t *, std::size_t,
                                          int);
    static int onBody(h2o_http1client_t *client, const char *error);
    static void onProceed(h2o_generator_t *generator, h2o_req_t *request);
    static void dispose(void *holder);

    h2o_loop_t *m_loop;
    h2o_globalconf_t m_config{};
    h2o_context_t m_context{};
    h2o_accept_ctx_t m_accept{};
    h2o_socket_t *m_listener = nullptr;
    h2o_timeout_t m_timeout{};
    h2o_http1client_ctx_t m_client{};
    h2o_socketpool_t m_pool{};
    bool m_hasPool = false;
    Endpoint m_endpoint;
    std::size_t m_connections = 0;
};

} // namespace

BareForwarder::BareForwarder() : m_loop(h2o_evloop_create())
{
    h2o_config_init(&m_config);
    m_config.http1.req_timeout = LongTimeoutMs;
    h2o_hostconf_t *host =
            h2o_config_register_host(&m_config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    auto *handler = reinterpret_cast<Handler *>(h2o_create_handler(path, sizeof(Handler)));
    handler->on_req = &BareForwarder::onRequest;
    handler->forwarder = this;
    h2o_context_init(&m_context, m_loop, &m_config);
    m_accept.ctx = &m_context;
    m_accept.hosts = m_config.hosts;
    h2o_timeout_init(m_loop, &m_timeout, LongTimeoutMs);
    m_client.loop = m_loop;
    m_client.io_timeout = &m_timeout;
}

BareForwarder::~BareForwarder()
{
    if (m_listener)
        h2o_socket_close(m_listener);
    for (int round = 0; round < MaxClosingRounds && m_connections != 0; ++round)
        h2o_evloop_run(m_loop, 1);
    if (m_hasPool)
        h2o_socketpool_dispose(&m_pool);
    h2o_timeout_dispose(m_loop, &m_timeout);
    // This version of the library closes the context's queue without freeing it.
    h2o_multithread_queue_t *queue = m_context.queue;
    h2o_context_dispose(&m_context);
    std::free(queue);
    h2o_config_dispose(&m_config);
    h2o_evloop_destroy(m_loop);
}

absl::Status BareForwarder::open(const Endpoint &source)
{
    absl::StatusOr<SocketAddress> sourceAddress = SocketAddress::fromEndpoint(source);
    if (!sourceAddress.ok())
        return sourceAddress.status();
    h2o_socketpool_init_by_address(&m_pool, sourceAddress->data(), sourceAddress->size(), 0,
                                   SIZE_MAX);
    h2o_socketpool_set_timeout(&m_pool, m_loop, LongTimeoutMs);
    m_hasPool = true;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const absl::StatusOr<SocketAddress> any = SocketAddress::fromEndpoint({"127.0.0.1", 0});
    if (fd < 0 || ::bind(fd, any->data(), any->size()) != 0 || ::listen(fd, SOMAXCONN) != 0)
        return systemCallError("listen");
    m_listener = h2o_evloop_socket_create(m_loop, fd, H2O_SOCKET_FLAG_DONT_READ);
    m_listener->data = this;
    h2o_socket_read_start(m_listener, &BareForwarder::onAcceptable);
    m_endpoint = SocketAddress::ofSocket(fd)->endpoint();
    return absl::OkStatus();
}

void BareForwarder::onAcceptable(h2o_socket_t *socket, const char *)
{
    auto *self = static_cast<BareForwarder *>(socket->data);
    while (h2o_socket_t *accepted = h2o_evloop_socket_accept(socket)) {
        ++self->m_connections;
        accepted->on_close.cb = [](void *data) {
            --static_cast<BareForwarder *>(data)->m_connections;
        };
        accepted->on_close.data = self;
        const int on = 1;
        setsockopt(h2o_socket_get_fd(accepted), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        h2o_accept(&self->m_accept, accepted);
    }
}

int BareForwarder::onRequest(h2o_handler_t *handler, h2o_req_t *request)
{
    BareForwarder *self = reinterpret_cast<Handler *>(handler)->forwarder;
    auto *stream = new BareStream;
    stream->proceed = &BareForwarder::onProceed;
    stream->stop = [](h2o_generator_t *, h2o_req_t *) {};
    stream->request = request;
    void *memory = h2o_mem_alloc_shared(&request->pool, sizeof(StreamHolder), &dispose);
    static_cast<StreamHolder *>(memory)->stream = stream;
    h2o_http1client_connect_with_pool(&stream->client, stream, &self->m_client, &self->m_pool,
                                      &BareForwarder::onConnect);
    return 0;
}

void BareForwarder::dispose(void *holder)
{
    BareStream *stream = static_cast<StreamHolder *>(holder)->stream;
    if (stream->client)
        h2o_http1client_cancel(stream->client);
    delete stream;
}

h2o_http1client_head_cb BareForwarder::onConnect(h2o_http1client_t *client, const char *error,
                                                 h2o_iovec_t **buffers, std::size_t *bufferCount,
                                                 int *)
{
    auto *stream = static_cast<BareStream *>(client->data);
    if (error) {
        stream->client = nullptr;
        h2o_send_error_502(stream->request, "Bad Gateway", error, 0);
        return nullptr;
    }
    stream->sourceRequest = h2o_iovec_init(SourceRequest.data(), SourceRequest.size());
    *buffers = &stream->sourceRequest;
    *bufferCount = 1;
    return &BareForwarder::onHead;
}

h2o_http1client_body_cb BareForwarder::onHead(h2o_http1client_t *client, const char *error, int,
                                              int status, h2o_iovec_t, h2o_header_t *, std::size_t,
                                              int)
{
    auto *stream = static_cast<BareStream *>(client->data);
    if (error) {
        stream->client = nullptr;
        h2o_send_error_502(stream->request, "Bad Gateway", error, 0);
        return nullptr;
    }
    h2o_req_t *request = stream->request;
    request->res.status = status;
    request->res.reason = "OK";
    h2o_add_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr,
                   EventStream.data(), EventStream.size());
    h2o_start_response(request, stream);
    return &BareForwarder::onBody;
}

int BareForwarder::onBody(h2o_http1client_t *client, const char *error)
{
    auto *stream = static_cast<BareStream *>(client->data);
    h2o_buffer_t **input = &client->sock->input;
    stream->queued.append((*input)->bytes, (*input)->size);
    h2o_buffer_consume(input, (*input)->size);
    if (error) {
        stream->client = nullptr;
        stream->isWhole = true;
    }
    if (!stream->isSending && (stream->isWhole || !stream->queued.empty()))
        stream->flush();
    return 0;
}

void BareForwarder::onProceed(h2o_generator_t *generator, h2o_req_t *)
{
    auto *stream = static_cast<BareStream *>(generator);
    stream->isSending = false;
    if (stream->isWhole || !stream->queued.empty())
        stream->flush();
}

absl::StatusOr<std::unique_ptr<Forwarder>> makeBareForwarder(const Endpoint &source)
{
    auto forwarder = std::make_unique<BareForwarder>();
    const absl::Status status = forwarder->open(source);
    if (!status.ok())
        return status;
    return forwarder;
}

} // namespace currantwalk
