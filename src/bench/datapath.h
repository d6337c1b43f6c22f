#ifndef CURRANTWALK_BENCH_DATAPATH_H
#define CURRANTWALK_BENCH_DATAPATH_H

#include "bench/command.h"

namespace currantwalk {

/// Measures the processor time, delay and memory of forwarding event streams.
extern const BenchCommand DatapathCommand;

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_DATAPATH_H
