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

/// A node's demand to the owner in its zone, or a zone's to the home of the limit.
struct ShareReport
{
    std::string limit;
    std::uint32_t number = 0; ///< Of the report; the grant names it.
    Share demand;
    Share held;
    double streamsInUse = 0;
    double waiting = 0;   ///< Requests refused since the last report.
    double tokenDebt = 0; ///< Of the node, to be taken over by the owner.
};

struct ShareGrant
{
    std::string limit;
    std::uint32_t number = 0;
    Share share;
    Duration life{0};       ///< Counted from when the report was sent.
    double credit = 0;      ///< Requests that may go at once.
    double debtTaken = 0;   ///< Tokens that the owner took over.
    Duration tokenDelay{0}; ///< Until the debt that the owner took over is paid.
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
