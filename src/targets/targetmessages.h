#ifndef CURRANTWALK_TARGETS_TARGETMESSAGES_H
#define CURRANTWALK_TARGETS_TARGETMESSAGES_H

#include <cstdint>
#include <vector>

#include <json/value.h>

#include "targets/targettable.h"

namespace currantwalk {

/// A row of a digest. Ages travel, never clock readings.
struct DigestRow
{
    TargetId id;
    Incarnation incarnation = 0;
    TargetState state = TargetState::Live;
    Duration age{0}; ///< Of the report, when the message was written.
    bool hasLoad = false;
    TargetLoad load; ///< Without reportedAt.
    std::uint32_t modelsTag = 0;
    bool hasModels = false; ///< Models are sent when they changed; else their tag tells them.
    std::vector<LoadedModel> models;
};

/// What the nodes of a zone are told at once.
struct TargetAnnouncement
{
    TargetId id;
    Incarnation incarnation = 0;
    TargetState state = TargetState::Leaving;
    Duration age{0};
};

/// Returns a short hash of the loaded models, alike on all nodes.
std::uint32_t modelsTag(const std::vector<LoadedModel> &models);

Json::Value writeDigest(const std::vector<DigestRow> &rows);
/// Fails with JsonInvalid, and then takes no row.
absl::StatusOr<std::vector<DigestRow>> readDigest(const Json::Value &digest);
Json::Value writeAnnouncement(const TargetAnnouncement &announcement);
/// Fails with JsonInvalid.
absl::StatusOr<TargetAnnouncement> readAnnouncement(const Json::Value &fact);

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_TARGETMESSAGES_H
