#ifndef CURRANTWALK_CONFIG_CONFIGSTORE_H
#define CURRANTWALK_CONFIG_CONFIGSTORE_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "base/ids.h"
#include "base/timerservice.h"
#include "config/objects.h"
#include "log/logservice.h"

namespace currantwalk {

/// A version of the published set. The version number is the offset of its record in the log.
struct ConfigVersion
{
    LogOffset version = 0; ///< 0: nothing has been published.
    LogOffset base = 0;    ///< The version it is based on.
    std::string author;
    std::string publicationId; ///< Chosen by the publisher to recognise its own record.
    ObjectSet objects;
};

/// The decision on one publication; the same on every node.
struct PublicationVerdict
{
    LogOffset offset = 0;
    LogOffset base = 0;
    std::string author;
    std::string publicationId;
    bool isAccepted = false;
    std::string reason; ///< Set if rejected.
};

/// Follows the configuration stream of the platform's log. The version never decreases.
class ConfigStore
{
public:
    static constexpr const char *StreamName = "config";

    struct Options
    {
        Duration pollInterval = std::chrono::milliseconds(500);
        Duration recordLifetime = std::chrono::hours(2); ///< How long the log retains a record.
        std::size_t maxKeptVerdicts = 1000;
        std::uint64_t seed = 1; ///< For jitter; must differ between nodes.
    };

    struct Hooks
    {
        LogHooks log;
        /// Called when a newer version comes into force on this node.
        std::function<void(const ConfigVersion &)> onVersion;
        /// Called when a publication was accepted or rejected; see Publisher. May be empty.
        std::function<void(const PublicationVerdict &)> onVerdict;
        /// Returns whether this node appends snapshots before records expire. May be true on
        /// several nodes: duplicate snapshots are harmless.
        std::function<bool()> isSnapshotWriter;
        /// Replaces the acceptance rule, so that tests can check that a wrong rule is detected.
        std::function<bool(LogOffset base, LogOffset inForce)> rule;
    };

    static std::unique_ptr<ConfigStore> create(const Options &options, Hooks hooks,
                                               TimerService &timers);

    virtual ~ConfigStore() = default;

    virtual void start() = 0;
    /// Returns the version in force, or nullptr if none is known yet.
    virtual const ConfigVersion *current() const = 0;
    /// Returns the time since the current version came into force on this node.
    virtual Duration currentAge() const = 0;
    /// Returns when the log was last read to its end; nothing if it never was.
    virtual std::optional<TimePoint> lastCaughtUp() const = 0;
    virtual const std::vector<PublicationVerdict> &verdicts() const = 0;

    /// Encodes the version in force as a message for peers that don't have it; null if none.
    virtual Json::Value encodeCurrent() const = 0;
    /// Processes a version sent by a peer; ignored unless it is newer. Fails with JsonInvalid.
    virtual absl::Status onPeerVersion(const Json::Value &message) = 0;

    /// Returns the number of times that another node's decision was found to differ from this
    /// node's. A value above 0 means a defect or daemons with different validation rules.
    virtual std::uint64_t divergences() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_CONFIGSTORE_H
