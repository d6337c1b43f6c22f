#ifndef CURRANTWALK_BLAME_CRASHEVIDENCE_H
#define CURRANTWALK_BLAME_CRASHEVIDENCE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// Something that a request has in common with others, such as a part of its prompt.
struct RequestFeature
{
    std::uint64_t fingerprint = 0;
    std::string subject; ///< Describes it to operators.
};

/// A start of a target that crashed.
struct TargetCrash
{
    TargetId target;
    Incarnation incarnation = 0;
    TimePoint at{};
};

/// Finds the features of requests that explain the crashes of targets.
///
/// A crash may be due to any request that the target had not begun to answer. The features blamed
/// are first those whose requests were at more crashes than chance gives, and then those which
/// explain the crashes with the fewest answers begun beside them: a crash that one feature explains
/// does not count against another.
class CrashEvidence
{
public:
    /// Events that blame a feature; crashes at about the same time are one event.
    static constexpr std::size_t MinEvents = 3;
    /// The same, where too few nodes have told how many requests they have answered.
    static constexpr std::size_t MinEventsUncounted = 5;
    /// With more answers for each event, only a comparison with the other requests can blame the
    /// feature.
    static constexpr double MaxAnswersPerEvent = 4;
    /// Probability that chance alone makes the comparison blame a feature.
    static constexpr double MaxErrorRate = 0.001;
    /// In place of a feature: all requests that have any.
    static constexpr std::uint64_t AllRequests = 0;
    static constexpr Duration Lifetime = std::chrono::minutes(10);

    /// Requests that were answered.
    struct Answers
    {
        std::uint64_t count = 0; ///< In the last 5 to 10 minutes.
        Duration waited{0};      ///< By those of the last 30 to 60 s, until their answers began.
    };

    struct Verdict
    {
        RequestFeature feature;
        std::vector<TargetCrash> crashes;
        std::size_t events = 0;
    };

    /// Records a request that a target had not begun to answer when it crashed. The features are
    /// in order, the most common one first.
    void addWitness(const TargetCrash &crash, std::uint64_t request,
                    const std::vector<RequestFeature> &features);
    /// Removes the crashes for which \a isRefuted returns true.
    void removeCrashes(const std::function<bool(const TargetCrash &)> &isRefuted);
    /// Counts a request that was answered after it had been at its target for \a waited.
    void addAnswer(const std::vector<RequestFeature> &features, Duration waited, TimePoint now);
    /// Sets what all nodes are believed to have answered of a feature or of AllRequests.
    void setAnswersOfAll(std::uint64_t feature, const Answers &answers, TimePoint now);
    /// Returns what was answered here of a feature or of AllRequests.
    Answers answersHere(std::uint64_t feature, TimePoint now);
    /// Returns the features that are to blame.
    std::vector<Verdict> verdicts(TimePoint now);

private:
    struct Witness
    {
        std::uint64_t request = 0;
        std::vector<RequestFeature> features;
    };

    struct Crash
    {
        TargetCrash crash;
        std::vector<Witness> witnesses;
    };

    /// Sums by feature, of one period and the one before.
    template<typename Sum>
    struct Sums
    {
        std::unordered_map<std::uint64_t, Sum> here;
        std::unordered_map<std::uint64_t, Sum> ofAll;
        std::unordered_map<std::uint64_t, Sum> hereBefore;
        std::unordered_map<std::uint64_t, Sum> ofAllBefore;
        TimePoint rotatedAt{};

        void rotate(Duration period, TimePoint now);
        void add(std::uint64_t feature, Sum sum);
        Sum sumHere(std::uint64_t feature) const;
        /// Returns the sum of all nodes, or this node's, if it is greater.
        Sum sum(std::uint64_t feature) const;
    };

    struct Candidate;
    using Candidates = std::unordered_map<std::uint64_t, Candidate>;

    void rotateCounts(TimePoint now);
    void removeExpired(TimePoint now);
    double shareOfRequests(std::uint64_t feature) const;
    Candidates candidates(const std::vector<const Crash *> &crashes) const;
    const Candidate *mostSignificant(const Candidates &candidates,
                                     const std::vector<const Crash *> &crashes) const;
    const Candidate *best(const Candidates &candidates) const;
    bool hasFewAnswers(const Candidate &candidate) const;

    std::list<Crash> m_crashes; ///< The latest one last.
    Sums<std::uint64_t> m_counts;
    Sums<Duration> m_waits;
};

} // namespace currantwalk

#endif // CURRANTWALK_BLAME_CRASHEVIDENCE_H
