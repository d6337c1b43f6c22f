#include "net/messagehead.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

#include <absl/strings/ascii.h>

#include "base/json.h"
#include "base/outcome.h"

namespace currantwalk {

// Longer numbers don't fit the library's type.
static constexpr std::size_t MaxLengthDigits = 18;

namespace {

/// What a head says of its message, as far as it has been received.
struct HeadSummary
{
    std::size_t bytes = 0;
    std::optional<std::string_view> startLine; ///< Nothing if it is not whole.
    int lengthFields = 0;
    bool isComplete = false;
    bool hasFoldedLine = false;
    bool hasBadLength = false;
    bool hasBadField = false;
};

} // namespace

// Returns the next line without its end, or nothing where the end has not arrived.
static std::optional<std::string_view> takeLine(std::string_view &text)
{
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos)
        return std::nullopt;
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    return line;
}

// Like the library, keeps white space after the value.
static std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (line.size() <= name.size() || line[name.size()] != ':')
        return std::nullopt;
    const bool isSame =
            std::equal(name.begin(), name.end(), line.begin(), [](char expected, unsigned char c) {
                return expected == static_cast<char>(std::tolower(c));
            });
    if (!isSame)
        return std::nullopt;
    std::string_view value = line.substr(name.size() + 1);
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
        value.remove_prefix(1);
    return value;
}

static bool isLength(std::string_view value)
{
    return !value.empty() && value.size() <= MaxLengthDigits
           && std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
}

static bool isText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7F; });
}

static bool isToken(std::string_view text)
{
    static constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c))
               || Marks.find(c) != std::string_view::npos;
    });
}

static bool isField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    return colon != std::string_view::npos && isToken(line.substr(0, colon))
           && isText(line.substr(colon + 1));
}

static void takeField(std::string_view line, HeadSummary &summary)
{
    summary.hasBadField = summary.hasBadField || !isField(line);
    if (line.front() == ' ' || line.front() == '\t')
        summary.hasFoldedLine = true;
    if (const auto length = fieldValue(line, "content-length")) {
        ++summary.lengthFields;
        summary.hasBadLength = summary.hasBadLength || !isLength(*length);
    }
    if (const auto coding = fieldValue(line, "transfer-encoding")) {
        ++summary.lengthFields;
        summary.hasBadLength = summary.hasBadLength || *coding != "chunked";
    }
}

static HeadSummary summarise(std::string_view input)
{
    HeadSummary summary;
    std::string_view rest = input;
    summary.startLine = takeLine(rest);
    std::optional<std::string_view> line = takeLine(rest);
    for (; line && !line->empty(); line = takeLine(rest))
        takeField(*line, summary);
    summary.isComplete = line.has_value();
    summary.bytes = summary.isComplete ? input.size() - rest.size() : input.size();
    return summary;
}

// Two readers of one connection that take different fields for the body's length disagree where the
// next request begins. The library takes the first of them, a balancer may take another.
absl::Status checkRequestHead(std::string_view input, std::size_t maxHeadBytes)
{
    // The library skips empty lines before a request.
    while (!input.empty() && (input.front() == '\r' || input.front() == '\n'))
        input.remove_prefix(1);
    const HeadSummary summary = summarise(input);
    if (summary.bytes > maxHeadBytes)
        return makeError(ErrorCode::RequestTooLarge, "the request's head is too large");
    if (summary.hasFoldedLine)
        return makeError(ErrorCode::InvalidRequest, "a header field spans several lines");
    if (summary.lengthFields > 1)
        return makeError(ErrorCode::InvalidRequest, "the body's length is given more than once");
    return absl::OkStatus();
}

// Returns the status that the line tells, or nothing if it is no status line. Some servers leave
// out the space before an empty reason.
static std::optional<int> statusOf(std::string_view line)
{
    static constexpr std::string_view Version = "HTTP/1.";
    constexpr std::size_t CodeAt = Version.size() + 2;
    constexpr std::size_t CodeDigits = 3;
    const std::string_view code = line.substr(std::min(CodeAt, line.size()), CodeDigits);
    const std::string_view reason = line.substr(std::min(CodeAt + CodeDigits, line.size()));
    const bool isStatusLine = line.substr(0, Version.size()) == Version
                              && line.size() >= CodeAt + CodeDigits
                              && absl::ascii_isdigit(static_cast<unsigned char>(line[CodeAt - 2]))
                              && line[CodeAt - 1] == ' ' && isLength(code)
                              && (reason.empty() || reason.front() == ' ') && isText(reason);
    if (!isStatusLine)
        return std::nullopt;
    int status = 0;
    std::from_chars(code.data(), code.data() + code.size(), status);
    return status;
}

// The program never asks for another protocol.
static bool isInterimStatus(int status)
{
    constexpr int SwitchingProtocols = 101;
    return status >= 100 && status < 200 && status != SwitchingProtocols;
}

static bool isFinalStatus(int status)
{
    return status >= 200 && status < 600;
}

static absl::Status malformedHead(std::string_view reason)
{
    return makeError(ErrorCode::TargetProtocolError,
                     "the answer's head is malformed: " + std::string(reason));
}

// The library ends the program by an assertion when it finds a malformed length, and passes on
// statuses that no answer has.
static absl::Status checkHead(const HeadSummary &summary, std::size_t maxHeadBytes)
{
    if (summary.bytes > maxHeadBytes)
        return makeError(ErrorCode::TargetProtocolError, "the answer's head is too large");
    if (!summary.startLine)
        return absl::OkStatus();
    const std::optional<int> status = statusOf(*summary.startLine);
    if (!status)
        return malformedHead("no status line");
    if (!isInterimStatus(*status) && !isFinalStatus(*status))
        return malformedHead("status " + std::to_string(*status));
    if (summary.hasFoldedLine)
        return malformedHead("a field spans several lines");
    if (summary.hasBadField)
        return malformedHead("a field's name or value");
    if (summary.hasBadLength || summary.lengthFields > 1)
        return malformedHead("the length of the body");
    return absl::OkStatus();
}

absl::Status checkResponseHead(std::string_view input, std::size_t maxHeadBytes)
{
    for (;;) {
        const HeadSummary summary = summarise(input);
        const absl::Status status = checkHead(summary, maxHeadBytes);
        if (!status.ok() || !summary.isComplete || !isInterimStatus(*statusOf(*summary.startLine)))
            return status;
        input.remove_prefix(summary.bytes);
    }
}

std::optional<std::size_t> findHeadEnd(std::string_view input, std::size_t searched)
{
    // The end may begin with bytes that were searched before.
    constexpr std::size_t EndBytes = 3;
    const std::size_t from = searched < EndBytes ? 0 : searched - EndBytes;
    for (std::size_t at = input.find('\n', from); at != std::string_view::npos;
         at = input.find('\n', at + 1)) {
        const std::string_view rest = input.substr(at + 1);
        if (rest.substr(0, 1) == "\n")
            return at + 2;
        if (rest.substr(0, 2) == "\r\n")
            return at + EndBytes;
    }
    return std::nullopt;
}

std::size_t declaredBodyBytes(std::string_view head)
{
    std::size_t bytes = 0;
    for (std::optional<std::string_view> line = takeLine(head); line; line = takeLine(head)) {
        const auto length = fieldValue(*line, "content-length");
        if (length && isLength(*length))
            std::from_chars(length->data(), length->data() + length->size(), bytes);
    }
    return bytes;
}

std::string refusalBody(const absl::Status &status)
{
    Json::Value body;
    body["error"]["code"] = std::string(errorName(errorCode(status)));
    body["error"]["message"] = std::string(status.message());
    body["error"]["outcome"] = std::string(outcomeName(Outcome::NotRun));
    return writeJson(body);
}

} // namespace currantwalk
