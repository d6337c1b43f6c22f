#include "daemon/burncollector.h"

#include <memory>
#include <utility>

#include "base/json.h"
#include "observe/burnreport.h"

namespace currantwalk {

absl::StatusOr<BurnQuery> BurnQuery::fromJson(const Json::Value &params)
{
    BurnQuery query;
    if (!params.isObject())
        return query;
    if (params.isMember("by")) {
        const absl::StatusOr<std::string> name = stringMember(params, "by");
        const std::optional<BurnGrouping> grouping =
                name.ok() ? burnGroupingFromName(*name) : std::nullopt;
        if (!grouping)
            return makeError(ErrorCode::InvalidRequest,
                             "by: expected service, organisation or zone");
        query.grouping = *grouping;
    }
    if (params.isMember("page")) {
        const absl::StatusOr<bool> isPageWanted = boolMember(params, "page");
        if (!isPageWanted.ok())
            return isPageWanted.status();
        query.isPageWanted = *isPageWanted;
    }
    return query;
}

namespace {

struct Collection
{
    BurnSnapshot merged;
    std::size_t outstanding = 0;
    std::size_t missing = 0;
};

} // namespace

static bool mergeAnswer(const absl::StatusOr<Json::Value> &answer, BurnSnapshot *merged)
{
    if (!answer.ok())
        return false;
    const absl::StatusOr<BurnSnapshot> snapshot = BurnSnapshot::fromJson(*answer);
    if (!snapshot.ok())
        return false;
    merged->merge(*snapshot);
    return true;
}

void collectBurn(PeerLink &peers, const std::vector<Member> &members, BurnSnapshot own,
                 std::function<void(const BurnSnapshot &merged, std::size_t missing)> callback)
{
    const auto collection = std::make_shared<Collection>();
    collection->merged = std::move(own);
    collection->outstanding = members.size();
    if (members.empty())
        return callback(collection->merged, 0);
    for (const Member &member : members) {
        peers.call(member.endpoint, "burn", Json::Value(Json::objectValue),
                   [collection, callback](const absl::StatusOr<Json::Value> &answer) {
                       if (!mergeAnswer(answer, &collection->merged))
                           ++collection->missing;
                       if (--collection->outstanding == 0)
                           callback(collection->merged, collection->missing);
                   });
    }
}

static Json::Value encodeWindow(const BurnRow &row, std::size_t window)
{
    Json::Value json(Json::objectValue);
    json["service"] = row.key.service;
    json["organisation"] = row.key.organisation;
    json["zone"] = row.key.zone;
    json["objective"] = std::string(burnAspectName(row.aspect));
    json["window"] = std::string(burnWindowName(static_cast<BurnWindow>(window)));
    json["requests"] = Json::UInt64(row.answers[window]);
    json["burn"] = row.rates[window];
    json["budget"] = row.budget;
    json["alert"] = std::string(burnAlertName(row.alert));
    return json;
}

Json::Value encodeBurnReport(const BurnSnapshot &snapshot, const ObjectSet &objects,
                             const BurnQuery &query, std::size_t missing)
{
    const std::vector<BurnRow> rows = burnRows(snapshot, objects, query.grouping);
    Json::Value json(Json::objectValue);
    json["rows"] = Json::Value(Json::arrayValue);
    for (const BurnRow &row : rows) {
        for (std::size_t window = 0; window < BurnWindowCount; ++window)
            json["rows"].append(encodeWindow(row, window));
    }
    json["text"] = renderBurnText(rows);
    json["missing_nodes"] = Json::UInt64(missing);
    if (query.isPageWanted)
        json["page"] = renderBurnHtml(rows, snapshot);
    return json;
}

} // namespace currantwalk
