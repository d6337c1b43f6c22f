#ifndef CURRANTWALK_PLACEMENT_PLACEMENTCONTROLLER_H
#define CURRANTWALK_PLACEMENT_PLACEMENTCONTROLLER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "config/objects.h"
#include "lease/leases.h"
#include "targets/target.h"

namespace currantwalk {

/// Orders the engines of one zone to load the published models while this node holds the lease of
/// the zone.
class PlacementController
{
public:
    struct Options
    {
        std::string zone;
        Duration interval = std::chrono::seconds(1); ///< Between two reconciliations.
        std::size_t modelsPerEngine = 4;
        /// Loads from the weight store that this zone may start per minute: the store's limit
        /// divided by the number of zones, so that all zones together stay within the limit.
        double loadsPerMinute = 6;
        /// Maximum time from sending an order until the engine acts on it.
        Duration maxOrderDelay = std::chrono::seconds(10);
        Duration leaseDuration = std::chrono::seconds(10);
        /// Time in which an engine must report the ordered models before the order counts as
        /// failed.
        Duration loadTimeout = std::chrono::minutes(5);
        Duration retryDelay = std::chrono::seconds(2); ///< Doubled with each consecutive failure.
        Duration maxRetryDelay = std::chrono::minutes(2);
    };

    struct Hooks
    {
        /// Returns the lease for the zone's engines if this node holds it now; see
        /// Leases::heldLease().
        std::function<std::optional<Lease>()> lease;
        /// Returns the published objects, or null before the first publication.
        std::function<const ObjectSet *()> objects;
        /// Returns all known engines in the zone.
        std::function<std::vector<const Target *>()> engines;
        /// Returns the number of engines each model requires by its demand. May be null.
        std::function<std::map<std::string, std::uint32_t>()> demand;
        /// Reserves one load at the weight store. Fails with RateLimited.
        std::function<void(const std::string &weights, const std::string &version,
                           std::function<void(absl::Status)> callback)>
                reserveLoad;
        /// Orders an engine to have exactly \a models loaded. Fails with FencedOff if the engine
        /// has seen a higher fencing number.
        std::function<void(const Target &engine, LogOffset fence,
                           const std::vector<LoadedModel> &models,
                           std::function<void(absl::Status)> callback)>
                order;
    };

    /// Hooks must call their callbacks asynchronously, never from within the hook.
    static std::unique_ptr<PlacementController> create(const Options &options, Hooks hooks,
                                                       TimerService &timers, RandomSource &random);

    /// Returns the name of the duty whose lease is required to place models in \a zone.
    static std::string dutyName(const std::string &zone) { return "placement/" + zone; }

    virtual ~PlacementController() = default;

    virtual void start() = 0;
    /// Returns the number of orders whose models were not reported within the load timeout.
    virtual std::uint64_t timedOutOrders() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_PLACEMENT_PLACEMENTCONTROLLER_H
