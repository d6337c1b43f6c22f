#ifndef CURRANTWALK_LIMITS_SHAREMESSAGES_H
#define CURRANTWALK_LIMITS_SHAREMESSAGES_H

#include <cstdint>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "base/ids.h"
#include "limits/shares.h"

namespace currantwalk {

enum class ShareMessageKind { NodeReport, NodeGrant, ZoneReport, ZoneGrant };

/// The demand for one limit, sent by a node to the owner in its zone, or by the owner in a zone to
/// the coordinator of the limit.
struct ShareReport
{
    std::string limit;
    std::uint32_t number = 0; ///< Sequence number; echoed by the grant.
    Share demand;
    Share held;
    double streamsInUse = 0;
    double rejectedRequests = 0; ///< Requests rejected since the last report.
    double tokenDebt = 0;        ///< Debt of the node that the owner takes over.
};

struct ShareGrant
{
    std::string limit;
    std::uint32_t number = 0;
    Share share;
    Duration lifetime{0};   ///< Starts when the report was sent.
    double credit = 0;      ///< Requests that may be admitted immediately.
    double assumedDebt = 0; ///< Tokens of debt that the owner took over.
    Duration tokenDelay{0}; ///< Time until the debt held by the owner is repaid.
};

struct ShareMessage
{
    ShareMessageKind kind = ShareMessageKind::NodeReport;
    VmId from;
    std::string zone; ///< Of the sender.
    std::vector<ShareReport> reports;
    std::vector<ShareGrant> grants;
};

Json::Value writeShareMessage(const ShareMessage &message);
/// Fails with JsonInvalid.
absl::StatusOr<ShareMessage> readShareMessage(const Json::Value &json);

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_SHAREMESSAGES_H
