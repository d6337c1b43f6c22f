#include "config/configrecord.h"

#include "base/json.h"
#include "config/objectcodec.h"

namespace currantwalk {

static constexpr const char *PublicationKind = "publication";
static constexpr const char *SnapshotKind = "snapshot";

std::string encodePublication(const PublicationRecord &record)
{
    Json::Value value(Json::objectValue);
    value["kind"] = PublicationKind;
    value["id"] = record.id;
    value["base"] = Json::UInt64(record.base);
    value["author"] = record.author;
    value["recovery"] = record.isRecovery;
    value["objects"] = record.objects;
    return writeJson(value);
}

Json::Value encodeSnapshot(const ConfigSnapshot &snapshot)
{
    Json::Value value(Json::objectValue);
    value["version"] = Json::UInt64(snapshot.version.version);
    value["base"] = Json::UInt64(snapshot.version.base);
    value["author"] = snapshot.version.author;
    value["publication_id"] = snapshot.version.publicationId;
    value["as_of"] = Json::UInt64(snapshot.asOf);
    value["objects"] = encodeObjects(snapshot.version.objects);
    return value;
}

std::string encodeSnapshotRecord(const ConfigSnapshot &snapshot, const std::string &id)
{
    Json::Value value = encodeSnapshot(snapshot);
    value["kind"] = SnapshotKind;
    value["id"] = id;
    return writeJson(value);
}

absl::StatusOr<ConfigSnapshot> decodeSnapshot(const Json::Value &message)
{
    const absl::StatusOr<std::uint64_t> version = unsignedMember(message, "version");
    if (!version.ok())
        return version.status();
    const absl::StatusOr<std::uint64_t> base = unsignedMember(message, "base");
    if (!base.ok())
        return base.status();
    const absl::StatusOr<std::uint64_t> asOf = unsignedMember(message, "as_of");
    if (!asOf.ok())
        return asOf.status();
    const absl::StatusOr<std::string> author = stringMember(message, "author");
    if (!author.ok())
        return author.status();
    const absl::StatusOr<std::string> id = stringMember(message, "publication_id");
    if (!id.ok())
        return id.status();
    if (*version >= *asOf)
        return makeError(ErrorCode::JsonInvalid, "snapshot version must be below as_of");
    // An accepted set stays in force even if validation has become stricter since, so the set is
    // decoded without validating it as a whole.
    absl::StatusOr<ObjectSet> objects = decodeObjects(message["objects"]);
    if (!objects.ok())
        return objects.status();
    ConfigSnapshot snapshot;
    snapshot.version = ConfigVersion{*version, *base, *author, *id, *std::move(objects)};
    snapshot.asOf = *asOf;
    return snapshot;
}

static absl::StatusOr<ConfigRecord> decodePublication(const Json::Value &value)
{
    const absl::StatusOr<std::string> id = stringMember(value, "id");
    if (!id.ok())
        return id.status();
    const absl::StatusOr<std::uint64_t> base = unsignedMember(value, "base");
    if (!base.ok())
        return base.status();
    const absl::StatusOr<std::string> author = stringMember(value, "author");
    if (!author.ok())
        return author.status();
    const absl::StatusOr<bool> isRecovery = boolMember(value, "recovery");
    if (!isRecovery.ok())
        return isRecovery.status();
    return ConfigRecord(PublicationRecord{*id, *base, *author, *isRecovery, value["objects"]});
}

absl::StatusOr<ConfigRecord> decodeConfigRecord(const std::string &data)
{
    const absl::StatusOr<Json::Value> value = parseJson(data);
    if (!value.ok())
        return value.status();
    const absl::StatusOr<std::string> kind = stringMember(*value, "kind");
    if (!kind.ok())
        return kind.status();
    if (*kind == PublicationKind)
        return decodePublication(*value);
    if (*kind != SnapshotKind)
        return makeError(ErrorCode::JsonInvalid, "unknown record kind");
    absl::StatusOr<ConfigSnapshot> snapshot = decodeSnapshot(*value);
    if (!snapshot.ok())
        return snapshot.status();
    return ConfigRecord(*std::move(snapshot));
}

} // namespace currantwalk
