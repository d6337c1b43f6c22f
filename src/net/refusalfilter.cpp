#include "net/refusalfilter.h"

#include "net/messagehead.h"

namespace currantwalk {

static constexpr std::string_view ContentType = "application/json";

namespace {

struct RefusalStream : h2o_ostream_t
{
    h2o_iovec_t body;
};

} // namespace

static absl::Status refusalOf(int httpStatus)
{
    if (httpStatus == 413)
        return makeError(ErrorCode::RequestTooLarge, "the request's body is too large");
    return makeError(ErrorCode::InvalidRequest, "the request is malformed");
}

static void sendRefusal(h2o_ostream_t *stream, h2o_req_t *request, h2o_iovec_t *, std::size_t,
                        h2o_send_state_t)
{
    h2o_ostream_send_next(stream, request, &static_cast<RefusalStream *>(stream)->body, 1,
                          H2O_SEND_STATE_FINAL);
}

static void setupRefusal(h2o_filter_t *, h2o_req_t *request, h2o_ostream_t **slot)
{
    const std::string body = refusalBody(refusalOf(request->res.status));
    auto *stream = reinterpret_cast<RefusalStream *>(
            h2o_add_ostream(request, sizeof(RefusalStream), slot));
    stream->do_send = &sendRefusal;
    stream->body = h2o_strdup(&request->pool, body.data(), body.size());
    request->res.content_length = body.size();
    h2o_set_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE,
                   ContentType.data(), ContentType.size(), 1);
    h2o_setup_next_ostream(request, &stream->next);
}

void registerRefusalFilter(h2o_pathconf_t *path)
{
    h2o_create_filter(path, sizeof(h2o_filter_t))->on_setup_ostream = &setupRefusal;
}

} // namespace currantwalk
