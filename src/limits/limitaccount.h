#ifndef CURRANTWALK_LIMITS_LIMITACCOUNT_H
#define CURRANTWALK_LIMITS_LIMITACCOUNT_H

#include <cstdint>

#include "limits/sharemessages.h"
#include "limits/shares.h"
#include "limits/tokenbucket.h"

namespace currantwalk {

/// What one node uses of one limit: buckets filled at its share, and what it tells of its demand.
class LimitAccount
{
public:
    LimitAccount(const Share &whole, TimePoint now);

    void setWhole(const Share &whole) { m_whole = whole; }
    /// Sets the share used where no grant is in force, and the one that all nodes would have if all
    /// asked alike.
    void setStanding(const Share &standing, const Share &even, TimePoint now);

    /// Whether a request may go now.
    bool allows(bool isStream, TimePoint now);
    void take(bool isStream, TimePoint now);
    void charge(std::uint32_t tokens, TimePoint now);
    void endStream(Duration lasted, TimePoint now);
    /// Notes a refusal; returns when an attempt is expected to be let in.
    Duration refuse(bool isStream, TimePoint now);

    /// Whether there is news for the owner: use, waiting callers or a debt since the last report.
    bool isReportDue(Duration interval, TimePoint now) const;
    /// Whether callers wait and the last report is some round trips old.
    bool isReportUrgent(TimePoint now) const;
    ShareReport report(const std::string &limit, TimePoint now);
    void onGrant(const ShareGrant &grant, TimePoint now);
    bool isIdle(Duration span, TimePoint now);

private:
    void refresh(TimePoint now);
    void setRates(const Share &share, TimePoint now);
    const Share &share() const { return m_isGranted ? m_granted : m_standing; }

    Share m_whole;
    Share m_standing;
    Share m_even;
    Share m_granted;
    bool m_isGranted = false;
    TimePoint m_grantedUntil{};
    TokenBucket m_requests;
    TokenBucket m_tokens;
    double m_streamsInUse = 0;
    TimePoint m_tokensOpenAt{};
    TimePoint m_nextSlot{};     ///< The time told to the last caller that was refused.
    double m_streamSeconds = 5; ///< Mean time that a stream lasts.

    // Since the last report.
    std::uint32_t m_number = 0;
    TimePoint m_reportedAt{};
    TimePoint m_usedAt{};
    double m_attempts = 0;
    double m_charged = 0;
    double m_waiting = 0;
    double m_waitingStreams = 0;
    Share m_rate; ///< Mean of attempts and tokens a second over the last reports.
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_LIMITACCOUNT_H
