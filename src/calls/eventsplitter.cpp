#include "calls/eventsplitter.h"

#include "base/parseunsigned.h"

namespace currantwalk {

static constexpr std::string_view IdField = "id:";

// Returns the length of the first event in \a text including its empty line; 0 if it is incomplete.
static std::size_t findEventEnd(std::string_view text)
{
    std::size_t line = 0;
    while (line < text.size()) {
        const std::size_t feed = text.find('\n', line);
        if (feed == std::string_view::npos)
            return 0;
        std::string_view content = text.substr(line, feed - line);
        if (!content.empty() && content.back() == '\r')
            content.remove_suffix(1);
        if (content.empty())
            return feed + 1;
        line = feed + 1;
    }
    return 0;
}

static std::optional<std::uint64_t> eventNumber(std::string_view event)
{
    for (std::size_t line = 0; line < event.size();) {
        const std::size_t feed = event.find('\n', line);
        std::string_view content = event.substr(line, feed - line);
        line = feed == std::string_view::npos ? event.size() : feed + 1;
        if (content.substr(0, IdField.size()) != IdField)
            continue;
        content.remove_prefix(IdField.size());
        while (!content.empty() && content.front() == ' ')
            content.remove_prefix(1);
        if (!content.empty() && content.back() == '\r')
            content.remove_suffix(1);
        if (const std::optional<std::uint64_t> number = parseUnsigned(content))
            return number;
    }
    return std::nullopt;
}

std::optional<std::vector<RawEvent>> EventSplitter::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<RawEvent> events;
    std::size_t consumed = 0;
    const std::string_view buffered = m_buffer;
    for (std::size_t size = findEventEnd(buffered); size != 0;
         size = findEventEnd(buffered.substr(consumed))) {
        const std::string_view event = buffered.substr(consumed, size);
        events.push_back({std::string(event), eventNumber(event)});
        consumed += size;
    }
    m_buffer.erase(0, consumed);
    if (m_buffer.size() > MaxEventBytes)
        return std::nullopt;
    return events;
}

} // namespace currantwalk
