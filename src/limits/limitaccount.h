#ifndef CURRANTWALK_LIMITS_LIMITACCOUNT_H
#define CURRANTWALK_LIMITS_LIMITACCOUNT_H

#include <cstdint>

#include "limits/sharemessages.h"
#include "limits/shares.h"
#include "limits/tokenbucket.h"

namespace currantwalk {

/// Tracks the usage of one limit at one node: token buckets that refill at the rate of the node's
/// share, and the demand that the node reports to the owner of the limit.
class LimitAccount
{
public:
    LimitAccount(const Share &total, TimePoint now);

    void setTotal(const Share &total) { m_total = total; }
    /// Sets the share that applies while no grant is in force, and the share that each node would
    /// get if all nodes had the same demand.
    void setGuaranteedShare(const Share &guaranteed, const Share &evenShare, TimePoint now);

    /// Returns whether a request can be admitted now.
    bool canAdmit(bool isStream, TimePoint now);
    void onAdmitted(bool isStream, TimePoint now);
    void charge(std::uint32_t tokens, TimePoint now);
    void endStream(Duration lasted, TimePoint now);
    /// Records a rejected request; returns the delay after which a retry should be admitted.
    Duration onRejected(bool isStream, TimePoint now);

    /// Returns whether a report to the owner is due: the limit is in use, and its grant is about to
    /// expire or is insufficient.
    bool isReportDue(Duration interval, TimePoint now);
    /// Returns whether requests were rejected since the last report and that report is older than
    /// some round trips.
    bool isReportUrgent(TimePoint now) const;
    ShareReport report(const std::string &limit, TimePoint now);
    void onGrant(const ShareGrant &grant, TimePoint now);
    bool isIdle(Duration span, TimePoint now);

private:
    void refresh(TimePoint now);
    void setRates(const Share &share, TimePoint now);
    const Share &share() const { return m_hasGrant ? m_grantedShare : m_guaranteedShare; }

    Share m_total;
    Share m_guaranteedShare;
    Share m_evenShare;
    Share m_grantedShare;
    bool m_hasGrant = false;
    TimePoint m_grantExpiresAt{};
    TokenBucket m_requests;
    TokenBucket m_tokens;
    double m_streamsInUse = 0;
    TimePoint m_tokensBlockedUntil{};
    TimePoint m_nextRetryAt{};      ///< Earliest retry time for the next rejected caller.
    double m_meanStreamSeconds = 5; ///< Moving average of stream durations.

    // Since the last report.
    std::uint32_t m_lastReportNumber = 0;
    TimePoint m_lastReportAt{};
    TimePoint m_lastUsedAt{};
    double m_attempts = 0;
    double m_chargedTokens = 0;
    double m_rejectedRequests = 0;
    double m_rejectedStreams = 0;
    Share m_rate; ///< Moving average of attempts and tokens per second, updated with each report.
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_LIMITACCOUNT_H
