#ifndef CURRANTWALK_LIMITS_NODERETRYBUDGET_H
#define CURRANTWALK_LIMITS_NODERETRYBUDGET_H

#include <deque>

#include "base/timerservice.h"

namespace currantwalk {

/// Enforces this node's part of a service's retry budget: in each sliding window, at most a fixed
/// ratio of the requests received by this node, plus its part of the slack shared by all nodes.
class NodeRetryBudget
{
public:
    struct Options
    {
        double ratio = 0.2; ///< Retries per request.
        double slack = 0;   ///< Additional retries per window, summed over all nodes.
        Duration window = std::chrono::seconds(10);
        /// Fraction of the ratio that may be spent. Future requests are not counted on.
        double usableRatioFraction = 0.9;
    };

    /// \a startedAt is the start of the process. No slack is spent within a window after it,
    /// because an earlier process of the node may have spent it.
    explicit NodeRetryBudget(const Options &options, TimePoint startedAt = TimePoint::min())
        : m_options(options), m_startedAt(startedAt)
    {
    }

    void setOptions(const Options &options) { m_options = options; }
    /// Sets the number of nodes that share the slack; 0 if it is unknown, so that none is spent.
    void setNodeCount(std::uint32_t nodes) { m_nodes = nodes; }
    void onRequest(TimePoint now);
    /// Spends one retry if the window has one left; returns whether it did.
    bool trySpend(TimePoint now);
    /// Returns the number of retries left in the window that ends at \a now.
    double remaining(TimePoint now);

private:
    void expire(TimePoint now);

    Options m_options;
    TimePoint m_startedAt;
    std::uint32_t m_nodes = 1;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_NODERETRYBUDGET_H
