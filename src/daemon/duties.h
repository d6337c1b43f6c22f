#ifndef CURRANTWALK_DAEMON_DUTIES_H
#define CURRANTWALK_DAEMON_DUTIES_H

#include <functional>
#include <memory>
#include <string>

#include "base/randomsource.h"
#include "daemon/platformlink.h"
#include "daemon/settings.h"
#include "daemon/targetlink.h"
#include "lease/leases.h"
#include "placement/placementcontroller.h"
#include "targets/targettable.h"

namespace currantwalk {

/// The duties that one node of a zone holds by lease: orders to the zone's engines.
class Duties
{
public:
    /// All but the settings must outlive the result. \a objects gives the set in force, or null.
    Duties(const Settings &settings, Incarnation incarnation,
           std::function<const ObjectSet *()> objects, TargetTable &targets, TargetLink &link,
           PlatformLink &platform, TimerService &timers, RandomSource &random);

    void start();
    /// Gives up what this node holds, so that another may take it at once.
    void handOver();
    const Leases &leases() const { return *m_leases; }

private:
    const std::string m_zone;
    const std::string m_duty;
    std::unique_ptr<Leases> m_leases;
    std::unique_ptr<PlacementController> m_placer;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_DUTIES_H
