#include "base/ids.h"

#include <xxhash.h>

namespace currantwalk {

std::uint64_t stableHash(const std::string &text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace currantwalk
