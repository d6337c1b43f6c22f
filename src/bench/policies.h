#ifndef CURRANTWALK_BENCH_POLICIES_H
#define CURRANTWALK_BENCH_POLICIES_H

#include "bench/command.h"

namespace currantwalk {

/// Compares routing policies on a model of engines.
extern const BenchCommand PoliciesCommand;

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_POLICIES_H
