#include "net/receiveguard.h"

#include <algorithm>
#include <string>
#include <utility>

#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/messagehead.h"

namespace currantwalk {

// How often connections are looked at for limits of time.
static constexpr Duration SweepInterval = std::chrono::seconds(1);

ServerConnection::ServerConnection(ReceiveGuard &owner, const ReceiveTimes &listener,
                                   h2o_socket_t *opened)
    : Holder(owner.budget(), listener, owner.timers().now()), guard(owner), socket(opened)
{
}

ServerConnection::~ServerConnection()
{
    if (isGone)
        *isGone = true;
    if (!isWatchDue)
        return;
    for (std::vector<ServerConnection *> *due : {&guard.m_toWatch, &guard.m_beingWatched})
        std::replace(due->begin(), due->end(), this, static_cast<ServerConnection *>(nullptr));
}

ReceiveGuard::ReceiveGuard(TimerService &timers)
    : m_timers(timers), m_budget(std::make_shared<ReceiveBudget>())
{
}

ReceiveGuard::~ReceiveGuard()
{
    m_timers.cancel(m_sweepTimer);
}

void ReceiveGuard::setLimits(const HttpReceiveLimits &limits)
{
    m_budget->setOptions({limits.memory, limits.connections});
    m_onRefused = limits.onRefused;
}

bool ReceiveGuard::admitConnection()
{
    if (m_sweepTimer == NoTimer)
        m_sweepTimer = m_timers.scheduleAfter(SweepInterval, [this] { sweep(); });
    while (m_budget->isFull()) {
        ReceiveBudget::Holder *const oldest = m_budget->oldestHolder();
        if (!oldest) {
            report(ReceiveLimit::Connections, 0);
            return false;
        }
        close(*static_cast<ServerConnection *>(oldest), ReceiveLimit::Connections);
    }
    return true;
}

void ReceiveGuard::watchLater(ServerConnection &connection)
{
    if (std::exchange(connection.isWatchDue, true))
        return;
    m_toWatch.push_back(&connection);
}

// The library's callback is kept and replaced where it is the one that reads requests; the stream
// of a request in progress has a callback of its own.
void ReceiveGuard::watch(ServerConnection &connection)
{
    h2o_socket_t *const socket = connection.socket;
    if (connection.stream || socket->_cb.read == &ReceiveGuard::onBytes
        || !h2o_socket_is_reading(socket))
        return;
    connection.libraryRead = std::exchange(socket->_cb.read, &ReceiveGuard::onBytes);
}

void ReceiveGuard::onBytes(h2o_socket_t *socket, const char *error)
{
    ServerConnection &connection = *ServerConnection::of(socket);
    bool isGone = false;
    connection.isGone = &isGone;
    connection.libraryRead(socket, error);
    if (isGone)
        return;
    connection.isGone = nullptr;
    connection.guard.onReceived(connection);
}

void ReceiveGuard::onRoundEnd()
{
    m_beingWatched.swap(m_toWatch);
    // One that is looked at may have others closed.
    for (std::size_t i = 0; i < m_beingWatched.size(); ++i) {
        ServerConnection *const connection = m_beingWatched[i];
        if (!connection)
            continue;
        connection->isWatchDue = false;
        onReceived(*connection);
    }
    m_beingWatched.clear();
}

// Where the library is writing, it begins to read again in a callback that is not seen here.
void ReceiveGuard::onReceived(ServerConnection &connection)
{
    watch(connection);
    const bool isReading = h2o_socket_is_reading(connection.socket) != 0;
    if (!connection.stream && (!isReading || h2o_socket_is_writing(connection.socket)))
        watchLater(connection);
    const ReceivePhase earlier = connection.phase();
    const ReceivePhase phase = findPhase(connection);
    connection.update(phase, bufferBytes(connection), m_timers.now());
    if (phase == ReceivePhase::Body && earlier != ReceivePhase::Body
        && !hasRoomForDeclared(connection)) {
        close(connection, ReceiveLimit::Memory);
        return;
    }
    makeRoom();
}

std::size_t ReceiveGuard::bufferBytes(const ServerConnection &connection)
{
    const h2o_buffer_t *const input = connection.socket->input;
    const std::size_t capacity = input->bytes ? input->capacity : 0;
    return capacity - std::min(capacity, connection.releasedBytes);
}

ReceivePhase ReceiveGuard::findPhase(ServerConnection &connection) const
{
    h2o_socket_t *const socket = connection.socket;
    if (connection.stream || !h2o_socket_is_reading(socket)) {
        connection.searchedBytes = 0;
        return ReceivePhase::InProgress;
    }
    connection.releasedBytes = 0;
    if (socket->input->size == 0) {
        connection.searchedBytes = 0;
        return ReceivePhase::Idle;
    }
    if (connection.phase() == ReceivePhase::Body)
        return ReceivePhase::Body;
    const std::string_view input(socket->input->bytes, socket->input->size);
    if (findHeadEnd(input, std::exchange(connection.searchedBytes, input.size())))
        return ReceivePhase::Body;
    return ReceivePhase::Head;
}

bool ReceiveGuard::hasRoomForDeclared(const ServerConnection &connection) const
{
    const std::string_view input(connection.socket->input->bytes, connection.socket->input->size);
    const std::size_t end = findHeadEnd(input, 0).value_or(input.size());
    const std::size_t bytes = declaredBodyBytes(input.substr(0, end));
    return m_budget->hasRoomFor(bytes, BodyCopies + 1);
}

bool ReceiveGuard::admitBody(ServerConnection &connection, std::size_t bytes)
{
    const bool hasRoom = m_budget->hasRoomFor(bytes, BodyCopies);
    connection.update(ReceivePhase::InProgress, bufferBytes(connection), m_timers.now());
    if (!hasRoom)
        report(ReceiveLimit::Memory, BodyCopies * bytes);
    return hasRoom;
}

bool ReceiveGuard::admitUnread(ServerConnection &connection, std::size_t bytes)
{
    connection.update(ReceivePhase::InProgress, bufferBytes(connection), m_timers.now());
    const bool hasRoom = m_budget->hasRoomFor(bytes, 1);
    if (hasRoom)
        connection.update(ReceivePhase::InProgress, bufferBytes(connection) + bytes,
                          m_timers.now());
    else
        report(ReceiveLimit::Memory, bytes);
    return hasRoom;
}

// The library keeps the body in its buffer until the answer has been sent, but does not read it.
void ReceiveGuard::releaseBody(ServerConnection &connection, const h2o_iovec_t &body)
{
    if (body.len <= ReceiveBudget::SmallBodyBytes)
        return;
    const auto pageBytes = static_cast<std::uintptr_t>(::sysconf(_SC_PAGESIZE));
    const h2o_buffer_t &input = *connection.socket->input;
    const char *bodyEnd = body.base + body.len;
    // Behind the body is free space, unless a further request has come.
    if (bodyEnd == input.bytes + input.size)
        bodyEnd = input._buf + input.capacity;
    const auto begin = reinterpret_cast<std::uintptr_t>(body.base);
    const std::uintptr_t firstPage = (begin + pageBytes - 1) / pageBytes * pageBytes;
    const std::uintptr_t endPage =
            reinterpret_cast<std::uintptr_t>(bodyEnd) / pageBytes * pageBytes;
    if (endPage <= firstPage)
        return;
    if (::madvise(reinterpret_cast<void *>(firstPage), endPage - firstPage, MADV_DONTNEED) == 0)
        connection.releasedBytes = endPage - firstPage;
}

void ReceiveGuard::makeRoom()
{
    while (m_budget->isExceeded()) {
        ReceiveBudget::Holder *const largest = m_budget->largestHolder(m_timers.now());
        if (!largest)
            return;
        close(*static_cast<ServerConnection *>(largest), ReceiveLimit::Memory);
    }
}

void ReceiveGuard::sweep()
{
    std::vector<std::pair<ServerConnection *, ReceiveLimit>> late;
    const TimePoint now = m_timers.now();
    for (ReceiveBudget::Holder *holder : m_budget->holders()) {
        if (const std::optional<ReceiveLimit> limit = ReceiveBudget::passedLimit(*holder, now))
            late.emplace_back(static_cast<ServerConnection *>(holder), *limit);
    }
    for (const auto &[connection, limit] : late)
        close(*connection, limit);
    m_sweepTimer = m_budget->holders().empty()
                           ? NoTimer
                           : m_timers.scheduleAfter(SweepInterval, [this] { sweep(); });
}

static std::string rawRefusal(ReceiveLimit limit)
{
    const bool isLate = limit == ReceiveLimit::HeadTime || limit == ReceiveLimit::BodyTime;
    const std::string body = refusalBody(makeError(
            isLate ? ErrorCode::DeadlineExceeded : ErrorCode::Overloaded,
            isLate ? "the request took too long to arrive" : "no memory for the request"));
    std::string text = isLate ? "HTTP/1.1 408 Request Timeout\r\n"
                              : "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n";
    text += "content-type: application/json\r\nconnection: close\r\ncontent-length: ";
    return text + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A request of which a part has come gets an answer, which is written past the library: no earlier
// answer is in its hands while it reads.
void ReceiveGuard::close(ServerConnection &connection, ReceiveLimit limit)
{
    h2o_socket_t *const socket = connection.socket;
    watch(connection);
    if (connection.stream || !h2o_socket_is_reading(socket)) {
        connection.update(ReceivePhase::InProgress, connection.bytes(), m_timers.now());
        return;
    }
    report(limit, connection.bytes());
    if (connection.phase() != ReceivePhase::Idle && !socket->ssl
        && !h2o_socket_is_writing(socket)) {
        const std::string refusal = rawRefusal(limit);
        // Where it can't be written the caller sees the connection close.
        (void)::send(h2o_socket_get_fd(socket), refusal.data(), refusal.size(),
                     MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    connection.libraryRead(socket, h2o_socket_error_closed);
}

void ReceiveGuard::report(ReceiveLimit limit, std::size_t bytes) const
{
    if (m_onRefused)
        m_onRefused({receiveLimitName(limit), bytes, m_budget->used(), m_budget->holders().size()});
}

} // namespace currantwalk
