#include "net/sse.h"

#include <algorithm>
#include <charconv>
#include <cstring>

#include "base/json.h"

namespace currantwalk {

static constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

// A line ends with a line feed, a carriage return, or both.
static std::size_t findLineEnd(std::string_view bytes)
{
    const void *feed = std::memchr(bytes.data(), '\n', bytes.size());
    const std::size_t feedAt =
            feed ? static_cast<std::size_t>(static_cast<const char *>(feed) - bytes.data())
                 : bytes.size();
    const void *carriage = std::memchr(bytes.data(), '\r', feedAt);
    if (carriage)
        return static_cast<std::size_t>(static_cast<const char *>(carriage) - bytes.data());
    return feed ? feedAt : std::string_view::npos;
}

absl::Status SseParser::feed(std::string_view bytes, const Handler &handler)
{
    if (!m_failure.ok())
        return m_failure;
    while (!bytes.empty()) {
        if (std::exchange(m_skipsLineFeed, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const std::size_t end = findLineEnd(bytes);
        if (!appendPartialLine(bytes.substr(0, end)))
            return fail("an event is too large");
        if (end == std::string_view::npos)
            break;
        m_skipsLineFeed = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        const absl::Status status = takeLine(m_line, handler);
        m_line.clear();
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

bool SseParser::isWithinEvent() const
{
    return heldBytes() != 0 || m_hasData;
}

std::size_t SseParser::heldBytes() const
{
    return m_line.size() + m_event.data.size() + m_event.type.size() + m_event.id.size();
}

bool SseParser::appendPartialLine(std::string_view bytes)
{
    if (heldBytes() + bytes.size() > m_maxEventBytes)
        return false;
    m_line.append(bytes);
    return true;
}

absl::Status SseParser::takeLine(std::string_view line, const Handler &handler)
{
    if (std::exchange(m_isFirstLine, false) && line.substr(0, 3) == ByteOrderMark)
        line.remove_prefix(ByteOrderMark.size());
    if (line.empty()) {
        dispatch(handler);
        return absl::OkStatus();
    }
    if (!isValidUtf8(line))
        return fail("an event is no UTF-8");
    const std::size_t colon = line.find(':');
    if (colon == 0)
        return absl::OkStatus();
    if (colon == std::string_view::npos) {
        takeField(line, {});
        return absl::OkStatus();
    }
    std::string_view value = line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    takeField(line.substr(0, colon), value);
    return absl::OkStatus();
}

// Fields with other names are ignored, as the format asks.
void SseParser::takeField(std::string_view name, std::string_view value)
{
    if (name == "data") {
        if (m_hasData)
            m_event.data += '\n';
        m_event.data += value;
        m_hasData = true;
    } else if (name == "event") {
        m_event.type = value;
    } else if (name == "id") {
        if (value.find('\0') == std::string_view::npos)
            m_event.id = value;
    } else if (name == "retry") {
        takeRetry(value);
    }
}

void SseParser::takeRetry(std::string_view value)
{
    std::uint32_t milliseconds = 0;
    const char *last = value.data() + value.size();
    const std::from_chars_result result = std::from_chars(value.data(), last, milliseconds);
    if (!value.empty() && result.ec == std::errc() && result.ptr == last)
        m_retryDelay = std::chrono::milliseconds(milliseconds);
}

// An event without data is not delivered, as the format asks.
void SseParser::dispatch(const Handler &handler)
{
    if (m_hasData && handler)
        handler(m_event);
    m_event.type.clear();
    m_event.data.clear();
    m_event.id.clear();
    m_hasData = false;
}

absl::Status SseParser::fail(std::string_view detail)
{
    m_failure = makeError(ErrorCode::TargetProtocolError, detail);
    return m_failure;
}

static void writeField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).push_back('\n');
}

static std::string onOneLine(std::string text)
{
    text.erase(
            std::remove_if(text.begin(), text.end(), [](char c) { return c == '\r' || c == '\n'; }),
            text.end());
    return text;
}

static void writeData(std::string &text, std::string_view data)
{
    for (;;) {
        const std::size_t end = findLineEnd(data);
        writeField(text, "data", data.substr(0, end));
        if (end == std::string_view::npos)
            return;
        const bool isPair = data.substr(end, 2) == "\r\n";
        data.remove_prefix(end + (isPair ? 2 : 1));
    }
}

std::string writeSse(const SseEvent &event)
{
    std::string text;
    text.reserve(event.id.size() + event.type.size() + event.data.size() + 32);
    if (!event.id.empty())
        writeField(text, "id", onOneLine(event.id));
    if (!event.type.empty())
        writeField(text, "event", onOneLine(event.type));
    writeData(text, event.data);
    text += '\n';
    return text;
}

} // namespace currantwalk
