#ifndef CURRANTWALK_BASE_OUTCOME_H
#define CURRANTWALK_BASE_OUTCOME_H

#include <optional>
#include <string_view>

namespace currantwalk {

/// What became of a request, as told to its caller.
enum class Outcome {
    Done,    ///< It ran and the whole answer was delivered.
    NotRun,  ///< Proven not to have run.
    Failed,  ///< It ran, or was refused, and ended in an error that is known.
    Unknown, ///< It may have run; nothing proves either.
};

/// Returns the wire name: "done", "not-run", "failed" or "unknown".
std::string_view outcomeName(Outcome outcome);
/// Returns the outcome named \a name, or nothing.
std::optional<Outcome> outcomeFromName(std::string_view name);

} // namespace currantwalk

#endif // CURRANTWALK_BASE_OUTCOME_H
