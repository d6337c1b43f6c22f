#include "membership/bytebudget.h"

#include <algorithm>

namespace currantwalk {

constexpr double BurstSeconds = 4;
constexpr double BulkReserve = 0.5; ///< Share of the burst.

ByteBudget::ByteBudget(std::size_t bytesPerSecond, TimePoint now)
    : m_rate(static_cast<double>(bytesPerSecond)),
      m_burst(m_rate * BurstSeconds),
      m_available(m_burst),
      m_filledAt(now)
{
}

bool ByteBudget::allows(MessageUrgency urgency, TimePoint now)
{
    refill(now);
    return m_available > (urgency == MessageUrgency::Bulk ? m_burst * BulkReserve : 0);
}

void ByteBudget::refill(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_filledAt).count();
    m_available = std::min(m_burst, m_available + m_rate * seconds);
    m_filledAt = now;
}

} // namespace currantwalk
