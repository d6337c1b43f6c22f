#include "lease/leaserecord.h"

#include <utility>

#include "base/enumtable.h"
#include "base/json.h"

namespace currantwalk {

static constexpr std::array<EnumName<LeaseRecordKind>, 6> KindNames{{
        {LeaseRecordKind::Take, "take"},
        {LeaseRecordKind::Renew, "renew"},
        {LeaseRecordKind::Release, "release"},
        {LeaseRecordKind::TableRequest, "ask"},
        {LeaseRecordKind::Table, "table"},
        {LeaseRecordKind::Reset, "reset"},
}};

static Json::Value encodeDuties(const DutyStates &duties)
{
    Json::Value value(Json::objectValue);
    for (const auto &[name, state] : duties) {
        Json::Value &row = value[name];
        row["fence"] = Json::UInt64(state.fence);
        row["last"] = Json::UInt64(state.last);
        row["vm"] = state.vm.text();
        row["owner"] = state.owner;
        row["released"] = state.isReleased;
    }
    return value;
}

std::string encodeLeaseRecord(const LeaseRecord &record)
{
    Json::Value value(Json::objectValue);
    value["kind"] = std::string(enumName(KindNames, record.kind));
    value["id"] = record.id;
    value["vm"] = record.vm.text();
    value["owner"] = record.owner;
    value["duty"] = record.duty;
    value["fence"] = Json::UInt64(record.fence);
    value["seen"] = Json::UInt64(record.seen);
    value["as_of"] = Json::UInt64(record.asOf);
    value["duties"] = encodeDuties(record.duties);
    return writeJson(value);
}

static absl::Status readText(const Json::Value &value, const char *name, std::string *member)
{
    const absl::StatusOr<std::string> text = stringMember(value, name);
    if (text.ok())
        *member = *text;
    return text.status();
}

static absl::Status readVm(const Json::Value &value, VmId *member)
{
    std::string text;
    const absl::Status status = readText(value, "vm", &text);
    *member = VmId(std::move(text));
    return status;
}

static absl::Status readOffset(const Json::Value &value, const char *name, LogOffset *member)
{
    const absl::StatusOr<std::uint64_t> offset = unsignedMember(value, name);
    if (offset.ok())
        *member = *offset;
    return offset.status();
}

static absl::Status readDuty(const Json::Value &value, DutyState *state)
{
    absl::Status status = readOffset(value, "fence", &state->fence);
    status.Update(readOffset(value, "last", &state->last));
    status.Update(readVm(value, &state->vm));
    status.Update(readText(value, "owner", &state->owner));
    const absl::StatusOr<bool> isReleased = boolMember(value, "released");
    status.Update(isReleased.status());
    state->isReleased = isReleased.ok() && *isReleased;
    if (status.ok() && (state->fence == 0 || state->last < state->fence))
        return makeError(ErrorCode::JsonInvalid,
                         "last record of a duty must not precede its fencing number");
    return status;
}

static absl::Status readDuties(const Json::Value &value, DutyStates *duties)
{
    if (!value.isObject())
        return makeError(ErrorCode::JsonInvalid, "expected a JSON object of duties");
    for (const std::string &name : value.getMemberNames()) {
        const absl::Status status = readDuty(value[name], &(*duties)[name]);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::StatusOr<LeaseRecord> decodeLeaseRecord(const std::string &data)
{
    const absl::StatusOr<Json::Value> value = parseJson(data);
    if (!value.ok())
        return value.status();
    std::string kindName;
    LeaseRecord record;
    absl::Status status = readText(*value, "kind", &kindName);
    status.Update(readText(*value, "id", &record.id));
    status.Update(readVm(*value, &record.vm));
    status.Update(readText(*value, "owner", &record.owner));
    status.Update(readText(*value, "duty", &record.duty));
    status.Update(readOffset(*value, "fence", &record.fence));
    status.Update(readOffset(*value, "seen", &record.seen));
    status.Update(readOffset(*value, "as_of", &record.asOf));
    if (!status.ok())
        return status;
    status = readDuties((*value)["duties"], &record.duties);
    if (!status.ok())
        return status;
    const std::optional<LeaseRecordKind> kind = enumValue(KindNames, kindName);
    if (!kind)
        return makeError(ErrorCode::JsonInvalid, "unknown lease record kind");
    record.kind = *kind;
    return record;
}

} // namespace currantwalk
