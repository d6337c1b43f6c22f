#include "observe/answertimes.h"

#include <algorithm>

namespace currantwalk {

static constexpr std::uint64_t GapsPerLongGap = 100;

AnswerTimes::AnswerTimes(const ObjectiveObject &objective, TimePoint arrivedAt)
    : m_objective(objective), m_arrivedAt(arrivedAt)
{
}

void AnswerTimes::onToken(TimePoint now)
{
    if (m_tokens == 0) {
        m_firstToken = now - m_arrivedAt;
    } else {
        const Duration gap = now - m_lastToken;
        m_longestGap = std::max(m_longestGap, gap);
        if (m_objective.tokenGap.count() > 0 && gap > m_objective.tokenGap)
            ++m_longGaps;
    }
    m_lastToken = now;
    ++m_tokens;
}

Duration AnswerTimes::meanGap() const
{
    if (m_tokens < 2)
        return Duration(0);
    const Duration span = m_lastToken - m_arrivedAt - m_firstToken;
    return span / static_cast<std::int64_t>(m_tokens - 1);
}

bool AnswerTimes::meetsFirstToken() const
{
    if (m_objective.firstToken.count() == 0)
        return true;
    return hasFirstToken() && m_firstToken <= m_objective.firstToken;
}

bool AnswerTimes::meetsTokenGap() const
{
    const std::uint64_t gaps = m_tokens > 0 ? m_tokens - 1 : 0;
    return m_longGaps * GapsPerLongGap <= gaps;
}

bool AnswerTimes::meetsStall() const
{
    return m_objective.stall.count() == 0 || m_longestGap <= m_objective.stall;
}

} // namespace currantwalk
