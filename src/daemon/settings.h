#ifndef CURRANTWALK_DAEMON_SETTINGS_H
#define CURRANTWALK_DAEMON_SETTINGS_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/timerservice.h"
#include "net/http.h"
#include "observe/logging.h"

namespace currantwalk {

/// Settings of one listener.
struct ListenerSettings
{
    Endpoint listen;
    std::optional<TlsFiles> tls;
    std::uint64_t maxBodyBytes = std::uint64_t{4} * 1024 * 1024;
    std::uint64_t maxConnections = 4096;
};

/// The settings of one daemon. They say where it is and whom it talks to; all else is published.
struct Settings
{
    std::string vm;
    std::string zone;
    ListenerSettings callers;
    ListenerSettings peers;
    ListenerSettings operators;
    std::string peerKeyFile;
    std::string operatorKeyFile;
    std::uint64_t receiveMegabytes = 64;     ///< For requests, with their copies.
    std::uint64_t receiveConnections = 4096; ///< On all listeners together.
    std::vector<Endpoint> seeds;
    Endpoint platform;
    Duration logRecordLifetime = std::chrono::hours(2);
    Duration drainAnnounceTime = std::chrono::seconds(5);
    std::string routingPolicy = "project";
    std::uint64_t modelsPerEngine = 4;      ///< Models and adapters that an engine may have loaded.
    std::uint64_t weightLoadsPerMinute = 6; ///< This zone's part of the weight store's limit.
    LogFormat logFormat = LogFormat::Text;
    LogLevel logLevel = LogLevel::Info;
};

/// One fault in a settings file.
struct SettingsFault
{
    std::uint32_t line = 0; ///< 0 where the key is absent.
    std::string key;
    std::string expected;

    /// Writes "FILE:LINE: KEY: expected …".
    std::string toString(std::string_view file) const;
};

/// Settings that were read, with all faults found; they may be used only where there are none.
struct SettingsReading
{
    Settings settings;
    std::vector<SettingsFault> faults;
};

/// Reads and wholly checks settings in TOML.
SettingsReading readSettings(std::string_view text);

/// Reads the only line of a key file. Fails with SettingsInvalid where it is unreadable or short.
absl::StatusOr<std::string> readKeyFile(const std::string &path);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_SETTINGS_H
