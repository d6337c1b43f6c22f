#include "limits/noderetrybudget.h"

#include <algorithm>

namespace currantwalk {

void NodeRetryBudget::onRequest(TimePoint now)
{
    expire(now);
    m_requests.push_back(now);
}

bool NodeRetryBudget::trySpend(TimePoint now)
{
    if (remaining(now) < 1)
        return false;
    m_retries.push_back(now);
    return true;
}

double NodeRetryBudget::remaining(TimePoint now)
{
    expire(now);
    const double requestRetries = m_options.ratio * m_options.usableRatioFraction
                                  * static_cast<double>(m_requests.size());
    const double slackRetries = m_options.slack / std::max<std::uint32_t>(m_nodes, 1);
    return requestRetries + slackRetries - static_cast<double>(m_retries.size());
}

void NodeRetryBudget::expire(TimePoint now)
{
    const auto dropOld = [this, now](std::deque<TimePoint> &times) {
        while (!times.empty() && now - times.front() >= m_options.window)
            times.pop_front();
    };
    dropOld(m_requests);
    dropOld(m_retries);
}

} // namespace currantwalk
