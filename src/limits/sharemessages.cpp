#include "limits/sharemessages.h"

#include <algorithm>
#include <cmath>

#include "base/json.h"

namespace currantwalk {

// Keys: k kind, f sender, z zone of the sender, r rows. Amounts are encoded as integer thousandths.
//
// Fields of a report: limit, number, demand x3, held x3, streams in use, rejected requests, token
// debt.
//
// Fields of a grant: limit, number, share x3, lifetime in ms, credit, assumed debt, token delay in
// ms.
constexpr Json::ArrayIndex ReportFieldCount = 11;
constexpr Json::ArrayIndex GrantFieldCount = 9;
constexpr double AmountScale = 1000;
constexpr double MaxAmount = 1e15;

// Rounds down, so that a decoded grant never exceeds the encoded one.
static Json::Value::UInt64 encodeAmount(double amount)
{
    return static_cast<Json::Value::UInt64>(
            std::floor(std::clamp(amount * AmountScale, 0.0, MaxAmount)));
}

static double decodeAmount(const Json::Value &cell)
{
    return static_cast<double>(cell.asUInt64()) / AmountScale;
}

static Json::Value::UInt64 encodeDuration(Duration duration)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<Json::Value::UInt64>(std::max<std::int64_t>(0, ms));
}

static Duration decodeDuration(const Json::Value &cell)
{
    constexpr Json::Value::UInt64 MaxMs = 3'600'000;
    return std::chrono::milliseconds(std::min(cell.asUInt64(), MaxMs));
}

static void appendShare(Json::Value &row, const Share &share)
{
    row.append(encodeAmount(share.requests));
    row.append(encodeAmount(share.tokens));
    row.append(encodeAmount(share.streams));
}

static Share decodeShare(const Json::Value &row, Json::ArrayIndex first)
{
    return {decodeAmount(row[first]), decodeAmount(row[first + 1]), decodeAmount(row[first + 2])};
}

static Json::Value writeReport(const ShareReport &report)
{
    Json::Value row(Json::arrayValue);
    row.append(report.limit);
    row.append(report.number);
    appendShare(row, report.demand);
    appendShare(row, report.held);
    row.append(encodeAmount(report.streamsInUse));
    row.append(encodeAmount(report.rejectedRequests));
    row.append(encodeAmount(report.tokenDebt));
    return row;
}

static Json::Value writeGrant(const ShareGrant &grant)
{
    Json::Value row(Json::arrayValue);
    row.append(grant.limit);
    row.append(grant.number);
    appendShare(row, grant.share);
    row.append(encodeDuration(grant.lifetime));
    row.append(encodeAmount(grant.credit));
    row.append(encodeAmount(grant.assumedDebt));
    row.append(encodeDuration(grant.tokenDelay));
    return row;
}

Json::Value writeShareMessage(const ShareMessage &message)
{
    Json::Value json(Json::objectValue);
    json["k"] = static_cast<int>(message.kind);
    json["f"] = message.from.text();
    json["z"] = message.zone;
    Json::Value &rows = json["r"] = Json::Value(Json::arrayValue);
    for (const ShareReport &report : message.reports)
        rows.append(writeReport(report));
    for (const ShareGrant &grant : message.grants)
        rows.append(writeGrant(grant));
    return json;
}

static bool isValidRow(const Json::Value &row, Json::ArrayIndex size)
{
    if (!row.isArray() || row.size() != size || !row[0].isString() || !row[1].isUInt())
        return false;
    for (Json::ArrayIndex i = 2; i < size; ++i) {
        if (!row[i].isUInt64())
            return false;
    }
    return true;
}

static ShareReport readReport(const Json::Value &row)
{
    ShareReport report;
    report.limit = row[0].asString();
    report.number = row[1].asUInt();
    report.demand = decodeShare(row, 2);
    report.held = decodeShare(row, 5);
    report.streamsInUse = decodeAmount(row[8]);
    report.rejectedRequests = decodeAmount(row[9]);
    report.tokenDebt = decodeAmount(row[10]);
    return report;
}

static ShareGrant readGrant(const Json::Value &row)
{
    ShareGrant grant;
    grant.limit = row[0].asString();
    grant.number = row[1].asUInt();
    grant.share = decodeShare(row, 2);
    grant.lifetime = decodeDuration(row[5]);
    grant.credit = decodeAmount(row[6]);
    grant.assumedDebt = decodeAmount(row[7]);
    grant.tokenDelay = decodeDuration(row[8]);
    return grant;
}

absl::StatusOr<ShareMessage> readShareMessage(const Json::Value &json)
{
    const absl::StatusOr<std::uint64_t> kind = unsignedMember(json, "k");
    const absl::StatusOr<std::string> from = stringMember(json, "f");
    const absl::StatusOr<std::string> zone = stringMember(json, "z");
    for (const absl::Status &status : {kind.status(), from.status(), zone.status()}) {
        if (!status.ok())
            return status;
    }
    if (*kind > static_cast<std::uint64_t>(ShareMessageKind::ZoneGrant) || !json["r"].isArray())
        return makeError(ErrorCode::JsonInvalid,
                         "limit share message: unknown kind, or rows are not an array");
    ShareMessage message;
    message.kind = static_cast<ShareMessageKind>(*kind);
    message.from = VmId(*from);
    message.zone = *zone;
    const bool isGrant = message.kind == ShareMessageKind::NodeGrant
                         || message.kind == ShareMessageKind::ZoneGrant;
    for (const Json::Value &row : json["r"]) {
        if (!isValidRow(row, isGrant ? GrantFieldCount : ReportFieldCount))
            return makeError(ErrorCode::JsonInvalid,
                             "limit share message: row has missing or mistyped fields");
        if (isGrant)
            message.grants.push_back(readGrant(row));
        else
            message.reports.push_back(readReport(row));
    }
    return message;
}

} // namespace currantwalk
