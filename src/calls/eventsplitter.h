#ifndef CURRANTWALK_CALLS_EVENTSPLITTER_H
#define CURRANTWALK_CALLS_EVENTSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantwalk {

/// One complete server-sent event with its original bytes.
struct RawEvent
{
    std::string bytes;                   ///< Including the empty line that ends the event.
    std::optional<std::uint64_t> number; ///< The event id; unset if it is not a number.
};

/// Splits a stream of server-sent events into complete events without changing their bytes.
class EventSplitter
{
public:
    static constexpr std::size_t MaxEventBytes = std::size_t{1024} * 1024;

    /// Returns the events that \a bytes completes, in order; nothing if an incomplete event exceeds
    /// MaxEventBytes.
    std::optional<std::vector<RawEvent>> feed(std::string_view bytes);
    /// Returns whether an incomplete event is buffered.
    bool isWithinEvent() const { return !m_buffer.empty(); }
    std::size_t bufferedBytes() const { return m_buffer.size(); }
    void reset() { m_buffer.clear(); }

private:
    std::string m_buffer;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_EVENTSPLITTER_H
