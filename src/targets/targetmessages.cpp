#include "targets/targetmessages.h"

#include <algorithm>
#include <optional>

#include "base/json.h"

namespace currantwalk {

// A digest is {"r":[row...]}. A row is an array, as keys would make up most of its bytes:
// [id, incarnation, age in ms, state, running, waiting, used, preemptions, generated, tag,
// capacity, models]. A row without load ends after the state. A row whose capacity and models the
// zone already knows ends after the tag. States are 0 live, 1 leaving, 2 gone.
constexpr Json::ArrayIndex StateCells = 4;
constexpr Json::ArrayIndex LoadCells = 10;
constexpr Json::ArrayIndex ModelsCells = 12;
constexpr std::uint32_t TagMask = 0xFFFF;
constexpr std::uint64_t MaxAgeMs = 24ULL * 60 * 60 * 1000;

static absl::Status rowError(std::string_view detail)
{
    return makeError(ErrorCode::JsonInvalid, detail);
}

static Json::Value::UInt64 toMilliseconds(Duration age)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<Json::Value::UInt64>(std::max<std::int64_t>(ms, 0));
}

static Duration fromMilliseconds(std::uint64_t ms)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(ms, MaxAgeMs)));
}

std::uint32_t modelsTag(const std::vector<LoadedModel> &models, std::uint64_t capacityTokens)
{
    std::string text = std::to_string(capacityTokens);
    for (const LoadedModel &model : models)
        text.append(model.name).append("\n").append(model.version).append("\n");
    return static_cast<std::uint32_t>(stableHash(text)) & TagMask;
}

static Json::Value writeModels(const std::vector<LoadedModel> &models)
{
    Json::Value list(Json::arrayValue);
    for (const LoadedModel &model : models) {
        list.append(model.name);
        list.append(model.version);
    }
    return list;
}

static Json::Value writeRow(const DigestRow &row)
{
    Json::Value cells(Json::arrayValue);
    cells.append(row.id.text());
    cells.append(Json::Value::UInt64(row.incarnation));
    cells.append(toMilliseconds(row.age));
    cells.append(static_cast<int>(row.state));
    if (!row.hasLoad)
        return cells;
    cells.append(row.load.running);
    cells.append(row.load.waiting);
    cells.append(Json::Value::UInt64(row.load.usedTokens));
    cells.append(Json::Value::UInt64(row.load.preemptions));
    cells.append(Json::Value::UInt64(row.load.generatedTokens));
    cells.append(row.modelsTag);
    if (!row.hasModels)
        return cells;
    cells.append(Json::Value::UInt64(row.load.capacityTokens));
    cells.append(writeModels(row.models));
    return cells;
}

Json::Value writeDigest(const std::vector<DigestRow> &rows)
{
    Json::Value digest(Json::objectValue);
    Json::Value &list = digest["r"] = Json::Value(Json::arrayValue);
    for (const DigestRow &row : rows)
        list.append(writeRow(row));
    return digest;
}

static bool areUnsigned(const Json::Value &cells, Json::ArrayIndex first, Json::ArrayIndex end)
{
    for (Json::ArrayIndex i = first; i < end; ++i) {
        if (!cells[i].isUInt64())
            return false;
    }
    return true;
}

static std::optional<TargetState> readState(const Json::Value &cell)
{
    if (!cell.isUInt() || cell.asUInt() > static_cast<unsigned>(TargetState::Gone))
        return std::nullopt;
    return static_cast<TargetState>(cell.asUInt());
}

static absl::StatusOr<std::vector<LoadedModel>> readModels(const Json::Value &list)
{
    if (!list.isArray() || list.size() % 2 != 0)
        return rowError("models of a digest row: expected pairs");
    std::vector<LoadedModel> models;
    for (Json::ArrayIndex i = 0; i < list.size(); i += 2) {
        if (!list[i].isString() || !list[i + 1].isString())
            return rowError("models of a digest row: expected strings");
        models.push_back({list[i].asString(), list[i + 1].asString()});
    }
    return models;
}

static bool readLoad(const Json::Value &cells, DigestRow &row)
{
    if (!areUnsigned(cells, StateCells, LoadCells) || !cells[4].isUInt() || !cells[5].isUInt()
        || !cells[9].isUInt())
        return false;
    row.hasLoad = true;
    row.load.running = cells[4].asUInt();
    row.load.waiting = cells[5].asUInt();
    row.load.usedTokens = cells[6].asUInt64();
    row.load.preemptions = cells[7].asUInt64();
    row.load.generatedTokens = cells[8].asUInt64();
    row.modelsTag = cells[9].asUInt();
    return true;
}

static absl::StatusOr<DigestRow> readRow(const Json::Value &cells)
{
    if (!cells.isArray()
        || (cells.size() != StateCells && cells.size() != LoadCells && cells.size() != ModelsCells))
        return rowError("digest row: wrong number of cells");
    const std::optional<TargetState> state = readState(cells[3]);
    if (!cells[0].isString() || !areUnsigned(cells, 1, 3) || !state)
        return rowError("digest row: wrong type of a cell");
    DigestRow row;
    row.id = TargetId(cells[0].asString());
    row.incarnation = cells[1].asUInt64();
    row.age = fromMilliseconds(cells[2].asUInt64());
    row.state = *state;
    if (cells.size() == StateCells)
        return row;
    if (!readLoad(cells, row))
        return rowError("digest row: wrong type of a load cell");
    if (cells.size() == LoadCells)
        return row;
    absl::StatusOr<std::vector<LoadedModel>> models = readModels(cells[11]);
    if (!models.ok())
        return models.status();
    if (!cells[10].isUInt64())
        return rowError("digest row: wrong type of the capacity");
    row.hasModels = true;
    row.load.capacityTokens = cells[10].asUInt64();
    row.models = *std::move(models);
    return row;
}

absl::StatusOr<std::vector<DigestRow>> readDigest(const Json::Value &digest)
{
    if (!digest.isObject() || !digest["r"].isArray())
        return rowError("digest: expected rows");
    std::vector<DigestRow> rows;
    for (const Json::Value &cells : digest["r"]) {
        absl::StatusOr<DigestRow> row = readRow(cells);
        if (!row.ok())
            return row.status();
        rows.push_back(*std::move(row));
    }
    return rows;
}

Json::Value writeAnnouncement(const TargetAnnouncement &announcement)
{
    Json::Value message(Json::objectValue);
    message["t"] = announcement.id.text();
    message["i"] = Json::Value::UInt64(announcement.incarnation);
    message["s"] = static_cast<int>(announcement.state);
    message["a"] = toMilliseconds(announcement.age);
    return message;
}

absl::StatusOr<TargetAnnouncement> readAnnouncement(const Json::Value &message)
{
    const absl::StatusOr<std::string> id = stringMember(message, "t");
    const absl::StatusOr<std::uint64_t> incarnation = unsignedMember(message, "i");
    const absl::StatusOr<std::uint64_t> age = unsignedMember(message, "a");
    for (const absl::Status &status : {id.status(), incarnation.status(), age.status()}) {
        if (!status.ok())
            return status;
    }
    const std::optional<TargetState> state = readState(message["s"]);
    if (!state || *state == TargetState::Live)
        return rowError("announcement: only leaving and gone are announced");
    return TargetAnnouncement{TargetId(*id), *incarnation, *state, fromMilliseconds(*age)};
}

} // namespace currantwalk
