#ifndef CURRANTWALK_ROUTING_TARGETSPEEDS_H
#define CURRANTWALK_ROUTING_TARGETSPEEDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

#include "routing/nodesums.h"

namespace currantwalk {

/// One start of a target.
struct TargetStart
{
    TargetId target;
    std::uint64_t startedAt = 0; ///< Unix time in milliseconds; 0 if unknown.

    friend auto operator<=>(const TargetStart &, const TargetStart &) = default;
};

/// What of an answer shows a target's speed.
enum class PaceKind {
    FirstEvent, ///< Time to the first event for each token of the prompt.
    Events,     ///< Time between events of a stream.
    Answer,     ///< Time of an answer that is no stream.
};

/// Returns "first-event", "events" or "answer".
std::string_view paceKindName(PaceKind kind);

/// Weighted sums over observations, which add up over nodes. An observation is the logarithm of a
/// time, made at a load.
struct PaceEvidence
{
    double weight = 0;
    double times = 0;        ///< Of logarithms of times.
    double loads = 0;        ///< In requests, as TargetSelector weighs them.
    double squaredLoads = 0; ///< Of squares of loads.
    double products = 0;     ///< Of loads and logarithms of times.
    Duration age{0};         ///< Of the first observation.

    PaceEvidence &operator+=(const PaceEvidence &other);
};

using PaceKey = std::pair<TargetStart, PaceKind>;
using PaceSums = std::map<PaceKey, PaceEvidence>;
/// By start; 1 is the service's median, 2 works twice as fast. Starts that are missing have 1.
using RelativeSpeeds = std::map<TargetStart, double>;

/// Learns from answers how fast the targets of a service are beside one another.
///
/// Answers load that is spread evenly over targets that are not equally fast: the slow ones are
/// behind while the others have room. Knows neither socket nor clock.
class TargetSpeeds
{
public:
    struct Options
    {
        /// After which an observation counts half.
        Duration halfLife = std::chrono::seconds(15);
        /// Time over which a target is observed before it is told from others. Spells of less than
        /// a second are no speed.
        Duration minAge = std::chrono::seconds(3);
        /// Weight of observations below which nothing is told.
        double minWeight = 6;
        /// Weight of the assumption that a target is like the others.
        double priorWeight = 2;
        /// Differences of speed within this factor count as none.
        double deadBand = 1.15;
        /// Speeds are taken for at most this factor faster or slower than the median.
        double maxFactor = 3;
        /// Most rows that a node tells of.
        std::size_t maxRows = 200;
        /// Time after which what another node told is ignored without a newer message.
        Duration messageLifetime = std::chrono::seconds(7);
    };

    explicit TargetSpeeds(const Options &options)
        : m_options(options), m_sums(options.messageLifetime)
    {
    }

    /// Adds an observation of \a seconds, made at \a load. Only of answers that are no errors.
    void observe(const TargetStart &start, PaceKind kind, double seconds, double load,
                 double weight, TimePoint now);
    /// Ages this node's observations, and forgets those of starts that \a isKnown does not know.
    void age(const std::function<bool(const TargetStart &)> &isKnown, TimePoint now);

    /// Returns what this node has observed.
    const PaceSums &own() const { return m_sums.own(); }
    /// Returns what this node has observed and been reported, the rows with the most weight.
    PaceSums reported(TimePoint now) const;
    /// Replaces what \a vm reports. Ignores messages that are not newer than the last one.
    void updatePeer(const VmId &vm, Incarnation incarnation, std::uint64_t sequence, PaceSums sums,
                    TimePoint now);
    void updateZone(const ZoneName &zone, PaceSums sums, TimePoint now);
    /// Takes speeds as the node that this one reports to found them at \a foundAt. They go before
    /// this node's own until they are too old.
    void updateFound(RelativeSpeeds speeds, TimePoint foundAt);

    /// Finds the speeds of the targets of \a services anew.
    void refresh(const std::vector<std::vector<TargetStart>> &services, TimePoint now);
    /// Returns the speeds, as last found, of targets that differ from the median of their service.
    const RelativeSpeeds &current() const { return m_current; }
    /// Returns when the evidence of current() was collected.
    TimePoint currentSince() const { return m_currentSince; }
    /// Returns the expected time, in seconds, of \a kind by this node's own observations of the
    /// targets of a service; 0 if there are none.
    double expectedTime(const std::vector<TargetStart> &service, PaceKind kind) const;

private:
    RelativeSpeeds compute(const std::vector<TargetStart> &service, const PaceSums &sums) const;

    Options m_options;
    NodeSums<PaceKey, PaceEvidence> m_sums;
    TimePoint m_agedAt{};
    RelativeSpeeds m_found; ///< By the node that this one reports to.
    TimePoint m_foundAt{};
    RelativeSpeeds m_current;
    TimePoint m_currentSince{};
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_TARGETSPEEDS_H
