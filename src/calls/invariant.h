#ifndef CURRANTWALK_CALLS_INVARIANT_H
#define CURRANTWALK_CALLS_INVARIANT_H

#include <string_view>

namespace currantwalk {

/// Invariants of every request, checked in every build.
enum class Invariant {
    AllowedTransition,    ///< Requests change state only as their transition table allows.
    OneOutcome,           ///< Each request has exactly one outcome.
    PositionsGrowByOne,   ///< The caller gets tokens in order, without gaps or repeats.
    OneGeneration,        ///< All valid tokens come from one generation.
    AtMostOneSend,        ///< At most one send of a non-idempotent request may have run.
    NotRunIsProven,       ///< "Not run" is reported only if no target can have run it.
    ClaimedBeforeSending, ///< Only the claim winner sends a keyed non-idempotent request.
};

/// Returns the wire name of \a invariant, such as "one-outcome".
std::string_view invariantName(Invariant invariant);

/// Aborts the process with a message if \a holds is false, because continuing could break a
/// guarantee given to a caller.
void requireInvariant(bool holds, Invariant invariant);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_INVARIANT_H
