#include "limits/bufferbudget.h"

#include <algorithm>

namespace currantwalk {

bool BufferBudget::Holder::resize(std::size_t bytes)
{
    BufferBudget &budget = m_budget;
    budget.m_used = budget.m_used - m_bytes + bytes;
    budget.m_holders -= m_bytes != 0 ? 1 : 0;
    budget.m_holders += bytes != 0 ? 1 : 0;
    m_bytes = bytes;
    if (budget.m_used <= budget.m_capacity)
        return true;
    // Shares that were granted while there were fewer holders are not taken back.
    const bool isExhausted = budget.m_used > 2 * budget.m_capacity;
    const std::size_t share = budget.m_capacity / std::max<std::size_t>(budget.m_holders, 1);
    return bytes <= (isExhausted ? LeastShare : std::max(share, LeastShare));
}

} // namespace currantwalk
