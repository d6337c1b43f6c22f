#include "daemon/entrynode.h"
#include "limits/receivebudget.h"

namespace currantwalk {

// Part of the memory for requests that are received or in progress, with their copies.
static constexpr std::size_t ReceiveDivisor = 3;

void EntryNode::updateReceiveLimits()
{
    HttpReceiveLimits limits;
    limits.memory = m_settings.memoryLimit / ReceiveDivisor;
    limits.connections = ReceiveBudget::connectionsFor(m_settings.descriptorLimit);
    limits.onRefused = [this](const HttpReceiveRefusal &refusal) {
        m_receiveRefusals.note(refusal, m_loop.timers().now());
    };
    m_loop.server().setReceiveLimits(limits);
    if (!m_catalog.current())
        return;
    const CallerLimits &callers = m_catalog.current()->limits();
    m_loop.server().setRequestLimits(
            m_callersEndpoint,
            {callers.maxBodyBytes != 0 ? callers.maxBodyBytes : MaxCallerBodyBytes,
             callers.headTime, callers.idleTime});
}

} // namespace currantwalk
