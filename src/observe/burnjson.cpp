#include "base/json.h"
#include "observe/burn.h"

namespace currantwalk {

static constexpr std::size_t CountsSize = 2 * BurnAspectCount;

static Json::Value countsToJson(const BurnCounts &counts)
{
    Json::Value value(Json::arrayValue);
    for (std::size_t i = 0; i < BurnAspectCount; ++i) {
        value.append(static_cast<Json::UInt64>(counts.good[i]));
        value.append(static_cast<Json::UInt64>(counts.bad[i]));
    }
    return value;
}

static bool countsFromJson(const Json::Value &value, BurnCounts &counts)
{
    if (!value.isArray() || value.size() != CountsSize)
        return false;
    for (const Json::Value &item : value) {
        if (!item.isUInt64())
            return false;
    }
    for (Json::ArrayIndex i = 0; i < BurnAspectCount; ++i) {
        counts.good[i] = value[2 * i].asUInt64();
        counts.bad[i] = value[2 * i + 1].asUInt64();
    }
    return true;
}

// Most buckets are empty, so a histogram is written as pairs of bucket and count.
static Json::Value histogramToJson(const LogHistogram &histogram)
{
    Json::Value value(Json::arrayValue);
    for (std::size_t i = 0; i < histogram.counts().size(); ++i) {
        if (histogram.counts()[i] == 0)
            continue;
        Json::Value pair(Json::arrayValue);
        pair.append(static_cast<Json::UInt64>(i));
        pair.append(static_cast<Json::UInt64>(histogram.counts()[i]));
        value.append(pair);
    }
    return value;
}

static bool histogramFromJson(const Json::Value &value, LogHistogram &histogram)
{
    if (!value.isArray())
        return false;
    for (const Json::Value &pair : value) {
        if (!pair.isArray() || pair.size() != 2 || !pair[0].isUInt64() || !pair[1].isUInt64())
            return false;
        if (pair[0].asUInt64() >= histogram.counts().size())
            return false;
        histogram.addToBucket(pair[0].asUInt64(), pair[1].asUInt64());
    }
    return true;
}

Json::Value BurnSnapshot::toJson() const
{
    Json::Value value(Json::objectValue);
    value["series"] = Json::Value(Json::arrayValue);
    for (const auto &[key, windows] : series) {
        Json::Value row;
        row["service"] = key.service;
        row["organisation"] = key.organisation;
        row["zone"] = key.zone;
        for (std::size_t i = 0; i < BurnWindowCount; ++i)
            row[std::string(burnWindowName(static_cast<BurnWindow>(i)))] = countsToJson(windows[i]);
        value["series"].append(row);
    }
    value["times"] = Json::Value(Json::objectValue);
    for (const auto &[service, histograms] : times) {
        Json::Value &row = value["times"][service];
        row["first-token"] = histogramToJson(histograms.firstToken);
        row["mean-gap"] = histogramToJson(histograms.meanGap);
        row["longest-gap"] = histogramToJson(histograms.longestGap);
    }
    return value;
}

static absl::Status readSeries(const Json::Value &row, BurnSnapshot &snapshot)
{
    BurnKey key;
    for (const auto &[name, text] :
         {std::pair("service", &key.service), std::pair("organisation", &key.organisation),
          std::pair("zone", &key.zone)}) {
        absl::StatusOr<std::string> member = stringMember(row, name);
        if (!member.ok())
            return member.status();
        *text = *std::move(member);
    }
    BurnWindows &windows = snapshot.series[key];
    for (std::size_t i = 0; i < BurnWindowCount; ++i) {
        const std::string name(burnWindowName(static_cast<BurnWindow>(i)));
        if (!countsFromJson(row[name], windows[i]))
            return makeError(ErrorCode::JsonInvalid, "burn counts of window " + name);
    }
    return absl::OkStatus();
}

absl::StatusOr<BurnSnapshot> BurnSnapshot::fromJson(const Json::Value &value)
{
    if (!value.isObject() || !value["series"].isArray() || !value["times"].isObject())
        return makeError(ErrorCode::JsonInvalid, "burn snapshot without series and times");
    BurnSnapshot snapshot;
    for (const Json::Value &row : value["series"]) {
        if (!row.isObject())
            return makeError(ErrorCode::JsonInvalid, "burn series that is no object");
        const absl::Status status = readSeries(row, snapshot);
        if (!status.ok())
            return status;
    }
    for (const std::string &service : value["times"].getMemberNames()) {
        const Json::Value &row = value["times"][service];
        LatencyHistograms &histograms = snapshot.times[service];
        if (!row.isObject() || !histogramFromJson(row["first-token"], histograms.firstToken)
            || !histogramFromJson(row["mean-gap"], histograms.meanGap)
            || !histogramFromJson(row["longest-gap"], histograms.longestGap))
            return makeError(ErrorCode::JsonInvalid, "burn times of service " + service);
    }
    return snapshot;
}

} // namespace currantwalk
