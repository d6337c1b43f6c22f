#include "daemon/relaysession.h"
#include "daemon/runstopcalls.h"
#include "observe/logging.h"

namespace currantwalk {

// A copy queues behind others on its links; a target that leaves is gone before this is over.
static constexpr Duration CopyTimeout = std::chrono::milliseconds(2500);
// All nodes look for destinations at the same moment, before they hear of one another's choices:
// each destination's cost is taken as up to this much higher, so that the choices differ.
static constexpr Duration MoveSpread = std::chrono::milliseconds(1000);
// An answer that is expected to be shorter is over before a copy of it would help; its share of the
// worth does not pay for the room.
static constexpr std::uint32_t LeastBackedUpTokens = 200;

std::optional<TargetId> RelaySession::chooseMoveTarget(const TargetId &source,
                                                       const std::vector<TargetId> &excluded)
{
    const CatalogService *const service = m_admitted.catalog->findService(m_service);
    const ServiceTarget *const from = m_services.targets.find(source);
    if (!mayGoOn() || isPoisonous() || !from || isEmptied(*from, "copy") || !service
        || !service->engine || !service->engine->supportsMoves)
        return std::nullopt;
    std::optional<RoomRequest> request = roomRequest();
    if (!request)
        return std::nullopt;
    request->isMoved = true;
    request->zone = from->entry.zone;
    request->spread = MoveSpread;
    const ServiceTarget *const target = m_services.askRoom(m_service, excluded, *request).target;
    if (!target || target->id == source)
        return std::nullopt;
    // The source gets the order to copy.
    if (m_services.limiter.remaining(source, from->entry.startedAt) > Duration::zero()
        || !m_services.holdOffs.tryResume(source, from->entry.startedAt, m_services.timers.now()))
        return std::nullopt;
    return target->id;
}

void RelaySession::copy(std::uint64_t move, const TargetId &source, const TargetId &destination)
{
    const ServiceTarget *const from = m_services.targets.find(source);
    reserve(move, destination);
    m_services.limiter.request(source, from->entry.startedAt, from->entry.zone, GrantUse::First,
                               [this, alive = m_alive, move, source, destination](bool isGranted) {
                                   if (!*alive)
                                       return;
                                   if (isGranted)
                                       requestCopy(move, source, destination);
                                   else
                                       failCopyLater(move);
                               });
}

// The hook that asks for a copy may not call back into the call.
void RelaySession::failCopyLater(std::uint64_t move)
{
    m_services.timers.scheduleAfter(Duration::zero(), [this, alive = m_alive, move] {
        if (!*alive)
            return;
        dropReservation(move);
        m_call->onCopyResult(
                move, makeError(ErrorCode::RateLimited, "the source takes no further requests"));
        finishIfSettled();
    });
}

void RelaySession::requestCopy(std::uint64_t move, const TargetId &source,
                               const TargetId &destination)
{
    const ServiceTarget *const from = m_services.targets.find(source);
    const ServiceTarget *const to = m_services.targets.find(destination);
    if (!from || !to || isEmptied(*from, "copy") || isEmptied(*to, "copy")
        || !m_services.limiter.take(source, from->entry.startedAt)) {
        failCopyLater(move);
        return;
    }
    HttpCallOptions options;
    options.endpoint = from->entry.endpoint;
    options.isConnectionKept = false;
    options.connectTimeout = ConnectTimeout;
    const StreamCopy asked{destination, source, from->entry.endpoint, {}};
    const auto answer = [this, alive = m_alive, move, asked, &services = m_services,
                         sent = ownCall(*from), zone = from->entry.zone](FetchResult result) {
        services.noteCallAnswer(sent, result.response);
        services.metrics.count("currantwalk_copies_total",
                               {{"result", result.status.ok() ? "answered" : "lost"}});
        const absl::StatusOr<std::string> handle =
                result.status.ok() ? services.bindings.readCopy(result.response)
                                   : absl::StatusOr<std::string>(result.status);
        if (!*alive) {
            // The request has ended meanwhile.
            if (handle.ok())
                currantwalk::freeCopy(services,
                                      {RequestId(sent.request), sent.target, sent.startedAt, zone,
                                       asked.handleIssuer, *handle});
            return;
        }
        dropReservation(move);
        if (!handle.ok()) {
            logRequest(LogPart::Calls, LogLevel::Info, m_caller.id.text(),
                       "Copy to " + asked.holder.text()
                               + " failed: " + std::string(handle.status().message()));
            const bool isCallOver =
                    result.status.ok() || result.progress == SendProgress::NothingSent;
            m_call->onCopyResult(move, handle.status(), isCallOver);
        } else {
            StreamCopy copy = asked;
            copy.handle = *handle;
            m_copyHandle = *handle;
            m_call->onCopyResult(move, copy);
        }
        finishIfSettled();
    };
    m_services.fetcher.fetch(options,
                             m_services.bindings.writeCopy(m_caller.id, to->entry.endpoint),
                             CopyTimeout, answer);
}

// A copy takes its room before the stream goes on there; other nodes that look for a destination at
// the same time are told.
void RelaySession::reserve(std::uint64_t move, const TargetId &destination)
{
    m_reservations[move] = destination;
    m_services.placer.onSent(destination, load());
    if (isRoomShared())
        m_services.placer.onFirstEvent(destination, load());
    m_services.loadsChanged();
}

void RelaySession::dropReservation(std::uint64_t move)
{
    const auto it = m_reservations.find(move);
    if (it == m_reservations.end())
        return;
    m_services.placer.onEnded(it->second, load(), !isRoomShared());
    m_reservations.erase(it);
}

TargetSendNote RelaySession::ownCall(const ServiceTarget &target) const
{
    return {target.id, target.entry.startedAt, m_services.timers.now(), m_caller.id.text(), true};
}

// The call outlives the request.
void RelaySession::freeCopy(const StreamCopy &copy)
{
    const ServiceTarget *const issuer = m_services.targets.find(copy.issuer);
    currantwalk::freeCopy(m_services,
                          {m_caller.id, copy.issuer, issuer ? issuer->entry.startedAt : 0,
                           issuer ? issuer->entry.zone : m_services.settings.zone,
                           copy.handleIssuer, copy.handle});
}

bool RelaySession::mayResumeAt(const TargetId &id) const
{
    const ServiceTarget *const holder = m_services.targets.find(id);
    return holder && holder->phase != TargetPhase::Leaving && !isEmptied(*holder, "resume")
           && mayGoOn() && !isPoisonous();
}

// The node's own zone comes first: a copy there can be reached when the zone is cut off.
std::optional<TargetId> RelaySession::chooseBackupTarget(const TargetId &target) const
{
    const CatalogService *const service = m_admitted.catalog->findService(m_service);
    const bool isWorthIt = service && service->engine && service->engine->supportsCopies
                           && load().expectedTokens >= LeastBackedUpTokens;
    if (!isWorthIt)
        return std::nullopt;
    const ServiceTarget *const holder =
            m_services.chooseBackup(m_service, target, load(), service->engine->memoryTokens);
    if (!holder)
        return std::nullopt;
    return holder->id;
}

std::optional<StreamCopy> RelaySession::findBackup(const TargetId &id) const
{
    if (!mayResumeAt(id))
        return std::nullopt;
    const ServiceTarget *const holder = m_services.targets.find(id);
    if (!m_services.holdOffs.tryResume(id, holder->entry.startedAt, m_services.timers.now()))
        return std::nullopt;
    return StreamCopy{id, id, holder->entry.endpoint, m_caller.id.text(), true};
}

} // namespace currantwalk
