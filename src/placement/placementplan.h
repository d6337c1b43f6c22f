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

/// An engine as the plan sees it.
struct PlannedEngine
{
    TargetId id;
    std::string pool;
    std::vector<LoadedModel> reported; ///< By its last report.
    /// What it keeps through an order under way; equal to `reported` where there is none.
    std::vector<LoadedModel> steady;
    bool isBusy = false; ///< An order is under way.
};

/// How much a step is needed; lower comes first.
enum class StepUrgency {
    Unserved,      ///< No engine serves the model.
    TooFew,        ///< Fewer engines than wanted serve it.
    OtherVersion,  ///< Another version is loaded than is published.
    SuperfluousOne ///< Something is loaded that is not wanted there; needs no weights.
};

/// One change to one engine. It loads at most one model or adapter.
struct PlacementStep
{
    TargetId engine;
    StepUrgency urgency = StepUrgency::TooFew;
    std::vector<LoadedModel> models; ///< All that the engine is to have loaded.
    std::string weights;             ///< To be loaded; empty if none.
    std::string weightsVersion;
};

/// What a plan is made from.
struct PlacementInput
{
    const ObjectSet &objects;
    std::string zone;
    std::vector<PlannedEngine> engines; ///< Live ones of the zone, in order of id.
    std::map<std::string, std::uint32_t>
            demand; ///< Engines that each model could use; may be empty.
    std::size_t modelsPerEngine = 4;
};

/// Returns the next steps towards the wanted placement, the most urgent first; at most one for each
/// engine. No step takes the last engine that serves a published model away from it.
std::vector<PlacementStep> planSteps(const PlacementInput &input);

} // namespace currantwalk

#endif // CURRANTWALK_PLACEMENT_PLACEMENTPLAN_H
