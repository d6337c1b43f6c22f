#include "membership/bytebudget.h"

#include <algorithm>

namespace currantwalk {

constexpr double BurstSeconds = 4;
constexpr double GossipReserve = 0.25; ///< Fraction of the burst.
constexpr double RepairReserve = 0.5;  ///< Fraction of the burst.
constexpr std::size_t MaxPiggybackBytes = 900;
constexpr std::size_t ReducedPiggybackBytes = 300;
constexpr std::size_t MinPiggybackBytes = 150;

ByteBudget::ByteBudget(std::size_t bytesPerSecond, TimePoint now)
    : m_rate(static_cast<double>(bytesPerSecond)),
      m_burst(m_rate * BurstSeconds),
      m_available(m_burst),
      m_filledAt(now)
{
}

static double reserveOf(MessagePriority priority)
{
    switch (priority) {
    case MessagePriority::Gossip:
        return GossipReserve;
    case MessagePriority::Repair:
        return RepairReserve;
    case MessagePriority::Probe:
        break;
    }
    return 0;
}

bool ByteBudget::canSend(MessagePriority priority, TimePoint now)
{
    refill(now);
    return m_available > reserveOf(priority) * m_burst;
}

std::size_t ByteBudget::piggybackBytes(TimePoint now)
{
    if (canSend(MessagePriority::Repair, now))
        return MaxPiggybackBytes;
    return canSend(MessagePriority::Gossip, now) ? ReducedPiggybackBytes : MinPiggybackBytes;
}

void ByteBudget::refill(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_filledAt).count();
    m_available = std::min(m_burst, m_available + m_rate * seconds);
    m_filledAt = now;
}

} // namespace currantwalk
