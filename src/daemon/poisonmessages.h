#ifndef CURRANTWALK_DAEMON_POISONMESSAGES_H
#define CURRANTWALK_DAEMON_POISONMESSAGES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "blame/poisontracker.h"

namespace currantwalk {

Json::Value encodePoisonKnowledge(const PoisonKnowledge &knowledge);
/// Absent lists are read as empty ones. Fails with JsonInvalid.
absl::StatusOr<PoisonKnowledge> decodePoisonKnowledge(const Json::Value &json);

Json::Value encodePoisonReport(const PoisonReport &report);
/// Fails with JsonInvalid.
absl::StatusOr<PoisonReport> decodePoisonReport(const Json::Value &json);

/// What the store keeps of a refused request.
struct PoisonRecord
{
    std::uint64_t fingerprint = 0;
    std::string subject;              ///< Describes the request.
    std::vector<PoisonReport> deaths; ///< At least one.
};

/// Returns the key of a request's record in the nodes' topic.
std::string poisonRecordKey(std::uint64_t fingerprint);
bool isPoisonRecordKey(std::string_view key);
/// Returns the request that a record's key names; nothing if it names none.
std::optional<std::uint64_t> parsePoisonRecordKey(std::string_view key);
/// Writes a record at the time of day \a unixMilliseconds, by which readers tell its age.
std::string encodePoisonRecord(const PoisonRecord &record, std::uint64_t unixMilliseconds);
/// Fails with JsonInvalid.
absl::StatusOr<PoisonRecord> decodePoisonRecord(const std::string &text,
                                                std::uint64_t unixMilliseconds);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_POISONMESSAGES_H
