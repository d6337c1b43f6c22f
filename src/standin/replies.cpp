#include "standin/replies.h"

#include "base/json.h"

namespace currantwalk::standin {

void replyJson(HttpExchange &exchange, const Json::Value &json)
{
    respond(exchange, 200, "application/json", writeJson(json));
}

void replyError(HttpExchange &exchange, const absl::Status &status)
{
    const ErrorCode code = errorCode(status);
    Json::Value json(Json::objectValue);
    json["error"]["code"] = std::string(errorName(code));
    json["error"]["message"] = std::string(status.message());
    respond(exchange, httpStatus(code), "application/json", writeJson(json));
}

static std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        const std::string_view part = text.substr(0, end);
        if (!part.empty())
            parts.emplace_back(part);
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return parts;
}

RequestPath RequestPath::parse(std::string_view path)
{
    RequestPath result;
    const std::size_t mark = path.find('?');
    if (mark != std::string_view::npos)
        result.query = std::string(path.substr(mark + 1));
    result.parts = split(path.substr(0, mark), '/');
    return result;
}

std::uint64_t RequestPath::number(std::string_view name, std::uint64_t fallback) const
{
    for (const std::string &pair : split(query, '&')) {
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos || pair.substr(0, equals) != name)
            continue;
        return parseUnsigned(std::string_view(pair).substr(equals + 1)).value_or(fallback);
    }
    return fallback;
}

} // namespace currantwalk::standin
