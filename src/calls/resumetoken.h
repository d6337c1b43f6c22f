#ifndef CURRANTWALK_CALLS_RESUMETOKEN_H
#define CURRANTWALK_CALLS_RESUMETOKEN_H

#include <string>
#include <string_view>

#include "base/error.h"
#include "calls/generationcall.h"

namespace currantwalk {

/// Says where a caller's stream goes on, signed so that any node of the deployment can trust it.
struct ResumeToken
{
    RequestId request;
    std::string organisation; ///< Only its own callers may resume a generation.
    std::string service;
    std::string model;
    ResumePoint point;
    /// That wrote the token; it is told when another node goes on with the generation.
    VmId vm;
};

/// Writes \a token as URL-safe text with a keyed hash of it.
std::string signResumeToken(const ResumeToken &token, std::string_view key);
/// Reads what signResumeToken() wrote. Fails with ResumeTokenInvalid.
absl::StatusOr<ResumeToken> verifyResumeToken(std::string_view text, std::string_view key);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_RESUMETOKEN_H
