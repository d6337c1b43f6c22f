#include "net/h2oexchange.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/enumtable.h"

namespace currantwalk {

namespace {

struct StreamHolder
{
    ResponseStream *stream;
};

} // namespace

// How often a connection whose caller has sent more than its request is looked at for a close.
static constexpr Duration PeerCheckInterval = std::chrono::seconds(1);

static constexpr std::array<EnumName<int>, 28> ReasonPhrases{{
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {204, "No Content"},
        {206, "Partial Content"},
        {301, "Moved Permanently"},
        {302, "Found"},
        {304, "Not Modified"},
        {307, "Temporary Redirect"},
        {308, "Permanent Redirect"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {406, "Not Acceptable"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {410, "Gone"},
        {413, "Content Too Large"},
        {415, "Unsupported Media Type"},
        {422, "Unprocessable Content"},
        {429, "Too Many Requests"},
        {500, "Internal Server Error"},
        {501, "Not Implemented"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
}};

// Fields that belong to one connection, or that the library writes itself.
static constexpr std::array<std::string_view, 8> ConnectionFields{
        "connection",        "date",    "keep-alive", "proxy-connection", "te",
        "transfer-encoding", "trailer", "upgrade"};

static constexpr int Http11 = 0x101;
static constexpr int Http2 = 0x200;

static constexpr const char *LastChunk = "0\r\n\r\n";

static std::string chunkOf(const std::string &data)
{
    // Room for a size of 64 bits in hexadecimal digits.
    std::array<char, 16> digits{};
    const std::to_chars_result size =
            std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), 16);
    std::string chunk(digits.data(), size.ptr);
    return chunk.append("\r\n").append(data).append("\r\n");
}

static bool isConnectionField(std::string_view name)
{
    return std::find(ConnectionFields.begin(), ConnectionFields.end(), name)
           != ConnectionFields.end();
}

static std::string_view viewOf(const h2o_iovec_t &buffer)
{
    return {buffer.base, buffer.len};
}

static HttpRequest copyRequest(const h2o_req_t &request, bool isBodyKept)
{
    HttpRequest copy;
    copy.method = viewOf(request.input.method);
    copy.path = viewOf(request.input.path);
    copy.headers.push_back({"host", std::string(viewOf(request.input.authority))});
    for (std::size_t i = 0; i < request.headers.size; ++i) {
        const h2o_header_t &header = request.headers.entries[i];
        copy.headers.push_back(
                {std::string(viewOf(*header.name)), std::string(viewOf(header.value))});
    }
    if (request.entity.base && isBodyKept)
        copy.body = viewOf(request.entity);
    return copy;
}

static std::string remoteAddressOf(h2o_conn_t &connection)
{
    sockaddr_storage address;
    auto *raw = reinterpret_cast<sockaddr *>(&address);
    const socklen_t size = connection.callbacks->get_peername(&connection, raw);
    std::array<char, NI_MAXHOST> text{};
    if (size == 0 || h2o_socket_getnumerichost(raw, size, text.data()) == SIZE_MAX)
        return {};
    return text.data();
}

// A field value may hold no control characters, or it could end the head early.
static std::string fieldText(std::string_view value)
{
    std::string text(value);
    std::replace_if(
            text.begin(), text.end(),
            [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7F; }, ' ');
    return text;
}

HttpUnsentAnswers OpenAnswers::unsent() const
{
    HttpUnsentAnswers unsent;
    for (const ResponseStream *answer : m_answers) {
        if (!answer->isUnsent())
            continue;
        ++unsent.answers;
        unsent.bytes += answer->pendingBytes();
    }
    return unsent;
}

void OpenAnswers::disconnect() const
{
    for (ResponseStream *answer : m_answers)
        answer->disconnect();
}

std::shared_ptr<H2oExchange> ResponseStream::attach(h2o_req_t *request, TimerService &timers,
                                                    OpenAnswers &answers, bool isBodyKept)
{
    // The library's pool runs the disposal when the request ends, however it ends.
    void *memory = h2o_mem_alloc_shared(&request->pool, sizeof(StreamHolder), [](void *holder) {
        delete static_cast<StreamHolder *>(holder)->stream;
    });
    auto *stream = new ResponseStream(request, timers, answers);
    static_cast<StreamHolder *>(memory)->stream = stream;
    auto exchange = std::make_shared<H2oExchange>(
            copyRequest(*request, isBodyKept), remoteAddressOf(*request->conn), stream,
            ServerConnection::of(stream->socket())->guard.sharedBudget());
    stream->setExchange(exchange.get());
    stream->watchPeer();
    return exchange;
}

ResponseStream::ResponseStream(h2o_req_t *request, TimerService &timers, OpenAnswers &answers)
    : m_request(request),
      m_timers(timers),
      m_answers(answers),
      m_isHeadOnly(viewOf(request->input.method) == "HEAD")
{
    m_answers.add(*this);
    m_generator.proceed = &ResponseStream::onProceed;
    m_generator.stop = &ResponseStream::onStop;
    m_generator.stream = this;
}

ResponseStream::~ResponseStream()
{
    m_answers.remove(*this);
    m_timers.cancel(m_peerTimer);
    if (m_state == State::Sent && m_request->version < Http2 && !m_request->http1_is_persistent)
        discardUnreadBytes();
    ServerConnection &connection = *ServerConnection::of(socket());
    if (m_isWatching)
        connection.stream = nullptr;
    connection.guard.watchLater(connection);
    if (m_exchange)
        m_exchange->streamGone(m_state == State::Sent);
}

void ResponseStream::start(HttpResponseHead head)
{
    if (m_isStarted || m_state != State::Open)
        return;
    m_isStarted = true;
    m_request->res.status = head.status;
    const std::string_view reason = enumName(ReasonPhrases, head.status);
    m_request->res.reason = h2o_strdup(&m_request->pool, reason.data(), reason.size()).base;
    for (const HttpHeader &header : head.headers)
        addHeader(header);
    m_framing = framingOfBody();
    if (m_framing == Framing::Chunks) {
        h2o_add_header(&m_request->pool, &m_request->res.headers, H2O_TOKEN_TRANSFER_ENCODING,
                       nullptr, H2O_STRLIT("chunked"));
    }
    h2o_start_response(m_request, &m_generator);
}

bool ResponseStream::hasBody() const
{
    return !m_isHeadOnly && hasBodyByStatus(m_request->res.status);
}

// The library writes chunks for status 200 only, and ends other bodies by the connection's end.
ResponseStream::Framing ResponseStream::framingOfBody() const
{
    if (!hasBody() || m_request->res.content_length != SIZE_MAX || m_request->version >= Http2)
        return Framing::Length;
    return m_request->version >= Http11 ? Framing::Chunks : Framing::Connection;
}

void ResponseStream::addHeader(const HttpHeader &header)
{
    if (header.name == "content-length") {
        std::size_t length = 0;
        const char *last = header.value.data() + header.value.size();
        const std::from_chars_result result = std::from_chars(header.value.data(), last, length);
        if (result.ec == std::errc() && result.ptr == last)
            m_request->res.content_length = length;
        return;
    }
    if (isConnectionField(header.name) || header.name.empty())
        return;
    const std::string name = fieldText(header.name);
    const std::string value = fieldText(header.value);
    h2o_mem_pool_t *pool = &m_request->pool;
    const h2o_iovec_t nameCopy = h2o_strdup(pool, name.data(), name.size());
    const h2o_iovec_t valueCopy = h2o_strdup(pool, value.data(), value.size());
    h2o_add_header_by_str(pool, &m_request->res.headers, nameCopy.base, nameCopy.len, 1, nullptr,
                          valueCopy.base, valueCopy.len);
}

bool ResponseStream::acceptsBody(std::size_t bytes) const
{
    const std::size_t length = m_request->res.content_length;
    return length == SIZE_MAX || m_writtenBytes + bytes <= length;
}

void ResponseStream::write(std::string data)
{
    if (m_state != State::Open || data.empty())
        return;
    if (!m_isStarted)
        start({});
    if (!hasBody())
        return;
    // More than the declared length would run into the next answer on this connection.
    if (!acceptsBody(data.size())) {
        abort();
        return;
    }
    m_writtenBytes += data.size();
    queue(m_framing == Framing::Chunks ? chunkOf(data) : std::move(data));
    if (!m_isSending)
        flush();
}

void ResponseStream::queue(std::string data)
{
    m_queuedBytes += data.size();
    m_queued.push_back(std::move(data));
}

void ResponseStream::finish()
{
    if (m_state != State::Open)
        return;
    if (!m_isStarted)
        start({});
    const std::size_t length = m_request->res.content_length;
    // Less than the declared length would leave the caller waiting for the next answer's bytes.
    if (hasBody() && length != SIZE_MAX && m_writtenBytes != length) {
        abort();
        return;
    }
    if (m_framing == Framing::Chunks)
        queue(LastChunk);
    m_state = State::Finishing;
    if (!m_isSending)
        flush();
}

void ResponseStream::abort()
{
    if (m_state == State::Aborting || m_state == State::Sent)
        return;
    m_state = State::Aborting;
    unwatchPeer();
    disconnect();
    if (!m_isSending)
        endInLibrary();
}

// After it every write of the library fails, so that the answer can't look whole to the caller
// whatever the library still holds. A regular end would complete a body that has no other one.
void ResponseStream::disconnect()
{
    const int fd = h2o_socket_get_fd(socket());
    if (m_framing == Framing::Connection) {
        const sockaddr none{AF_UNSPEC, {}};
        // Resets the connection at once; closing it with a linger time of 0 would come too late.
        if (::connect(fd, &none, sizeof(none)) == 0)
            return;
    }
    ::shutdown(fd, SHUT_RDWR);
}

// Ends the library's request, which deletes this stream.
void ResponseStream::endInLibrary()
{
    if (!m_isStarted) {
        m_request->res.status = 500;
        m_request->res.reason = "Internal Server Error";
        m_request->res.content_length = 0;
        h2o_start_response(m_request, &m_generator);
    }
    m_request->http1_is_persistent = 0;
    h2o_send(m_request, nullptr, 0, H2O_SEND_STATE_ERROR);
}

void ResponseStream::flush()
{
    assert(!m_isSending && "the library takes one send at a time");
    m_inFlight.swap(m_queued);
    m_inFlightBytes = std::exchange(m_queuedBytes, 0);
    std::vector<h2o_iovec_t> buffers;
    buffers.reserve(m_inFlight.size());
    for (const std::string &part : m_inFlight)
        buffers.push_back(h2o_iovec_init(part.data(), part.size()));
    m_isSending = true;
    const bool isLast = m_state == State::Finishing;
    if (isLast) {
        m_state = State::Sent;
        unwatchPeer();
    }
    h2o_send(m_request, buffers.data(), buffers.size(),
             isLast ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void ResponseStream::onProceed(h2o_generator_t *generator, h2o_req_t *)
{
    static_cast<Generator *>(generator)->stream->proceed();
}

// The connection has failed; the pool's disposal follows and reports it.
void ResponseStream::onStop(h2o_generator_t *generator, h2o_req_t *)
{
    static_cast<Generator *>(generator)->stream->m_state = State::Aborting;
}

void ResponseStream::proceed()
{
    m_isSending = false;
    m_inFlight.clear();
    m_inFlightBytes = 0;
    if (m_state == State::Aborting) {
        endInLibrary();
        return;
    }
    if (!m_queued.empty() || m_state == State::Finishing) {
        flush();
        return;
    }
    if (m_exchange)
        m_exchange->drained();
}

h2o_socket_t *ResponseStream::socket() const
{
    return m_request->conn->callbacks->get_socket(m_request->conn);
}

// The library does not read from a connection while a request is handled, since the request's
// fields point into the input buffer. The socket is watched without reading from it, so that a
// caller who leaves is noticed.
void ResponseStream::watchPeer()
{
    h2o_socket_t *const sock = socket();
    ServerConnection::of(sock)->stream = this;
    m_isWatching = true;
    h2o_socket_dont_read(sock, 1);
    h2o_socket_read_start(sock, [](h2o_socket_t *readable, const char *) {
        ResponseStream *stream = ServerConnection::of(readable)->stream;
        if (stream)
            stream->checkPeer();
    });
}

void ResponseStream::unwatchPeer()
{
    if (!m_isWatching)
        return;
    m_isWatching = false;
    m_timers.cancel(std::exchange(m_peerTimer, NoTimer));
    h2o_socket_t *const sock = socket();
    ServerConnection::of(sock)->stream = nullptr;
    h2o_socket_read_stop(sock);
    h2o_socket_dont_read(sock, 0);
}

// What waits in the system counts like what the process holds.
bool ResponseStream::admitUnreadBytes() const
{
    int unread = 0;
    if (ioctl(h2o_socket_get_fd(socket()), FIONREAD, &unread) != 0 || unread <= 0)
        return true;
    ServerConnection &connection = *ServerConnection::of(socket());
    return connection.guard.admitUnread(connection, static_cast<std::size_t>(unread));
}

// The connection is closed next. With unread bytes that would reset it, and what the system has yet
// to send of the answer would be lost.
void ResponseStream::discardUnreadBytes() const
{
    constexpr int MaxReads = 16;
    std::array<char, 4096> bytes{};
    const int fd = h2o_socket_get_fd(socket());
    for (int i = 0; i < MaxReads && recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT) > 0; ++i) {
    }
}

void ResponseStream::onPeerGone()
{
    H2oExchange *const exchange = m_exchange;
    if (exchange)
        exchange->closed();
    else
        abort();
}

void ResponseStream::checkPeer()
{
    h2o_socket_t *const sock = socket();
    pollfd look{h2o_socket_get_fd(sock), POLLIN | POLLRDHUP, 0};
    if (poll(&look, 1, 0) < 0)
        return;
    if ((look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        onPeerGone();
        return;
    }
    if ((look.revents & POLLIN) == 0)
        return;
    if (!admitUnreadBytes()) {
        onPeerGone();
        return;
    }
    // A pipelined request keeps the socket readable; from now on the close is looked for by time.
    h2o_socket_read_stop(sock);
    m_timers.cancel(m_peerTimer);
    m_peerTimer = m_timers.scheduleAfter(PeerCheckInterval, [this] {
        m_peerTimer = NoTimer;
        checkPeer();
    });
}

H2oExchange::H2oExchange(HttpRequest request, std::string remoteAddress, ResponseStream *stream,
                         std::shared_ptr<ReceiveBudget> budget)
    : m_request(std::move(request)),
      m_bodyCharge(std::move(budget), ReceiveGuard::BodyCopies * m_request.body.size()),
      m_remoteAddress(std::move(remoteAddress)),
      m_stream(stream)
{
}

H2oExchange::~H2oExchange()
{
    if (!m_stream)
        return;
    m_stream->setExchange(nullptr);
    if (!m_stream->isEnding())
        m_stream->abort();
}

void H2oExchange::start(HttpResponseHead head)
{
    if (m_stream)
        m_stream->start(std::move(head));
}

void H2oExchange::write(std::string data)
{
    if (m_stream)
        m_stream->write(std::move(data));
}

void H2oExchange::finish()
{
    m_isFinished = true;
    if (m_stream)
        m_stream->finish();
}

void H2oExchange::abort()
{
    m_isFinished = true;
    m_isClosed = true;
    if (m_stream)
        m_stream->abort();
}

void H2oExchange::closeAfterAnswer()
{
    if (m_stream)
        m_stream->closeAfterAnswer();
}

std::size_t H2oExchange::pendingBytes() const
{
    return m_stream ? m_stream->pendingBytes() : 0;
}

void H2oExchange::drained()
{
    const std::function<void()> callback = m_onDrained;
    if (callback)
        callback();
}

void H2oExchange::closed()
{
    m_isClosed = true;
    if (m_stream) {
        m_stream->setExchange(nullptr);
        std::exchange(m_stream, nullptr)->abort();
    }
    const std::function<void()> callback = std::exchange(m_onClosed, nullptr);
    if (callback)
        callback();
}

void H2oExchange::streamGone(bool isWhole)
{
    m_stream = nullptr;
    if (isWhole || m_isClosed)
        return;
    closed();
}

} // namespace currantwalk
