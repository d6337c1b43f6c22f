// What an entry node learns of how fast targets answer.
#include "daemon/entrynode.h"

#include <cmath>

#include "observe/logging.h"

namespace currantwalk {

// Speeds change slowly, and finding them takes the evidence of all targets.
static constexpr Duration SpeedInterval = std::chrono::seconds(2);

std::vector<TargetStart> EntryNode::startsOf(const std::string &service) const
{
    std::vector<TargetStart> starts;
    for (const ServiceTarget *target : m_targets.usable(service))
        starts.push_back({target->id, target->entry.startedAt});
    return starts;
}

void EntryNode::onServed(const TargetId &target, SendResult service)
{
    const TimePoint now = m_loop.timers().now();
    if (service == SendResult::Unreachable)
        m_outliers.onUnreachable(target, now);
    else
        m_outliers.onOutcome(target, service == SendResult::Answered, now);
    const ServiceTarget *const known = m_targets.find(target);
    if (service == SendResult::Answered || !known)
        return;
    m_pace.ramps.onFailed({target, known->entry.startedAt}, now);
    if (m_outliers.isEjected(target, now))
        beginRamp(target, RampCause::Ejected, Duration::zero());
}

void EntryNode::notePace(const std::string &service, const PaceSample &sample)
{
    if (isPaceLearnt())
        m_pace.note(sample, startsOf(service), m_loop.timers().now());
}

// A node that starts, or has not read the store for a while, hears late of targets that started
// meanwhile. Their clocks may differ from this node's.
void EntryNode::noteStart(const TargetId &id, const TargetEntry &entry)
{
    const std::uint64_t now = m_bindings.unixMilliseconds();
    const Duration age = std::chrono::milliseconds(
            entry.startedAt != 0 && entry.startedAt < now ? now - entry.startedAt : 0);
    if (!entry.isLeaving)
        beginRamp(id, RampCause::Started, age);
}

void EntryNode::beginRamp(const TargetId &target, RampCause cause, Duration age)
{
    const ServiceTarget *const known = m_targets.find(target);
    if (isPaceLearnt() && known && known->phase != TargetPhase::Leaving)
        m_pace.ramps.begin({target, known->entry.startedAt}, cause, age, m_loop.timers().now());
}

// Targets of a zone that is taken back look empty to all nodes.
void EntryNode::beginRampsIn(const ZoneName &zone)
{
    if (!m_catalog.current())
        return;
    for (const CatalogService &service : m_catalog.current()->services()) {
        for (const ServiceTarget *target : m_targets.usable(service.name)) {
            if (target->entry.zone == zone)
                beginRamp(target->id, RampCause::Emptied, Duration::zero());
        }
    }
}

void EntryNode::onRampStep(const RampStep &step)
{
    const auto milliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(step.counts.age).count();
    // All nodes count the same steps; those that took part tell them.
    logLine(LogPart::Targets, step.isOwn ? LogLevel::Info : LogLevel::Debug,
            "Target " + step.start.target.text() + " is " + std::string(rampPhaseName(step.phase))
                    + ": cause=" + std::string(rampCauseName(step.cause))
                    + " ceiling=" + std::to_string(std::lround(step.ceiling))
                    + " timely=" + std::to_string(std::lround(step.counts.timely))
                    + " failed=" + std::to_string(std::lround(step.counts.failed))
                    + " age_ms=" + std::to_string(milliseconds));
    m_metrics.count("currantwalk_ramp_steps_total",
                    {{"phase", std::string(rampPhaseName(step.phase))}});
}

void EntryNode::updateRampLimits(const std::string &service)
{
    if (!m_pace.ramps.isEmpty())
        m_placer.setRampLimits(
                m_pace.ramps.limits(startsOf(service), m_roster.size(), m_loop.timers().now()));
}

void EntryNode::refreshPace()
{
    const TimePoint now = m_loop.timers().now();
    m_pace.ramps.update(now);
    if (m_pace.ramps.isEmpty())
        m_placer.setRampLimits({});
    if (!isPaceLearnt() || !m_catalog.current() || now - m_paceRefreshedAt < SpeedInterval)
        return;
    m_paceRefreshedAt = now;
    m_pace.speeds.age(
            [this](const TargetStart &start) {
                const ServiceTarget *const target = m_targets.find(start.target);
                return target && target->entry.startedAt == start.startedAt;
            },
            now);
    std::vector<std::vector<TargetStart>> services;
    for (const CatalogService &service : m_catalog.current()->services())
        services.push_back(startsOf(service.name));
    m_pace.speeds.refresh(services, now);
    m_placer.setSpeeds(m_pace.speeds.current());
}

void EntryNode::refreshPaceGauges()
{
    const TimePoint now = m_loop.timers().now();
    std::map<RampPhase, std::size_t> phases{
            {RampPhase::Probing, 0}, {RampPhase::Ramping, 0}, {RampPhase::Steady, 0}};
    if (!m_catalog.current())
        return;
    for (const CatalogService &service : m_catalog.current()->services()) {
        for (const TargetStart &start : startsOf(service.name)) {
            ++phases[m_pace.ramps.phaseOf(start, now)];
        }
    }
    for (const auto &[phase, count] : phases)
        m_metrics.set("currantwalk_targets_by_pace", {{"phase", std::string(rampPhaseName(phase))}},
                      static_cast<double>(count));
    for (const auto &[start, speed] : m_pace.speeds.current())
        m_metrics.set("currantwalk_target_speed", {{"target", start.target.text()}}, speed);
}

} // namespace currantwalk
