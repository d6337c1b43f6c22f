#include "limits/limitaccount.h"

#include <algorithm>

namespace currantwalk {

constexpr double Headroom = 2;     ///< Demand told, as a multiple of what was seen.
constexpr double MeanWeight = 0.5; ///< Of the last interval.
constexpr Duration RoundTrip = std::chrono::milliseconds(50);
constexpr Duration RenewBefore = std::chrono::milliseconds(1500); ///< A grant lapses.
constexpr Duration AskDelay = std::chrono::milliseconds(20);      ///< For the owner's answer.
constexpr double LeastRate = 1e-3;                                ///< Units a second.
constexpr double LongestSpacing = 60;                             ///< Seconds.
constexpr Duration LongestRetry = std::chrono::minutes(3);

// A limit that this node has no state of was not used here of late, so its bucket would hold a
// request by now. Without it the first request after each start would be refused.
LimitAccount::LimitAccount(const Share &whole, TimePoint now)
    : m_whole(whole), m_requests(now), m_tokens(now), m_reportedAt(now - std::chrono::seconds(1))
{
    m_requests.add(1, now);
}

void LimitAccount::setStanding(const Share &standing, const Share &even, TimePoint now)
{
    m_standing = standing;
    m_even = even;
    if (!m_isGranted)
        setRates(standing, now);
}

void LimitAccount::setRates(const Share &share, TimePoint now)
{
    m_requests.setRate(share.requests, now);
    m_tokens.setRate(share.tokens, now);
}

void LimitAccount::refresh(TimePoint now)
{
    if (!m_isGranted || now < m_grantedUntil)
        return;
    m_isGranted = false;
    setRates(m_standing, m_grantedUntil);
}

bool LimitAccount::allows(bool isStream, TimePoint now)
{
    refresh(now);
    if (m_whole.requests > 0 && m_requests.balance(now) < 1)
        return false;
    if (m_whole.tokens > 0 && (now < m_tokensOpenAt || m_tokens.balance(now) < 0))
        return false;
    return !isStream || m_whole.streams <= 0 || m_streamsInUse + 1 <= share().streams;
}

void LimitAccount::take(bool isStream, TimePoint now)
{
    m_usedAt = now;
    m_attempts += 1;
    if (m_whole.requests > 0)
        m_requests.add(-1, now);
    if (isStream)
        m_streamsInUse += 1;
}

void LimitAccount::charge(std::uint32_t tokens, TimePoint now)
{
    refresh(now);
    m_usedAt = now;
    m_charged += tokens;
    if (m_whole.tokens > 0)
        m_tokens.add(-static_cast<double>(tokens), now);
}

void LimitAccount::endStream(Duration lasted, TimePoint now)
{
    constexpr double Weight = 0.1;
    m_usedAt = now;
    m_streamsInUse -= 1;
    const double seconds = std::chrono::duration<double>(lasted).count();
    m_streamSeconds += Weight * (seconds - m_streamSeconds);
}

static Duration secondsOf(double seconds)
{
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

// Callers that are refused one after the other are told times one after the other, as fast as the
// share lets them in; all at one time they would be refused again.
Duration LimitAccount::refuse(bool isStream, TimePoint now)
{
    refresh(now);
    m_usedAt = now;
    m_attempts += 1;
    m_waiting += 1;
    if (isStream)
        m_waitingStreams += 1;
    // The first to wait for a share is told to wait for the owner's answer. Who comes after it is
    // told what an even share promises: as grants are max-min fair, a node that asks has no less.
    if (!m_isGranted && m_waiting <= 1)
        return AskDelay;
    Duration wait(0);
    double spacing = 0;
    if (m_whole.requests > 0) {
        spacing = 1 / std::max(m_even.requests, LeastRate);
        const double missing = std::max(0.0, 1 - m_requests.balance(now));
        wait = std::max(wait, secondsOf(std::min(LongestSpacing, missing * spacing)));
    }
    if (m_whole.tokens > 0) {
        const double debt = std::max(0.0, -m_tokens.balance(now));
        const double seconds = debt / std::max(m_even.tokens, LeastRate);
        wait = std::max(wait, secondsOf(std::min(LongestSpacing, seconds)));
        wait = std::max(wait, m_tokensOpenAt - now);
    }
    const bool isFull = isStream && m_whole.streams > 0 && m_streamsInUse + 1 > share().streams;
    if (isFull) {
        const double streams = std::max(1.0, share().streams);
        spacing = std::max(spacing, m_streamSeconds / streams);
        wait = std::max(wait, secondsOf(m_streamSeconds / streams));
    }
    const TimePoint slot = std::max(now + std::min(wait, LongestRetry), m_nextSlot);
    m_nextSlot = std::min(slot + secondsOf(std::min(spacing, LongestSpacing)), now + LongestRetry);
    return std::clamp(slot - now, AskDelay, LongestRetry);
}

bool LimitAccount::isReportDue(Duration interval, TimePoint now)
{
    refresh(now);
    if (now - m_reportedAt < interval)
        return false;
    // A grant that nobody waits for more of is renewed, not reported on all the time.
    const bool isEnough = m_isGranted && m_waiting <= 0 && m_tokens.balance(now) >= 0;
    if (isEnough && m_grantedUntil - now > RenewBefore)
        return false;
    return m_attempts > 0 || m_charged > 0 || m_waiting > 0 || m_streamsInUse > 0
           || m_nextSlot > now;
}

bool LimitAccount::isReportUrgent(TimePoint now) const
{
    return m_waiting > 0 && now - m_reportedAt >= RoundTrip;
}

ShareReport LimitAccount::report(const std::string &limit, TimePoint now)
{
    refresh(now);
    constexpr double LeastSeconds = 0.5;
    const double elapsed =
            std::max(LeastSeconds, std::chrono::duration<double>(now - m_reportedAt).count());
    m_rate.requests += MeanWeight * (m_attempts / elapsed - m_rate.requests);
    m_rate.tokens += MeanWeight * (m_charged / elapsed - m_rate.tokens);
    ShareReport report;
    report.limit = limit;
    report.number = ++m_number;
    report.demand.requests = std::max(Headroom * m_rate.requests, m_waiting);
    // Callers that were told to come back will: the share that was reckoned with is kept for them.
    if (m_nextSlot > now)
        report.demand.requests = std::max(report.demand.requests, Headroom * m_even.requests);
    report.demand.tokens = Headroom * m_rate.tokens;
    report.demand.streams = m_streamsInUse + m_waitingStreams + 1;
    report.held = m_isGranted ? m_granted : Share{};
    report.streamsInUse = m_streamsInUse;
    report.waiting = m_waiting;
    report.tokenDebt = m_whole.tokens > 0 ? std::max(0.0, -m_tokens.balance(now)) : 0;
    m_reportedAt = now;
    m_attempts = 0;
    m_charged = 0;
    m_waiting = 0;
    m_waitingStreams = 0;
    return report;
}

// Only the answer to the last report counts, and its life runs from when that was sent: the owner
// counts from later, so that it never takes a grant for lapsed that is still used here.
void LimitAccount::onGrant(const ShareGrant &grant, TimePoint now)
{
    refresh(now);
    if (grant.number != m_number || m_reportedAt + grant.life <= now)
        return;
    m_granted = grant.share;
    m_isGranted = true;
    m_grantedUntil = m_reportedAt + grant.life;
    setRates(m_granted, now);
    m_requests.add(grant.credit, now);
    m_tokens.add(grant.debtTaken, now);
    m_tokensOpenAt = std::max(m_tokensOpenAt, now + grant.tokenDelay);
}

bool LimitAccount::isIdle(Duration span, TimePoint now)
{
    return m_streamsInUse <= 0 && m_nextSlot <= now && now - m_usedAt >= span
           && m_tokens.balance(now) >= 0;
}

} // namespace currantwalk
