#include <cstddef>
#include <cstdint>
#include <string>

#include "base/json.h"
#include "config/objectcodec.h"
#include "config/objectfiles.h"

// Parses arbitrary text as a set in TOML and in JSON: both must yield faults or a valid set.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const currantwalk::LoadedObjects loaded =
            currantwalk::loadObjects({currantwalk::ObjectFile{"fuzz.toml", text}});
    if (loaded.faults.empty()
        && !currantwalk::decodeValidObjects(currantwalk::encodeObjects(loaded.objects)).ok())
        __builtin_trap();
    const absl::StatusOr<Json::Value> value = currantwalk::parseJson(text);
    if (value.ok())
        static_cast<void>(currantwalk::decodeValidObjects(*value));
    return 0;
}
