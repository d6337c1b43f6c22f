#ifndef CURRANTWALK_CONFIG_CONFIGRECORD_H
#define CURRANTWALK_CONFIG_CONFIGRECORD_H

#include <string>
#include <variant>

#include <json/value.h>

#include "base/error.h"
#include "base/ids.h"
#include "config/configstore.h"

namespace currantwalk {

/// A set that somebody published, not yet decided on.
struct PublicationRecord
{
    std::string id; ///< Made by the publisher; unique.
    LogOffset base = 0;
    std::string author;
    bool isRecovery = false; ///< Accepted on any base; see docs/operators/publishing.md.
    Json::Value objects;     ///< As encodeObjects() wrote them; unchecked.
};

/// The version in force after all records below an offset.
struct ConfigSnapshot
{
    ConfigVersion version;
    LogOffset asOf = 0; ///< The version in force where all records below this offset are decided.
};

std::string encodePublication(const PublicationRecord &record);

/// Writes a snapshot as a message for peers, or as a record where given the id of its writing.
Json::Value encodeSnapshot(const ConfigSnapshot &snapshot);
std::string encodeSnapshotRecord(const ConfigSnapshot &snapshot, const std::string &id);
/// Reads what encodeSnapshot() wrote. Fails with JsonInvalid or ConfigInvalid.
absl::StatusOr<ConfigSnapshot> decodeSnapshot(const Json::Value &message);

using ConfigRecord = std::variant<PublicationRecord, ConfigSnapshot>;
/// Reads a record of the configuration stream. Fails with JsonInvalid or ConfigInvalid.
absl::StatusOr<ConfigRecord> decodeConfigRecord(const std::string &data);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_CONFIGRECORD_H
