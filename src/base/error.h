#ifndef CURRANTWALK_BASE_ERROR_H
#define CURRANTWALK_BASE_ERROR_H

#include <optional>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace currantwalk {

/// Error codes of the project. Their wire names are stable; see errorName().
enum class ErrorCode {
    // Invalid requests.
    InvalidRequest,
    Unauthenticated,
    PermissionDenied,
    UnknownModel,
    UnknownService,
    NotFound,
    MethodNotAllowed,
    RequestTooLarge,
    IdempotencyKeyConflict,
    PoisonousRequest,
    ResumeTokenInvalid,
    ResumeExpired,
    // Load, limits, deadlines and cancellation.
    Overloaded,
    RateLimited,
    DeadlineExceeded,
    Draining,
    Cancelled,
    // Targets.
    NoTarget,
    TargetRefused,
    TargetBusy,
    ConnectFailed,
    ConnectionLost,
    TargetProtocolError,
    GenerationLost,
    OutcomeUnknown,
    // The platform's log service.
    LogUnavailable,
    LogAnswerLost,
    LogRecordsExpired,
    // Coordination between nodes.
    NotReady,
    VersionConflict,
    StaleVersion,
    LeaseLost,
    FencedOff,
    PeerUnreachable,
    PeerRefused,
    RetryBudgetExhausted,
    // Objects and settings.
    ConfigInvalid,
    SettingsInvalid,
    JsonInvalid,
    AddressInvalid,
    TlsInvalid,
    // Errors of the operating system or of the program.
    SystemCallFailed,
    Internal,
};

/// Tells whether a failed request may be retried.
enum class RetryClass {
    Never,        ///< A retry would fail again, or the outcome of the request is unknown.
    Safe,         ///< The request provably did not run, so a retry cannot run it twice.
    IfIdempotent, ///< The request may have run: retry only if it is idempotent.
};

/// Returns the stable wire name of \a code, such as "no_target".
std::string_view errorName(ErrorCode code);
/// Returns the code with the wire name \a name, or std::nullopt if there is none.
std::optional<ErrorCode> errorFromName(std::string_view name);
/// Returns whether a request that failed with \a code may be retried.
RetryClass retryClass(ErrorCode code);
/// Returns the HTTP status code that is sent to a caller for \a code.
int httpStatus(ErrorCode code);

/// Returns a status that carries \a code as a payload and \a detail as a human-readable message.
absl::Status makeError(ErrorCode code, std::string_view detail);
/// Returns the code that makeError() stored in \a status, or Internal if another function created
/// the status.
/// \pre !status.ok()
ErrorCode errorCode(const absl::Status &status);

} // namespace currantwalk

#endif // CURRANTWALK_BASE_ERROR_H
