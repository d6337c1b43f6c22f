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
/// are those which explain the crashes with the fewest answers begun beside them: a crash that one
/// feature explains does not count against another.
class CrashEvidence
{
public:
    /// Events that blame a feature; crashes at about the same time are one event.
    static constexpr std::size_t MinEvents = 3;
    /// The same, where too few nodes have told how many requests they have answered.
    static constexpr std::size_t MinEventsUncounted = 5;
    /// More answers for each event show that the feature does not crash targets.
    static constexpr double MaxAnswersPerEvent = 4;
    static constexpr Duration Lifetime = std::chrono::minutes(10);

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
    /// Counts a request that was answered.
    void addAnswer(const std::vector<RequestFeature> &features, TimePoint now);
    /// Sets how many requests with a feature all nodes are believed to have answered.
    void setAnswersOfAll(std::uint64_t feature, std::uint64_t answers, TimePoint now);
    /// Returns the number of answers counted here lately.
    std::uint64_t answersHere(std::uint64_t feature, TimePoint now);
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

    struct Counts
    {
        std::unordered_map<std::uint64_t, std::uint64_t> here;
        std::unordered_map<std::uint64_t, std::uint64_t> ofAll;
    };

    struct Candidate;
    using Candidates = std::unordered_map<std::uint64_t, Candidate>;

    void rotateCounts(TimePoint now);
    void removeExpired(TimePoint now);
    std::uint64_t answers(std::uint64_t feature) const;
    Candidates candidates(const std::vector<const Crash *> &crashes) const;
    const Candidate *best(const Candidates &candidates) const;

    std::list<Crash> m_crashes; ///< The latest one last.
    Counts m_current;
    Counts m_previous;
    TimePoint m_rotatedAt{};
};

} // namespace currantwalk

#endif // CURRANTWALK_BLAME_CRASHEVIDENCE_H
