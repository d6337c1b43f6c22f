#ifndef CURRANTWALK_BASE_ERROR_H
#define CURRANTWALK_BASE_ERROR_H

#include <optional>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace currantwalk {

/// Every failure that the project tells apart. Names on the wire are stable; see errorName().
enum class ErrorCode {
    // The request itself.
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
    // Load, limits and time.
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
    TargetProtocol,
    GenerationLost,
    OutcomeUnknown,
    // The platform's log.
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
    RetryBudgetSpent,
    // Objects and settings.
    ConfigInvalid,
    SettingsInvalid,
    JsonInvalid,
    AddressInvalid,
    TlsInvalid,
    // The program itself.
    SystemCall,
    Internal,
};

/// Whether trying again can be right.
enum class RetryClass {
    Never,        ///< The same request would fail again, or the outcome is not known.
    Sound,        ///< The request is proven not to have run.
    IfIdempotent, ///< It may have run: only an idempotent request may be sent again.
};

/// Returns the stable wire name of \a code, such as "no_target".
std::string_view errorName(ErrorCode code);
/// Returns the code with the wire name \a name, or nothing.
std::optional<ErrorCode> errorFromName(std::string_view name);
/// Returns whether a request that failed with \a code may be tried again.
RetryClass retryClass(ErrorCode code);
/// Returns the HTTP status that tells \a code to a caller.
int httpStatus(ErrorCode code);

/// Makes a status that carries \a code as a payload; \a detail is for people.
absl::Status makeError(ErrorCode code, std::string_view detail);
/// Returns the code that makeError() put into \a status; Internal for statuses made elsewhere.
/// \pre !status.ok()
ErrorCode errorCode(const absl::Status &status);

} // namespace currantwalk

#endif // CURRANTWALK_BASE_ERROR_H
