#include "daemon/duties.h"

#include <utility>

#include "observe/logging.h"

namespace currantwalk {

static Leases::Hooks leaseHooks(PlatformLink &platform)
{
    Leases::Hooks hooks;
    hooks.log = platform.logHooks();
    hooks.onTaken = [](const Lease &lease) {
        logLine(LogPart::Lease, LogLevel::Info,
                "Holds " + lease.duty + " with fence " + std::to_string(lease.fence) + ".");
    };
    hooks.onLost = [](const std::string &duty) {
        logLine(LogPart::Lease, LogLevel::Info, "No longer holds " + duty + ".");
    };
    return hooks;
}

Duties::Duties(const Settings &settings, Incarnation incarnation,
               std::function<const ObjectSet *()> objects, TargetTable &targets, TargetLink &link,
               PlatformLink &platform, TimerService &timers, RandomSource &random)
    : m_zone(settings.zone), m_duty(PlacementController::dutyName(settings.zone))
{
    Leases::Options leaseOptions;
    leaseOptions.vm = VmId(settings.vm);
    leaseOptions.incarnation = incarnation;
    m_leases = Leases::create(leaseOptions, leaseHooks(platform), timers, random);

    PlacementController::Options options;
    options.zone = m_zone;
    options.modelsPerEngine = settings.modelsPerEngine;
    options.loadsPerMinute = static_cast<double>(settings.weightLoadsPerMinute);
    options.leaseDuration = leaseOptions.duration;
    PlacementController::Hooks hooks;
    hooks.lease = [this] { return m_leases->heldLease(m_duty); };
    hooks.objects = std::move(objects);
    hooks.engines = [this, &targets] {
        std::vector<const Target *> engines;
        for (const Target *target : targets.all()) {
            if (target->zone == m_zone && target->kind == TargetKind::Engine)
                engines.push_back(target);
        }
        return engines;
    };
    hooks.demand = [] { return std::map<std::string, std::uint32_t>(); };
    hooks.reserveLoad = [&platform](const std::string &weights, const std::string &version,
                                    std::function<void(absl::Status)> callback) {
        platform.reserveLoad(weights, version, std::move(callback));
    };
    hooks.order = [&link](const Target &engine, LogOffset fence,
                          const std::vector<LoadedModel> &models,
                          std::function<void(absl::Status)> callback) {
        logLine(LogPart::Placement, LogLevel::Info, "Orders " + engine.id.text() + ".");
        link.order(engine, fence, models, std::move(callback));
    };
    m_placer = PlacementController::create(options, std::move(hooks), timers, random);
}

void Duties::start()
{
    m_leases->start();
    m_leases->acquire(m_duty);
    m_placer->start();
}

void Duties::handOver()
{
    m_leases->release(m_duty);
}

} // namespace currantwalk
