// What a session's answers show of the pace of their targets.
#include "daemon/relaysession.h"

#include <algorithm>

namespace currantwalk {

// Prompts below this length take the engine's fixed times rather than the reading of tokens.
static constexpr std::uint32_t LeastTokens = 256;
// Events are timed over at least this long: single gaps say little, and are many.
static constexpr Duration TimedSpan = std::chrono::seconds(1);
// The end of a stream is timed where it is at least this long.
static constexpr Duration LeastSpan = std::chrono::milliseconds(300);

void RelaySession::noteFirstPart(const TargetExchange &exchange)
{
    // An error that comes fast says nothing of the pace of work.
    if (!isSuccessStatus(exchange.head.status) || exchange.isResumed)
        return;
    PaceSample sample;
    sample.start = {exchange.target, exchange.incarnation};
    sample.time = m_services.timers.now() - exchange.sentAt;
    sample.load = exchange.load;
    if (load().promptTokens != 0) {
        sample.kind = PaceKind::FirstEvent;
        sample.units = std::max(load().promptTokens, LeastTokens);
    }
    m_services.notePace(m_service, sample);
}

// Gaps while the target waits for the caller to read are the caller's.
void RelaySession::timeEvents(std::uint64_t number)
{
    const auto it = m_exchanges.find(number);
    if (it == m_exchanges.end() || it->second.target != m_call->target() || !m_call->lastEvent()
        || !isSuccessStatus(it->second.head.status))
        return;
    TargetExchange &exchange = it->second;
    const TimePoint now = m_services.timers.now();
    if (m_isPaused) {
        exchange.timedSince.reset();
        return;
    }
    exchange.lastEvent = {now, *m_call->lastEvent()};
    if (!exchange.timedSince)
        exchange.timedSince = exchange.lastEvent;
    else if (now - exchange.timedSince->first >= TimedSpan)
        noteEvents(exchange);
}

void RelaySession::noteEvents(TargetExchange &exchange)
{
    if (!exchange.timedSince)
        return;
    const auto [since, first] = *std::exchange(exchange.timedSince, exchange.lastEvent);
    const auto [until, last] = exchange.lastEvent;
    if (until - since < LeastSpan || last <= first)
        return;
    PaceSample sample;
    sample.start = {exchange.target, exchange.incarnation};
    sample.kind = PaceKind::Events;
    sample.time = until - since;
    sample.units = static_cast<double>(last - first);
    sample.load = m_services.placer.weightedLoad(exchange.target, until);
    sample.weight = std::chrono::duration<double>(until - since).count();
    m_services.notePace(m_service, sample);
}

} // namespace currantwalk
