#ifndef CURRANTWALK_OBSERVE_ANSWERTIMES_H
#define CURRANTWALK_OBSERVE_ANSWERTIMES_H

#include <cstdint>

#include "base/timerservice.h"
#include "config/objects.h"

namespace currantwalk {

/// Measures the latencies of one answer, as seen by the caller, against an objective.
class AnswerTimes
{
public:
    AnswerTimes(const ObjectiveObject &objective, TimePoint arrivedAt);

    /// Called when a token was sent to the caller.
    void onToken(TimePoint now);

    bool hasFirstToken() const { return m_tokens > 0; }
    Duration firstToken() const { return m_firstToken; }
    Duration longestGap() const { return m_longestGap; }
    /// Returns the mean gap between tokens; 0 for fewer than two.
    Duration meanGap() const;

    bool meetsFirstToken() const;
    /// Returns whether at most 1% of the gaps exceeded the objective.
    bool meetsTokenGap() const;
    bool meetsStall() const;

private:
    ObjectiveObject m_objective;
    TimePoint m_arrivedAt;
    TimePoint m_lastToken{};
    Duration m_firstToken{0};
    Duration m_longestGap{0};
    std::uint64_t m_tokens = 0;
    std::uint64_t m_longGaps = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_ANSWERTIMES_H
