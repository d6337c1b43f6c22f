#include "limits/grantmessages.h"

#include <algorithm>

#include "base/json.h"

namespace currantwalk {

// No node has more requests that wait for one target.
static constexpr std::uint64_t MaxCount = 10'000;
static constexpr Duration MaxAge = std::chrono::hours(1);

static Json::Int64 ageOf(TimePoint when, TimePoint now)
{
    return std::max(now - when, Duration::zero()).count();
}

static TimePoint timeOf(const Json::Value &age, TimePoint now)
{
    const auto longest = static_cast<Json::UInt64>(MaxAge.count());
    return now - Duration(static_cast<Duration::rep>(std::min(age.asUInt64(), longest)));
}

Json::Value encodeLimits(const std::vector<TargetLimit> &limits, TimePoint now)
{
    Json::Value rows(Json::arrayValue);
    for (const TargetLimit &limit : limits) {
        Json::Value row(Json::arrayValue);
        row.append(limit.target.text());
        row.append(Json::UInt64(limit.startedAt));
        row.append(limit.perSecond ? Json::Value(*limit.perSecond) : Json::Value());
        row.append(ageOf(limit.statedAt, now));
        row.append(ageOf(limit.changedAt, now));
        rows.append(std::move(row));
    }
    return rows;
}

static absl::StatusOr<TargetLimit> decodeLimit(const Json::Value &row, TimePoint now)
{
    constexpr Json::ArrayIndex RowSize = 5;
    const absl::Status malformed =
            makeError(ErrorCode::JsonInvalid, "the limit of a target is malformed");
    if (!row.isArray() || row.size() != RowSize || !row[0].isString() || !row[1].isUInt64()
        || !row[3].isUInt64() || !row[4].isUInt64())
        return malformed;
    TargetLimit limit;
    limit.target = TargetId(row[0].asString());
    limit.startedAt = row[1].asUInt64();
    limit.statedAt = timeOf(row[3], now);
    limit.changedAt = timeOf(row[4], now);
    if (row[2].isNull())
        return limit;
    if (!row[2].isNumeric() || !(row[2].asDouble() >= 0)
        || row[2].asDouble() > TargetLimits::MaxPerSecond)
        return malformed;
    limit.perSecond = row[2].asDouble();
    return limit;
}

absl::StatusOr<std::vector<TargetLimit>> decodeLimits(const Json::Value &json, TimePoint now)
{
    if (!json.isNull() && !json.isArray())
        return makeError(ErrorCode::JsonInvalid, "limits of targets are no list");
    std::vector<TargetLimit> limits;
    for (const Json::Value &row : json) {
        absl::StatusOr<TargetLimit> limit = decodeLimit(row, now);
        if (!limit.ok())
            return limit.status();
        limits.push_back(std::move(*limit));
    }
    return limits;
}

Json::Value encodeGrantRequest(const GrantRequest &request, TimePoint now)
{
    Json::Value json(Json::objectValue);
    json["limits"] = encodeLimits({request.limit}, now);
    json["zone"] = request.zone.text();
    json["use"] = std::string(grantUseName(request.use));
    json["count"] = request.count;
    json["forwarded"] = request.isForwarded;
    if (request.coldPerSecond)
        json["cold"] = *request.coldPerSecond;
    return json;
}

absl::StatusOr<GrantRequest> decodeGrantRequest(const Json::Value &json, TimePoint now)
{
    const absl::StatusOr<std::string> zone = stringMember(json, "zone");
    const absl::StatusOr<std::string> use = stringMember(json, "use");
    const absl::StatusOr<std::uint64_t> count = unsignedMember(json, "count");
    const absl::StatusOr<bool> isForwarded = boolMember(json, "forwarded");
    if (!zone.ok() || !use.ok() || !count.ok() || !isForwarded.ok() || !grantUseFromName(*use))
        return makeError(ErrorCode::JsonInvalid, "a question for grants is malformed");
    const absl::StatusOr<std::vector<TargetLimit>> limits = decodeLimits(json["limits"], now);
    if (!limits.ok())
        return limits.status();
    if (limits->size() != 1)
        return makeError(ErrorCode::JsonInvalid, "a question for grants names no target");
    const Json::Value &cold = json["cold"];
    if (!cold.isNull()
        && (!cold.isNumeric() || !(cold.asDouble() >= 0)
            || cold.asDouble() > TargetLimits::MaxPerSecond))
        return makeError(ErrorCode::JsonInvalid, "the rate of a cold target is malformed");
    return GrantRequest{limits->front(),
                        ZoneName(*zone),
                        *grantUseFromName(*use),
                        static_cast<std::uint32_t>(std::min(*count, MaxCount)),
                        *isForwarded,
                        cold.isNull() ? std::nullopt : std::optional(cold.asDouble())};
}

Json::Value encodeGrantAnswer(const GrantAnswer &answer, TimePoint now)
{
    Json::Value json(Json::objectValue);
    json["count"] = answer.granted.count;
    json["wait_us"] = Json::Int64(answer.granted.wait.count());
    if (answer.limit)
        json["limits"] = encodeLimits({*answer.limit}, now);
    return json;
}

absl::StatusOr<GrantAnswer> decodeGrantAnswer(const Json::Value &json, TimePoint now)
{
    const absl::StatusOr<std::uint64_t> count = unsignedMember(json, "count");
    const absl::StatusOr<std::uint64_t> wait = unsignedMember(json, "wait_us");
    if (!count.ok() || !wait.ok())
        return makeError(ErrorCode::JsonInvalid, "an answer to a question for grants is malformed");
    const absl::StatusOr<std::vector<TargetLimit>> limits = decodeLimits(json["limits"], now);
    if (!limits.ok())
        return limits.status();
    GrantAnswer answer;
    answer.granted.count = static_cast<std::uint32_t>(std::min(*count, MaxCount));
    const auto longest = static_cast<std::uint64_t>(MaxAge.count());
    answer.granted.wait = Duration(static_cast<Duration::rep>(std::min(*wait, longest)));
    if (!limits->empty())
        answer.limit = limits->front();
    return answer;
}

} // namespace currantwalk
