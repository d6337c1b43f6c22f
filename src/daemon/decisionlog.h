#ifndef CURRANTWALK_DAEMON_DECISIONLOG_H
#define CURRANTWALK_DAEMON_DECISIONLOG_H

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/dispatcher.h"

namespace currantwalk {

/// Remembers why the latest requests went where they went; bounded.
class DecisionLog
{
public:
    explicit DecisionLog(std::size_t maxRequests) : m_maxRequests(maxRequests) {}

    void add(const std::string &requestId, const PlacementResult &placement);
    /// Returns the placements of a request, first to last; none where it is not remembered.
    std::vector<PlacementResult> find(const std::string &requestId) const;

private:
    const std::size_t m_maxRequests;
    std::deque<std::string> m_order;
    std::unordered_map<std::string, std::vector<PlacementResult>> m_placements;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_DECISIONLOG_H
