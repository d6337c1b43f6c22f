#ifndef CURRANTWALK_NET_SSE_H
#define CURRANTWALK_NET_SSE_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace currantwalk {

/// One server-sent event.
struct SseEvent
{
    std::string type; ///< Empty where the event names none, which readers take for "message".
    std::string data; ///< Lines are separated by line feeds.
    std::string id;   ///< Empty where the event has none.

    friend bool operator==(const SseEvent &, const SseEvent &) = default;
};

/// Reads a stream of server-sent events that arrives in parts of any size.
class SseParser
{
public:
    /// Must not destroy the parser.
    using Handler = std::function<void(const SseEvent &)>;

    static constexpr std::size_t DefaultMaxEventBytes = std::size_t{1024} * 1024;

    explicit SseParser(std::size_t maxEventBytes = DefaultMaxEventBytes)
        : m_maxEventBytes(maxEventBytes)
    {
    }

    /// Calls \a handler for each event that \a bytes completes. Fails with TargetProtocolError
    /// where an event is too large or no UTF-8; the parser then refuses all that follows.
    absl::Status feed(std::string_view bytes, const Handler &handler);
    /// Returns whether the stream has ended within an event, which is then not whole.
    bool isWithinEvent() const;
    /// Returns the delay that the stream asked for between attempts to connect, if any.
    std::optional<std::chrono::milliseconds> retryDelay() const { return m_retryDelay; }

private:
    bool appendPartialLine(std::string_view bytes);
    absl::Status takeLine(std::string_view line, const Handler &handler);
    void takeField(std::string_view name, std::string_view value);
    void takeRetry(std::string_view value);
    void dispatch(const Handler &handler);
    std::size_t heldBytes() const;
    absl::Status fail(std::string_view detail);

    std::size_t m_maxEventBytes;
    std::string m_line; ///< The start of a line whose end has not arrived.
    SseEvent m_event;
    std::optional<std::chrono::milliseconds> m_retryDelay;
    absl::Status m_failure;
    bool m_hasData = false;
    bool m_isFirstLine = true;
    bool m_skipsLineFeed = false; ///< The last byte was a carriage return.
};

/// Writes \a event as SseParser reads it. Line ends within the type or id are left out.
std::string writeSse(const SseEvent &event);

} // namespace currantwalk

#endif // CURRANTWALK_NET_SSE_H
