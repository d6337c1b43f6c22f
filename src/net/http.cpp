#include "net/http.h"

#include <algorithm>

#include <absl/strings/ascii.h>

namespace currantwalk {

static bool isFieldText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7F; });
}

static bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > 0x20 && c < 0x7F && c != ':';
    });
}

static bool isPath(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > 0x20 && c != 0x7F;
    });
}

std::string_view fieldValue(std::string_view text)
{
    static constexpr std::string_view Space = " \t";
    const std::size_t first = text.find_first_not_of(Space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Space) - first + 1);
}

bool hasBodyByStatus(int status)
{
    constexpr int LastInterim = 199;
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    return status > LastInterim && status != NoContent && status != NotModified;
}

bool isSendable(const HttpRequest &request)
{
    return isToken(request.method) && isPath(request.path)
           && std::all_of(request.headers.begin(), request.headers.end(),
                          [](const HttpHeader &header) {
                              return isToken(header.name) && isFieldText(header.value);
                          });
}

// h2o_uri_escape() keeps '&', '+' and '=', which delimit the values of a query.
std::string percentEncoded(std::string_view text)
{
    static constexpr std::string_view Unreserved = "-._~";
    static constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (absl::ascii_isalnum(byte) || Unreserved.find(character) != std::string_view::npos)
            encoded += character;
        else
            encoded.append({'%', Digits[byte >> 4U], Digits[byte & 0xFU]});
    }
    return encoded;
}

std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (header.name == name)
            return header.value;
    }
    return std::nullopt;
}

void respond(HttpExchange &exchange, int status, std::string_view contentType, std::string body)
{
    HttpResponseHead head;
    head.status = status;
    head.headers.push_back({"content-type", std::string(contentType)});
    head.headers.push_back({"content-length", std::to_string(body.size())});
    exchange.start(std::move(head));
    exchange.write(std::move(body));
    exchange.finish();
}

} // namespace currantwalk
