#include "routing/targetspeeds.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<PaceKind>, 3> PaceKindNames{{
        {PaceKind::FirstEvent, "first-event"},
        {PaceKind::Events, "events"},
        {PaceKind::Answer, "answer"},
}};

// Rows with less weight are neither kept nor told.
static constexpr double LeastWeight = 0.3;
// Shorter times are below the resolution of the loop's clock.
static constexpr double LeastSeconds = 1e-6;

std::string_view paceKindName(PaceKind kind)
{
    return enumName(PaceKindNames, kind);
}

PaceEvidence &PaceEvidence::operator+=(const PaceEvidence &other)
{
    weight += other.weight;
    times += other.times;
    loads += other.loads;
    squaredLoads += other.squaredLoads;
    products += other.products;
    age = std::max(age, other.age);
    return *this;
}

static void scale(PaceEvidence &evidence, double factor)
{
    evidence.weight *= factor;
    evidence.times *= factor;
    evidence.loads *= factor;
    evidence.squaredLoads *= factor;
    evidence.products *= factor;
}

void TargetSpeeds::observe(const TargetStart &start, PaceKind kind, double seconds, double load,
                           double weight, TimePoint now)
{
    age(nullptr, now);
    const double time = std::log(std::max(seconds, LeastSeconds));
    m_sums.own()[{start, kind}] += {weight,
                                    weight * time,
                                    weight * load,
                                    weight * load * load,
                                    weight * load * time,
                                    Duration::zero()};
}

void TargetSpeeds::age(const std::function<bool(const TargetStart &)> &isKnown, TimePoint now)
{
    const Duration passed = m_agedAt == TimePoint{} ? Duration::zero() : now - m_agedAt;
    const double factor = std::exp2(-std::chrono::duration<double>(passed)
                                    / std::chrono::duration<double>(m_options.halfLife));
    m_agedAt = now;
    for (auto &[key, evidence] : m_sums.own()) {
        scale(evidence, factor);
        evidence.age += passed;
    }
    if (!isKnown)
        return;
    std::erase_if(m_sums.own(), [&](const auto &each) {
        return each.second.weight < LeastWeight || !isKnown(each.first.first);
    });
    m_sums.expire(now);
}

PaceSums TargetSpeeds::reported(TimePoint now) const
{
    PaceSums sums = m_sums.reported(now);
    if (sums.size() <= m_options.maxRows)
        return sums;
    std::vector<double> weights;
    for (const auto &[key, evidence] : sums)
        weights.push_back(evidence.weight);
    const auto least = weights.begin() + static_cast<std::ptrdiff_t>(m_options.maxRows) - 1;
    std::nth_element(weights.begin(), least, weights.end(), std::greater<>());
    std::erase_if(sums, [&](const auto &each) { return each.second.weight < *least; });
    return sums;
}

void TargetSpeeds::updatePeer(const VmId &vm, Incarnation incarnation, std::uint64_t sequence,
                              PaceSums sums, TimePoint now)
{
    m_sums.updatePeer(vm, incarnation, sequence, std::move(sums), now);
}

void TargetSpeeds::updateZone(const ZoneName &zone, PaceSums sums, TimePoint now)
{
    m_sums.updateZone(zone, std::move(sums), now);
}

void TargetSpeeds::updateFound(RelativeSpeeds speeds, TimePoint foundAt)
{
    if (foundAt <= m_foundAt)
        return;
    m_found = std::move(speeds);
    m_foundAt = foundAt;
}

void TargetSpeeds::refresh(const std::vector<std::vector<TargetStart>> &services, TimePoint now)
{
    if (m_foundAt != TimePoint{} && now - m_foundAt < m_options.messageLifetime) {
        m_current = m_found;
        m_currentSince = m_foundAt;
        return;
    }
    m_current.clear();
    m_currentSince = now;
    const PaceSums sums = m_sums.total(now);
    for (const std::vector<TargetStart> &service : services)
        m_current.merge(compute(service, sums));
}

// The increase of the times with the load, by what each target showed at its own loads: between
// targets the loads differ because of the speeds. More load never makes a target faster.
static double slopeWithinTargets(const std::vector<PaceEvidence> &all)
{
    // Variance of the loads, in requests squared, below which their effect can't be seen.
    constexpr double LeastVariance = 0.5;
    double variance = 0;
    double covariance = 0;
    double weight = 0;
    for (const PaceEvidence &each : all) {
        weight += each.weight;
        variance += each.squaredLoads - each.loads * each.loads / each.weight;
        covariance += each.products - each.loads * each.times / each.weight;
    }
    return variance > LeastVariance * weight ? std::max(0.0, covariance / variance) : 0;
}

static double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 != 0)
        return *middle;
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

RelativeSpeeds TargetSpeeds::compute(const std::vector<TargetStart> &service,
                                     const PaceSums &sums) const
{
    struct Deviation
    {
        double weight = 0;
        double sum = 0; ///< Of logarithms, weighted; above 0: slower than the median.
    };
    constexpr std::size_t LeastTargets = 2;
    std::map<TargetStart, Deviation> deviations;
    for (const EnumName<PaceKind> &kind : PaceKindNames) {
        std::vector<TargetStart> starts;
        std::vector<PaceEvidence> all;
        for (const TargetStart &start : service) {
            const auto found = sums.find({start, kind.value});
            if (found == sums.end() || found->second.weight < m_options.minWeight
                || found->second.age < m_options.minAge)
                continue;
            starts.push_back(start);
            all.push_back(found->second);
        }
        if (starts.size() < LeastTargets)
            continue;
        const double slope = slopeWithinTargets(all);
        std::vector<double> times;
        for (const PaceEvidence &each : all)
            times.push_back((each.times - slope * each.loads) / each.weight);
        const double middle = median(times);
        for (std::size_t i = 0; i < starts.size(); ++i) {
            Deviation &deviation = deviations[starts[i]];
            deviation.weight += all[i].weight;
            deviation.sum += all[i].weight * (times[i] - middle);
        }
    }
    RelativeSpeeds speeds;
    const double band = std::log(m_options.deadBand);
    const double most = std::log(m_options.maxFactor);
    for (const auto &[start, deviation] : deviations) {
        // Little evidence moves the estimate little, so that it does not jump.
        const double shrunk = deviation.sum / (deviation.weight + m_options.priorWeight);
        const double beyond = std::clamp(std::abs(shrunk) - band, 0.0, most);
        if (beyond > 0)
            speeds[start] = std::exp(shrunk > 0 ? -beyond : beyond);
    }
    return speeds;
}

double TargetSpeeds::expectedTime(const std::vector<TargetStart> &service, PaceKind kind) const
{
    double weight = 0;
    double times = 0;
    for (const TargetStart &start : service) {
        const auto found = m_sums.own().find({start, kind});
        if (found == m_sums.own().end())
            continue;
        weight += found->second.weight;
        times += found->second.times;
    }
    return weight > 0 ? std::exp(times / weight) : 0;
}

} // namespace currantwalk
