#ifndef CURRANTWALK_PLACEMENT_PLACER_H
#define CURRANTWALK_PLACEMENT_PLACER_H

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

/// Orders the engines of one zone to load what is published, while it holds the lease for it.
class Placer
{
public:
    struct Options
    {
        std::string zone;
        Duration interval = std::chrono::seconds(1); ///< Between two looks at the engines.
        std::size_t modelsPerEngine = 4;
        /// Loads from the weight store that this zone may begin in a minute: the store's limit
        /// divided by the number of zones, so that all zones together keep it.
        double loadsPerMinute = 6;
        /// Longest time from the sending of an order until it takes effect.
        Duration orderFlight = std::chrono::seconds(10);
        Duration leaseDuration = std::chrono::seconds(10);
        /// For an engine to report what was ordered, before the order is looked at again.
        Duration loadTimeout = std::chrono::minutes(5);
        Duration retryDelay = std::chrono::seconds(2); ///< Doubled with each failure.
        Duration maxRetryDelay = std::chrono::minutes(2);
    };

    struct Hooks
    {
        /// The lease for the zone's engines, if this node holds it now; see Leases::held().
        std::function<std::optional<Lease>()> lease;
        /// The published set; null before any.
        std::function<const ObjectSet *()> objects;
        /// All engines that are known in the zone.
        std::function<std::vector<const Target *>()> engines;
        /// Engines that each model could use by its demand; may be empty.
        std::function<std::map<std::string, std::uint32_t>()> demand;
        /// Asks the weight store for one load. Fails with RateLimited.
        std::function<void(const std::string &weights, const std::string &version,
                           std::function<void(absl::Status)> callback)>
                reserveLoad;
        /// Orders all that an engine is to have loaded. Fails with FencedOff where it has seen a
        /// higher number.
        std::function<void(const Target &engine, LogOffset fence,
                           const std::vector<LoadedModel> &models,
                           std::function<void(absl::Status)> callback)>
                order;
    };

    /// Callbacks of hooks come later, never from within the call.
    static std::unique_ptr<Placer> create(const Options &options, Hooks hooks, TimerService &timers,
                                          RandomSource &random);

    /// Returns the duty whose lease a placer of \a zone needs.
    static std::string dutyOf(const std::string &zone) { return "placement/" + zone; }

    virtual ~Placer() = default;

    virtual void start() = 0;
    /// Returns the number of orders that were answered by a report of something else.
    virtual std::uint64_t mismatches() const = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_PLACEMENT_PLACER_H
