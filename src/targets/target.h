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
    Live,    ///< Takes work.
    Leaving, ///< Finishes what it has; for this incarnation it never becomes live again.
    Gone,    ///< Dead or removed.
};

/// Returns "live", "leaving" or "gone".
std::string_view targetStateName(TargetState state);
/// Returns the state named \a name, or nothing.
std::optional<TargetState> targetStateFromName(std::string_view name);

/// A model or adapter that an engine has loaded.
struct LoadedModel
{
    std::string name; ///< Of the published model or adapter.
    std::string version;

    friend bool operator==(const LoadedModel &, const LoadedModel &) = default;
};

/// What an engine reports of its load; as old as `reportedAt` says.
struct TargetLoad
{
    TimePoint reportedAt{};       ///< By this node's clock, with the report's own age taken off.
    std::uint32_t running = 0;    ///< Generations in the batch.
    std::uint32_t waiting = 0;    ///< Generations queued at the engine.
    std::uint64_t usedTokens = 0; ///< Of the engine's memory.
    std::uint64_t capacityTokens = 0;
    std::uint64_t preemptions = 0;     ///< Since the engine started.
    std::uint64_t generatedTokens = 0; ///< Since the engine started.
};

/// All that a node knows of one target.
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
