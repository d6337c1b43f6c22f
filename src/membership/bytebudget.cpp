#include "membership/bytebudget.h"

#include <algorithm>

namespace currantwalk {

constexpr double BurstSeconds = 4;
constexpr double NewsReserve = 0.25; ///< Share of the burst.
constexpr double BulkReserve = 0.5;  ///< Share of the burst.
constexpr std::size_t MaxNewsBytes = 900;
constexpr std::size_t ScarceNewsBytes = 300;
constexpr std::size_t LeastNewsBytes = 150;

ByteBudget::ByteBudget(std::size_t bytesPerSecond, TimePoint now)
    : m_rate(static_cast<double>(bytesPerSecond)),
      m_burst(m_rate * BurstSeconds),
      m_available(m_burst),
      m_filledAt(now)
{
}

static double reserveOf(MessageUrgency urgency)
{
    switch (urgency) {
    case MessageUrgency::News:
        return NewsReserve;
    case MessageUrgency::Bulk:
        return BulkReserve;
    case MessageUrgency::Probe:
        break;
    }
    return 0;
}

bool ByteBudget::allows(MessageUrgency urgency, TimePoint now)
{
    refill(now);
    return m_available > reserveOf(urgency) * m_burst;
}

std::size_t ByteBudget::newsBytes(TimePoint now)
{
    if (allows(MessageUrgency::Bulk, now))
        return MaxNewsBytes;
    return allows(MessageUrgency::News, now) ? ScarceNewsBytes : LeastNewsBytes;
}

void ByteBudget::refill(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_filledAt).count();
    m_available = std::min(m_burst, m_available + m_rate * seconds);
    m_filledAt = now;
}

} // namespace currantwalk
