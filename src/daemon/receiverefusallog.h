#ifndef CURRANTWALK_DAEMON_RECEIVEREFUSALLOG_H
#define CURRANTWALK_DAEMON_RECEIVEREFUSALLOG_H

#include <cstddef>
#include <optional>

#include "net/http.h"
#include "observe/metrics.h"

namespace currantwalk {

/// Counts requests and connections that the server refused, and logs them at most once a second.
class ReceiveRefusalLog
{
public:
    explicit ReceiveRefusalLog(Metrics &metrics) : m_metrics(metrics) {}

    void note(const HttpReceiveRefusal &refusal, TimePoint now);

private:
    Metrics &m_metrics;
    std::optional<TimePoint> m_loggedAt;
    std::size_t m_unlogged = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_RECEIVEREFUSALLOG_H
