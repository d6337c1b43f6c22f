#include "bench/forwarder.h"

#include <string>
#include <unordered_map>

#include "net/eventloop.h"
#include "net/sse.h"

namespace currantwalk {

static constexpr std::size_t MaxPendingBytes = std::size_t{64} * 1024; ///< For each reader.

namespace {

/// One stream from the source to its reader.
class ForwardedStream
{
public:
    ForwardedStream(std::shared_ptr<HttpExchange> exchange, std::function<void()> onEnd)
        : m_exchange(std::move(exchange)), m_onEnd(std::move(onEnd))
    {
    }

    void start(HttpClient &client, const HttpCallOptions &options)
    {
        m_exchange->onDrained([this] { m_call->resume(); });
        m_exchange->onClosed([this] { m_onEnd(); });
        m_call = client.send(options, {"GET", m_exchange->request().path, {}, {}},
                             {[this](const HttpResponseHead &head) {
                                  m_exchange->start({head.status, head.headers});
                              },
                              [this](std::string_view part) { forward(part); },
                              [this](const absl::Status &status) { end(status); }});
    }

private:
    void forward(std::string_view part)
    {
        std::string text;
        const absl::Status status =
                m_parser.feed(part, [&text](const SseEvent &event) { text += writeSse(event); });
        if (!status.ok()) {
            end(status);
            return;
        }
        m_exchange->write(std::move(text));
        if (m_exchange->pendingBytes() > MaxPendingBytes)
            m_call->pause();
    }

    void end(const absl::Status &status)
    {
        if (status.ok())
            m_exchange->finish();
        else
            m_exchange->abort();
        m_onEnd();
    }

    std::shared_ptr<HttpExchange> m_exchange;
    std::function<void()> m_onEnd;
    std::unique_ptr<HttpCall> m_call;
    SseParser m_parser;
};

class EventForwarder final : public Forwarder
{
public:
    explicit EventForwarder(const Endpoint &source) { m_options.endpoint = source; }

    absl::Status open()
    {
        absl::StatusOr<std::unique_ptr<EventLoop>> loop = EventLoop::create({});
        if (!loop.ok())
            return loop.status();
        m_loop = std::move(*loop);
        HttpListenerOptions listener;
        listener.endpoint = {"127.0.0.1", 0};
        const absl::StatusOr<Endpoint> endpoint =
                m_loop->server().listen(listener, [this](std::shared_ptr<HttpExchange> exchange) {
                    accept(std::move(exchange));
                });
        if (!endpoint.ok())
            return endpoint.status();
        m_endpoint = *endpoint;
        return absl::OkStatus();
    }

    const Endpoint &endpoint() const override { return m_endpoint; }
    void runRound() override { m_loop->runOnce(Duration::zero()); }
    std::size_t connections() const override { return m_loop->server().connections(); }

private:
    void accept(std::shared_ptr<HttpExchange> exchange)
    {
        const std::size_t number = ++m_lastNumber;
        auto stream = std::make_unique<ForwardedStream>(std::move(exchange),
                                                        [this, number] { drop(number); });
        ForwardedStream &started = *stream;
        m_streams.emplace(number, std::move(stream));
        started.start(m_loop->client(), m_options);
    }

    // A stream ends within its own callbacks, so it is destroyed in the next round.
    void drop(std::size_t number)
    {
        m_loop->timers().scheduleAfter(Duration::zero(),
                                       [this, number] { m_streams.erase(number); });
    }

    HttpCallOptions m_options;
    std::unique_ptr<EventLoop> m_loop;
    Endpoint m_endpoint;
    std::unordered_map<std::size_t, std::unique_ptr<ForwardedStream>> m_streams;
    std::size_t m_lastNumber = 0;
};

} // namespace

absl::StatusOr<std::unique_ptr<Forwarder>> makeEventForwarder(const Endpoint &source)
{
    auto forwarder = std::make_unique<EventForwarder>(source);
    const absl::Status status = forwarder->open();
    if (!status.ok())
        return status;
    return forwarder;
}

} // namespace currantwalk
