#include "daemon/tests/simserver.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace currantwalk {

static constexpr const char *TargetsTopic = "targets";
static constexpr Duration BeatInterval = std::chrono::milliseconds(1200);
static constexpr int MissedBeats = 3;
// From when a server breaks off an event until it resets the connection.
static constexpr Duration BreakDelay = std::chrono::milliseconds(2);
static constexpr Duration MaxCallDelay = std::chrono::milliseconds(3000);

static std::string durationText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

static std::uint64_t unixTime(TimePoint now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch().count()) + 1;
}

SimServer::SimServer(SimNet &net, SimStore &store, SimPoisonLogs &poison,
                     const SimPoisonParts &parts, RandomSource &randomSource, Options serverOptions,
                     std::string name)
    : options(std::move(serverOptions)),
      m_net(net),
      m_store(store),
      m_poison(poison),
      m_poisonParts(parts),
      m_random(randomSource),
      m_name(std::move(name))
{
}

void SimServer::start()
{
    if (m_start > 0 && options.changesPort)
        ++options.endpoint.port;
    ++m_start;
    m_isUp = true;
    m_isLeaving = false;
    m_bornAt = unixTime(m_net.timers().now());
    m_id = options.keepsId ? m_name : m_name + "-" + std::to_string(m_start);
    if (m_start > 1 && options.coldTime > Duration::zero())
        m_coldTimes.emplace_back(m_net.timers().now(), m_net.timers().now() + options.coldTime);
    m_net.listen(options.endpoint,
                 [this](std::shared_ptr<HttpExchange> exchange) { take(std::move(exchange)); });
    beat();
}

void SimServer::becomeCold(Duration span, bool isToldAtOnce)
{
    m_coldTimes.emplace_back(m_net.timers().now(), m_net.timers().now() + span);
    if (m_isUp && isToldAtOnce)
        writeEntry(m_isLeaving);
}

void SimServer::beat()
{
    writeEntry(m_isLeaving);
    m_net.timers().scheduleAfter(BeatInterval, [this, start = m_start] {
        if (m_isUp && start == m_start && (!m_isLeaving || options.announcesLeaving))
            beat();
    });
}

void SimServer::writeEntry(bool isLeaving)
{
    Json::Value entry(Json::objectValue);
    entry["service"] = options.service;
    entry["zone"] = options.zone.text();
    entry["endpoint"] = options.endpoint.toString();
    entry["leaving"] = isLeaving;
    entry["born"] = Json::UInt64(m_bornAt);
    // The fields of the users' platform.
    entry["address"] = options.endpoint.toString();
    entry["state"] = isLeaving ? "draining" : "ready";
    entry["slots"] = options.slots;
    const TimePoint now = m_net.timers().now();
    const Duration cold = m_coldTimes.empty() ? Duration::zero() : m_coldTimes.back().second - now;
    entry["cold_left_ms"] = Json::Int64(std::max<Duration::rep>(0, cold.count() / 1000));
    m_store.append(TargetsTopic, m_id, writeJson(entry));
}

void SimServer::stop(SimEnd end)
{
    m_isUp = false;
    endAllWork();
    m_net.close(options.endpoint, end);
}

void SimServer::crash(SimEnd end)
{
    if (!m_isUp)
        return;
    stop(end);
    const std::string id = m_id;
    const std::uint64_t start = m_start;
    m_net.timers().scheduleAfter(BeatInterval * MissedBeats, [this, id, start] {
        if (!options.keepsId || m_start == start)
            m_store.append(TargetsTopic, id, std::nullopt);
    });
    m_net.timers().scheduleAfter(options.restartAfter, [this] { this->start(); });
}

void SimServer::leave()
{
    if (!m_isUp)
        return;
    m_isLeaving = true;
    if (options.announcesLeaving) {
        writeEntry(true);
    } else {
        m_store.append(TargetsTopic, m_id, std::nullopt);
        m_removals[m_start] = m_net.timers().now();
    }
    m_net.timers().scheduleAfter(options.leavingTime, [this, start = m_start] {
        if (!m_isUp || start != m_start)
            return;
        stop(SimEnd::Reset);
        m_store.append(TargetsTopic, m_id, std::nullopt);
        m_net.timers().scheduleAfter(options.restartAfter, [this] { this->start(); });
    });
}

void SimServer::resetConnections()
{
    if (!m_isUp)
        return;
    if (options.dropsRuns)
        endAllWork();
    m_net.close(options.endpoint, SimEnd::Reset);
    m_net.listen(options.endpoint,
                 [this](std::shared_ptr<HttpExchange> exchange) { take(std::move(exchange)); });
}

std::size_t SimServer::copiesInProgress() const
{
    return static_cast<std::size_t>(
            std::count_if(m_work.begin(), m_work.end(),
                          [](const std::shared_ptr<Work> &work) { return work->isBeingCopied; }));
}

void SimServer::loseAnswers()
{
    const std::vector<std::shared_ptr<Work>> all = m_work;
    for (const std::shared_ptr<Work> &work : all) {
        if (!work->hasBegun)
            continue;
        work->exchange->abort();
        if (options.dropsRuns)
            end(work);
    }
}

// A run may outlast the connection of its request: what its answer says then reaches nobody.
HttpResponseHead SimServer::head(int status, const HttpExchange &exchange, SimArrival &arrival)
{
    HttpResponseHead head{status, {}};
    const bool isHeard = !exchange.isClosed();
    if (options.leavingShare > 0 && m_random.chance(options.leavingShare)) {
        head.headers.push_back({"leaving", "1"});
        if (isHeard)
            arrival.toldLeavingAt = m_net.timers().now();
    }
    if (!options.limitText.empty()) {
        head.headers.push_back({"limit", options.limitText});
    } else if (!m_limits.empty() && m_limits.back().limit) {
        head.headers.push_back({"limit", std::to_string(*m_limits.back().limit)});
        if (isHeard)
            arrival.toldLimitAt = m_net.timers().now();
    }
    return head;
}

void SimServer::setLimit(std::optional<double> limit)
{
    m_limits.push_back({m_net.timers().now(), limit});
}

// Returns the log of the crash that the request is going to cause, if any.
std::optional<std::string> SimServer::notePoison(const HttpRequest &request)
{
    std::optional<std::string> poison;
    if (request.body.rfind(PoisonMark, 0) == 0)
        poison = request.path;
    std::string_view list = findHeader(request.headers, PartsHeader).value_or("");
    for (std::size_t comma = list.find(','); comma != std::string_view::npos;
         comma = list.find(',')) {
        const auto part = m_poisonParts.find(std::string(list.substr(0, comma)));
        list.remove_prefix(comma + 1);
        if (part == m_poisonParts.end())
            continue;
        m_poison[part->first].arrivals.push_back(m_arrivals.back());
        if (m_random.chance(part->second))
            poison = part->first;
    }
    if (poison == request.path)
        m_poison[request.path].arrivals.push_back(m_arrivals.back());
    return poison;
}

void SimServer::take(std::shared_ptr<HttpExchange> exchange)
{
    const auto target = findHeader(exchange->request().headers, "target");
    if (target && *target != m_id) {
        exchange->start({421, {}});
        exchange->finish();
        return;
    }
    if (!options.keepsCopies && findHeader(exchange->request().headers, "copy")) {
        exchange->start({503, {{"not-run", "1"}}});
        exchange->finish();
        return;
    }
    const bool isRunCall = exchange->request().path == StopPath
                           || exchange->request().method == "DELETE"
                           || (options.givesCopies && exchange->request().path == CopyPath);
    if (isRunCall && options.failedCallShare > 0 && m_random.chance(options.failedCallShare))
        failCall(exchange);
    else
        accept(std::move(exchange));
}

void SimServer::failCall(const std::shared_ptr<HttpExchange> &exchange)
{
    const SimCallFault fault = options.callFault.value_or(
            static_cast<SimCallFault>(m_random.uniformBelow(SimCallFaults)));
    switch (fault) {
    case SimCallFault::Hang:
        m_hungCalls.push_back(exchange);
        break;
    case SimCallFault::Reset:
        exchange->abort();
        break;
    case SimCallFault::Error:
        respond(*exchange, 500, "", "");
        break;
    case SimCallFault::Garbage:
        respond(*exchange, 200, "", "garbage");
        break;
    case SimCallFault::Late: {
        const Duration delay = m_random.uniformBelow(MaxCallDelay.count()) * Duration(1);
        m_net.timers().scheduleAfter(delay, [this, exchange, start = m_start] {
            if (m_isUp && start == m_start)
                accept(exchange);
        });
        break;
    }
    }
}

void SimServer::accept(std::shared_ptr<HttpExchange> exchange)
{
    if (options.givesCopies && exchange->request().path == CopyPath) {
        copyRun(exchange);
        return;
    }
    const TimePoint now = m_net.timers().now();
    m_arrivals.push_back({now, exchange->remoteAddress(), m_start});
    const std::size_t arrival = m_arrivals.size() - 1;
    m_arrivals.back().isCopyCall =
            exchange->request().path == CopyPath || exchange->request().path == StopPath;
    m_arrivals.back().isStopCall = exchange->request().path == StopPath;
    m_arrivals.back().isDropCall = exchange->request().method == "DELETE";
    if (m_arrivals.back().isStopCall) {
        stopRun(exchange);
        return;
    }
    if (exchange->request().method == "DELETE") {
        exchange->start({200, {}});
        exchange->finish();
        return;
    }
    const std::optional<std::string> poison = notePoison(exchange->request());
    if (options.turnAwayShare > 0 && m_random.chance(options.turnAwayShare)) {
        m_arrivals.back().heldOffUntil = now + options.holdOff;
        HttpResponseHead refusal = head(503, *exchange, m_arrivals[arrival]);
        refusal.headers.push_back({"not-run", "1"});
        refusal.headers.push_back({"retry-after", durationText(options.holdOff)});
        exchange->start(std::move(refusal));
        exchange->finish();
        return;
    }
    const auto work = std::make_shared<Work>();
    work->exchange = std::move(exchange);
    work->arrival = arrival;
    work->poison = poison;
    // The exchange owns the hook, and the work owns the exchange.
    work->exchange->onClosed([this, weak = std::weak_ptr<Work>(work)] {
        const std::shared_ptr<Work> closed = weak.lock();
        if (closed && options.dropsRuns)
            end(closed);
    });
    m_work.push_back(work);
    beginNext();
}

std::shared_ptr<SimServer::Work> SimServer::findRun(const HttpExchange &exchange) const
{
    const std::string id(findHeader(exchange.request().headers, "id").value_or(""));
    const auto found =
            std::find_if(m_work.begin(), m_work.end(), [&id](const std::shared_ptr<Work> &work) {
                return work->hasBegun
                       && findHeader(work->exchange->request().headers, "id").value_or("") == id;
            });
    return found == m_work.end() ? nullptr : *found;
}

// Without a time of its own, a copy is made at once of whatever is asked for.
void SimServer::copyRun(const std::shared_ptr<HttpExchange> &exchange)
{
    if (options.copyTime == Duration::zero()) {
        respond(*exchange, 200, "", CopyHandle);
        return;
    }
    const std::shared_ptr<Work> work = findRun(*exchange);
    if (!work || work->isBeingCopied) {
        respond(*exchange, work ? 409 : 404, "", "");
        return;
    }
    work->isBeingCopied = true;
    m_net.timers().scheduleAfter(options.copyTime, [this, work, exchange, start = m_start] {
        work->isBeingCopied = false;
        if (m_isUp && start == m_start && !m_runs[work->run].endedAt)
            respond(*exchange, 200, "", CopyHandle);
        else if (m_isUp && start == m_start)
            respond(*exchange, 404, "", "");
    });
}

// The stream of a run that is stopped is closed without its end.
void SimServer::stopRun(const std::shared_ptr<HttpExchange> &exchange)
{
    if (options.refusedStopShare > 0 && m_random.chance(options.refusedStopShare)) {
        exchange->start({409, {}});
        exchange->finish();
        return;
    }
    const std::shared_ptr<Work> work = findRun(*exchange);
    if (work && work->isBeingCopied) {
        respond(*exchange, 409, "", "");
        return;
    }
    const bool isRunning = work != nullptr;
    if (isRunning) {
        work->exchange->abort();
        end(work);
    }
    if (options.lostStopShare > 0 && m_random.chance(options.lostStopShare)) {
        exchange->abort();
        return;
    }
    exchange->start({isRunning ? 200 : 404, {}});
    if (isRunning)
        exchange->write(CopyHandle);
    exchange->finish();
}

bool SimServer::isDropped(const Work &work) const
{
    return options.dropsRuns && work.exchange->isClosed();
}

void SimServer::beginNext()
{
    std::uint32_t running = 0;
    for (const std::shared_ptr<Work> &work : m_work)
        running += work->hasBegun ? 1 : 0;
    for (const std::shared_ptr<Work> &work : m_work) {
        if (work->hasBegun || running >= options.slots)
            continue;
        ++running;
        work->hasBegun = true;
        const HttpHeaders &headers = work->exchange->request().headers;
        work->run = m_runs.size();
        // A server that makes no copies takes the call for one as any request.
        const bool isCopyCall = work->exchange->request().path == CopyPath;
        m_runs.push_back({isCopyCall ? "" : std::string(findHeader(headers, "id").value_or("")),
                          work->exchange->remoteAddress(),
                          findHeader(headers, "last-event").has_value(), m_net.timers().now(),
                          std::nullopt});
        m_net.timers().scheduleAfter(options.work, [this, work, start = m_start] {
            if (m_isUp && start == m_start && !isDropped(*work) && !m_runs[work->run].endedAt)
                this->work(work);
        });
    }
}

void SimServer::work(const std::shared_ptr<Work> &work)
{
    const HttpRequest &request = work->exchange->request();
    if (options.errorShare > 0 && m_random.chance(options.errorShare)) {
        work->exchange->start(head(500, *work->exchange, m_arrivals[work->arrival]));
        work->exchange->finish();
        end(work);
        return;
    }
    if (work->poison && options.eventsBeforeCrash == 0) {
        m_net.timers().scheduleAfter(options.crashDelay,
                                     [this, poison = *work->poison, start = m_start] {
                                         if (!m_isUp || start != m_start)
                                             return;
                                         m_poison[poison].crashes.push_back(m_net.timers().now());
                                         crash(options.crash);
                                     });
        return;
    }
    if (options.resetShare > 0 && m_random.chance(options.resetShare)) {
        work->exchange->abort();
        end(work);
        return;
    }
    const bool isStream = options.events > 0;
    work->exchange->start(head(200, *work->exchange, m_arrivals[work->arrival]));
    if (isStream) {
        const auto resume = findHeader(request.headers, "last-event");
        work->events = resume ? static_cast<std::uint32_t>(std::stoul(std::string(*resume))) : 0;
        writeEvent(work);
        return;
    }
    work->exchange->write("answer to " + request.body);
    work->exchange->finish();
    end(work);
}

void SimServer::writeEvent(const std::shared_ptr<Work> &work)
{
    if (!m_isUp || isDropped(*work) || m_runs[work->run].endedAt)
        return;
    if (work->poison && work->events >= options.eventsBeforeCrash) {
        m_poison[*work->poison].crashes.push_back(m_net.timers().now());
        crash(options.crash);
        return;
    }
    if (options.breakShare > 0 && m_random.chance(options.breakShare)) {
        work->exchange->write("id: " + std::to_string(work->events + 1) + "\nda");
        const std::shared_ptr<HttpExchange> exchange = work->exchange;
        end(work);
        m_net.timers().scheduleAfter(BreakDelay, [exchange] {
            if (!exchange->isClosed())
                exchange->abort();
        });
        return;
    }
    if (options.trickles) {
        work->exchange->write("i");
        writeEventLater(work);
        return;
    }
    ++work->events;
    work->exchange->write("id: " + std::to_string(work->events) + "\ndata: x\n\n");
    if (work->events >= options.events) {
        work->exchange->finish();
        end(work);
        return;
    }
    writeEventLater(work);
}

void SimServer::writeEventLater(const std::shared_ptr<Work> &work)
{
    m_net.timers().scheduleAfter(options.eventGap, [this, work, start = m_start] {
        if (start == m_start)
            writeEvent(work);
    });
}

void SimServer::endAllWork()
{
    for (const std::shared_ptr<Work> &work : m_work) {
        if (work->hasBegun)
            m_runs[work->run].endedAt = m_net.timers().now();
    }
    m_work.clear();
}

void SimServer::end(const std::shared_ptr<Work> &work)
{
    if (work->hasBegun && !m_runs[work->run].endedAt)
        m_runs[work->run].endedAt = m_net.timers().now();
    m_work.erase(std::remove(m_work.begin(), m_work.end(), work), m_work.end());
    if (m_isUp)
        beginNext();
}

} // namespace currantwalk
