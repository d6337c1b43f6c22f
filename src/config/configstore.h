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

/// A version of the published set. Its number is the offset of its record in the log.
struct ConfigVersion
{
    LogOffset version = 0; ///< 0: nothing was ever published.
    LogOffset base = 0;    ///< The version that it was made from.
    std::string author;
    std::string publicationId; ///< Made by the publisher, so that it knows its own record.
    ObjectSet objects;
};

/// A decision on one publication, alike on every node.
struct PublicationVerdict
{
    LogOffset offset = 0;
    LogOffset base = 0;
    std::string author;
    std::string publicationId;
    bool isAccepted = false;
    std::string reason; ///< Of a refusal.
};

/// Follows the configuration stream of the platform's log; versions only go forward.
class ConfigStore
{
public:
    static constexpr const char *StreamName = "config";

    struct Options
    {
        Duration pollInterval = std::chrono::milliseconds(500);
        Duration recordLifetime = std::chrono::hours(2); ///< That the log keeps a record for.
        std::size_t keptVerdicts = 1000;
        std::uint64_t seed = 1; ///< For jitter; must differ from node to node.
    };

    struct Hooks
    {
        LogHooks log;
        /// A newer version is in force on this node.
        std::function<void(const ConfigVersion &)> onVersion;
        /// A publication was decided on; see Publisher. May be empty.
        std::function<void(const PublicationVerdict &)> onVerdict;
        /// Whether this node is the one that appends snapshots before records expire. May be true
        /// on several nodes: a doubled snapshot is harmless.
        std::function<bool()> isSnapshotWriter;
        /// Replaces the rule of acceptance, so that a test can show a faulty one to be caught.
        std::function<bool(LogOffset base, LogOffset inForce)> rule;
    };

    static std::unique_ptr<ConfigStore> create(const Options &options, Hooks hooks,
                                               TimerService &timers);

    virtual ~ConfigStore() = default;

    virtual void start() = 0;
    /// Returns the version in force, or null before any is known.
    virtual const ConfigVersion *current() const = 0;
    /// Returns how long the version in force has been so.
    virtual Duration currentAge() const = 0;
    /// Returns when the log was last read to its end; nothing if never.
    virtual std::optional<TimePoint> lastCaughtUp() const = 0;
    virtual const std::vector<PublicationVerdict> &verdicts() const = 0;

    /// Returns the version in force as a message for peers that lack it.
    virtual Json::Value encodeCurrent() const = 0;
    /// Takes a version that a peer passed on; ignored unless newer. Fails with JsonInvalid.
    virtual absl::Status onPeerVersion(const Json::Value &message) = 0;

    /// Returns the number of times that another node was seen to have decided otherwise; not 0
    /// means a defect, or daemons whose checks differ.
    virtual std::uint64_t divergences() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_CONFIGSTORE_H
