#include "daemon/platformlink.h"

#include <utility>

#include "base/json.h"

namespace currantwalk {

static constexpr Duration LogTimeout = std::chrono::seconds(2);
static constexpr Duration ListTimeout = std::chrono::seconds(3);

PlatformLink::PlatformLink(Endpoint platform, Fetcher &fetcher)
    : m_platform(std::move(platform)), m_fetcher(fetcher)
{
}

HttpCallOptions PlatformLink::options() const
{
    HttpCallOptions options;
    options.endpoint = m_platform;
    return options;
}

LogHooks PlatformLink::logHooks()
{
    LogHooks hooks;
    hooks.append = [this](const std::string &stream, const std::vector<std::string> &records,
                          LogHooks::AppendCallback callback) {
        append(stream, records, std::move(callback));
    };
    hooks.read = [this](const std::string &stream, LogOffset from, std::size_t limit,
                        LogHooks::ReadCallback callback) {
        read(stream, from, limit, std::move(callback));
    };
    return hooks;
}

// Only a failure before the first byte, or the log's own refusal, proves that nothing was appended.
static absl::StatusOr<std::vector<LogOffset>> appendOutcome(const FetchResult &result,
                                                            std::size_t records)
{
    if (!result.status.ok()) {
        const bool isProven = result.progress == SendProgress::NothingSent;
        return makeError(isProven ? ErrorCode::LogUnavailable : ErrorCode::LogAnswerLost,
                         std::string(result.status.message()));
    }
    const int status = result.response.head.status;
    if (status == 429 || status == 503)
        return makeError(ErrorCode::LogUnavailable, "the log refused the append");
    const absl::StatusOr<Json::Value> json = parseJson(result.response.body);
    if (status != 200 || !json.ok() || !json->isObject() || !(*json)["offsets"].isArray())
        return makeError(ErrorCode::LogAnswerLost, "the log's answer cannot be read");
    std::vector<LogOffset> offsets;
    for (const Json::Value &offset : (*json)["offsets"]) {
        if (!offset.isUInt64())
            return makeError(ErrorCode::LogAnswerLost, "the log's answer cannot be read");
        offsets.push_back(offset.asUInt64());
    }
    if (offsets.size() != records)
        return makeError(ErrorCode::LogAnswerLost, "the log's answer is not whole");
    return offsets;
}

void PlatformLink::append(const std::string &stream, const std::vector<std::string> &records,
                          LogHooks::AppendCallback callback)
{
    Json::Value json(Json::objectValue);
    json["records"] = Json::Value(Json::arrayValue);
    for (const std::string &record : records)
        json["records"].append(record);
    HttpRequest request;
    request.method = "POST";
    request.path = "/log/" + stream;
    request.body = writeJson(json);
    m_fetcher.fetch(options(), std::move(request), LogTimeout,
                    [callback = std::move(callback), count = records.size()](FetchResult result) {
                        callback(appendOutcome(result, count));
                    });
}

static absl::StatusOr<LogPage> parseLogPage(const std::string &body)
{
    const absl::StatusOr<Json::Value> json = parseJson(body);
    if (!json.ok())
        return json.status();
    const absl::StatusOr<std::uint64_t> oldest = unsignedMember(*json, "oldest");
    const absl::StatusOr<std::uint64_t> next = unsignedMember(*json, "next");
    const absl::StatusOr<std::uint64_t> end = unsignedMember(*json, "end");
    if (!oldest.ok() || !next.ok() || !end.ok() || !(*json)["records"].isArray())
        return makeError(ErrorCode::JsonInvalid, "the log's page lacks a member");
    LogPage page;
    page.oldest = *oldest;
    page.next = *next;
    page.end = *end;
    for (const Json::Value &row : (*json)["records"]) {
        const absl::StatusOr<std::uint64_t> offset = unsignedMember(row, "offset");
        const absl::StatusOr<std::string> data = stringMember(row, "data");
        if (!offset.ok() || !data.ok())
            return makeError(ErrorCode::JsonInvalid, "a record lacks a member");
        page.records.push_back({*offset, *data});
    }
    return page;
}

static absl::StatusOr<LogPage> readOutcome(const FetchResult &result)
{
    if (!result.status.ok())
        return makeError(ErrorCode::LogUnavailable, std::string(result.status.message()));
    const int status = result.response.head.status;
    if (status == 410)
        return makeError(ErrorCode::LogRecordsExpired, "the records have expired");
    if (status != 200)
        return makeError(ErrorCode::LogUnavailable, "the log refused the read");
    const absl::StatusOr<LogPage> page = parseLogPage(result.response.body);
    if (!page.ok())
        return makeError(ErrorCode::LogUnavailable, std::string(page.status().message()));
    return page;
}

void PlatformLink::read(const std::string &stream, LogOffset from, std::size_t limit,
                        LogHooks::ReadCallback callback)
{
    HttpRequest request;
    request.method = "GET";
    request.path =
            "/log/" + stream + "?from=" + std::to_string(from) + "&limit=" + std::to_string(limit);
    m_fetcher.fetch(options(), std::move(request), LogTimeout,
                    [callback = std::move(callback)](FetchResult result) {
                        callback(readOutcome(result));
                    });
}

void PlatformLink::fetchVms(std::function<void(absl::StatusOr<VmList>)> callback)
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/vms";
    m_fetcher.fetch(options(), std::move(request), ListTimeout,
                    [callback = std::move(callback)](FetchResult result) {
                        if (result.status.ok())
                            callback(parseVmList(result.response.body));
                        else
                            callback(result.status);
                    });
}

static absl::Status parseVm(const Json::Value &row, VmList *list)
{
    const absl::StatusOr<std::string> id = stringMember(row, "id");
    const absl::StatusOr<std::string> role = stringMember(row, "role");
    const absl::StatusOr<std::string> zone = stringMember(row, "zone");
    const absl::StatusOr<std::string> state = stringMember(row, "state");
    const absl::StatusOr<std::string> address = stringMember(row, "endpoint");
    for (const absl::Status &status :
         {id.status(), role.status(), zone.status(), state.status(), address.status()}) {
        if (!status.ok())
            return status;
    }
    const absl::StatusOr<Endpoint> endpoint = Endpoint::parse(*address);
    if (!endpoint.ok())
        return endpoint.status();
    if (*role == "entry") {
        list->entryVms.push_back({VmId(*id), *zone, *endpoint});
        return absl::OkStatus();
    }
    const absl::StatusOr<std::string> pool = stringMember(row, "pool");
    if (!pool.ok())
        return pool.status();
    ListedTarget target;
    target.id = TargetId(*id);
    target.kind = *role == "engine" ? TargetKind::Engine : TargetKind::Plain;
    target.endpoint = *endpoint;
    target.zone = *zone;
    target.pool = *pool;
    target.isLeaving = *state == "leaving";
    list->targets.push_back(std::move(target));
    return absl::OkStatus();
}

absl::StatusOr<VmList> parseVmList(const std::string &body)
{
    const absl::StatusOr<Json::Value> json = parseJson(body);
    if (!json.ok())
        return json.status();
    if (!json->isObject() || !(*json)["vms"].isArray())
        return makeError(ErrorCode::JsonInvalid, "vms: expected an array");
    VmList list;
    for (const Json::Value &row : (*json)["vms"]) {
        const absl::Status status = parseVm(row, &list);
        if (!status.ok())
            return status;
    }
    return list;
}

} // namespace currantwalk
