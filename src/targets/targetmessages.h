#ifndef CURRANTWALK_TARGETS_TARGETMESSAGES_H
#define CURRANTWALK_TARGETS_TARGETMESSAGES_H

#include <cstdint>
#include <vector>

#include <json/value.h>

#include "targets/targettable.h"

namespace currantwalk {

/// A row of a digest. Messages carry ages instead of times, as clocks differ between nodes.
struct DigestRow
{
    TargetId id;
    Incarnation incarnation = 0;
    TargetState state = TargetState::Live;
    Duration age{0}; ///< Of the report, when the message was written.
    bool hasLoad = false;
    TargetLoad load; ///< Without reportedAt.
    std::uint32_t modelsTag = 0;
    /// Capacity and models are sent only after a change; otherwise modelsTag identifies them.
    bool hasModels = false;
    std::vector<LoadedModel> models;
};

/// Notifies the nodes of a zone at once that a target is leaving or gone.
struct TargetAnnouncement
{
    TargetId id;
    Incarnation incarnation = 0;
    TargetState state = TargetState::Leaving;
    Duration age{0};
};

/// Returns a short hash of the rarely changing state of a target, the same on all nodes.
std::uint32_t modelsTag(const std::vector<LoadedModel> &models, std::uint64_t capacityTokens);

Json::Value writeDigest(const std::vector<DigestRow> &rows);
/// Fails with JsonInvalid, without returning any rows, if one row is invalid.
absl::StatusOr<std::vector<DigestRow>> readDigest(const Json::Value &digest);
Json::Value writeAnnouncement(const TargetAnnouncement &announcement);
/// Fails with JsonInvalid.
absl::StatusOr<TargetAnnouncement> readAnnouncement(const Json::Value &message);

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_TARGETMESSAGES_H
