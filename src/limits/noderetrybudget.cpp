#include "limits/noderetrybudget.h"

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
    const bool isSlackUsable = m_nodes != 0 && m_startedAt + m_options.window <= now;
    const double slackRetries = isSlackUsable ? m_options.slack / m_nodes : 0;
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
