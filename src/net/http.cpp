#include "net/http.h"

namespace currantwalk {

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
