#include "daemon/decisionlog.h"

namespace currantwalk {

static constexpr std::size_t MaxPlacementsPerRequest = 16;

void DecisionLog::add(const std::string &requestId, const PlacementResult &placement)
{
    const auto [it, isNew] = m_placements.try_emplace(requestId);
    if (it->second.size() < MaxPlacementsPerRequest)
        it->second.push_back(placement);
    if (!isNew)
        return;
    m_order.push_back(requestId);
    if (m_order.size() <= m_maxRequests)
        return;
    m_placements.erase(m_order.front());
    m_order.pop_front();
}

std::vector<PlacementResult> DecisionLog::find(const std::string &requestId) const
{
    const auto it = m_placements.find(requestId);
    return it == m_placements.end() ? std::vector<PlacementResult>() : it->second;
}

} // namespace currantwalk
