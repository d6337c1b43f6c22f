#include "limits/limitaccount.h"

#include <algorithm>

namespace currantwalk {

constexpr double DemandHeadroom = 2; ///< Reported demand as a multiple of the observed one.
constexpr double RateWeight = 0.5;   ///< Weight of the last interval.
constexpr Duration UrgentReportInterval = std::chrono::milliseconds(50); ///< Some round trips.
constexpr Duration RenewalMargin = std::chrono::milliseconds(1500); ///< Before the grant expires.
constexpr Duration OwnerReplyDelay = std::chrono::milliseconds(20); ///< Time for the owner's reply.
constexpr double MinRate = 1e-3;                                    ///< Units per second.
constexpr double MaxSpacingSeconds = 60;
constexpr Duration MaxRetryAfter = std::chrono::minutes(3);

// A limit without state has not been used at this node recently, so its bucket would have refilled
// to at least one request. Without this credit, the first request after each start would be
// rejected.
LimitAccount::LimitAccount(const Share &total, TimePoint now)
    : m_total(total), m_requests(now), m_tokens(now), m_lastReportAt(now - std::chrono::seconds(1))
{
    m_requests.add(1, now);
}

void LimitAccount::setGuaranteedShare(const Share &guaranteed, const Share &evenShare,
                                      TimePoint now)
{
    m_guaranteedShare = guaranteed;
    m_evenShare = evenShare;
    if (!m_hasGrant)
        setRates(guaranteed, now);
}

void LimitAccount::setRates(const Share &share, TimePoint now)
{
    m_requests.setRate(share.requests, now);
    m_tokens.setRate(share.tokens, now);
}

void LimitAccount::refresh(TimePoint now)
{
    if (!m_hasGrant || now < m_grantExpiresAt)
        return;
    m_hasGrant = false;
    setRates(m_guaranteedShare, m_grantExpiresAt);
}

bool LimitAccount::canAdmit(bool isStream, TimePoint now)
{
    refresh(now);
    if (m_total.requests > 0 && m_requests.balance(now) < 1)
        return false;
    if (m_total.tokens > 0 && (now < m_tokensBlockedUntil || m_tokens.balance(now) < 0))
        return false;
    return !isStream || m_total.streams <= 0 || m_streamsInUse + 1 <= share().streams;
}

void LimitAccount::onAdmitted(bool isStream, TimePoint now)
{
    m_lastUsedAt = now;
    m_attempts += 1;
    if (m_total.requests > 0)
        m_requests.add(-1, now);
    if (isStream)
        m_streamsInUse += 1;
}

void LimitAccount::charge(std::uint32_t tokens, TimePoint now)
{
    refresh(now);
    m_lastUsedAt = now;
    m_chargedTokens += tokens;
    if (m_total.tokens > 0)
        m_tokens.add(-static_cast<double>(tokens), now);
}

void LimitAccount::endStream(Duration lasted, TimePoint now)
{
    constexpr double Weight = 0.1;
    m_lastUsedAt = now;
    m_streamsInUse -= 1;
    const double seconds = std::chrono::duration<double>(lasted).count();
    m_meanStreamSeconds += Weight * (seconds - m_meanStreamSeconds);
}

static Duration secondsOf(double seconds)
{
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

// Retry times of rejected callers are spaced at the rate at which the share admits requests. If all
// callers retried at the same time, most would be rejected again.
Duration LimitAccount::onRejected(bool isStream, TimePoint now)
{
    refresh(now);
    m_lastUsedAt = now;
    m_attempts += 1;
    m_rejectedRequests += 1;
    if (isStream)
        m_rejectedStreams += 1;
    // Without a grant, the first rejected caller only waits for the owner's reply. Later callers
    // get retry times based on an even share: grants are max-min fair, so a node with enough demand
    // receives no less than that.
    if (!m_hasGrant && m_rejectedRequests <= 1)
        return OwnerReplyDelay;
    Duration wait(0);
    double spacing = 0;
    if (m_total.requests > 0) {
        spacing = 1 / std::max(m_evenShare.requests, MinRate);
        const double missing = std::max(0.0, 1 - m_requests.balance(now));
        wait = std::max(wait, secondsOf(std::min(MaxSpacingSeconds, missing * spacing)));
    }
    if (m_total.tokens > 0) {
        const double debt = std::max(0.0, -m_tokens.balance(now));
        const double seconds = debt / std::max(m_evenShare.tokens, MinRate);
        wait = std::max(wait, secondsOf(std::min(MaxSpacingSeconds, seconds)));
        wait = std::max(wait, m_tokensBlockedUntil - now);
    }
    const bool isFull = isStream && m_total.streams > 0 && m_streamsInUse + 1 > share().streams;
    if (isFull) {
        const double streams = std::max(1.0, share().streams);
        spacing = std::max(spacing, m_meanStreamSeconds / streams);
        wait = std::max(wait, secondsOf(m_meanStreamSeconds / streams));
    }
    const TimePoint retryAt = std::max(now + std::min(wait, MaxRetryAfter), m_nextRetryAt);
    m_nextRetryAt = std::min(retryAt + secondsOf(std::min(spacing, MaxSpacingSeconds)),
                             now + MaxRetryAfter);
    return std::clamp(retryAt - now, OwnerReplyDelay, MaxRetryAfter);
}

bool LimitAccount::isReportDue(Duration interval, TimePoint now)
{
    refresh(now);
    if (now - m_lastReportAt < interval)
        return false;
    // A sufficient grant is renewed shortly before it expires rather than reported every interval.
    const bool isSufficientGrant =
            m_hasGrant && m_rejectedRequests <= 0 && m_tokens.balance(now) >= 0;
    if (isSufficientGrant && m_grantExpiresAt - now > RenewalMargin)
        return false;
    return m_attempts > 0 || m_chargedTokens > 0 || m_rejectedRequests > 0 || m_streamsInUse > 0
           || m_nextRetryAt > now;
}

bool LimitAccount::isReportUrgent(TimePoint now) const
{
    return m_rejectedRequests > 0 && now - m_lastReportAt >= UrgentReportInterval;
}

ShareReport LimitAccount::report(const std::string &limit, TimePoint now)
{
    refresh(now);
    constexpr double MinElapsedSeconds = 0.5;
    const double elapsed = std::max(MinElapsedSeconds,
                                    std::chrono::duration<double>(now - m_lastReportAt).count());
    m_rate.requests += RateWeight * (m_attempts / elapsed - m_rate.requests);
    m_rate.tokens += RateWeight * (m_chargedTokens / elapsed - m_rate.tokens);
    ShareReport report;
    report.limit = limit;
    report.number = ++m_lastReportNumber;
    report.demand.requests = std::max(DemandHeadroom * m_rate.requests, m_rejectedRequests);
    // Rejected callers are expected to retry at the times they were given, so the even share that
    // those times were computed from is still requested.
    if (m_nextRetryAt > now)
        report.demand.requests =
                std::max(report.demand.requests, DemandHeadroom * m_evenShare.requests);
    report.demand.tokens = DemandHeadroom * m_rate.tokens;
    report.demand.streams = m_streamsInUse + m_rejectedStreams + 1;
    report.held = m_hasGrant ? m_grantedShare : Share{};
    report.streamsInUse = m_streamsInUse;
    report.rejectedRequests = m_rejectedRequests;
    report.tokenDebt = m_total.tokens > 0 ? std::max(0.0, -m_tokens.balance(now)) : 0;
    m_lastReportAt = now;
    m_attempts = 0;
    m_chargedTokens = 0;
    m_rejectedRequests = 0;
    m_rejectedStreams = 0;
    return report;
}

// Only the grant for the last report is accepted, and its lifetime starts when that report was
// sent. The owner starts the lifetime later, so it never considers a grant expired that is still in
// use here.
void LimitAccount::onGrant(const ShareGrant &grant, TimePoint now)
{
    refresh(now);
    if (grant.number != m_lastReportNumber || m_lastReportAt + grant.lifetime <= now)
        return;
    m_grantedShare = grant.share;
    m_hasGrant = true;
    m_grantExpiresAt = m_lastReportAt + grant.lifetime;
    setRates(m_grantedShare, now);
    m_requests.add(grant.credit, now);
    m_tokens.add(grant.assumedDebt, now);
    m_tokensBlockedUntil = std::max(m_tokensBlockedUntil, now + grant.tokenDelay);
}

bool LimitAccount::isIdle(Duration span, TimePoint now)
{
    return m_streamsInUse <= 0 && m_nextRetryAt <= now && now - m_lastUsedAt >= span
           && m_tokens.balance(now) >= 0;
}

} // namespace currantwalk
