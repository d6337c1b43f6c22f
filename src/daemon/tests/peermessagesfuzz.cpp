#include <cstddef>
#include <cstdint>
#include <string>

#include "base/json.h"
#include "daemon/loadexchange.h"
#include "daemon/poisonmessages.h"
#include "daemon/topicmessages.h"

// Reads arbitrary JSON as each message and record that nodes exchange: it must yield an error or a
// message that can be written and read again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace currantwalk;
    const std::string text(reinterpret_cast<const char *>(data), size);
    static_cast<void>(decodeNodeRecord(text));
    static_cast<void>(decodePoisonRecord(text, 1));
    const absl::StatusOr<Json::Value> json = parseJson(text);
    if (!json.ok())
        return 0;
    const absl::StatusOr<KeyedTail> tail = decodeTopicTail(*json);
    if (tail.ok() && !decodeTopicTail(encodeTopicTail(*tail)).ok())
        __builtin_trap();
    const absl::StatusOr<TopicQuestion> question = decodeTopicQuestion(*json);
    if (question.ok() && !decodeTopicQuestion(encodeTopicQuestion(*question)).ok())
        __builtin_trap();
    const absl::StatusOr<InFlightLoads> loads = decodeLoads(*json);
    if (loads.ok() && !decodeLoads(encodeLoads(*loads)).ok())
        __builtin_trap();
    static_cast<void>(decodeLeaving(*json));
    static_cast<void>(decodeCatalogNote(*json));
    static_cast<void>(decodePoisonKnowledge(*json));
    return 0;
}
