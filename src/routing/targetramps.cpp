#include "routing/targetramps.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "base/enumtable.h"

namespace currantwalk {

// How long the counts of a ramp that has ended are told, to nodes where it has not.
static constexpr Duration EndNoticePeriod = std::chrono::seconds(3);

static constexpr std::array<EnumName<RampPhase>, 3> RampPhaseNames{{
        {RampPhase::Probing, "probing"},
        {RampPhase::Ramping, "ramping"},
        {RampPhase::Steady, "steady"},
}};

static constexpr std::array<EnumName<RampCause>, 4> RampCauseNames{{
        {RampCause::Started, "started"},
        {RampCause::Emptied, "emptied"},
        {RampCause::Ejected, "ejected"},
        {RampCause::TurnedAway, "turned-away"},
}};

std::string_view rampPhaseName(RampPhase phase)
{
    return enumName(RampPhaseNames, phase);
}

std::string_view rampCauseName(RampCause cause)
{
    return enumName(RampCauseNames, cause);
}

RampCounts &RampCounts::operator+=(const RampCounts &other)
{
    timely += other.timely;
    failed += other.failed;
    age = std::max(age, other.age);
    return *this;
}

// What is counted of a shared ramp stands until it ends: a node that ejects the target goes by its
// own counts besides.
void TargetRamps::begin(const TargetStart &start, RampCause cause, Duration age, TimePoint now)
{
    if (age >= m_options.maxAge)
        return;
    const auto known = m_ramps.find(start);
    const bool isRunning = known != m_ramps.end() && !known->second.endedAt;
    if (isRunning && !isShared(cause))
        return;
    m_ramps[start] = {cause, now - age, RampPhase::Probing, std::nullopt};
    if (isShared(cause))
        m_sums.own().erase(start);
    else
        m_local.erase(start);
    m_onStep(stepOf(start, m_ramps[start], now));
}

void TargetRamps::onAnswering(const TargetStart &start, Duration time, Duration expected, TimePoint)
{
    const auto ramp = m_ramps.find(start);
    const bool isLate = expected > Duration::zero() && time > expected * m_options.lateFactor;
    if (ramp == m_ramps.end() || ramp->second.endedAt || isLate)
        return;
    RampSums &sums = isShared(ramp->second.cause) ? m_sums.own() : m_local;
    sums[start].timely += 1;
}

void TargetRamps::onFailed(const TargetStart &start, TimePoint now)
{
    ageFailures(now);
    const auto ramp = m_ramps.find(start);
    if (ramp == m_ramps.end() || ramp->second.endedAt)
        return;
    RampSums &sums = isShared(ramp->second.cause) ? m_sums.own() : m_local;
    sums[start].failed += 1;
}

// A target that has failed is tried again, less often the more it has failed.
void TargetRamps::ageFailures(TimePoint now)
{
    const double halfLives =
            m_agedAt == TimePoint{}
                    ? 0
                    : std::chrono::duration<double>(now - m_agedAt)
                              / std::chrono::duration<double>(m_options.failureHalfLife);
    const double factor = std::exp2(-halfLives);
    m_agedAt = now;
    for (RampSums *sums : {&m_sums.own(), &m_local}) {
        for (auto &[start, counts] : *sums)
            counts.failed *= factor;
    }
}

// The age is that of the ramp, so that a node which hears of it late does not begin it again.
RampSums TargetRamps::withAges(RampSums sums, TimePoint now) const
{
    for (auto &[start, counts] : sums) {
        if (const auto ramp = m_ramps.find(start); ramp != m_ramps.end())
            counts.age = std::max(counts.age, now - ramp->second.begunAt);
    }
    return sums;
}

RampSums TargetRamps::reported(TimePoint now) const
{
    return withAges(m_sums.reported(now), now);
}

RampSums TargetRamps::besides(const VmId &vm, TimePoint now) const
{
    return withAges(m_sums.besides(vm, now), now);
}

// A peer may have seen the start before this node.
void TargetRamps::learn(const RampSums &sums, TimePoint now)
{
    for (const auto &[start, counts] : sums) {
        if (!m_ramps.contains(start))
            begin(start, RampCause::Started, counts.age, now);
    }
}

void TargetRamps::updatePeer(const VmId &vm, Incarnation incarnation, std::uint64_t sequence,
                             RampSums sums, TimePoint now)
{
    learn(sums, now);
    m_sums.updatePeer(vm, incarnation, sequence, std::move(sums), now);
}

void TargetRamps::updateZone(const ZoneName &zone, RampSums sums, TimePoint now)
{
    learn(sums, now);
    m_sums.updateZone(zone, std::move(sums), now);
}

void TargetRamps::updateOthers(RampSums sums, TimePoint now)
{
    learn(sums, now);
    m_sums.updateOthers(std::move(sums), now);
}

RampCounts TargetRamps::countsOf(const TargetStart &start, const Ramp &ramp, TimePoint now) const
{
    const auto local = m_local.find(start);
    RampCounts counts;
    if (isShared(ramp.cause))
        counts = m_sums.totalOf(start, now);
    else if (local != m_local.end())
        counts = local->second;
    counts.age = now - ramp.begunAt;
    return counts;
}

// Answers in time less what failures cost of them.
double TargetRamps::balanceOf(const RampCounts &counts) const
{
    return counts.timely - m_options.failureCost * std::min(counts.failed, m_options.maxFailures);
}

double TargetRamps::ceilingOf(const RampCounts &counts) const
{
    return m_options.firstCeiling + balanceOf(counts);
}

RampPhase TargetRamps::phaseFor(const RampCounts &counts) const
{
    if (ceilingOf(counts) >= m_options.steadyCeiling)
        return RampPhase::Steady;
    return balanceOf(counts) >= m_options.probes ? RampPhase::Ramping : RampPhase::Probing;
}

RampPhase TargetRamps::phaseOf(const TargetStart &start, TimePoint now) const
{
    const auto ramp = m_ramps.find(start);
    if (ramp == m_ramps.end() || ramp->second.endedAt)
        return RampPhase::Steady;
    return phaseFor(countsOf(start, ramp->second, now));
}

std::map<TargetStart, RampLimit> TargetRamps::limits(const std::vector<TargetStart> &service,
                                                     std::size_t nodes, TimePoint now) const
{
    std::map<TargetStart, RampLimit> limits;
    for (const TargetStart &start : service) {
        const auto ramp = m_ramps.find(start);
        if (ramp == m_ramps.end() || ramp->second.endedAt)
            continue;
        const RampCounts counts = countsOf(start, ramp->second, now);
        if (phaseFor(counts) == RampPhase::Steady)
            continue;
        RampLimit limit;
        limit.ceiling = ceilingOf(counts);
        limit.isOwnOnly = !isShared(ramp->second.cause);
        limit.share = std::min(1.0, m_options.choicesPerCeiling * std::max(limit.ceiling, 1.0)
                                            / static_cast<double>(std::max<std::size_t>(nodes, 1)));
        limits[start] = limit;
    }
    if (static_cast<double>(limits.size())
        > m_options.maxPart * static_cast<double>(service.size()))
        limits.clear();
    return limits;
}

RampStep TargetRamps::stepOf(const TargetStart &start, const Ramp &ramp, TimePoint now) const
{
    const RampCounts counts = countsOf(start, ramp, now);
    const bool isOwn = !isShared(ramp.cause) || m_sums.own().contains(start);
    return {start, phaseFor(counts), ramp.cause, ceilingOf(counts), counts, isOwn};
}

// A ramp that has ended is kept while peers may still tell of it.
void TargetRamps::update(TimePoint now)
{
    ageFailures(now);
    for (auto &[start, ramp] : m_ramps) {
        if (ramp.endedAt)
            continue;
        RampStep step = stepOf(start, ramp, now);
        if (step.counts.age >= m_options.maxAge)
            step.phase = RampPhase::Steady;
        if (step.phase == RampPhase::Steady)
            ramp.endedAt = now;
        if (std::exchange(ramp.toldPhase, step.phase) != step.phase)
            m_onStep(step);
    }
    std::erase_if(m_ramps, [&](const auto &each) {
        return now - each.second.begunAt >= m_options.maxAge + m_options.messageLifetime;
    });
    const auto isOver = [&](const auto &each) {
        const auto ramp = m_ramps.find(each.first);
        return ramp == m_ramps.end()
               || (ramp->second.endedAt && now - *ramp->second.endedAt >= EndNoticePeriod);
    };
    std::erase_if(m_sums.own(), isOver);
    std::erase_if(m_local, isOver);
    m_sums.expire(now);
}

} // namespace currantwalk
