// How a request leaves a target: its connection, its run, and what was noted of it.
#include "daemon/relaysession.h"

namespace currantwalk {

void RelaySession::abandon(std::uint64_t exchange)
{
    const auto it = m_exchanges.find(exchange);
    if (it == m_exchanges.end())
        return;
    if (mayRunOn(it->second))
        m_services.stopRun(abandonedRun(it->second));
    close(exchange);
}

// The hooks that ask for the end of a run may not call back into the call.
RunStopper::ReleaseCallback RelaySession::releaseCallback(std::uint64_t exchange)
{
    return [this, alive = m_alive, exchange](RunStopResult result) {
        if (!*alive)
            return;
        const bool hasEnded =
                result == RunStopResult::Stopped || result == RunStopResult::NoSuchRun;
        const auto it = m_exchanges.find(exchange);
        if (it != m_exchanges.end() && hasEnded)
            it->second.isRunOver = true;
        m_call->onRunReleased(exchange, hasEnded);
        finishIfSettled();
    };
}

void RelaySession::endRun(std::uint64_t exchange)
{
    const auto it = m_exchanges.find(exchange);
    if (it != m_exchanges.end() && mayRunOn(it->second))
        m_services.stopRunAtOnce(abandonedRun(it->second), releaseCallback(exchange));
    else
        m_services.timers.scheduleAfter(Duration::zero(), [release = releaseCallback(exchange)] {
            release(RunStopResult::NoSuchRun);
        });
    close(exchange);
}

void RelaySession::endMovedRun(std::uint64_t exchange, const StreamCopy &copy)
{
    TargetExchange &entry = m_exchanges.at(exchange);
    entry.isRunEnding = true;
    AbandonedRun run = abandonedRun(entry);
    if (const ServiceTarget *const holder = m_services.targets.find(copy.holder))
        run.destination = holder->entry.endpoint;
    m_services.stopRunAtOnce(std::move(run), releaseCallback(exchange));
}

// The exchange is dropped in the loop's next round, since this may be called from its callback.
void RelaySession::close(std::uint64_t exchange)
{
    const auto it = m_exchanges.find(exchange);
    if (it == m_exchanges.end())
        return;
    release(it->second);
    std::shared_ptr<HttpCall> call = std::move(it->second.call);
    m_exchanges.erase(it);
    if (call)
        m_services.timers.scheduleAfter(Duration::zero(), [call] {});
}

void RelaySession::release(const TargetExchange &exchange)
{
    // An exchange that sent nothing must not end the run of an earlier one.
    if (exchange.wasSent && exchange.hasEnded)
        m_services.poison.onReleased(m_fingerprint, exchange.target, false);
    else if (exchange.wasSent)
        m_services.poison.onAbandoned(m_fingerprint, exchange.target);
    m_services.placer.onEnded(exchange.target, load(), exchange.isWaiting);
    if (exchange.backup)
        m_services.placer.onBackupEnded(*exchange.backup, load());
    if (load().promptTokens != 0)
        m_services.loadsChanged();
}

// The end of a connection does not end the run at every target.
bool RelaySession::mayRunOn(const TargetExchange &exchange) const
{
    const CatalogService *const service = m_admitted.catalog->findService(m_service);
    const bool canStop = service && service->engine && service->engine->supportsMoves;
    return canStop && exchange.wasSent && !exchange.isRunOver;
}

AbandonedRun RelaySession::abandonedRun(const TargetExchange &exchange) const
{
    AbandonedRun run;
    run.id = m_caller.id;
    run.target = exchange.target;
    run.startedAt = exchange.incarnation;
    run.endpoint = exchange.endpoint;
    run.zone = exchange.zone;
    run.destination = endpointBeside(exchange);
    run.copyInUse = m_copyHandle;
    run.isBeingCopied = !m_reservations.empty();
    run.until = m_call->request().deadline;
    return run;
}

// The call that stops a run has to name another address, to which the run's memory is copied after
// the run has stopped. The target where the stream goes on, or that has a backup of it, has the
// room already. Without room, or without a target there, the run is stopped all the same.
Endpoint RelaySession::endpointBeside(const TargetExchange &exchange) const
{
    for (const auto &[number, other] : m_exchanges) {
        if (other.target != exchange.target)
            return other.endpoint;
    }
    const ServiceTarget *const backup =
            exchange.backup ? m_services.targets.find(*exchange.backup) : nullptr;
    if (backup && backup->entry.endpoint != exchange.endpoint
        && !m_services.targets.isEmptied(*backup))
        return backup->entry.endpoint;
    const ServiceTarget *other =
            m_services.choose(m_service, {exchange.target}, m_services.settings.zone, 0);
    if (!other)
        other = m_services.targets.findOther(m_service, exchange.endpoint);
    return other ? other->entry.endpoint : m_services.settings.callers;
}

} // namespace currantwalk
