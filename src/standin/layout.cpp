#include <string_view>

#include "config/tomllibrary.h"

#include "standin/standin.h"

namespace currantwalk::standin {

static std::string placeOf(const toml::node &node)
{
    return "line " + std::to_string(node.source().begin.line);
}

static absl::Status layoutError(const std::string &place, const std::string &problem)
{
    return makeError(ErrorCode::SettingsInvalid, place + ": " + problem);
}

static absl::Status readEndpoint(const toml::table &table, Endpoint *endpoint)
{
    const std::string text = table["endpoint"].value_or(std::string("127.0.0.1:0"));
    absl::StatusOr<Endpoint> parsed = Endpoint::parse(text);
    if (!parsed.ok())
        return layoutError(placeOf(table), std::string(parsed.status().message()));
    *endpoint = *parsed;
    return absl::OkStatus();
}

static std::vector<LoadedModel> readModels(const toml::table &table)
{
    std::vector<LoadedModel> models;
    const toml::array *rows = table["models"].as_array();
    if (!rows)
        return models;
    for (const toml::node &row : *rows) {
        const std::string text = row.value_or(std::string());
        const std::size_t at = text.find('@');
        const std::string version = at == std::string::npos ? "1" : text.substr(at + 1);
        models.push_back({text.substr(0, at), version});
    }
    return models;
}

static void readEngine(const toml::table &table, Engine::Options *engine)
{
    engine->capacityTokens = table["capacity_tokens"].value_or(engine->capacityTokens);
    engine->maxBatch = table["max_batch"].value_or(engine->maxBatch);
    engine->meanTokens = table["mean_tokens"].value_or(engine->meanTokens);
    engine->checksFencing = table["checks_fencing"].value_or(engine->checksFencing);
    const std::int64_t stepMilliseconds = table["step_ms"].value_or(std::int64_t{20});
    engine->stepTime = std::chrono::milliseconds(stepMilliseconds);
    engine->models = readModels(table);
}

static absl::StatusOr<TargetLayout> readTarget(const toml::table &table)
{
    TargetLayout target;
    target.id = table["id"].value_or(std::string());
    target.zone = table["zone"].value_or(std::string());
    target.pool = table["pool"].value_or(std::string());
    if (target.id.empty() || target.zone.empty() || target.pool.empty())
        return layoutError(placeOf(table), "a target needs id, zone and pool");
    const std::string kind = table["kind"].value_or(std::string("engine"));
    if (kind != "engine" && kind != "plain")
        return layoutError(placeOf(table), "kind: expected engine or plain");
    target.kind = kind == "engine" ? TargetKind::Engine : TargetKind::Plain;
    target.checksKeys = table["checks_keys"].value_or(false);
    readEngine(table, &target.engine);
    const absl::Status status = readEndpoint(table, &target.endpoint);
    if (!status.ok())
        return status;
    return target;
}

static absl::StatusOr<EntryVm> readEntryVm(const toml::table &table)
{
    EntryVm vm;
    vm.id = table["id"].value_or(std::string());
    vm.zone = table["zone"].value_or(std::string());
    if (vm.id.empty() || vm.zone.empty())
        return layoutError(placeOf(table), "an entry VM needs id and zone");
    const absl::Status status = readEndpoint(table, &vm.endpoint);
    if (!status.ok())
        return status;
    return vm;
}

template<typename Row>
static absl::Status readRows(const toml::table &root, const char *name,
                             absl::StatusOr<Row> (*read)(const toml::table &),
                             std::vector<Row> *rows)
{
    const toml::array *array = root[name].as_array();
    if (!array)
        return absl::OkStatus();
    for (const toml::node &node : *array) {
        const toml::table *table = node.as_table();
        if (!table)
            return layoutError(placeOf(node), std::string(name) + ": expected tables");
        absl::StatusOr<Row> row = read(*table);
        if (!row.ok())
            return row.status();
        rows->push_back(*std::move(row));
    }
    return absl::OkStatus();
}

static absl::StatusOr<Layout> readLayout(const toml::table &root)
{
    Layout layout;
    const std::string platform = root["platform"].value_or(std::string("127.0.0.1:0"));
    absl::StatusOr<Endpoint> endpoint = Endpoint::parse(platform);
    if (!endpoint.ok())
        return layoutError("platform", std::string(endpoint.status().message()));
    layout.platform = *endpoint;
    layout.seed = root["seed"].value_or(layout.seed);
    layout.log.appendsPerSecond = root["appends_per_second"].value_or(layout.log.appendsPerSecond);
    layout.weightLoadsPerMinute =
            root["weight_loads_per_minute"].value_or(layout.weightLoadsPerMinute);
    absl::Status status = readRows(root, "entry_vm", readEntryVm, &layout.entryVms);
    if (status.ok())
        status = readRows(root, "target", readTarget, &layout.targets);
    if (!status.ok())
        return status;
    return layout;
}

absl::StatusOr<Layout> Layout::parse(const std::string &text)
{
    const toml::parse_result parsed = toml::parse(text);
    if (parsed)
        return readLayout(parsed.table());
    return layoutError("line " + std::to_string(parsed.error().source().begin.line),
                       std::string(parsed.error().description()));
}

} // namespace currantwalk::standin
