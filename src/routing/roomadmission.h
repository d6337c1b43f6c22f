#ifndef CURRANTWALK_ROUTING_ROOMADMISSION_H
#define CURRANTWALK_ROUTING_ROOMADMISSION_H

#include <cstdint>
#include <string_view>
#include <vector>

#include "routing/targetselector.h"

namespace currantwalk {

/// A generation that asks for room at the engines of its service.
struct RoomRequest
{
    RequestLoad load;
    std::uint32_t memoryTokens = 0; ///< Of each engine.
    /// Whether the service has routes that have time to wait for more urgent ones.
    bool isShared = false;
    /// Whether the engine gets its memory as a copy and has no prompt to read.
    bool isMoved = false;
    /// Whether the service also has requests that are more urgent.
    bool isLessUrgent = false;
    ZoneName zone;         ///< Whose engines are preferred.
    Duration objective{0}; ///< For the first event, from the arrival; 0: none.
    Duration waited{0};    ///< Since the arrival.
    Duration timeLeft{0};  ///< Until the caller gives up.
    Duration spread{0};    ///< A random time of up to this is added to each engine's cost.
};

/// An engine that takes requests, with all that is known to be in flight there.
struct EngineRoom
{
    const ServiceTarget *target = nullptr;
    InFlightLoad load;
    double speed = 1;       ///< Beside the median of the service's engines.
    double rampPenalty = 0; ///< Load, in requests, that the ramp of a new engine adds.
};

/// What becomes of a request for room.
struct RoomDecision
{
    enum class Kind {
        Admit,
        Wait,   ///< Ask again after \a time.
        Refuse, ///< The caller may return after \a time.
    };

    Kind kind = Kind::Admit;
    const ServiceTarget *target = nullptr; ///< Best engine; nullptr where there is none.
    Duration time{0};
    Duration start{0};      ///< Expected time until the first event at the best engine.
    double memoryShare = 0; ///< In expected use at the best engine, with this generation.
};

/// Returns "admit", "wait" or "refuse".
std::string_view roomDecisionName(RoomDecision::Kind kind);

/// Decides at which engine a generation begins, or that it waits at its node or is refused. Answers
/// load beyond the memory of engines and beyond the prompts that they read in time: a generation
/// that does not fit makes another one lose its memory, and a prompt delays the first events of
/// those behind it.
class RoomAdmission
{
public:
    struct Options
    {
        /// Prompt tokens that an engine reads in a millisecond between the tokens of answers.
        double promptTokensPerMs = 7;
        /// Time, in milliseconds, that each request in flight adds to a token of an answer.
        double tokenMsPerRequest = 0.12;
        /// Time of a generation's own, in milliseconds, that an engine's speed changes. The whole
        /// time of the answer would outweigh the memory in use.
        double ownTimeMs = 400;
        /// Cost of each request that the ramp of a new engine adds to its load.
        Duration rampRequestCost = std::chrono::milliseconds(100);
        /// Share of an engine's memory in expected use that it can hold without preemption. The
        /// expected use is that of all generations at their ends, which they reach one after the
        /// other.
        double safeMemoryShare = 0.85;
        /// Cost of a use of the whole memory beyond that share: a prompt is read again.
        Duration overuseCost = std::chrono::seconds(10);
        /// Share above which no generation is admitted.
        double admissionShare = 1.1;
        /// Share above which a less urgent generation waits, at its arrival and at the end of its
        /// wait. The rest is kept for the more urgent, and who has waited longer goes first.
        double lessUrgentShare = 0.95;
        double waitedShare = 1.1;
        /// Unread prompt tokens at an engine above which a less urgent generation waits.
        std::uint64_t lessUrgentUnreadTokens = 7000;
        /// Part of the objective for which a less urgent generation waits.
        double waitPart = 0.4;
        /// Time after which a generation that waits asks again.
        Duration recheck = std::chrono::milliseconds(100);
        /// Prompt tokens that an engine reads in a millisecond when it does nothing else.
        double mostPromptTokensPerMs = 14;
        /// Time that a token of an answer takes beside prompts, in milliseconds.
        double tokenMs = 11;
        /// Of the engines in a zone, one in this many is looked at, but at least so many. All nodes
        /// would choose the engine with the most room until they hear of each other's choices.
        std::size_t ownZoneDivisor = 2;
        std::size_t ownZoneLeast = 3;
        std::size_t otherZoneDivisor = 8;
        std::size_t otherZoneLeast = 2;
        /// Earliest return of a refused caller.
        Duration shortestReturn = std::chrono::milliseconds(300);
        Duration otherZoneCost = std::chrono::milliseconds(400);
        Duration coldCost = std::chrono::milliseconds(200);
    };

    RoomAdmission(const Options &options, RandomSource &random)
        : m_options(options), m_random(random)
    {
    }

    /// Decides by a random part of \a engines, or by all of them if those have no room.
    RoomDecision decide(const RoomRequest &request, const std::vector<EngineRoom> &engines,
                        TimePoint now) const;

private:
    Options m_options;
    RandomSource &m_random;

    /// Engines among which one is chosen, and the best of them.
    struct Choice
    {
        const EngineRoom *engine = nullptr;
        Duration cost{0};
    };

    std::vector<EngineRoom> sample(const RoomRequest &request,
                                   const std::vector<EngineRoom> &engines) const;
    RoomDecision decideAmong(const RoomRequest &request, const std::vector<EngineRoom> &engines,
                             TimePoint now) const;
    RoomDecision refuse(const RoomRequest &request, RoomDecision decision) const;
    double shareFor(const RoomRequest &request) const;
    bool isOpenTo(const RoomRequest &request, const EngineRoom &engine) const;
    Duration waitLimit(const RoomRequest &request) const;
    Duration answerTime(const RoomRequest &request) const;
    Duration timeUntilRoom(const RoomRequest &request, double leastShare) const;
    double memoryShare(const RoomRequest &request, const EngineRoom &engine) const;
    Duration expectedStart(const RoomRequest &request, const EngineRoom &engine) const;
    Duration cost(const RoomRequest &request, const EngineRoom &engine, TimePoint now) const;
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_ROOMADMISSION_H
