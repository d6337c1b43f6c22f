#include "daemon/settings.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>

#include "config/tomllibrary.h"

#include "routing/policy.h"

namespace currantwalk {

static constexpr std::size_t MinKeyBytes = 16;

std::string SettingsFault::toString(std::string_view file) const
{
    std::string text(file);
    if (line > 0)
        text += ":" + std::to_string(line);
    return text + ": " + key + ": expected " + expected;
}

static std::optional<Duration> parseDuration(std::string_view text)
{
    std::int64_t count = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, count);
    if (result.ec != std::errc() || count < 0)
        return std::nullopt;
    const std::string_view unit(result.ptr, static_cast<std::size_t>(end - result.ptr));
    constexpr std::int64_t MaxCount = 1000000;
    if (count > MaxCount)
        return std::nullopt;
    if (unit == "ms")
        return std::chrono::milliseconds(count);
    if (unit == "s")
        return std::chrono::seconds(count);
    if (unit == "m")
        return std::chrono::minutes(count);
    if (unit == "h")
        return std::chrono::hours(count);
    return std::nullopt;
}

namespace {

/// Reads the members of one table, noting each fault and each key that was asked for.
class TableReader
{
public:
    TableReader(const toml::table &root, const char *name, std::vector<SettingsFault> &faults)
        : m_name(name), m_faults(faults)
    {
        const toml::node *node = root.get(name);
        if (node && !node->is_table())
            fault(node->source().begin.line, name, "a table");
        m_table = node ? node->as_table() : nullptr;
    }

    std::string text(const char *key, std::optional<std::string> fallback)
    {
        const toml::node *node = find(key, !fallback);
        if (!node)
            return fallback.value_or("");
        const std::optional<std::string> value = node->value_exact<std::string>();
        if (!value || value->empty())
            faultAt(*node, key, "a string that is not empty");
        return value.value_or("");
    }

    std::uint64_t number(const char *key, std::uint64_t fallback)
    {
        const toml::node *node = find(key, false);
        if (!node)
            return fallback;
        const std::optional<std::int64_t> value = node->value_exact<std::int64_t>();
        if (!value || *value <= 0)
            faultAt(*node, key, "a whole number above 0");
        return value && *value > 0 ? static_cast<std::uint64_t>(*value) : fallback;
    }

    Duration duration(const char *key, Duration fallback)
    {
        const toml::node *node = find(key, false);
        if (!node)
            return fallback;
        const std::optional<std::string> value = node->value_exact<std::string>();
        const std::optional<Duration> parsed = value ? parseDuration(*value) : std::nullopt;
        if (!parsed)
            faultAt(*node, key, "a duration with its unit (ms, s, m or h), such as \"500ms\"");
        return parsed.value_or(fallback);
    }

    Endpoint endpoint(const char *key)
    {
        const toml::node *node = find(key, true);
        return node ? endpointOf(*node, key) : Endpoint();
    }

    std::vector<Endpoint> endpoints(const char *key)
    {
        const toml::node *node = find(key, false);
        if (!node)
            return {};
        const toml::array *rows = node->as_array();
        if (!rows)
            faultAt(*node, key, "an array of IP numbers with ports");
        std::vector<Endpoint> result;
        for (std::size_t i = 0; rows && i < rows->size(); ++i)
            result.push_back(endpointOf((*rows)[i], key));
        return result;
    }

    template<typename Enum>
    Enum named(const char *key, Enum fallback, std::optional<Enum> (*fromName)(std::string_view),
               const char *names)
    {
        const toml::node *node = find(key, false);
        if (!node)
            return fallback;
        const std::optional<std::string> value = node->value_exact<std::string>();
        const std::optional<Enum> result = value ? fromName(*value) : std::nullopt;
        if (!result)
            faultAt(*node, key, names);
        return result.value_or(fallback);
    }

    std::string choice(const char *key, const std::string &fallback,
                       const std::vector<std::string_view> &allowed)
    {
        const toml::node *node = find(key, false);
        if (!node)
            return fallback;
        const std::string value = node->value_exact<std::string>().value_or("");
        if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
            return value;
        std::string expected = "one of";
        for (const std::string_view name : allowed)
            expected.append(" ").append(name);
        faultAt(*node, key, expected);
        return fallback;
    }

    /// Notes a fault for each key of the table that was not asked for.
    void refuseOthers()
    {
        if (!m_table)
            return;
        for (const auto &[key, node] : *m_table) {
            if (!m_known.contains(std::string(key.str())))
                faultAt(node, std::string(key.str()).c_str(), "no such key");
        }
    }

private:
    const toml::node *find(const char *key, bool isRequired)
    {
        m_known.insert(key);
        const toml::node *node = m_table ? m_table->get(key) : nullptr;
        if (!node && isRequired)
            fault(0, key, "a value");
        return node;
    }

    Endpoint endpointOf(const toml::node &node, const char *key)
    {
        const std::optional<std::string> value = node.value_exact<std::string>();
        const absl::StatusOr<Endpoint> parsed = Endpoint::parse(value.value_or(""));
        if (!parsed.ok())
            faultAt(node, key, "an IP number and a port, such as \"127.0.0.1:8080\"");
        return parsed.ok() ? *parsed : Endpoint();
    }

    void faultAt(const toml::node &node, const char *key, std::string expected)
    {
        fault(node.source().begin.line, key, std::move(expected));
    }

    void fault(std::uint32_t line, const std::string &key, std::string expected)
    {
        const std::string path = key == m_name ? key : m_name + "." + key;
        m_faults.push_back({line, path, std::move(expected)});
    }

    std::string m_name;
    std::vector<SettingsFault> &m_faults;
    const toml::table *m_table = nullptr;
    std::set<std::string> m_known;
};

} // namespace

static std::optional<TlsFiles> readTls(TableReader &table)
{
    TlsFiles tls;
    tls.certificate = table.text("tls_certificate", "");
    tls.privateKey = table.text("tls_key", "");
    tls.authorities = table.text("tls_authorities", "");
    if (tls.certificate.empty())
        return std::nullopt;
    return tls;
}

static ListenerSettings readListener(TableReader &table)
{
    ListenerSettings listener;
    listener.listen = table.endpoint("listen");
    listener.tls = readTls(table);
    listener.maxBodyBytes = table.number("max_body_bytes", listener.maxBodyBytes);
    listener.maxConnections = table.number("max_connections", listener.maxConnections);
    return listener;
}

static void refuseUnknownTables(const toml::table &root, std::vector<SettingsFault> &faults)
{
    static const std::set<std::string> Known{"vm",       "callers",  "peers", "operators",
                                             "platform", "receive",  "drain", "logs",
                                             "routing",  "placement"};
    for (const auto &[key, node] : root) {
        if (!Known.contains(std::string(key.str())))
            faults.push_back({node.source().begin.line, std::string(key.str()), "no such table"});
    }
}

static SettingsReading readTables(const toml::table &root)
{
    SettingsReading reading;
    Settings &settings = reading.settings;
    refuseUnknownTables(root, reading.faults);

    TableReader vm(root, "vm", reading.faults);
    settings.vm = vm.text("id", std::nullopt);
    settings.zone = vm.text("zone", std::nullopt);
    vm.refuseOthers();

    TableReader callers(root, "callers", reading.faults);
    settings.callers = readListener(callers);
    callers.refuseOthers();

    TableReader peers(root, "peers", reading.faults);
    settings.peers = readListener(peers);
    settings.peerKeyFile = peers.text("key_file", std::nullopt);
    settings.seeds = peers.endpoints("seeds");
    peers.refuseOthers();

    TableReader operators(root, "operators", reading.faults);
    settings.operators = readListener(operators);
    settings.operatorKeyFile = operators.text("key_file", std::nullopt);
    operators.refuseOthers();

    TableReader receive(root, "receive", reading.faults);
    settings.receiveMegabytes = receive.number("memory_mb", settings.receiveMegabytes);
    settings.receiveConnections = receive.number("max_connections", settings.receiveConnections);
    receive.refuseOthers();

    TableReader platform(root, "platform", reading.faults);
    settings.platform = platform.endpoint("endpoint");
    settings.logRecordLifetime = platform.duration("record_lifetime", settings.logRecordLifetime);
    platform.refuseOthers();

    TableReader drain(root, "drain", reading.faults);
    settings.drainAnnounceTime = drain.duration("announce_time", settings.drainAnnounceTime);
    drain.refuseOthers();

    TableReader routing(root, "routing", reading.faults);
    settings.routingPolicy = routing.choice("policy", settings.routingPolicy, routingPolicyNames());
    routing.refuseOthers();

    TableReader placement(root, "placement", reading.faults);
    settings.modelsPerEngine = placement.number("models_per_engine", settings.modelsPerEngine);
    settings.weightLoadsPerMinute =
            placement.number("weight_loads_per_minute", settings.weightLoadsPerMinute);
    placement.refuseOthers();

    TableReader logs(root, "logs", reading.faults);
    settings.logFormat =
            logs.named("format", settings.logFormat, &logFormatFromName, "text or json");
    settings.logLevel = logs.named("level", settings.logLevel, &logLevelFromName,
                                   "debug, info, warning or error");
    logs.refuseOthers();
    return reading;
}

// The library's generated tables misread a non-ASCII character after a bare key, so the text is
// held to ASCII; no setting needs more.
static std::optional<SettingsFault> findNonAscii(std::string_view text)
{
    std::uint32_t line = 1;
    for (const char c : text) {
        if (c == '\n')
            ++line;
        if (static_cast<unsigned char>(c) >= 0x80)
            return SettingsFault{line, "text", "ASCII characters alone"};
    }
    return std::nullopt;
}

SettingsReading readSettings(std::string_view text)
{
    SettingsReading reading;
    if (const std::optional<SettingsFault> fault = findNonAscii(text)) {
        reading.faults.push_back(*fault);
        return reading;
    }
    const toml::parse_result parsed = toml::parse(text);
    if (parsed)
        return readTables(parsed.table());
    const std::string problem = "TOML: " + std::string(parsed.error().description());
    reading.faults.push_back({parsed.error().source().begin.line, "text", problem});
    return reading;
}

absl::StatusOr<std::string> readKeyFile(const std::string &path)
{
    std::ifstream file(path);
    std::string key;
    if (!std::getline(file, key))
        return makeError(ErrorCode::SettingsInvalid, "the key file cannot be read: " + path);
    if (key.size() < MinKeyBytes)
        return makeError(ErrorCode::SettingsInvalid,
                         "the key file needs at least 16 characters: " + path);
    return key;
}

} // namespace currantwalk
