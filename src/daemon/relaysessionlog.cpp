#include "daemon/relaysession.h"

#include <cmath>

#include "daemon/requestfingerprint.h"
#include "observe/logging.h"

namespace currantwalk {

static std::string millisecondText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void RelaySession::logSend(const ServiceTarget &target, const RelaySend &order) const
{
    const double load = m_services.placer.weightedLoad(target.id, m_services.timers.now());
    std::string line = m_call->sends() > 1 ? "Sent again to " : "Sent to ";
    line += target.id.text() + " in " + target.entry.zone.text();
    line += " phase=" + std::string(targetPhaseName(target.phase));
    line += " load=" + std::to_string(std::lround(load));
    line += " sends=" + std::to_string(m_call->sends());
    line += " catalog=" + std::to_string(m_admitted.catalog->version());
    line += " catalog_age_ms=" + millisecondText(m_services.catalog.age().value_or(Duration(0)));
    if (order.backup)
        line += " copied_to=" + order.backup->text();
    if (order.resume)
        line += " behind event " + std::to_string(order.resume->lastEvent)
                + (order.resume->copy ? " from copy " + order.resume->copy->handle
                                      : std::string(" without a copy"));
    logRequest(LogPart::Routing, LogLevel::Info, m_caller.id.text(), line);
}

void RelaySession::logRoom(const RoomDecision &room, const RoomRequest &request) const
{
    m_services.metrics.count("currantwalk_room_decisions_total",
                             {{"service", m_service},
                              {"decision", std::string(roomDecisionName(room.kind))},
                              {"urgency", request.isLessUrgent ? "less" : "most"}});
    std::string line = "Room: " + std::string(roomDecisionName(room.kind));
    line += " for_ms=" + millisecondText(room.time);
    line += " waited_ms=" + millisecondText(request.waited);
    line += " objective_ms=" + millisecondText(request.objective);
    line += " prompt=" + std::to_string(request.load.promptTokens);
    line += " answer=" + std::to_string(request.load.expectedTokens);
    line += " urgency=" + std::to_string(urgency());
    if (room.target)
        line += " best=" + room.target->id.text() + " start_ms=" + millisecondText(room.start)
                + " memory=" + std::to_string(std::lround(room.memoryShare * 100)) + '%';
    logRequest(LogPart::Routing, LogLevel::Info, m_caller.id.text(), line);
}

void RelaySession::logFailedSend(const TargetId &target, const absl::Status &status,
                                 bool wasSent) const
{
    logRequest(LogPart::Calls, LogLevel::Info, m_caller.id.text(),
               "Send to " + target.text() + " failed: " + std::string(status.message())
                       + (wasSent ? "; it may have run." : "; nothing was written.")
                       + " fingerprint=" + fingerprintText(m_fingerprint)
                       + " parts=" + promptPartsText(m_caller.sharedPromptParts));
}

void RelaySession::countOutcome(std::string_view outcome) const
{
    const std::string rule(retrySemanticsName(m_admitted.route->rule));
    m_services.metrics.count("currantwalk_requests_total",
                             {{"rule", rule}, {"outcome", std::string(outcome)}});
    if (m_firstPartAt)
        m_services.metrics.observe("currantwalk_first_part_seconds", {{"rule", rule}},
                                   *m_firstPartAt - m_arrivedAt);
    m_services.metrics.observe("currantwalk_request_seconds", {{"rule", rule}},
                               m_services.timers.now() - m_arrivedAt);
}

void RelaySession::logOutcome(std::string_view outcome, std::string_view reason) const
{
    countOutcome(outcome);

    std::string line = "Request ended: " + std::string(outcome);
    line += " rule=" + std::string(retrySemanticsName(m_admitted.route->rule));
    line += " target=" + m_call->target().text();
    line += " sends=" + std::to_string(m_call->sends());
    line += " ms=" + millisecondText(m_services.timers.now() - m_arrivedAt);
    if (m_firstPartAt)
        line += " first_ms=" + millisecondText(*m_firstPartAt - m_arrivedAt)
                + " gap_ms=" + millisecondText(m_longestGap);
    if (m_status != 0)
        line += " status=" + std::to_string(m_status);
    if (isLate())
        line += " late";
    line += " catalog=" + std::to_string(m_admitted.catalog->version());
    line += " catalog_age_ms=" + millisecondText(m_services.catalog.age().value_or(Duration(0)));
    if (!reason.empty())
        line += " reason=\"" + std::string(reason) + '"';
    // What has a line for its send and none for its end was in progress when its node was killed.
    const bool isOrdinary = outcome == "done" && m_status < 400 && !isLate() && m_call->sends() == 1
                            && !isStream(m_admitted.route->rule);
    const LogLevel level = isOrdinary ? LogLevel::Debug : LogLevel::Info;
    logRequest(LogPart::Calls, level, m_caller.id.text(), line);
}

} // namespace currantwalk
