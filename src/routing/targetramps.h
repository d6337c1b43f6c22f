#ifndef CURRANTWALK_ROUTING_TARGETRAMPS_H
#define CURRANTWALK_ROUTING_TARGETRAMPS_H

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "routing/targetspeeds.h"

namespace currantwalk {

/// How much work a target gets that has started or recovered.
enum class RampPhase {
    Probing, ///< It has not answered in time yet.
    Ramping, ///< Each answer in time lets one more request be in flight.
    Steady,  ///< As much as any other.
};

/// Returns "probing", "ramping" or "steady".
std::string_view rampPhaseName(RampPhase phase);

/// Why a target's pace has to be found.
enum class RampCause {
    Started,   ///< A new start of the target. All nodes learn of it.
    Emptied,   ///< Its zone takes work again. All nodes learn of it.
    Ejected,   ///< This node has ejected it.
    TurnedAway ///< It has turned this node away for a time.
};

/// Returns "started", "emptied", "ejected" or "turned-away".
std::string_view rampCauseName(RampCause cause);

/// What requests since the begin of a ramp have shown.
struct RampCounts
{
    double timely = 0; ///< Answers that began in time.
    double failed = 0; ///< Requests that failed or were refused.
    Duration age{0};   ///< Since the begin.

    RampCounts &operator+=(const RampCounts &other);
};

using RampSums = std::map<TargetStart, RampCounts>;

/// What the choice of a target has to heed of its ramp.
struct RampLimit
{
    double ceiling = 0;     ///< Requests in flight; below 0 after failures.
    bool isOwnOnly = false; ///< Whether the ceiling is for this node's requests alone.
    /// Share of this node's choices that may take the target, so that nodes which choose at the
    /// same moment don't exceed the ceiling together.
    double share = 1;
};

/// A step of a target's ramp, for the log.
struct RampStep
{
    TargetStart start;
    RampPhase phase = RampPhase::Probing;
    RampCause cause = RampCause::Started;
    double ceiling = 0;
    RampCounts counts;
    bool isOwn = false; ///< Whether this node has counted any of it.
};

/// Finds the pace of targets that have started or recovered from their answers: the ceiling of
/// requests in flight is a sum over all nodes' counts, so that it doubles with each round of
/// answers in time, and falls with failures. Time without requests changes nothing.
///
/// Answers load that rushes to an empty target from all nodes at once, before it has shown what it
/// can do. Knows neither socket nor clock.
class TargetRamps
{
public:
    struct Options
    {
        /// Requests in flight at a target that has shown nothing yet.
        double firstCeiling = 2;
        /// Ceiling from which on a target is steady.
        double steadyCeiling = 16;
        /// Answers in time that make up for one failure.
        double failureCost = 4;
        /// After which a failure counts half.
        Duration failureHalfLife = std::chrono::seconds(3);
        /// Most failures that count; with more of them a target gets no less.
        double maxFailures = 4;
        /// Answers in time that end probing.
        double probes = 2;
        /// First parts of answers that take this many times longer than expected are late.
        double lateFactor = 3;
        /// Requests of all nodes that may choose a target before one hears of the others, as a
        /// multiple of its ceiling.
        double choicesPerCeiling = 8;
        /// After which a ramp is over whatever it has shown: the target starts no longer.
        Duration maxAge = std::chrono::seconds(30);
        /// Part of a service's targets that may have ramps at once; with more of them there is no
        /// other place for the load.
        double maxPart = 0.5;
        /// Time after which what another node told is ignored without a newer message.
        Duration messageLifetime = std::chrono::milliseconds(1500);
    };

    /// Called at each change of a phase, and when a ramp begins.
    using OnStep = std::function<void(const RampStep &step)>;

    TargetRamps(const Options &options, OnStep onStep)
        : m_options(options), m_onStep(std::move(onStep)), m_sums(options.messageLifetime)
    {
    }

    /// Begins a ramp that is \a age old.
    void begin(const TargetStart &start, RampCause cause, Duration age, TimePoint now);
    /// Called at the first part of an answer that is no error. \a expected is the usual time; 0 if
    /// unknown.
    void onAnswering(const TargetStart &start, Duration time, Duration expected, TimePoint now);
    /// Called when a request failed, was refused or did not reach the target.
    void onFailed(const TargetStart &start, TimePoint now);

    /// Returns the ramps that all nodes share, as counted by this node.
    RampSums own(TimePoint now) const { return withAges(m_sums.own(), now); }
    /// Returns the ramps that all nodes share, as counted by this node and those that report to it.
    RampSums reported(TimePoint now) const;
    /// Returns the counts of all nodes but for what \a vm reported.
    RampSums besides(const VmId &vm, TimePoint now) const;
    void updatePeer(const VmId &vm, Incarnation incarnation, std::uint64_t sequence, RampSums sums,
                    TimePoint now);
    void updateZone(const ZoneName &zone, RampSums sums, TimePoint now);
    void updateOthers(RampSums sums, TimePoint now);

    /// Returns the limits of those targets of a service that are not steady, for \a nodes nodes.
    std::map<TargetStart, RampLimit> limits(const std::vector<TargetStart> &service,
                                            std::size_t nodes, TimePoint now) const;
    RampPhase phaseOf(const TargetStart &start, TimePoint now) const;
    /// Tells the steps since the last call, and ends ramps.
    void update(TimePoint now);
    bool isEmpty() const { return m_ramps.empty(); }

private:
    struct Ramp
    {
        RampCause cause = RampCause::Started;
        TimePoint begunAt{};
        RampPhase toldPhase = RampPhase::Probing;
        std::optional<TimePoint> endedAt = std::nullopt;
    };

    static bool isShared(RampCause cause)
    {
        return cause == RampCause::Started || cause == RampCause::Emptied;
    }
    void ageFailures(TimePoint now);
    RampSums withAges(RampSums sums, TimePoint now) const;
    void learn(const RampSums &sums, TimePoint now);
    RampCounts countsOf(const TargetStart &start, const Ramp &ramp, TimePoint now) const;
    double balanceOf(const RampCounts &counts) const;
    double ceilingOf(const RampCounts &counts) const;
    RampPhase phaseFor(const RampCounts &counts) const;
    RampStep stepOf(const TargetStart &start, const Ramp &ramp, TimePoint now) const;

    Options m_options;
    OnStep m_onStep;
    std::map<TargetStart, Ramp> m_ramps;
    NodeSums<TargetStart, RampCounts> m_sums; ///< Of shared ramps.
    RampSums m_local;                         ///< Of the others.
    TimePoint m_agedAt{};
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_TARGETRAMPS_H
