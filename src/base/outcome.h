#ifndef CURRANTWALK_BASE_OUTCOME_H
#define CURRANTWALK_BASE_OUTCOME_H

#include <optional>
#include <string_view>

namespace currantwalk {

/// The outcome of a request as reported to its caller.
enum class Outcome {
    Done,    ///< The request ran and its complete response was delivered.
    NotRun,  ///< The request provably did not run.
    Failed,  ///< The request ran or was rejected, and ended with a known error.
    Unknown, ///< The request may or may not have run.
};

/// Returns the wire name: "done", "not-run", "failed" or "unknown".
std::string_view outcomeName(Outcome outcome);
/// Returns the outcome with the wire name \a name, or std::nullopt if there is none.
std::optional<Outcome> outcomeFromName(std::string_view name);

} // namespace currantwalk

#endif // CURRANTWALK_BASE_OUTCOME_H
