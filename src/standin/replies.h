#ifndef CURRANTWALK_STANDIN_REPLIES_H
#define CURRANTWALK_STANDIN_REPLIES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "base/parseunsigned.h"
#include "net/http.h"

namespace currantwalk::standin {

/// Answers with 200 and a JSON body.
void replyJson(HttpExchange &exchange, const Json::Value &json);
/// Answers with the error's HTTP status and {"error": {"code": …, "message": …}}.
void replyError(HttpExchange &exchange, const absl::Status &status);

/// A request's path in parts, and its query.
struct RequestPath
{
    std::vector<std::string> parts;
    std::string query;

    static RequestPath parse(std::string_view path);
    /// Returns the whole number that the query gives for \a name, or \a fallback.
    std::uint64_t number(std::string_view name, std::uint64_t fallback) const;
};

} // namespace currantwalk::standin

#endif // CURRANTWALK_STANDIN_REPLIES_H
