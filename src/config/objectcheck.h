#ifndef CURRANTWALK_CONFIG_OBJECTCHECK_H
#define CURRANTWALK_CONFIG_OBJECTCHECK_H

#include <vector>

#include "config/configfault.h"
#include "config/objects.h"

namespace currantwalk {

/// Longest time that an idempotency key may be remembered for. Half of the time that the log keeps
/// records for, so that a claim's record is there for as long as its key counts.
constexpr Duration MaxKeyWindow = std::chrono::hours(1);

/// Returns all that is wrong with a set as a whole: references, cycles, duplicates and values.
std::vector<ConfigFault> checkObjects(const ObjectSet &objects);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_OBJECTCHECK_H
