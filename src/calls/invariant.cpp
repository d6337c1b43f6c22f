#include "calls/invariant.h"

#include <cstdio>
#include <cstdlib>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<Invariant>, 7> InvariantNames{{
        {Invariant::AllowedTransition, "allowed-transition"},
        {Invariant::OneOutcome, "one-outcome"},
        {Invariant::PositionsGrowByOne, "positions-grow-by-one"},
        {Invariant::OneGeneration, "one-generation"},
        {Invariant::AtMostOneSend, "at-most-one-send"},
        {Invariant::NotRunIsProven, "not-run-is-proven"},
        {Invariant::ClaimedBeforeSending, "claimed-before-sending"},
}};

std::string_view invariantName(Invariant invariant)
{
    return enumName(InvariantNames, invariant);
}

// Unlike assert(), these checks stay in release builds: they are cheap and guard effects that can't
// be undone.
void requireInvariant(bool holds, Invariant invariant)
{
    if (holds)
        return;
    const std::string_view name = invariantName(invariant);
    std::fprintf(stderr, "calls: invariant broken: %.*s\n", static_cast<int>(name.size()),
                 name.data());
    std::abort();
}

} // namespace currantwalk
