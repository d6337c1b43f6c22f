#ifndef CURRANTWALK_BENCH_SLOPES_H
#define CURRANTWALK_BENCH_SLOPES_H

#include "bench/command.h"

namespace currantwalk {

/// Measures what a node keeps, sends and computes for each peer, target, limit and object, at
/// several sizes, so that a larger deployment can be worked out.
extern const BenchCommand SlopesCommand;

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_SLOPES_H
