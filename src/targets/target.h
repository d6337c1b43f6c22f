#ifndef CURRANTWALK_TARGETS_TARGET_H
#define CURRANTWALK_TARGETS_TARGET_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/timerservice.h"
#include "config/objects.h"

namespace currantwalk {

enum class TargetState {
    Live,    ///< Accepts requests.
    Leaving, ///< Finishes its requests; this incarnation never becomes live again.
    Gone,    ///< Dead or removed.
};

/// Returns "live", "leaving" or "gone".
std::string_view targetStateName(TargetState state);
/// Returns the state named \a name, or nullopt if there is none.
std::optional<TargetState> targetStateFromName(std::string_view name);

/// A model or adapter that an engine has loaded.
struct LoadedModel
{
    std::string name; ///< Of the published model or adapter.
    std::string version;

    friend bool operator==(const LoadedModel &, const LoadedModel &) = default;
};

/// The load that an engine reported at `reportedAt`.
struct TargetLoad
{
    TimePoint reportedAt{};       ///< By this node's clock, less the report's age on arrival.
    std::uint32_t running = 0;    ///< Generations in the batch.
    std::uint32_t waiting = 0;    ///< Generations queued at the engine.
    std::uint64_t usedTokens = 0; ///< Tokens held in the engine's memory.
    std::uint64_t capacityTokens = 0;
    std::uint64_t preemptions = 0;     ///< Since the engine started.
    std::uint64_t generatedTokens = 0; ///< Since the engine started.
};

/// The state of a target as known to this node.
struct Target
{
    TargetId id;
    TargetKind kind = TargetKind::Engine;
    Endpoint endpoint;
    std::string zone;
    std::string pool;
    Incarnation incarnation = 0;
    TargetState state = TargetState::Live;
    std::vector<LoadedModel> models; ///< Of an engine.
    TargetLoad load;
    TimePoint firstSeen{}; ///< Of this incarnation.

    bool isServing(std::string_view model) const;
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_TARGET_H
