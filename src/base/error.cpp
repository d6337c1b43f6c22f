#include "base/error.h"

#include <array>
#include <cassert>
#include <string>

#include <absl/strings/cord.h>

namespace currantwalk {

namespace {

struct ErrorRow
{
    ErrorCode code;
    std::string_view name;
    RetryClass retry;
    int httpStatus;
    absl::StatusCode statusCode;
};

} // namespace

static constexpr absl::string_view PayloadUrl = "currantwalk/error-code";

static constexpr std::array<ErrorRow, 43> ErrorRows{{
        {ErrorCode::InvalidRequest, "invalid_request", RetryClass::Never, 400,
         absl::StatusCode::kInvalidArgument},
        {ErrorCode::Unauthenticated, "unauthenticated", RetryClass::Never, 401,
         absl::StatusCode::kUnauthenticated},
        {ErrorCode::PermissionDenied, "permission_denied", RetryClass::Never, 403,
         absl::StatusCode::kPermissionDenied},
        {ErrorCode::UnknownModel, "unknown_model", RetryClass::Never, 404,
         absl::StatusCode::kNotFound},
        {ErrorCode::UnknownService, "unknown_service", RetryClass::Never, 404,
         absl::StatusCode::kNotFound},
        {ErrorCode::NotFound, "not_found", RetryClass::Never, 404, absl::StatusCode::kNotFound},
        {ErrorCode::MethodNotAllowed, "method_not_allowed", RetryClass::Never, 405,
         absl::StatusCode::kInvalidArgument},
        {ErrorCode::RequestTooLarge, "request_too_large", RetryClass::Never, 413,
         absl::StatusCode::kInvalidArgument},
        {ErrorCode::IdempotencyKeyConflict, "idempotency_key_conflict", RetryClass::Never, 422,
         absl::StatusCode::kAlreadyExists},
        {ErrorCode::PoisonousRequest, "poisonous_request", RetryClass::Never, 422,
         absl::StatusCode::kFailedPrecondition},
        {ErrorCode::ResumeTokenInvalid, "resume_token_invalid", RetryClass::Never, 400,
         absl::StatusCode::kInvalidArgument},
        {ErrorCode::ResumeExpired, "resume_expired", RetryClass::Never, 410,
         absl::StatusCode::kNotFound},
        {ErrorCode::Overloaded, "overloaded", RetryClass::Safe, 503,
         absl::StatusCode::kResourceExhausted},
        {ErrorCode::RateLimited, "rate_limited", RetryClass::Safe, 429,
         absl::StatusCode::kResourceExhausted},
        {ErrorCode::DeadlineExceeded, "deadline_exceeded", RetryClass::Never, 504,
         absl::StatusCode::kDeadlineExceeded},
        {ErrorCode::Draining, "draining", RetryClass::Safe, 503, absl::StatusCode::kUnavailable},
        {ErrorCode::Cancelled, "cancelled", RetryClass::Never, 499, absl::StatusCode::kCancelled},
        {ErrorCode::NoTarget, "no_target", RetryClass::Safe, 503, absl::StatusCode::kUnavailable},
        {ErrorCode::TargetRefused, "target_refused", RetryClass::Safe, 503,
         absl::StatusCode::kUnavailable},
        {ErrorCode::TargetBusy, "target_busy", RetryClass::Safe, 503,
         absl::StatusCode::kResourceExhausted},
        {ErrorCode::ConnectFailed, "connect_failed", RetryClass::Safe, 502,
         absl::StatusCode::kUnavailable},
        {ErrorCode::ConnectionLost, "connection_lost", RetryClass::IfIdempotent, 502,
         absl::StatusCode::kUnavailable},
        {ErrorCode::TargetProtocolError, "target_protocol", RetryClass::IfIdempotent, 502,
         absl::StatusCode::kDataLoss},
        {ErrorCode::GenerationLost, "generation_lost", RetryClass::Never, 502,
         absl::StatusCode::kDataLoss},
        {ErrorCode::OutcomeUnknown, "outcome_unknown", RetryClass::Never, 502,
         absl::StatusCode::kUnknown},
        {ErrorCode::LogUnavailable, "log_unavailable", RetryClass::Safe, 503,
         absl::StatusCode::kUnavailable},
        {ErrorCode::LogAnswerLost, "log_answer_lost", RetryClass::IfIdempotent, 503,
         absl::StatusCode::kUnknown},
        {ErrorCode::LogRecordsExpired, "log_records_expired", RetryClass::Never, 410,
         absl::StatusCode::kOutOfRange},
        {ErrorCode::NotReady, "not_ready", RetryClass::Safe, 503, absl::StatusCode::kUnavailable},
        {ErrorCode::VersionConflict, "version_conflict", RetryClass::Never, 409,
         absl::StatusCode::kAborted},
        {ErrorCode::StaleVersion, "stale_version", RetryClass::Never, 409,
         absl::StatusCode::kFailedPrecondition},
        {ErrorCode::LeaseLost, "lease_lost", RetryClass::Safe, 503, absl::StatusCode::kAborted},
        {ErrorCode::FencedOff, "fenced_off", RetryClass::Safe, 409, absl::StatusCode::kAborted},
        {ErrorCode::PeerUnreachable, "peer_unreachable", RetryClass::IfIdempotent, 502,
         absl::StatusCode::kUnavailable},
        {ErrorCode::PeerRefused, "peer_refused", RetryClass::Safe, 502,
         absl::StatusCode::kPermissionDenied},
        {ErrorCode::RetryBudgetExhausted, "retry_budget_spent", RetryClass::Never, 503,
         absl::StatusCode::kResourceExhausted},
        {ErrorCode::ConfigInvalid, "config_invalid", RetryClass::Never, 422,
         absl::StatusCode::kInvalidArgument},
        {ErrorCode::SettingsInvalid, "settings_invalid", RetryClass::Never, 500,
         absl::StatusCode::kInvalidArgument},
        {ErrorCode::JsonInvalid, "json_invalid", RetryClass::Never, 400,
         absl::StatusCode::kInvalidArgument},
        {ErrorCode::AddressInvalid, "address_invalid", RetryClass::Never, 500,
         absl::StatusCode::kInvalidArgument},
        {ErrorCode::TlsInvalid, "tls_invalid", RetryClass::Never, 500,
         absl::StatusCode::kInvalidArgument},
        {ErrorCode::SystemCallFailed, "system_call", RetryClass::Never, 500,
         absl::StatusCode::kInternal},
        {ErrorCode::Internal, "internal", RetryClass::Never, 500, absl::StatusCode::kInternal},
}};

static const ErrorRow &findRow(ErrorCode code)
{
    for (const ErrorRow &row : ErrorRows) {
        if (row.code == code)
            return row;
    }
    assert(false && "every error code has a row");
    return ErrorRows.back();
}

std::string_view errorName(ErrorCode code)
{
    return findRow(code).name;
}

std::optional<ErrorCode> errorFromName(std::string_view name)
{
    for (const ErrorRow &row : ErrorRows) {
        if (row.name == name)
            return row.code;
    }
    return std::nullopt;
}

RetryClass retryClass(ErrorCode code)
{
    return findRow(code).retry;
}

int httpStatus(ErrorCode code)
{
    return findRow(code).httpStatus;
}

absl::Status makeError(ErrorCode code, std::string_view detail)
{
    const ErrorRow &row = findRow(code);
    absl::Status status(row.statusCode, absl::string_view(detail.data(), detail.size()));
    status.SetPayload(PayloadUrl, absl::Cord(absl::string_view(row.name.data(), row.name.size())));
    return status;
}

ErrorCode errorCode(const absl::Status &status)
{
    assert(!status.ok() && "an OK status has no error code");
    const absl::optional<absl::Cord> payload = status.GetPayload(PayloadUrl);
    if (!payload)
        return ErrorCode::Internal;
    return errorFromName(std::string(*payload)).value_or(ErrorCode::Internal);
}

} // namespace currantwalk
