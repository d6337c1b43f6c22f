#include "net/h2ocall.h"

#include <algorithm>
#include <cassert>
#include <cctype>

#include <sys/socket.h>

#include "net/messagehead.h"

namespace currantwalk {

// Of a connection's input buffer that has been emptied.
static constexpr std::size_t MaxKeptBufferBytes = std::size_t{16} * 1024;
// How soon to look again whether a long request has been written and the head is being read.
static constexpr Duration HeadWatchInterval = std::chrono::milliseconds(1);

namespace {

/// Marks that a callback of the library is running, which then must end the exchange by its result.
class LibraryScope
{
public:
    explicit LibraryScope(bool &flag) : m_flag(flag) { m_flag = true; }
    ~LibraryScope() { m_flag = false; }
    LibraryScope(const LibraryScope &) = delete;
    LibraryScope &operator=(const LibraryScope &) = delete;

private:
    bool &m_flag;
};

} // namespace

static std::string_view viewOf(const h2o_iovec_t &buffer)
{
    return {buffer.base, buffer.len};
}

static std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

// The library names its failures in text: those of the socket begin alike.
static absl::Status exchangeError(std::string_view text)
{
    const bool isSocketError = text.substr(0, 3) == "I/O";
    return makeError(isSocketError ? ErrorCode::ConnectionLost : ErrorCode::TargetProtocolError,
                     text);
}

ClientExchange::ClientExchange(std::shared_ptr<ClientContext> context, ClientPool &pool,
                               const HttpCallOptions &options, HttpRequest request,
                               HttpCallHooks hooks)
    : m_context(std::move(context)),
      m_pool(pool),
      m_options(options),
      m_request(std::move(request)),
      m_hooks(std::move(hooks))
{
    m_context->exchanges.insert(this);
}

ClientExchange::~ClientExchange()
{
    m_context->exchanges.erase(this);
}

void ClientExchange::start()
{
    if (!isSendable(m_request)) {
        failFromLoop(makeError(ErrorCode::InvalidRequest, "malformed method, path or header"));
        return;
    }
    buildHead();
    armDeadline(m_options.connectTimeout,
                [this] { fail(makeError(ErrorCode::ConnectFailed, "timeout")); });
    ++m_pool.active;
    m_isStarting = true;
    h2o_http1client_connect_with_pool(&m_client, this, &m_pool.client, &m_pool.native,
                                      &ClientExchange::onConnect);
    m_isStarting = false;
}

void ClientExchange::buildHead()
{
    m_head = m_request.method + ' ' + m_request.path + " HTTP/1.1\r\n";
    if (!findHeader(m_request.headers, "host"))
        m_head += "host: " + m_options.endpoint.toString() + "\r\n";
    for (const HttpHeader &header : m_request.headers) {
        if (header.name == "content-length" || header.name == "transfer-encoding"
            || header.name == "connection")
            continue;
        m_head += header.name + ": " + header.value + "\r\n";
    }
    const bool hasBody = !m_request.body.empty() || m_request.method == "POST"
                         || m_request.method == "PUT" || m_request.method == "PATCH";
    if (hasBody)
        m_head += "content-length: " + std::to_string(m_request.body.size()) + "\r\n";
    m_head += "\r\n";
}

ClientExchange::HeadCallback ClientExchange::onConnect(h2o_http1client_t *client, const char *error,
                                                       h2o_iovec_t **buffers,
                                                       std::size_t *bufferCount, int *isHead)
{
    const std::shared_ptr<ClientExchange> self =
            static_cast<ClientExchange *>(client->data)->shared_from_this();
    const LibraryScope scope(self->m_isInLibrary);
    const absl::Status status =
            error ? makeError(ErrorCode::ConnectFailed, error) : self->checkWritable();
    if (!status.ok()) {
        self->releaseClient();
        if (self->m_isStarting)
            self->failFromLoop(status);
        else
            self->end(status);
        return nullptr;
    }
    *isHead = self->m_request.method == "HEAD" ? 1 : 0;
    self->connected(buffers, bufferCount);
    return &ClientExchange::onHead;
}

// Returns why the request may not be written to the connection that is open now.
absl::Status ClientExchange::checkWritable() const
{
    if (hasEarlyBytes())
        return makeError(ErrorCode::ConnectFailed, "the server wrote before the request");
    if (m_hooks.mayWrite && !m_hooks.mayWrite())
        return makeError(ErrorCode::Cancelled, "withdrawn before it was sent");
    return absl::OkStatus();
}

// What has arrived before the request is written would be taken for its answer. On a connection
// with TLS it may belong to the handshake.
bool ClientExchange::hasEarlyBytes() const
{
    if (m_options.useTls)
        return false;
    char byte = 0;
    return recv(h2o_socket_get_fd(m_client->sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// From here on the library writes the request, perhaps before this returns.
void ClientExchange::connected(h2o_iovec_t **buffers, std::size_t *bufferCount)
{
    m_progress = SendProgress::Sent;
    armDeadline(m_options.headTimeout, [this] {
        fail(makeError(ErrorCode::DeadlineExceeded, "no answer within the head timeout"));
    });
    h2o_socket_dont_read(m_client->sock, 1);
    armStep(Duration::zero(), &ClientExchange::watchHead);
    m_buffers[0] = h2o_iovec_init(m_head.data(), m_head.size());
    m_buffers[1] = h2o_iovec_init(m_request.body.data(), m_request.body.size());
    *buffers = m_buffers.data();
    *bufferCount = m_request.body.empty() ? 1 : 2;
}

// The library sets no limit to an answer's head, and ends the program on some that are malformed.
// Its read callback is therefore wrapped in one that looks at the head first. The callback is known
// only once the request has been written; until then the socket is not read from.
void ClientExchange::watchHead()
{
    h2o_socket_t *const sock = m_client->sock;
    if (!h2o_socket_is_reading(sock)) {
        armStep(HeadWatchInterval, &ClientExchange::watchHead);
        return;
    }
    m_readCallback = sock->_cb.read;
    h2o_socket_dont_read(sock, 0);
    h2o_socket_read_start(sock, &ClientExchange::onHeadBytes);
}

void ClientExchange::onHeadBytes(h2o_socket_t *socket, const char *error)
{
    auto *client = static_cast<h2o_http1client_t *>(socket->data);
    const std::shared_ptr<ClientExchange> self =
            static_cast<ClientExchange *>(client->data)->shared_from_this();
    const absl::Status status = checkResponseHead({socket->input->bytes, socket->input->size},
                                                  self->m_context->maxHeadBytes);
    if (!status.ok()) {
        self->fail(status);
        return;
    }
    const std::size_t received = socket->bytes_read;
    self->m_readCallback(socket, error);
    if (!self->m_client)
        return;
    const bool hasHead = self->m_lastActivity != TimePoint();
    if (!hasHead)
        self->limitOverhead(received);
    else if (self->m_isCloseDelimited || self->m_isChunked)
        self->watchBody();
}

// Interim heads, chunk extensions and trailers are consumed by the library without a limit.
void ClientExchange::limitOverhead(std::size_t received)
{
    m_overheadBytes += received;
    if (m_overheadBytes > m_context->maxHeadBytes)
        fail(makeError(ErrorCode::TargetProtocolError, "the answer has too much besides its body"));
}

// The library takes a reset for the end of a body that is delimited by the connection's end. Its
// read callback, which it sets when the head's callback has returned, is wrapped in one that notes
// how the connection ended. The same one notices chunk framing without a body.
void ClientExchange::watchBody()
{
    h2o_socket_t *const sock = m_client->sock;
    if (!m_isReadStopped)
        m_readCallback = sock->_cb.read;
    m_isBodyWatched = true;
    if (!m_isReadStopped)
        h2o_socket_read_start(sock, &ClientExchange::onBodyBytes);
}

void ClientExchange::onBodyBytes(h2o_socket_t *socket, const char *error)
{
    auto *client = static_cast<h2o_http1client_t *>(socket->data);
    const std::shared_ptr<ClientExchange> self =
            static_cast<ClientExchange *>(client->data)->shared_from_this();
    self->m_isReset = error && error != h2o_socket_error_closed;
    const std::size_t received = socket->bytes_read;
    self->m_hasBodyProgress = false;
    self->m_readCallback(socket, error);
    if (!self->m_client)
        return;
    if (self->m_hasBodyProgress)
        self->m_overheadBytes = 0;
    else
        self->limitOverhead(received);
}

ClientExchange::BodyCallback ClientExchange::onHead(h2o_http1client_t *client, const char *error,
                                                    int, int status, h2o_iovec_t,
                                                    h2o_header_t *headers, std::size_t headerCount,
                                                    int)
{
    const std::shared_ptr<ClientExchange> self =
            static_cast<ClientExchange *>(client->data)->shared_from_this();
    const LibraryScope scope(self->m_isInLibrary);
    const bool isWhole = error == h2o_http1client_error_is_eos;
    if (error && !isWhole) {
        self->releaseClient();
        self->end(exchangeError(error));
        return nullptr;
    }
    self->headArrived(status, headers, headerCount);
    if (isWhole) {
        self->wholeAnswerArrived();
        return nullptr;
    }
    if (self->m_isEnded) {
        self->releaseClient();
        return nullptr;
    }
    return &ClientExchange::onBody;
}

void ClientExchange::headArrived(int status, const h2o_header_t *headers, std::size_t headerCount)
{
    m_context->timers.cancel(std::exchange(m_stepTimer, NoTimer));
    m_lastActivity = m_context->timers.now();
    armDeadline(m_options.idleTimeout, [this] { checkIdle(); });
    HttpResponseHead head;
    head.status = status;
    for (std::size_t i = 0; i < headerCount; ++i)
        head.headers.push_back({lowerCase(viewOf(*headers[i].name)),
                                std::string(fieldValue(viewOf(headers[i].value)))});
    m_isChunked = findHeader(head.headers, "transfer-encoding").has_value();
    m_overheadBytes = 0;
    m_isCloseDelimited = !m_isChunked && !findHeader(head.headers, "content-length");
    head.endsWithConnection = m_isCloseDelimited;
    if (m_hooks.onHead)
        m_hooks.onHead(head);
}

int ClientExchange::onBody(h2o_http1client_t *client, const char *error)
{
    const std::shared_ptr<ClientExchange> self =
            static_cast<ClientExchange *>(client->data)->shared_from_this();
    const LibraryScope scope(self->m_isInLibrary);
    const bool isWhole = error == h2o_http1client_error_is_eos;
    if (error && !isWhole) {
        self->releaseClient();
        self->end(exchangeError(error));
        return -1;
    }
    self->bodyArrived();
    if (isWhole) {
        self->wholeAnswerArrived();
        return 0;
    }
    if (!self->m_isEnded)
        return 0;
    self->releaseClient();
    return -1;
}

// The library keeps the largest size that a buffer had for as long as the connection is open.
static void releaseLargeBuffer(h2o_buffer_t **buffer)
{
    if ((*buffer)->size != 0 || (*buffer)->capacity <= MaxKeptBufferBytes)
        return;
    h2o_buffer_dispose(buffer);
    h2o_buffer_init(buffer, &h2o_socket_buffer_prototype);
}

void ClientExchange::bodyArrived()
{
    h2o_buffer_t **input = &m_client->sock->input;
    const std::size_t size = (*input)->size;
    m_hasBodyProgress = m_hasBodyProgress || size != 0;
    m_lastActivity = m_context->timers.now();
    if (m_isPaused || !m_held.empty())
        m_held.append((*input)->bytes, size);
    else if (size != 0 && m_hooks.onBody)
        m_hooks.onBody({(*input)->bytes, size});
    const bool isWaiting = m_isPaused || !m_held.empty();
    if (isWaiting && !m_isEnded && !m_isReadStopped)
        stopReading();
    h2o_buffer_consume(input, size);
    releaseLargeBuffer(input);
}

// The library takes a close between two chunks for the end of the body.
bool ClientExchange::isCutOff() const
{
    return m_isReset || (m_isChunked && m_client->sock->bytes_read == 0);
}

void ClientExchange::wholeAnswerArrived()
{
    const bool isCut = isCutOff();
    // Without a pool the library closes the connection in place of keeping it.
    const std::size_t idle = m_pool.native._shared.count - m_pool.active;
    if (idle >= m_context->maxIdleConnections || !m_options.isConnectionKept)
        m_client->sockpool.pool = nullptr;
    releaseClient();
    if (m_isEnded)
        return;
    if (isCut) {
        end(makeError(ErrorCode::ConnectionLost, "the connection was lost within the body"));
        return;
    }
    if (m_isPaused || !m_held.empty()) {
        m_isEndHeld = true;
        return;
    }
    end(absl::OkStatus());
}

void ClientExchange::end(const absl::Status &status)
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_context->timers.cancel(std::exchange(m_deadline, NoTimer));
    m_context->timers.cancel(std::exchange(m_stepTimer, NoTimer));
    const HttpCallHooks hooks = std::move(m_hooks);
    if (hooks.onEnd)
        hooks.onEnd(status);
}

void ClientExchange::fail(const absl::Status &status)
{
    assert(!m_isInLibrary && "the library's callbacks end an exchange by their result");
    if (m_client) {
        h2o_http1client_t *client = m_client;
        releaseClient();
        h2o_http1client_cancel(client);
    }
    end(status);
}

void ClientExchange::failFromLoop(absl::Status status)
{
    armDeadline(Duration::zero(), [this, status = std::move(status)] { end(status); });
}

void ClientExchange::releaseClient()
{
    assert(m_pool.active > 0 && "each exchange in the library is counted");
    m_client = nullptr;
    --m_pool.active;
}

void ClientExchange::abandon()
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_context->timers.cancel(m_deadline);
    m_context->timers.cancel(m_stepTimer);
    if (!m_client || m_isInLibrary)
        return;
    h2o_http1client_t *client = m_client;
    releaseClient();
    h2o_http1client_cancel(client);
}

void ClientExchange::pause()
{
    m_isPaused = true;
    const bool isReadingBody = m_client && m_lastActivity != TimePoint() && !m_isInLibrary;
    if (isReadingBody && !m_isReadStopped)
        stopReading();
}

void ClientExchange::resume()
{
    if (!m_isPaused)
        return;
    m_isPaused = false;
    m_lastActivity = m_context->timers.now();
    if (!m_held.empty() || m_isEndHeld)
        armStep(Duration::zero(), &ClientExchange::deliverHeld);
    else if (m_isReadStopped)
        continueReading();
}

void ClientExchange::deliverHeld()
{
    if (m_isPaused)
        return;
    const std::string data = std::exchange(m_held, {});
    if (!data.empty() && m_hooks.onBody)
        m_hooks.onBody(data);
    if (m_isEnded || m_isPaused)
        return;
    if (m_isEndHeld)
        end(absl::OkStatus());
    else if (m_isReadStopped)
        continueReading();
}

void ClientExchange::stopReading()
{
    h2o_socket_t *const sock = m_client->sock;
    if (sock->_cb.read != &ClientExchange::onBodyBytes)
        m_readCallback = sock->_cb.read;
    h2o_socket_read_stop(sock);
    m_isReadStopped = true;
}

void ClientExchange::continueReading()
{
    m_isReadStopped = false;
    h2o_socket_read_start(m_client->sock,
                          m_isBodyWatched ? &ClientExchange::onBodyBytes : m_readCallback);
}

// One subscription follows many parts of a body: it looks how long ago the last one came.
void ClientExchange::checkIdle()
{
    const Duration idle = m_isPaused ? Duration::zero() : m_context->timers.now() - m_lastActivity;
    if (idle >= m_options.idleTimeout) {
        fail(makeError(ErrorCode::DeadlineExceeded,
                       "no part of the answer within the idle timeout"));
        return;
    }
    armDeadline(m_options.idleTimeout - idle, [this] { checkIdle(); });
}

void ClientExchange::armDeadline(Duration delay, std::function<void()> expired)
{
    m_context->timers.cancel(m_deadline);
    m_deadline = m_context->timers.scheduleAfter(delay, [this, expired = std::move(expired)] {
        const std::shared_ptr<ClientExchange> self = shared_from_this();
        m_deadline = NoTimer;
        expired();
    });
}

void ClientExchange::armStep(Duration delay, void (ClientExchange::*step)())
{
    m_context->timers.cancel(m_stepTimer);
    m_stepTimer = m_context->timers.scheduleAfter(delay, [this, step] {
        const std::shared_ptr<ClientExchange> self = shared_from_this();
        m_stepTimer = NoTimer;
        (this->*step)();
    });
}

} // namespace currantwalk
