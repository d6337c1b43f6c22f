#ifndef CURRANTWALK_LIMITS_GRANTMESSAGES_H
#define CURRANTWALK_LIMITS_GRANTMESSAGES_H

#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "limits/targetgrants.h"
#include "targets/targetlimits.h"

namespace currantwalk {

/// A node's question for requests that it may send to a target with a limit.
struct GrantRequest
{
    TargetLimit limit; ///< As the node knows it.
    ZoneName zone;     ///< Of the target.
    GrantUse use = GrantUse::First;
    std::uint32_t count = 0;
    bool isForwarded = false; ///< Comes from a node that was asked itself.
    /// Requests a second that the target takes while it is cold; nothing if it is not known to be.
    std::optional<double> coldPerSecond = std::nullopt;
};

/// The answer to a GrantRequest.
struct GrantAnswer
{
    GrantedRequests granted;
    std::optional<TargetLimit> limit; ///< As the node that grants knows it.
};

// Times go as ages, since the clocks of two nodes cannot be compared.

Json::Value encodeLimits(const std::vector<TargetLimit> &limits, TimePoint now);
/// Null stands for none. Fails with JsonInvalid.
absl::StatusOr<std::vector<TargetLimit>> decodeLimits(const Json::Value &json, TimePoint now);
Json::Value encodeGrantRequest(const GrantRequest &request, TimePoint now);
/// Fails with JsonInvalid.
absl::StatusOr<GrantRequest> decodeGrantRequest(const Json::Value &json, TimePoint now);
Json::Value encodeGrantAnswer(const GrantAnswer &answer, TimePoint now);
/// Fails with JsonInvalid.
absl::StatusOr<GrantAnswer> decodeGrantAnswer(const Json::Value &json, TimePoint now);

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_GRANTMESSAGES_H
