#ifndef CURRANTWALK_TARGETS_OUTLIERDETECTOR_H
#define CURRANTWALK_TARGETS_OUTLIERDETECTOR_H

#include <cstdint>
#include <map>

#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// Ejects targets after consecutive failures, or when the ratio of failures within a window is too
/// high. The ejection time doubles with each ejection, up to a maximum. After an ejection the
/// target is on probation, where fewer failures eject it again, until it has had enough consecutive
/// successes.
class OutlierDetector
{
public:
    struct Options
    {
        std::uint32_t consecutiveFailures = 5;
        std::uint32_t consecutiveFailuresOnProbation = 2;
        std::uint32_t successesToEndProbation = 20;
        std::uint32_t minOutcomes = 20; ///< Minimum in a window for the failure ratio to count.
        double failureRatio = 0.5;
        Duration window = std::chrono::seconds(10);
        Duration baseEjection = std::chrono::seconds(10);
        Duration maxEjection = std::chrono::minutes(5);
    };

    explicit OutlierDetector(const Options &options) : m_options(options) {}

    void onOutcome(const TargetId &target, bool isSuccess, TimePoint now);
    /// Called when no connection to the target could be opened; ejects it at once.
    void onUnreachable(const TargetId &target, TimePoint now);
    bool isEjected(const TargetId &target, TimePoint now) const;
    void remove(const TargetId &target) { m_histories.erase(target); }
    std::size_t size() const { return m_histories.size(); }

private:
    struct History
    {
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t consecutiveSuccesses = 0;
        std::uint32_t failures = 0; ///< In the current window.
        std::uint32_t outcomes = 0; ///< In the current window.
        std::uint32_t ejections = 0;
        TimePoint windowStart{};
        TimePoint ejectedUntil{};
    };

    bool isOutlier(const History &history) const;
    void eject(History &history, TimePoint now) const;

    Options m_options;
    std::map<TargetId, History> m_histories;
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_OUTLIERDETECTOR_H
