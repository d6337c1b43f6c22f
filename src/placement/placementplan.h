#ifndef CURRANTWALK_PLACEMENT_PLACEMENTPLAN_H
#define CURRANTWALK_PLACEMENT_PLACEMENTPLAN_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "config/objects.h"
#include "targets/target.h"

namespace currantwalk {

/// The state of an engine as input of a plan.
struct PlannedEngine
{
    TargetId id;
    std::string pool;
    std::vector<LoadedModel> reported; ///< Loaded models by its last report, or ordered.
    /// Models that stay loaded during the order in progress; equal to `reported` if there is none.
    std::vector<LoadedModel> retained;
    bool isBusy = false; ///< An order is in progress.
};

/// The urgency of a step, in descending order.
enum class StepUrgency {
    Unserved,        ///< No engine serves the model.
    UnderReplicated, ///< Fewer engines than required serve the model.
    OtherVersion,    ///< The loaded version is not the published one.
    Surplus          ///< A model is no longer needed there; loads no weights.
};

/// One change to one engine. It loads at most one model or adapter.
struct PlacementStep
{
    TargetId engine;
    StepUrgency urgency = StepUrgency::UnderReplicated;
    std::vector<LoadedModel> models; ///< All models to be loaded on the engine afterwards.
    std::string weights;             ///< Weights to load; empty if the step only unloads.
    std::string weightsVersion;
};

/// The input of planSteps().
struct PlacementInput
{
    const ObjectSet &objects;
    std::string zone;
    std::vector<PlannedEngine> engines; ///< Live engines of the zone, sorted by id.
    /// Required engines by demand per model; may be empty.
    std::map<std::string, std::uint32_t> demand;
    std::size_t modelsPerEngine = 4;
};

/// Returns the next steps towards the required placement, most urgent first, with at most one step
/// per engine. No step unloads a published model from the last engine that serves it.
std::vector<PlacementStep> planSteps(const PlacementInput &input);

} // namespace currantwalk

#endif // CURRANTWALK_PLACEMENT_PLACEMENTPLAN_H
