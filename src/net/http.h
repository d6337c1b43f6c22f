#ifndef CURRANTWALK_NET_HTTP_H
#define CURRANTWALK_NET_HTTP_H

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/timerservice.h"

namespace currantwalk {

/// One header field; names are lower case.
struct HttpHeader
{
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first field named \a name, which is in lower case, or nothing.
std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name);

/// Returns \a text without the spaces and tabs around a field's value, which are no part of it.
std::string_view fieldValue(std::string_view text);

/// A request with its whole body; bodies are bounded by the listener's limit.
struct HttpRequest
{
    std::string method;
    std::string path; ///< Path and query, as sent.
    HttpHeaders headers;
    std::string body;
};

/// Returns whether method, path and fields can be written as the head of a message.
bool isSendable(const HttpRequest &request);

/// Returns \a text as part of a path or as a value of a query: all bytes but letters, digits and
/// "-._~" percent-encoded.
std::string percentEncoded(std::string_view text);

/// Status line and fields of an answer.
struct HttpResponseHead
{
    int status = 200;
    HttpHeaders headers;
    /// Of an answer that is received: its body ends with the connection alone.
    bool endsWithConnection = false;
};

/// Returns whether answers of \a status have a body, whatever their fields say.
bool hasBodyByStatus(int status);

/// One request received by a server and the answer to it. The answer is streamed: start(), any
/// number of write(), then finish() or abort().
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    /// Returns the address that the request came from, by number.
    virtual std::string remoteAddress() const = 0;

    virtual void start(HttpResponseHead head) = 0;
    /// Queues \a data. pendingBytes() tells how much is not yet handed to the connection.
    virtual void write(std::string data) = 0;
    virtual void finish() = 0;
    /// Closes the connection without ending the answer, so that the caller sees it is not whole.
    virtual void abort() = 0;
    /// Ends the connection after this answer, and says so in its head. To be called before start().
    virtual void closeAfterAnswer() = 0;

    /// Returns the bytes written but not yet accepted by the socket.
    virtual std::size_t pendingBytes() const = 0;
    /// Calls \a callback each time that all pending bytes have gone.
    virtual void onDrained(std::function<void()> callback) = 0;
    /// Calls \a callback once if the connection is closed before the answer has ended.
    virtual void onClosed(std::function<void()> callback) = 0;
    virtual bool isClosed() const = 0;
};

/// Sends a whole answer at once.
void respond(HttpExchange &exchange, int status, std::string_view contentType, std::string body);

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// TLS of one listener or client; paths of PEM files.
struct TlsFiles
{
    std::string certificate;
    std::string privateKey;
    std::string authorities; ///< Where set, the other side must show a certificate signed by these.
};

struct HttpListenerOptions
{
    Endpoint endpoint; ///< Port 0 asks the system for a free port.
    std::optional<TlsFiles> tls;
    std::size_t maxHeadBytes = std::size_t{64} * 1024;
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024;
    std::size_t maxConnections = 4096;
    /// For a request to arrive whole, and for a kept connection to wait for the next one.
    Duration requestTimeout = std::chrono::seconds(10);
};

/// Why a connection was closed, or a request refused, before anything handled it.
struct HttpReceiveRefusal
{
    std::string_view limit;
    std::size_t bytes = 0;       ///< That the connection held, or that the request asked for.
    std::size_t heldBytes = 0;   ///< By all connections.
    std::size_t connections = 0; ///< Open on all listeners.
};

/// Bounds for what all connections of a server send. Requests in progress are never cut off.
struct HttpReceiveLimits
{
    /// For requests that are received or in progress, with their copies.
    std::size_t memory = std::numeric_limits<std::size_t>::max();
    std::size_t connections = std::numeric_limits<std::size_t>::max();
    std::function<void(const HttpReceiveRefusal &)> onRefused = nullptr; ///< May be empty.
};

/// Bounds for one request of a listener's clients.
struct HttpRequestLimits
{
    std::size_t maxBodyBytes = 0;
    Duration headTime{0}; ///< For a head to arrive; 0: no limit of its own.
    Duration idleTime{0}; ///< Between two parts of a body or two requests; 0: likewise.
};

/// Answers that have been ended and not yet been written to their connections whole.
struct HttpUnsentAnswers
{
    std::size_t answers = 0;
    std::size_t bytes = 0;
};

/// A server on the loop; listeners are separate so that callers, peers and operators are told
/// apart by the address that they speak to.
class HttpServer
{
public:
    virtual ~HttpServer() = default;

    /// Starts a listener and returns its endpoint with the port that it got.
    virtual absl::StatusOr<Endpoint> listen(const HttpListenerOptions &options,
                                            HttpHandler handler) = 0;
    /// Stops accepting connections on all listeners; those that are open go on.
    virtual void stopListening() = 0;
    /// Returns the number of open connections.
    virtual std::size_t connections() const = 0;
    /// Returns what callers that read slowly still have to take. It is lost if the process ends.
    virtual HttpUnsentAnswers unsentAnswers() const = 0;
    /// Bounds what connections of all listeners send; without a call there is no bound.
    virtual void setReceiveLimits(const HttpReceiveLimits &) {}
    /// Changes the limits of \a listener.
    virtual void setRequestLimits(const Endpoint &listener, const HttpRequestLimits &)
    {
        (void)listener;
    }
    /// Returns the bytes that are counted for all connections.
    virtual std::size_t receivedBytes() const { return 0; }
};

/// How far a client exchange came; tells what is proven about the request.
enum class SendProgress {
    NothingSent, ///< No byte of the request was written: it has not run.
    Sent,        ///< Some of the request was written: it may have run.
};

/// One request sent by a client. Destroying it abandons the exchange and closes its connection.
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    virtual SendProgress progress() const = 0;
    /// Stops reading the answer until resume(); the other side then feels back-pressure.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

/// What a client exchange reports, in order: onHead, any number of onBody, then one onEnd. A
/// failure goes to onEnd at any point. No callback comes after the HttpCall is destroyed.
struct HttpCallHooks
{
    std::function<void(const HttpResponseHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    /// ok() for a whole answer, else ConnectFailed, ConnectionLost, DeadlineExceeded,
    /// TargetProtocolError, RequestTooLarge or Cancelled.
    std::function<void(const absl::Status &)> onEnd;
    /// Asked once, when the connection is open and nothing has been written; false ends the
    /// exchange with Cancelled. May be empty.
    std::function<bool()> mayWrite = nullptr;
};

struct HttpCallOptions
{
    Endpoint endpoint;
    bool useTls = false;
    bool isConnectionKept = true; ///< Whether the connection may serve another exchange afterwards.
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration headTimeout = std::chrono::seconds(30); ///< From the request to the answer's head.
    Duration idleTimeout = std::chrono::seconds(30); ///< Between two parts of the body.
};

/// A client on the loop that keeps connections alive and reuses one only after a whole answer.
class HttpClient
{
public:
    virtual ~HttpClient() = default;

    /// Starts an exchange; callbacks come from the loop, never from within send().
    virtual std::unique_ptr<HttpCall> send(const HttpCallOptions &options, HttpRequest request,
                                           HttpCallHooks hooks) = 0;
};

/// A whole answer, for exchanges whose body is small.
struct HttpResponse
{
    HttpResponseHead head;
    std::string body;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_HTTP_H
