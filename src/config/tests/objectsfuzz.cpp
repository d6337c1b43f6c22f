#include <cstddef>
#include <cstdint>
#include <string>

#include "base/json.h"
#include "config/objectcodec.h"
#include "config/objectfiles.h"

// Reads any text as a set in TOML and as one in JSON: both must end in faults or a sound set.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const currantwalk::LoadedObjects loaded =
            currantwalk::loadObjects({currantwalk::ObjectFile{"fuzz.toml", text}});
    if (loaded.faults.empty()
        && !currantwalk::decodeSoundObjects(currantwalk::encodeObjects(loaded.objects)).ok())
        __builtin_trap();
    const absl::StatusOr<Json::Value> value = currantwalk::parseJson(text);
    if (value.ok())
        static_cast<void>(currantwalk::decodeSoundObjects(*value));
    return 0;
}
