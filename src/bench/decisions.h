#ifndef CURRANTWALK_BENCH_DECISIONS_H
#define CURRANTWALK_BENCH_DECISIONS_H

#include "bench/command.h"

namespace currantwalk {

/// Times the decisions of a routing policy by number of targets.
extern const BenchCommand DecisionsCommand;

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_DECISIONS_H
