#include "routing/roomadmission.h"

#include <algorithm>
#include <limits>

namespace currantwalk {

// Engines that cost the same are told apart at random, because otherwise all nodes would fill them
// in the same order.
static constexpr Duration TieBreakSpread = std::chrono::milliseconds(20);

std::string_view roomDecisionName(RoomDecision::Kind kind)
{
    switch (kind) {
    case RoomDecision::Kind::Admit:
        return "admit";
    case RoomDecision::Kind::Wait:
        return "wait";
    case RoomDecision::Kind::Refuse:
        return "refuse";
    }
    return "";
}

static Duration milliseconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
}

static std::uint64_t tokensOf(const RequestLoad &load)
{
    return std::uint64_t{load.promptTokens} + load.expectedTokens;
}

double RoomAdmission::memoryShare(const RoomRequest &request, const EngineRoom &engine) const
{
    return static_cast<double>(engine.load.tokens + tokensOf(request.load)) / request.memoryTokens;
}

Duration RoomAdmission::expectedStart(const RoomRequest &request, const EngineRoom &engine) const
{
    const std::uint64_t unread =
            request.isMoved ? 0 : engine.load.waitingTokens + request.load.promptTokens;
    return milliseconds(static_cast<double>(unread) / (m_options.promptTokensPerMs * engine.speed));
}

Duration RoomAdmission::cost(const RoomRequest &request, const EngineRoom &engine,
                             TimePoint now) const
{
    Duration cost = expectedStart(request, engine);
    const double ownMs = m_options.ownTimeMs;
    const double contentionMs =
            m_options.tokenMsPerRequest * engine.load.requests * request.load.expectedTokens;
    cost += milliseconds((contentionMs + ownMs) / engine.speed - ownMs);
    cost += std::chrono::duration_cast<Duration>(m_options.rampRequestCost * engine.rampPenalty);
    const double overuse = memoryShare(request, engine) - m_options.safeMemoryShare;
    if (overuse > 0)
        cost += std::chrono::duration_cast<Duration>(m_options.overuseCost * overuse);
    if (engine.target->entry.zone != request.zone)
        cost += m_options.otherZoneCost;
    if (now < engine.target->coldUntil)
        cost += m_options.coldCost;
    return cost + m_random.jitter(TieBreakSpread + request.spread);
}

// Time that the answer takes, which is also the time after which generations like it have made
// room.
Duration RoomAdmission::answerTime(const RoomRequest &request) const
{
    return milliseconds(m_options.tokenMs * request.load.expectedTokens);
}

Duration RoomAdmission::waitLimit(const RoomRequest &request) const
{
    if (!request.isLessUrgent || request.isMoved)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(request.objective * m_options.waitPart);
}

// Rises while the generation waits, so that the nodes admit in the order of arrival without telling
// each other who waits.
double RoomAdmission::shareFor(const RoomRequest &request) const
{
    const Duration limit = waitLimit(request);
    if (limit <= Duration::zero())
        return m_options.admissionShare;
    const double waited = std::min(1.0, std::chrono::duration<double>(request.waited)
                                                / std::chrono::duration<double>(limit));
    return m_options.lessUrgentShare + (m_options.waitedShare - m_options.lessUrgentShare) * waited;
}

// A generation that is larger than any engine's memory is for the engine to refuse.
bool RoomAdmission::isOpenTo(const RoomRequest &request, const EngineRoom &engine) const
{
    const bool isTooLarge = static_cast<double>(tokensOf(request.load))
                            > m_options.admissionShare * request.memoryTokens;
    if (isTooLarge)
        return true;
    const bool isRead = waitLimit(request) <= request.waited
                        || engine.load.waitingTokens <= m_options.lessUrgentUnreadTokens;
    return memoryShare(request, engine) <= shareFor(request) && isRead;
}

// The memory in use at an engine is taken to be freed evenly.
Duration RoomAdmission::timeUntilRoom(const RoomRequest &request, double leastShare) const
{
    const double missing = leastShare - shareFor(request);
    if (missing <= 0)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(answerTime(request) * (missing / leastShare));
}

// The callers return spread over the time in which half of the memory is freed.
RoomDecision RoomAdmission::refuse(const RoomRequest &request, RoomDecision decision) const
{
    decision.kind = RoomDecision::Kind::Refuse;
    const Duration span = std::min(answerTime(request) / 2, request.timeLeft / 3);
    decision.time = m_options.shortestReturn
                    + m_random.jitter(std::max(span - m_options.shortestReturn, Duration::zero()));
    return decision;
}

std::vector<EngineRoom> RoomAdmission::sample(const RoomRequest &request,
                                              const std::vector<EngineRoom> &engines) const
{
    std::vector<EngineRoom> own;
    std::vector<EngineRoom> other;
    for (const EngineRoom &engine : engines)
        (engine.target->entry.zone == request.zone ? own : other).push_back(engine);
    const auto shrink = [this](std::vector<EngineRoom> &list, std::size_t divisor,
                               std::size_t least) {
        const std::size_t count = std::min(
                list.size(), std::max(list.size() / std::max<std::size_t>(divisor, 1), least));
        for (std::size_t i = 0; i < count; ++i)
            std::swap(list[i], list[i + m_random.uniformBelow(list.size() - i)]);
        list.resize(count);
    };
    // Those that wait look often, and there may be many of them.
    const bool hasLooked = request.isLessUrgent && request.waited >= m_options.recheck;
    shrink(own, hasLooked ? own.size() : m_options.ownZoneDivisor, m_options.ownZoneLeast);
    shrink(other, hasLooked ? other.size() : m_options.otherZoneDivisor, m_options.otherZoneLeast);
    own.insert(own.end(), other.begin(), other.end());
    return own;
}

// Generations that wait at many nodes would all find the one engine that has become free, so that
// all engines are looked at only where nothing else is left.
RoomDecision RoomAdmission::decide(const RoomRequest &request,
                                   const std::vector<EngineRoom> &engines, TimePoint now) const
{
    const RoomDecision first = decideAmong(request, sample(request, engines), now);
    if (first.kind == RoomDecision::Kind::Admit && first.target)
        return first;
    const Duration left = waitLimit(request) - request.waited;
    if (left <= Duration::zero() || engines.empty())
        return decideAmong(request, engines, now);
    double leastShare = std::numeric_limits<double>::max();
    for (const EngineRoom &engine : engines)
        leastShare = std::min(leastShare, memoryShare(request, engine));
    RoomDecision decision = first;
    if (timeUntilRoom(request, leastShare) > left)
        return refuse(request, decision);
    decision.kind = RoomDecision::Kind::Wait;
    decision.time = m_options.recheck / 2 + m_random.jitter(m_options.recheck);
    return decision;
}

RoomDecision RoomAdmission::decideAmong(const RoomRequest &request,
                                        const std::vector<EngineRoom> &engines, TimePoint now) const
{
    Choice open;
    Choice any;
    for (const EngineRoom &engine : engines) {
        const Duration each = cost(request, engine, now);
        if (!any.engine || each < any.cost)
            any = {&engine, each};
        if (isOpenTo(request, engine) && (!open.engine || each < open.cost))
            open = {&engine, each};
    }
    RoomDecision decision;
    const EngineRoom *const best = open.engine ? open.engine : any.engine;
    if (!best)
        return decision;
    decision.target = best->target;
    decision.start = expectedStart(request, *best);
    decision.memoryShare = memoryShare(request, *best);
    const Duration soonest = std::chrono::duration_cast<Duration>(
            decision.start * (m_options.promptTokensPerMs / m_options.mostPromptTokensPerMs));
    const bool isTooLate = request.objective > Duration::zero() && soonest > request.objective;
    return open.engine && !isTooLate ? decision : refuse(request, decision);
}

} // namespace currantwalk
