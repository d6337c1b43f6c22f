#include "limits/sharemessages.h"

#include <algorithm>
#include <cmath>

#include "base/json.h"

namespace currantwalk {

// Keys: k kind, f from, z zone, r rows. Rows are arrays, with amounts as whole thousandths:
// reports are [limit, number, demand x3, held x3, streams in use, waiting, token debt],
// grants [limit, number, share x3, life in ms, credit, debt taken, token delay in ms].
constexpr Json::ArrayIndex ReportCells = 11;
constexpr Json::ArrayIndex GrantCells = 9;
constexpr double Thousandths = 1000;
constexpr double MaxAmount = 1e15;

// Rounded down, so that a grant read is never more than the one written.
static Json::Value::UInt64 amountCell(double amount)
{
    return static_cast<Json::Value::UInt64>(
            std::floor(std::clamp(amount * Thousandths, 0.0, MaxAmount)));
}

static double amountOf(const Json::Value &cell)
{
    return static_cast<double>(cell.asUInt64()) / Thousandths;
}

static Json::Value::UInt64 durationCell(Duration duration)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<Json::Value::UInt64>(std::max<std::int64_t>(0, ms));
}

static Duration durationOf(const Json::Value &cell)
{
    constexpr Json::Value::UInt64 MaxMs = 3'600'000;
    return std::chrono::milliseconds(std::min(cell.asUInt64(), MaxMs));
}

static void appendShare(Json::Value &cells, const Share &share)
{
    cells.append(amountCell(share.requests));
    cells.append(amountCell(share.tokens));
    cells.append(amountCell(share.streams));
}

static Share shareOf(const Json::Value &cells, Json::ArrayIndex first)
{
    return {amountOf(cells[first]), amountOf(cells[first + 1]), amountOf(cells[first + 2])};
}

static Json::Value writeReport(const ShareReport &report)
{
    Json::Value cells(Json::arrayValue);
    cells.append(report.limit);
    cells.append(report.number);
    appendShare(cells, report.demand);
    appendShare(cells, report.held);
    cells.append(amountCell(report.streamsInUse));
    cells.append(amountCell(report.waiting));
    cells.append(amountCell(report.tokenDebt));
    return cells;
}

static Json::Value writeGrant(const ShareGrant &grant)
{
    Json::Value cells(Json::arrayValue);
    cells.append(grant.limit);
    cells.append(grant.number);
    appendShare(cells, grant.share);
    cells.append(durationCell(grant.life));
    cells.append(amountCell(grant.credit));
    cells.append(amountCell(grant.debtTaken));
    cells.append(durationCell(grant.tokenDelay));
    return cells;
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

static bool isRow(const Json::Value &cells, Json::ArrayIndex size)
{
    if (!cells.isArray() || cells.size() != size || !cells[0].isString() || !cells[1].isUInt())
        return false;
    for (Json::ArrayIndex i = 2; i < size; ++i) {
        if (!cells[i].isUInt64())
            return false;
    }
    return true;
}

static ShareReport readReport(const Json::Value &cells)
{
    ShareReport report;
    report.limit = cells[0].asString();
    report.number = cells[1].asUInt();
    report.demand = shareOf(cells, 2);
    report.held = shareOf(cells, 5);
    report.streamsInUse = amountOf(cells[8]);
    report.waiting = amountOf(cells[9]);
    report.tokenDebt = amountOf(cells[10]);
    return report;
}

static ShareGrant readGrant(const Json::Value &cells)
{
    ShareGrant grant;
    grant.limit = cells[0].asString();
    grant.number = cells[1].asUInt();
    grant.share = shareOf(cells, 2);
    grant.life = durationOf(cells[5]);
    grant.credit = amountOf(cells[6]);
    grant.debtTaken = amountOf(cells[7]);
    grant.tokenDelay = durationOf(cells[8]);
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
        return makeError(ErrorCode::JsonInvalid, "shares of limits: unknown kind or no rows");
    ShareMessage message;
    message.kind = static_cast<ShareMessageKind>(*kind);
    message.from = VmId(*from);
    message.zone = *zone;
    const bool isGrant = message.kind == ShareMessageKind::NodeGrant
                         || message.kind == ShareMessageKind::ZoneGrant;
    for (const Json::Value &cells : json["r"]) {
        if (!isRow(cells, isGrant ? GrantCells : ReportCells))
            return makeError(ErrorCode::JsonInvalid, "shares of limits: wrong cells of a row");
        if (isGrant)
            message.grants.push_back(readGrant(cells));
        else
            message.reports.push_back(readReport(cells));
    }
    return message;
}

} // namespace currantwalk
