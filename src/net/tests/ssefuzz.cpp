#include <cstdint>
#include <cstdlib>
#include <vector>

#include "net/sse.h"

using namespace currantwalk;

static constexpr std::size_t MaxEventBytes = 256;

static std::vector<SseEvent> readInParts(std::string_view stream, std::size_t part, bool &failed)
{
    std::vector<SseEvent> events;
    SseParser parser(MaxEventBytes);
    failed = false;
    for (std::size_t at = 0; at < stream.size() && !failed; at += part) {
        const absl::Status status =
                parser.feed(stream.substr(at, part),
                            [&events](const SseEvent &event) { events.push_back(event); });
        failed = !status.ok();
    }
    return events;
}

static bool roundTrips(const SseEvent &event)
{
    bool failed = false;
    const std::vector<SseEvent> events = readInParts(writeSse(event), SIZE_MAX / 2, failed);
    return failed || (events.size() == 1 && events.front() == event);
}

// The events may not depend on how the stream is split, and what was read can be written.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 1)
        return 0;
    const std::size_t part = 1 + data[0] % 16;
    const std::string_view stream(reinterpret_cast<const char *>(data + 1), size - 1);
    bool wholeFailed = false;
    bool partsFailed = false;
    const std::vector<SseEvent> whole = readInParts(stream, SIZE_MAX / 2, wholeFailed);
    const std::vector<SseEvent> parts = readInParts(stream, part, partsFailed);
    if (whole != parts || wholeFailed != partsFailed)
        std::abort();
    for (const SseEvent &event : whole) {
        if (!roundTrips(event))
            std::abort();
    }
    return 0;
}
