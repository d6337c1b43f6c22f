#include "base/unixtime.h"

#include <chrono>

namespace currantwalk {

std::uint64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace currantwalk
