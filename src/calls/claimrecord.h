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
    Claim,  ///< A node wants to send the request.
    Void,   ///< The claim has not been used and never will be.
    Doubt,  ///< The claim was used and its result will not be known.
    Result, ///< The claim was used and this came of it.
};

/// One record of a stream of claims.
struct ClaimRecord
{
    ClaimRecordKind kind = ClaimRecordKind::Claim;
    std::string key;     ///< Hash of organisation, service and key.
    std::string claimId; ///< Unique in the fleet.
    std::uint64_t fingerprint = 0;
    std::optional<PlainResponse> response; ///< Of a result; nothing where it was too large.
};

/// Bodies of results beyond this size are not kept.
constexpr std::size_t MaxKeptResultBytes = 16 * std::size_t{1024};

std::string encodeClaimRecord(const ClaimRecord &record);
/// Fails with JsonInvalid.
absl::StatusOr<ClaimRecord> decodeClaimRecord(std::string_view text);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_CLAIMRECORD_H
