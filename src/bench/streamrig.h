#ifndef CURRANTWALK_BENCH_STREAMRIG_H
#define CURRANTWALK_BENCH_STREAMRIG_H

#include <memory>
#include <vector>

#include "bench/forwarder.h"
#include "net/eventloop.h"

namespace currantwalk {

/// The median and the 99th percentile of some delays.
struct DelayFigures
{
    double median = 0; ///< us
    double p99 = 0;    ///< us
};

/// What one run over all streams gave.
struct StreamFigures
{
    std::uint64_t events = 0;
    double processorTimePerEvent = 0; ///< us, of the forwarder's loop alone.
    double heapPerStream = 0;         ///< Bytes, of the forwarder's loop alone.
    DelayFigures firstEvent;          ///< From the request, one stream at a time.
    DelayFigures singleEvent;         ///< One event at a time.
    DelayFigures burstEvent;          ///< An event on every stream at once.
};

/// A source and the readers of many event streams, each on a loop of its own, with a forwarder or
/// nothing between them. All loops run in turn on one thread.
class StreamRig
{
public:
    static absl::StatusOr<std::unique_ptr<StreamRig>> create(std::size_t streams,
                                                             std::size_t bursts);
    ~StreamRig();
    StreamRig(const StreamRig &) = delete;
    StreamRig &operator=(const StreamRig &) = delete;

    const Endpoint &source() const { return m_source; }
    /// Fails with Internal where an event is lost. \a forwarder may be null.
    absl::StatusOr<StreamFigures> run(Forwarder *forwarder);

private:
    struct Reader;

    StreamRig(std::size_t streams, std::size_t bursts);
    absl::Status open();
    absl::Status openStreams(StreamFigures &figures);
    absl::Status sendSingles(StreamFigures &figures);
    absl::Status sendBursts(StreamFigures &figures);
    absl::Status closeStreams();
    void step();
    template<typename Predicate>
    absl::Status stepUntil(Predicate predicate);
    void sendEvent(HttpExchange &exchange);

    std::size_t m_streams;
    std::size_t m_bursts;
    std::unique_ptr<EventLoop> m_sourceLoop;
    std::unique_ptr<EventLoop> m_readerLoop;
    Endpoint m_source;
    Forwarder *m_forwarder = nullptr;
    std::vector<std::shared_ptr<HttpExchange>> m_exchanges;
    std::vector<std::unique_ptr<Reader>> m_readers;
    std::vector<double> *m_delays = nullptr; ///< us; where arrivals are noted.
    TimePoint m_sentAt{};
    std::uint64_t m_received = 0;
    std::size_t m_ended = 0;
    double m_processorTime = 0; ///< us
    double m_heapBytes = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_STREAMRIG_H
