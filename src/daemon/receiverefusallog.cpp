#include "daemon/receiverefusallog.h"

#include <string>
#include <utility>

#include "limits/receivebudget.h"
#include "observe/logging.h"

namespace currantwalk {

static constexpr Duration LogInterval = std::chrono::seconds(1);

// An idle connection that is closed in time is ordinary. Of the others a crowd brings about many.
void ReceiveRefusalLog::note(const HttpReceiveRefusal &refusal, TimePoint now)
{
    m_metrics.count("currantwalk_receive_refusals_total", {{"limit", std::string(refusal.limit)}});
    if (refusal.limit == receiveLimitName(ReceiveLimit::IdleTime))
        return;
    ++m_unlogged;
    if (m_loggedAt && now - *m_loggedAt < LogInterval)
        return;
    m_loggedAt = now;
    logLine(LogPart::Callers, LogLevel::Warning,
            "Not received whole: limit=" + std::string(refusal.limit)
                    + " bytes=" + std::to_string(refusal.bytes)
                    + " held_bytes=" + std::to_string(refusal.heldBytes)
                    + " connections=" + std::to_string(refusal.connections)
                    + " since_last_line=" + std::to_string(std::exchange(m_unlogged, 0)));
}

} // namespace currantwalk
