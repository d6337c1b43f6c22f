#include "targets/outlierdetector.h"

#include <algorithm>

namespace currantwalk {

// Outcomes that arrive during an ejection are ignored: they belong to requests sent before it.
void OutlierDetector::onOutcome(const TargetId &target, bool isSuccess, TimePoint now)
{
    const auto known = m_histories.find(target);
    if (known == m_histories.end() && isSuccess)
        return;
    History &history = m_histories[target];
    if (now < history.ejectedUntil)
        return;
    if (now - history.windowStart >= m_options.window) {
        history.windowStart = now;
        history.failures = 0;
        history.outcomes = 0;
    }
    ++history.outcomes;
    if (isSuccess) {
        history.consecutiveFailures = 0;
        if (++history.consecutiveSuccesses >= m_options.successesToEndProbation
            && history.failures == 0)
            m_histories.erase(target);
        return;
    }
    history.consecutiveSuccesses = 0;
    ++history.failures;
    ++history.consecutiveFailures;
    if (isOutlier(history))
        eject(history, now);
}

void OutlierDetector::onUnreachable(const TargetId &target, TimePoint now)
{
    History &history = m_histories[target];
    if (now >= history.ejectedUntil)
        eject(history, now);
}

bool OutlierDetector::isEjected(const TargetId &target, TimePoint now) const
{
    const auto it = m_histories.find(target);
    return it != m_histories.end() && now < it->second.ejectedUntil;
}

bool OutlierDetector::isOutlier(const History &history) const
{
    const std::uint32_t threshold = history.ejections > 0 ? m_options.consecutiveFailuresOnProbation
                                                          : m_options.consecutiveFailures;
    if (history.consecutiveFailures >= threshold)
        return true;
    return history.outcomes >= m_options.minOutcomes
           && history.failures >= m_options.failureRatio * history.outcomes;
}

void OutlierDetector::eject(History &history, TimePoint now) const
{
    constexpr std::uint32_t MaxDoublings = 16;
    const std::uint32_t doublings = std::min(history.ejections, MaxDoublings);
    const Duration ejectionTime =
            std::min(m_options.baseEjection * (1U << doublings), m_options.maxEjection);
    ++history.ejections;
    history.ejectedUntil = now + ejectionTime;
    history.windowStart = history.ejectedUntil;
    history.failures = 0;
    history.outcomes = 0;
    history.consecutiveFailures = 0;
}

} // namespace currantwalk
