#ifndef CURRANTWALK_NET_H2OEXCHANGE_H
#define CURRANTWALK_NET_H2OEXCHANGE_H

#include <unordered_set>

#include "net/h2oapi.h"
#include "net/http.h"
#include "net/receiveguard.h"

namespace currantwalk {

class H2oExchange;
class ResponseStream;

/// The answers of a server's listeners that the library has not released yet.
class OpenAnswers
{
public:
    void add(ResponseStream &answer) { m_answers.insert(&answer); }
    void remove(ResponseStream &answer) { m_answers.erase(&answer); }
    HttpUnsentAnswers unsent() const;
    /// Disconnects the callers of all answers, so that none of these looks whole.
    void disconnect() const;

private:
    std::unordered_set<ResponseStream *> m_answers;
};

/// The library's side of one exchange: lives as long as the library's request does and owns the
/// bytes that the library is sending.
class ResponseStream
{
public:
    /// Takes charge of \a request and returns the exchange to hand to the listener's handler;
    /// without \a isBodyKept the exchange has no body.
    static std::shared_ptr<H2oExchange> attach(h2o_req_t *request, TimerService &timers,
                                               OpenAnswers &answers, bool isBodyKept);

    ResponseStream(h2o_req_t *request, TimerService &timers, OpenAnswers &answers);
    ~ResponseStream();
    ResponseStream(const ResponseStream &) = delete;
    ResponseStream &operator=(const ResponseStream &) = delete;

    void start(HttpResponseHead head);
    void write(std::string data);
    void finish();
    void abort();
    void closeAfterAnswer() { m_request->http1_is_persistent = 0; }
    /// Looks whether the peer has closed the connection; called when its socket is readable.
    void checkPeer();

    void setExchange(H2oExchange *exchange) { m_exchange = exchange; }
    bool isEnding() const { return m_state != State::Open; }
    /// Returns whether the answer has been ended and a part of it is not yet written.
    bool isUnsent() const { return m_state == State::Finishing || m_state == State::Sent; }
    /// Makes the connection fail, so that the answer can't look whole to the caller.
    void disconnect();
    std::size_t pendingBytes() const { return m_queuedBytes + m_inFlightBytes; }
    h2o_socket_t *socket() const;

private:
    enum class State {
        Open,      ///< start() and write() are accepted.
        Finishing, ///< finish() was called; queued bytes go first.
        Aborting,  ///< The connection is being closed.
        Sent,      ///< The last bytes were handed to the library.
    };

    /// What tells the caller where the body ends.
    enum class Framing {
        Length,     ///< A declared length, no body at all, or the frames of HTTP/2.
        Chunks,     ///< Chunks, written by this class.
        Connection, ///< The end of the connection, for callers that cannot read chunks.
    };

    struct Generator : h2o_generator_t
    {
        ResponseStream *stream;
    };

    static void onProceed(h2o_generator_t *generator, h2o_req_t *request);
    static void onStop(h2o_generator_t *generator, h2o_req_t *request);

    void addHeader(const HttpHeader &header);
    Framing framingOfBody() const;
    void queue(std::string data);
    bool hasBody() const;
    bool acceptsBody(std::size_t bytes) const;
    void proceed();
    void flush();
    void endInLibrary();
    void watchPeer();
    bool admitUnreadBytes() const;
    void discardUnreadBytes() const;
    void onPeerGone();
    void unwatchPeer();

    h2o_req_t *m_request;
    TimerService &m_timers;
    OpenAnswers &m_answers;
    H2oExchange *m_exchange = nullptr;
    Generator m_generator{};
    std::vector<std::string> m_queued;
    std::vector<std::string> m_inFlight;
    std::size_t m_queuedBytes = 0;
    std::size_t m_inFlightBytes = 0;
    std::size_t m_writtenBytes = 0;
    TimerId m_peerTimer = NoTimer;
    State m_state = State::Open;
    Framing m_framing = Framing::Length;
    bool m_isStarted = false;
    bool m_isSending = false;
    bool m_isHeadOnly = false;
    bool m_isWatching = false;
};

/// The exchange as its handler sees it; outlives the library's request where the handler holds it.
class H2oExchange final : public HttpExchange
{
public:
    H2oExchange(HttpRequest request, std::string remoteAddress, ResponseStream *stream,
                std::shared_ptr<ReceiveBudget> budget);
    ~H2oExchange() override;

    const HttpRequest &request() const override { return m_request; }
    std::string remoteAddress() const override { return m_remoteAddress; }
    void start(HttpResponseHead head) override;
    void write(std::string data) override;
    void finish() override;
    void abort() override;
    void closeAfterAnswer() override;
    std::size_t pendingBytes() const override;
    void onDrained(std::function<void()> callback) override { m_onDrained = std::move(callback); }
    void onClosed(std::function<void()> callback) override { m_onClosed = std::move(callback); }
    bool isClosed() const override { return m_isClosed; }

    void drained();
    /// The peer has gone: tells the handler once.
    void closed();
    /// The library's request has ended; \a isWhole tells whether the answer was handed over whole.
    void streamGone(bool isWhole);

private:
    HttpRequest m_request;
    const ReceiveBudget::Charge m_bodyCharge;
    std::string m_remoteAddress;
    ResponseStream *m_stream;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
    bool m_isClosed = false;
    bool m_isFinished = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_NET_H2OEXCHANGE_H
