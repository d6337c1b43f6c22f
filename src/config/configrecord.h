#ifndef CURRANTWALK_CONFIG_CONFIGRECORD_H
#define CURRANTWALK_CONFIG_CONFIGRECORD_H

#include <string>
#include <variant>

#include <json/value.h>

#include "base/error.h"
#include "base/ids.h"
#include "config/configstore.h"

namespace currantwalk {

/// A published set that has not been accepted or rejected yet.
struct PublicationRecord
{
    std::string id; ///< Chosen by the publisher; unique.
    LogOffset base = 0;
    std::string author;
    bool isRecovery = false; ///< Accepted on any base; see docs/operators/publishing.md.
    Json::Value objects;     ///< The output of encodeObjects(); not validated.
};

/// The version in force after all records below an offset.
struct ConfigSnapshot
{
    ConfigVersion version;
    LogOffset asOf = 0; ///< The version is in force after all records below this offset.
};

std::string encodePublication(const PublicationRecord &record);

/// Encodes a snapshot as a message for peers, or as a stream record with the unique \a id.
Json::Value encodeSnapshot(const ConfigSnapshot &snapshot);
std::string encodeSnapshotRecord(const ConfigSnapshot &snapshot, const std::string &id);
/// Decodes the output of encodeSnapshot(). Fails with JsonInvalid or ConfigInvalid.
absl::StatusOr<ConfigSnapshot> decodeSnapshot(const Json::Value &message);

using ConfigRecord = std::variant<PublicationRecord, ConfigSnapshot>;
/// Decodes a record of the configuration stream. Fails with JsonInvalid or ConfigInvalid.
absl::StatusOr<ConfigRecord> decodeConfigRecord(const std::string &data);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_CONFIGRECORD_H
