#include "bench/streamrig.h"

#include <algorithm>
#include <cassert>
#include <ctime>
#include <string>

#include <malloc.h>

#include "net/sse.h"

namespace currantwalk {

static constexpr std::size_t SingleEvents = 2000;
static constexpr std::size_t MaxSteps = 1000000;

/// Reads one stream.
struct StreamRig::Reader
{
    std::unique_ptr<HttpCall> call;
    SseParser parser;
};

// The thread's own time, so that other processes on the machine do not count.
static double processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

static double heapInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

static DelayFigures summarise(std::vector<double> delays)
{
    if (delays.empty())
        return {};
    std::sort(delays.begin(), delays.end());
    return {delays[delays.size() / 2], delays[delays.size() * 99 / 100]};
}

absl::StatusOr<std::unique_ptr<StreamRig>> StreamRig::create(std::size_t streams,
                                                             std::size_t bursts)
{
    std::unique_ptr<StreamRig> rig(new StreamRig(streams, bursts));
    const absl::Status status = rig->open();
    if (!status.ok())
        return status;
    return rig;
}

StreamRig::StreamRig(std::size_t streams, std::size_t bursts) : m_streams(streams), m_bursts(bursts)
{
}

StreamRig::~StreamRig() = default;

absl::Status StreamRig::open()
{
    absl::StatusOr<std::unique_ptr<EventLoop>> sourceLoop = EventLoop::create({});
    if (!sourceLoop.ok())
        return sourceLoop.status();
    m_sourceLoop = std::move(*sourceLoop);
    HttpListenerOptions listener;
    listener.endpoint = {"127.0.0.1", 0};
    listener.maxConnections = 2 * m_streams;
    const absl::StatusOr<Endpoint> endpoint = m_sourceLoop->server().listen(
            listener, [this](const std::shared_ptr<HttpExchange> &exchange) {
                exchange->start({200, {{"content-type", "text/event-stream"}}});
                sendEvent(*exchange);
                m_exchanges.push_back(exchange);
            });
    if (!endpoint.ok())
        return endpoint.status();
    m_source = *endpoint;
    return absl::OkStatus();
}

void StreamRig::sendEvent(HttpExchange &exchange)
{
    exchange.write(
            "id: 0000000000000000-42\n"
            "data: {\"object\":\"text_completion\",\"choices\":[{\"text\":\" token\"}]}\n\n");
}

void StreamRig::step()
{
    m_sourceLoop->runOnce(Duration::zero());
    if (m_forwarder) {
        const double heapBefore = heapInUse();
        const double before = processorTime();
        m_forwarder->runRound();
        m_processorTime += processorTime() - before;
        m_heapBytes += heapInUse() - heapBefore;
    }
    m_readerLoop->runOnce(Duration::zero());
}

template<typename Predicate>
absl::Status StreamRig::stepUntil(Predicate predicate)
{
    for (std::size_t i = 0; i < MaxSteps; ++i) {
        if (predicate())
            return absl::OkStatus();
        step();
    }
    return makeError(ErrorCode::Internal, "an event or the end of a stream did not arrive");
}

absl::StatusOr<StreamFigures> StreamRig::run(Forwarder *forwarder)
{
    absl::StatusOr<std::unique_ptr<EventLoop>> readerLoop = EventLoop::create({});
    if (!readerLoop.ok())
        return readerLoop.status();
    m_readerLoop = std::move(*readerLoop);
    m_forwarder = forwarder;
    m_received = 0;
    m_ended = 0;
    StreamFigures figures;
    for (const auto phase :
         {&StreamRig::openStreams, &StreamRig::sendSingles, &StreamRig::sendBursts}) {
        const absl::Status status = (this->*phase)(figures);
        if (!status.ok())
            return status;
    }
    const absl::Status status = closeStreams();
    if (!status.ok())
        return status;
    return figures;
}

absl::Status StreamRig::openStreams(StreamFigures &figures)
{
    std::vector<double> delays;
    m_delays = &delays;
    m_heapBytes = 0;
    HttpCallOptions options;
    options.endpoint = m_forwarder ? m_forwarder->endpoint() : m_source;
    for (std::size_t i = 0; i < m_streams; ++i) {
        auto reader = std::make_unique<Reader>();
        Reader *raw = reader.get();
        HttpCallHooks hooks;
        hooks.onBody = [this, raw](std::string_view part) {
            const absl::Status status = raw->parser.feed(part, [this](const SseEvent &) {
                ++m_received;
                const Duration delay = m_readerLoop->timers().now() - m_sentAt;
                m_delays->push_back(static_cast<double>(delay.count()));
            });
            assert(status.ok() && "the source's events are sound");
        };
        hooks.onEnd = [this](const absl::Status &) { ++m_ended; };
        m_sentAt = m_readerLoop->timers().now();
        reader->call = m_readerLoop->client().send(options, {"GET", "/", {}, {}}, std::move(hooks));
        m_readers.push_back(std::move(reader));
        const absl::Status status = stepUntil([this, i] { return m_received == i + 1; });
        if (!status.ok())
            return status;
    }
    figures.heapPerStream = m_heapBytes / static_cast<double>(m_streams);
    figures.firstEvent = summarise(std::move(delays));
    return absl::OkStatus();
}

absl::Status StreamRig::sendSingles(StreamFigures &figures)
{
    std::vector<double> delays;
    m_delays = &delays;
    for (std::size_t i = 0; i < SingleEvents; ++i) {
        const std::uint64_t expected = m_received + 1;
        m_sentAt = m_readerLoop->timers().now();
        sendEvent(*m_exchanges[i % m_exchanges.size()]);
        const absl::Status status = stepUntil([&] { return m_received == expected; });
        if (!status.ok())
            return status;
    }
    figures.singleEvent = summarise(std::move(delays));
    return absl::OkStatus();
}

absl::Status StreamRig::sendBursts(StreamFigures &figures)
{
    std::vector<double> delays;
    m_delays = &delays;
    m_processorTime = 0;
    const std::uint64_t before = m_received;
    for (std::size_t i = 0; i < m_bursts; ++i) {
        const std::uint64_t expected = m_received + m_streams;
        m_sentAt = m_readerLoop->timers().now();
        for (const std::shared_ptr<HttpExchange> &exchange : m_exchanges)
            sendEvent(*exchange);
        const absl::Status status = stepUntil([&] { return m_received == expected; });
        if (!status.ok())
            return status;
    }
    figures.events = m_received - before;
    figures.processorTimePerEvent = m_processorTime / static_cast<double>(figures.events);
    figures.burstEvent = summarise(std::move(delays));
    return absl::OkStatus();
}

absl::Status StreamRig::closeStreams()
{
    for (const std::shared_ptr<HttpExchange> &exchange : m_exchanges)
        exchange->finish();
    absl::Status status = stepUntil([this] { return m_ended == m_streams; });
    m_exchanges.clear();
    m_readers.clear();
    // The connections of this run are gone before the next one begins.
    m_readerLoop = nullptr;
    return status;
}

} // namespace currantwalk
