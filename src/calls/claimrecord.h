#ifndef CURRANTWALK_CALLS_CLAIMRECORD_H
#define CURRANTWALK_CALLS_CLAIMRECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "calls/plaincall.h"

namespace currantwalk {

enum class ClaimRecordKind {
    Claim,          ///< A node claims the key in order to send the request.
    Withdrawn,      ///< The request was not sent under this claim and never will be.
    OutcomeUnknown, ///< The request was sent, and its outcome will not become known.
    Result,         ///< The request was sent and has been answered.
};

/// One record of a stream of claims.
struct ClaimRecord
{
    ClaimRecordKind kind = ClaimRecordKind::Claim;
    std::string key;     ///< Hash of organisation, service and idempotency key.
    std::string claimId; ///< Unique among all nodes.
    std::uint64_t fingerprint = 0;
    std::optional<PlainResponse> response; ///< Of a Result; unset if its body was too large.
};

/// Responses with larger bodies are not stored in the record.
constexpr std::size_t MaxStoredBodyBytes = 16 * std::size_t{1024};

std::string encodeClaimRecord(const ClaimRecord &record);
/// Fails with JsonInvalid.
absl::StatusOr<ClaimRecord> decodeClaimRecord(std::string_view text);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_CLAIMRECORD_H
