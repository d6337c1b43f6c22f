#include "placement/placementplan.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace currantwalk {

static bool hasName(const std::vector<LoadedModel> &models, const std::string &name)
{
    return std::any_of(models.begin(), models.end(),
                       [&name](const LoadedModel &model) { return model.name == name; });
}

static bool hasModel(const std::vector<LoadedModel> &models, const LoadedModel &wanted)
{
    return std::find(models.begin(), models.end(), wanted) != models.end();
}

namespace {

/// A published model, or a published adapter, which is loaded wherever its model is.
struct Loadable
{
    LoadedModel loaded;
    std::string weights;
    std::string model; // The model itself or the model of the adapter.
};

class Planner
{
public:
    explicit Planner(const PlacementInput &input) : m_input(input) {}

    std::vector<PlacementStep> run()
    {
        for (const auto &[name, model] : m_input.objects.models)
            keepCurrentEngines(model);
        for (const auto &[name, model] : m_input.objects.models) {
            if (isInZone(model.pool) && !assignEngines(model))
                unassignSurplus(model);
        }
        std::vector<PlacementStep> steps;
        for (const PlannedEngine &engine : m_input.engines) {
            std::optional<PlacementStep> step = engine.isBusy ? std::nullopt : nextStep(engine);
            if (!step)
                continue;
            assert(keepsModelsServed(engine, *step)
                   && "a step leaves every published model served");
            recordStep(engine, *step);
            steps.push_back(*std::move(step));
        }
        std::stable_sort(steps.begin(), steps.end(),
                         [](const PlacementStep &left, const PlacementStep &right) {
                             return left.urgency < right.urgency;
                         });
        return steps;
    }

private:
    bool isInZone(const std::string &poolName) const
    {
        const auto pool = m_input.objects.pools.find(poolName);
        if (pool == m_input.objects.pools.end())
            return false;
        const std::vector<std::string> &zones = pool->second.zones;
        return zones.empty() || std::find(zones.begin(), zones.end(), m_input.zone) != zones.end();
    }

    std::size_t wantedEngines(const ModelObject &model) const
    {
        const auto demand = m_input.demand.find(model.name);
        const std::uint32_t wanted = demand == m_input.demand.end() ? 0 : demand->second;
        std::size_t count = std::max(model.replicas, wanted);
        // A second engine loads the new version before the only one unloads the old version.
        if (count < 2 && isOtherVersionServed(model))
            count = 2;
        return count;
    }

    bool isOtherVersionServed(const ModelObject &model) const
    {
        const LoadedModel wanted{model.name, model.version};
        return std::any_of(m_input.engines.begin(), m_input.engines.end(),
                           [&wanted](const PlannedEngine &engine) {
                               return hasName(engine.reported, wanted.name)
                                      && !hasModel(engine.reported, wanted);
                           });
    }

    // Avoids moving models without need.
    void keepCurrentEngines(const ModelObject &model)
    {
        for (const PlannedEngine &engine : m_input.engines) {
            if (engine.pool == model.pool && hasName(engine.reported, model.name))
                m_assigned[engine.id].insert(model.name);
        }
    }

    bool isAssigned(const PlannedEngine &engine, const std::string &model) const
    {
        const auto assigned = m_assigned.find(engine.id);
        return assigned != m_assigned.end() && assigned->second.contains(model);
    }

    std::size_t assignedEngines(const std::string &model) const
    {
        return static_cast<std::size_t>(std::count_if(
                m_input.engines.begin(), m_input.engines.end(),
                [this, &model](const PlannedEngine &engine) { return isAssigned(engine, model); }));
    }

    // Assigns the model to the required number of engines. Returns false if too few engines of its
    // pool have room.
    bool assignEngines(const ModelObject &model)
    {
        std::vector<const PlannedEngine *> free;
        for (const PlannedEngine &engine : m_input.engines) {
            if (engine.pool == model.pool && !isAssigned(engine, model.name))
                free.push_back(&engine);
        }
        std::sort(free.begin(), free.end(),
                  [this, &model](const PlannedEngine *left, const PlannedEngine *right) {
                      return rank(*left, model) < rank(*right, model);
                  });
        const std::size_t wanted = wantedEngines(model);
        std::size_t count = assignedEngines(model.name);
        for (const PlannedEngine *engine : free) {
            if (count >= wanted || !hasRoom(*engine))
                break;
            m_assigned[engine->id].insert(model.name);
            ++count;
        }
        return count >= wanted || free.empty();
    }

    // Unassigns a model with more engines than required from one engine.
    void unassignSurplus(const ModelObject &model)
    {
        for (const PlannedEngine &engine : m_input.engines) {
            if (engine.pool != model.pool || isAssigned(engine, model.name))
                continue;
            std::set<std::string> &assigned = m_assigned[engine.id];
            for (const std::string &other : assigned) {
                if (assignedEngines(other) <= wantedEngines(m_input.objects.models.at(other)))
                    continue;
                assigned.erase(other);
                return;
            }
        }
    }

    // Counts the published models loaded on or assigned to an engine. Other models are unloaded
    // anyway.
    std::size_t modelCount(const PlannedEngine &engine) const
    {
        std::set<std::string> names;
        const auto assigned = m_assigned.find(engine.id);
        if (assigned != m_assigned.end())
            names = assigned->second;
        for (const LoadedModel &model : engine.reported) {
            if (m_input.objects.models.contains(model.name))
                names.insert(model.name);
        }
        return names.size();
    }

    bool hasRoom(const PlannedEngine &engine) const
    {
        return modelCount(engine) < m_input.modelsPerEngine;
    }

    std::pair<std::size_t, std::uint64_t> rank(const PlannedEngine &engine,
                                               const ModelObject &model) const
    {
        return {modelCount(engine), stableHash(model.name + "/" + engine.id.text())};
    }

    std::vector<Loadable> wantedOn(const PlannedEngine &engine) const
    {
        std::vector<Loadable> wanted;
        const auto assigned = m_assigned.find(engine.id);
        if (assigned == m_assigned.end())
            return wanted;
        for (const std::string &name : assigned->second) {
            const ModelObject &model = m_input.objects.models.at(name);
            wanted.push_back({{model.name, model.version}, model.weights, model.name});
        }
        for (const auto &[name, adapter] : m_input.objects.adapters) {
            if (assigned->second.contains(adapter.model))
                wanted.push_back({{adapter.name, adapter.version}, adapter.weights, adapter.model});
        }
        return wanted;
    }

    // Counts the engines other than \a except that serve the name now and after their current
    // orders.
    std::size_t othersServing(const PlannedEngine &except, const std::string &name) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_input.engines.begin(), m_input.engines.end(),
                              [this, &except, &name](const PlannedEngine &engine) {
                                  return engine.id != except.id && engine.pool == except.pool
                                         && hasName(retainedOn(engine), name);
                              }));
    }

    // Returns the retained models of an engine, including the effect of steps already in this plan.
    const std::vector<LoadedModel> &retainedOn(const PlannedEngine &engine) const
    {
        const auto it = m_retained.find(engine.id);
        return it == m_retained.end() ? engine.retained : it->second;
    }

    void recordStep(const PlannedEngine &engine, const PlacementStep &step)
    {
        std::vector<LoadedModel> kept;
        for (const LoadedModel &model : engine.retained) {
            if (hasModel(step.models, model))
                kept.push_back(model);
        }
        m_retained[engine.id] = std::move(kept);
    }

    bool isPublished(const std::string &name) const
    {
        return m_input.objects.models.contains(name) || m_input.objects.adapters.contains(name);
    }

    bool keepsModelsServed(const PlannedEngine &engine, const PlacementStep &step) const
    {
        return std::all_of(engine.reported.begin(), engine.reported.end(),
                           [this, &engine, &step](const LoadedModel &model) {
                               return !isPublished(model.name) || hasModel(step.models, model)
                                      || isReplacementLoaded(engine, step, model)
                                      || othersServing(engine, model.name) > 0;
                           });
    }

    static bool isReplacementLoaded(const PlannedEngine &engine, const PlacementStep &step,
                                    const LoadedModel &old)
    {
        return std::any_of(step.models.begin(), step.models.end(),
                           [&engine, &old](const LoadedModel &model) {
                               return model.name == old.name && hasModel(engine.reported, model);
                           });
    }

    // Returns whether another engine is loading the name or changing its version.
    bool isChangingElsewhere(const PlannedEngine &except, const std::string &name) const
    {
        return std::any_of(m_input.engines.begin(), m_input.engines.end(),
                           [this, &except, &name](const PlannedEngine &engine) {
                               return engine.id != except.id && engine.pool == except.pool
                                      && hasName(engine.reported, name)
                                      && !hasName(retainedOn(engine), name);
                           });
    }

    bool isAssignedElsewhere(const PlannedEngine &except, const std::string &model) const
    {
        return std::any_of(
                m_assigned.begin(), m_assigned.end(), [&except, &model](const auto &assigned) {
                    return assigned.first != except.id && assigned.second.contains(model);
                });
    }

    std::optional<PlacementStep> nextStep(const PlannedEngine &engine) const
    {
        const std::vector<Loadable> wanted = wantedOn(engine);
        std::optional<PlacementStep> best;
        bool hasAllModels = true;
        for (const Loadable &loadable : wanted) {
            if (hasModel(engine.reported, loadable.loaded))
                continue;
            hasAllModels = false;
            std::optional<PlacementStep> step = loadStep(engine, loadable);
            if (step && (!best || step->urgency < best->urgency))
                best = std::move(step);
        }
        return hasAllModels ? unloadStep(engine, wanted) : best;
    }

    std::optional<PlacementStep> loadStep(const PlannedEngine &engine,
                                          const Loadable &loadable) const
    {
        const std::string &name = loadable.loaded.name;
        PlacementStep step;
        step.engine = engine.id;
        step.models = engine.reported;
        step.weights = loadable.weights;
        step.weightsVersion = loadable.loaded.version;
        if (!hasName(engine.reported, name)) {
            const bool isServed = othersServing(engine, name) > 0;
            step.urgency = isServed ? StepUrgency::UnderReplicated : StepUrgency::Unserved;
        } else {
            step.urgency = StepUrgency::OtherVersion;
            if (!prepareVersionChange(engine, loadable, &step))
                return std::nullopt;
        }
        step.models.push_back(loadable.loaded);
        return step;
    }

    // Engines change versions in place, one at a time. The only engine of a model waits until a
    // second one serves it. If no other engine is assigned, it loads both versions for a while.
    bool prepareVersionChange(const PlannedEngine &engine, const Loadable &loadable,
                              PlacementStep *step) const
    {
        const std::string &name = loadable.loaded.name;
        if (isChangingElsewhere(engine, name))
            return false;
        if (othersServing(engine, name) == 0)
            return !isAssignedElsewhere(engine, loadable.model);
        std::erase_if(step->models,
                      [&name](const LoadedModel &model) { return model.name == name; });
        return true;
    }

    std::optional<PlacementStep> unloadStep(const PlannedEngine &engine,
                                            const std::vector<Loadable> &wanted) const
    {
        PlacementStep step;
        step.engine = engine.id;
        step.urgency = StepUrgency::Surplus;
        for (const Loadable &loadable : wanted)
            step.models.push_back(loadable.loaded);
        const bool isUnchanged = step.models.size() == engine.reported.size()
                                 && std::all_of(engine.reported.begin(), engine.reported.end(),
                                                [&step](const LoadedModel &model) {
                                                    return hasModel(step.models, model);
                                                });
        if (isUnchanged || !keepsModelsServed(engine, step))
            return std::nullopt;
        return step;
    }

    const PlacementInput &m_input;
    // Models assigned to each engine.
    std::unordered_map<TargetId, std::set<std::string>> m_assigned;
    std::unordered_map<TargetId, std::vector<LoadedModel>> m_retained; // After the steps so far.
};

} // namespace

std::vector<PlacementStep> planSteps(const PlacementInput &input)
{
    return Planner(input).run();
}

} // namespace currantwalk
