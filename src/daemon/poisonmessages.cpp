#include "daemon/poisonmessages.h"

#include <algorithm>

#include "base/json.h"
#include "daemon/requestfingerprint.h"

namespace currantwalk {

static constexpr std::string_view RecordKeyPrefix = "poison/";
// Longest age that a message may state; older deaths do not count.
static constexpr Duration MaxAge = std::chrono::hours(24);
static constexpr Json::ArrayIndex MaxFeatures = 64;
static constexpr std::size_t MaxFeatureText = 120;

static Json::Value encodeFeatures(const std::vector<RequestFeature> &features)
{
    Json::Value rows(Json::arrayValue);
    for (const RequestFeature &feature : features) {
        Json::Value row(Json::arrayValue);
        row.append(Json::UInt64(feature.fingerprint));
        row.append(feature.subject);
        rows.append(std::move(row));
    }
    return rows;
}

static absl::StatusOr<std::vector<RequestFeature>> decodeFeatures(const Json::Value &json)
{
    constexpr Json::ArrayIndex RowSize = 2;
    if (!json.isNull() && (!json.isArray() || json.size() > MaxFeatures))
        return makeError(ErrorCode::JsonInvalid, "features are no list or too many");
    std::vector<RequestFeature> features;
    for (const Json::Value &row : json) {
        if (!row.isArray() || row.size() != RowSize || !row[0].isUInt64() || !row[1].isString())
            return makeError(ErrorCode::JsonInvalid, "a feature is malformed");
        features.push_back({row[0].asUInt64(), shortenedUtf8(row[1].asString(), MaxFeatureText)});
    }
    return features;
}

Json::Value encodePoisonReport(const PoisonReport &report)
{
    Json::Value json(Json::objectValue);
    json["fingerprint"] = Json::UInt64(report.fingerprint);
    json["target"] = report.target.text();
    json["incarnation"] = Json::UInt64(report.incarnation);
    json["neighbours"] = report.concurrentRequests;
    json["begun"] = report.hasStarted;
    json["answering"] = report.wasAnswering;
    json["subject"] = report.subject;
    json["age_us"] = Json::Int64(report.age.count());
    if (!report.features.empty())
        json["features"] = encodeFeatures(report.features);
    if (report.isOfFeature)
        json["of_feature"] = true;
    if (report.noticedAfter > Duration::zero())
        json["noticed_after_us"] = Json::Int64(report.noticedAfter.count());
    return json;
}

absl::StatusOr<PoisonReport> decodePoisonReport(const Json::Value &json)
{
    const absl::StatusOr<std::uint64_t> fingerprint = unsignedMember(json, "fingerprint");
    if (!fingerprint.ok())
        return fingerprint.status();
    const absl::StatusOr<std::string> target = stringMember(json, "target");
    if (!target.ok())
        return target.status();
    const absl::StatusOr<std::uint64_t> incarnation = unsignedMember(json, "incarnation");
    if (!incarnation.ok())
        return incarnation.status();
    const absl::StatusOr<std::uint64_t> neighbours = unsignedMember(json, "neighbours");
    if (!neighbours.ok())
        return neighbours.status();
    const absl::StatusOr<bool> hasStarted = boolMember(json, "begun");
    if (!hasStarted.ok())
        return hasStarted.status();
    PoisonReport report;
    report.hasStarted = *hasStarted;
    report.fingerprint = *fingerprint;
    report.target = TargetId(*target);
    report.incarnation = *incarnation;
    report.concurrentRequests = static_cast<std::uint32_t>(*neighbours);
    // Earlier versions don't send these.
    report.wasAnswering = boolMember(json, "answering").value_or(false);
    report.subject = stringMember(json, "subject").value_or("");
    report.isOfFeature = boolMember(json, "of_feature").value_or(false);
    absl::StatusOr<std::vector<RequestFeature>> features = decodeFeatures(json["features"]);
    if (!features.ok())
        return features.status();
    report.features = *std::move(features);
    const std::uint64_t age = unsignedMember(json, "age_us").value_or(0);
    const std::uint64_t longest = static_cast<std::uint64_t>(MaxAge.count());
    const std::uint64_t late = unsignedMember(json, "noticed_after_us").value_or(0);
    report.noticedAfter = Duration(static_cast<Duration::rep>(std::min(late, longest)));
    report.age = Duration(static_cast<Duration::rep>(std::min(age, longest)));
    return report;
}

static Json::Value encodePoisonReports(const std::vector<PoisonReport> &reports)
{
    Json::Value rows(Json::arrayValue);
    for (const PoisonReport &report : reports)
        rows.append(encodePoisonReport(report));
    return rows;
}

static absl::StatusOr<std::vector<PoisonReport>> decodePoisonReports(const Json::Value &json)
{
    if (!json.isNull() && !json.isArray())
        return makeError(ErrorCode::JsonInvalid, "reports are no list");
    std::vector<PoisonReport> reports;
    for (const Json::Value &row : json) {
        absl::StatusOr<PoisonReport> report = decodePoisonReport(row);
        if (!report.ok())
            return report.status();
        reports.push_back(*std::move(report));
    }
    return reports;
}

static bool isAge(const Json::Value &json)
{
    return json.isInt64() && json.asInt64() >= 0 && json.asInt64() <= MaxAge.count();
}

static Json::Value encodePoisonClearings(const std::vector<PoisonClearing> &clearings)
{
    Json::Value rows(Json::arrayValue);
    for (const PoisonClearing &clearing : clearings) {
        Json::Value row(Json::arrayValue);
        row.append(Json::UInt64(clearing.fingerprint));
        row.append(Json::Int64(clearing.age.count()));
        rows.append(std::move(row));
    }
    return rows;
}

static absl::StatusOr<std::vector<PoisonClearing>> decodePoisonClearings(const Json::Value &json)
{
    constexpr Json::ArrayIndex RowSize = 2;
    if (!json.isNull() && !json.isArray())
        return makeError(ErrorCode::JsonInvalid, "clearings are no list");
    std::vector<PoisonClearing> clearings;
    for (const Json::Value &row : json) {
        if (!row.isArray() || row.size() != RowSize || !row[0].isUInt64() || !isAge(row[1]))
            return makeError(ErrorCode::JsonInvalid, "a clearing is malformed");
        clearings.push_back({row[0].asUInt64(), Duration(row[1].asInt64())});
    }
    return clearings;
}

static Json::Value encodeTargetLifetimes(const std::vector<TargetLifetime> &lifetimes)
{
    Json::Value rows(Json::arrayValue);
    for (const TargetLifetime &lifetime : lifetimes) {
        Json::Value row(Json::arrayValue);
        row.append(lifetime.target.text());
        row.append(Json::UInt64(lifetime.incarnation));
        row.append(Json::Int64(lifetime.ageOfStart.count()));
        row.append(Json::Int64(lifetime.ageOfEnd.count()));
        rows.append(std::move(row));
    }
    return rows;
}

static absl::StatusOr<std::vector<TargetLifetime>> decodeTargetLifetimes(const Json::Value &json)
{
    constexpr Json::ArrayIndex RowSize = 4;
    if (!json.isNull() && !json.isArray())
        return makeError(ErrorCode::JsonInvalid, "lifetimes are no list");
    std::vector<TargetLifetime> lifetimes;
    for (const Json::Value &row : json) {
        if (!row.isArray() || row.size() != RowSize || !row[0].isString() || !row[1].isUInt64()
            || !isAge(row[2]) || !isAge(row[3]))
            return makeError(ErrorCode::JsonInvalid, "a lifetime is malformed");
        lifetimes.push_back({TargetId(row[0].asString()), row[1].asUInt64(),
                             Duration(row[2].asInt64()), Duration(row[3].asInt64())});
    }
    return lifetimes;
}

Json::Value encodePoisonKnowledge(const PoisonKnowledge &knowledge)
{
    Json::Value json(Json::objectValue);
    json["reports"] = encodePoisonReports(knowledge.reports);
    json["clearings"] = encodePoisonClearings(knowledge.clearings);
    json["alive"] = encodeTargetLifetimes(knowledge.lifetimes);
    return json;
}

absl::StatusOr<PoisonKnowledge> decodePoisonKnowledge(const Json::Value &json)
{
    if (!json.isObject())
        return makeError(ErrorCode::JsonInvalid, "no object");
    absl::StatusOr<std::vector<PoisonReport>> reports = decodePoisonReports(json["reports"]);
    if (!reports.ok())
        return reports.status();
    absl::StatusOr<std::vector<PoisonClearing>> clearings =
            decodePoisonClearings(json["clearings"]);
    if (!clearings.ok())
        return clearings.status();
    absl::StatusOr<std::vector<TargetLifetime>> lifetimes = decodeTargetLifetimes(json["alive"]);
    if (!lifetimes.ok())
        return lifetimes.status();
    return PoisonKnowledge{*std::move(reports), *std::move(clearings), *std::move(lifetimes)};
}

std::string poisonRecordKey(std::uint64_t fingerprint)
{
    return std::string(RecordKeyPrefix) + fingerprintText(fingerprint);
}

bool isPoisonRecordKey(std::string_view key)
{
    return key.substr(0, RecordKeyPrefix.size()) == RecordKeyPrefix;
}

std::optional<std::uint64_t> parsePoisonRecordKey(std::string_view key)
{
    if (!isPoisonRecordKey(key))
        return std::nullopt;
    return parseFingerprint(key.substr(RecordKeyPrefix.size()));
}

std::string encodePoisonRecord(const PoisonRecord &record, std::uint64_t unixMilliseconds)
{
    Json::Value json(Json::objectValue);
    json["fingerprint"] = fingerprintText(record.fingerprint);
    json["request"] = record.subject;
    json["written_ms"] = Json::UInt64(unixMilliseconds);
    json["deaths"] = encodePoisonReports(record.deaths);
    return writeJson(json);
}

absl::StatusOr<PoisonRecord> decodePoisonRecord(const std::string &text,
                                                std::uint64_t unixMilliseconds)
{
    const absl::StatusOr<Json::Value> json = parseJson(text);
    if (!json.ok())
        return json.status();
    const std::string name = stringMember(*json, "fingerprint").value_or("");
    const std::optional<std::uint64_t> fingerprint = parseFingerprint(name);
    const absl::StatusOr<std::uint64_t> writtenAt = unsignedMember(*json, "written_ms");
    if (!fingerprint || !writtenAt.ok())
        return makeError(ErrorCode::JsonInvalid, "the record lacks its request or its time");
    absl::StatusOr<std::vector<PoisonReport>> deaths = decodePoisonReports((*json)["deaths"]);
    if (!deaths.ok())
        return deaths.status();
    if (deaths->empty())
        return makeError(ErrorCode::JsonInvalid, "the record has no deaths");
    const std::uint64_t age = unixMilliseconds > *writtenAt ? unixMilliseconds - *writtenAt : 0;
    for (PoisonReport &death : *deaths)
        death.age += std::chrono::milliseconds(age);
    return PoisonRecord{*fingerprint, stringMember(*json, "request").value_or(""),
                        *std::move(deaths)};
}

} // namespace currantwalk
