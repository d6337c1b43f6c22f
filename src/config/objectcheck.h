#ifndef CURRANTWALK_CONFIG_OBJECTCHECK_H
#define CURRANTWALK_CONFIG_OBJECTCHECK_H

#include <vector>

#include "config/configfault.h"
#include "config/objects.h"

namespace currantwalk {

/// Longest retention of an idempotency key. It is half the record lifetime of the log, so that a
/// claim's record outlives its key.
constexpr Duration MaxKeyWindow = std::chrono::hours(1);

/// Validates a set as a whole and returns all faults: references, cycles, duplicates and values.
std::vector<ConfigFault> checkObjects(const ObjectSet &objects);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_OBJECTCHECK_H
