#ifndef CURRANTWALK_BENCH_FORWARDER_H
#define CURRANTWALK_BENCH_FORWARDER_H

#include <memory>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/timerservice.h"

namespace currantwalk {

/// Something between a source of streams and their reader, on a loop of its own.
class Forwarder
{
public:
    virtual ~Forwarder() = default;

    /// Returns where it takes requests.
    virtual const Endpoint &endpoint() const = 0;
    /// Runs what is ready on its loop.
    virtual void runRound() = 0;
    /// Returns the number of connections from readers.
    virtual std::size_t connections() const = 0;
};

/// Forwards through src/net: reads each event and writes it anew, with back-pressure.
absl::StatusOr<std::unique_ptr<Forwarder>> makeEventForwarder(const Endpoint &source);

/// Copies bytes with the HTTP library alone; the baseline of the benchmark.
absl::StatusOr<std::unique_ptr<Forwarder>> makeBareForwarder(const Endpoint &source);

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_FORWARDER_H
