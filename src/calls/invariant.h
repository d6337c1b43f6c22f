#ifndef CURRANTWALK_CALLS_INVARIANT_H
#define CURRANTWALK_CALLS_INVARIANT_H

#include <string_view>

namespace currantwalk {

/// What holds for every request, in every build.
enum class Invariant {
    AllowedTransition,    ///< A request changes state only along its table of transitions.
    OneOutcome,           ///< A request ends once.
    PositionsGrowByOne,   ///< Tokens go to the caller in order, without gap or repeat.
    OneGeneration,        ///< Tokens that are not void come from one generation.
    AtMostOneSend,        ///< A non-idempotent request has at most one send not proven unrun.
    NotRunIsProven,       ///< "Not run" is said only of a request that no target may have run.
    ClaimedBeforeSending, ///< A keyed non-idempotent request is sent only by the claim's winner.
};

/// Returns the wire name of \a invariant, such as "one-outcome".
std::string_view invariantName(Invariant invariant);

/// Ends the process with a message where \a holds is false: going on could break a promise.
void requireInvariant(bool holds, Invariant invariant);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_INVARIANT_H
