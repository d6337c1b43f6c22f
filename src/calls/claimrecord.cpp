#include "calls/claimrecord.h"

#include <array>

#include "base/enumtable.h"
#include "base/json.h"
#include "calls/base64url.h"

namespace currantwalk {

// One letter each, because the log stores and sends many of these records.
static constexpr std::array<EnumName<ClaimRecordKind>, 4> KindNames{{
        {ClaimRecordKind::Claim, "c"},
        {ClaimRecordKind::Withdrawn, "v"},
        {ClaimRecordKind::OutcomeUnknown, "d"},
        {ClaimRecordKind::Result, "r"},
}};

static absl::Status recordError()
{
    return makeError(ErrorCode::JsonInvalid, "not a claim record");
}

static Json::Value encodeResponse(const PlainResponse &response)
{
    Json::Value fields(Json::arrayValue);
    fields.append(response.status);
    fields.append(toBase64Url(response.contentType));
    fields.append(toBase64Url(response.body));
    return fields;
}

static std::optional<PlainResponse> decodeResponse(const Json::Value &fields)
{
    constexpr Json::ArrayIndex Fields = 3;
    if (!fields.isArray() || fields.size() != Fields)
        return std::nullopt;
    if (!fields[0].isInt() || !fields[1].isString() || !fields[2].isString())
        return std::nullopt;
    const std::optional<std::string> contentType = fromBase64Url(fields[1].asString());
    const std::optional<std::string> body = fromBase64Url(fields[2].asString());
    if (!contentType || !body)
        return std::nullopt;
    PlainResponse response;
    response.status = fields[0].asInt();
    response.contentType = *contentType;
    response.body = *body;
    return response;
}

std::string encodeClaimRecord(const ClaimRecord &record)
{
    const std::string_view kind = enumName(KindNames, record.kind);
    Json::Value fields(Json::arrayValue);
    fields.append(std::string(kind));
    fields.append(record.key);
    fields.append(record.claimId);
    fields.append(Json::UInt64(record.fingerprint));
    if (record.response && record.response->body.size() <= MaxStoredBodyBytes)
        fields.append(encodeResponse(*record.response));
    return writeJson(fields);
}

absl::StatusOr<ClaimRecord> decodeClaimRecord(std::string_view text)
{
    constexpr Json::ArrayIndex MinFields = 4;
    const absl::StatusOr<Json::Value> fields = parseJson(text);
    if (!fields.ok())
        return fields.status();
    if (!fields->isArray() || fields->size() < MinFields || fields->size() > MinFields + 1)
        return recordError();
    const Json::Value &parts = *fields;
    if (!parts[0].isString() || !parts[1].isString() || !parts[2].isString()
        || !parts[3].isUInt64())
        return recordError();
    const std::optional<ClaimRecordKind> kind = enumValue(KindNames, parts[0].asString());
    if (!kind)
        return recordError();
    ClaimRecord record;
    record.kind = *kind;
    record.key = parts[1].asString();
    record.claimId = parts[2].asString();
    record.fingerprint = parts[3].asUInt64();
    if (parts.size() == MinFields)
        return record;
    record.response = decodeResponse(parts[4]);
    if (!record.response)
        return recordError();
    return record;
}

} // namespace currantwalk
