#ifndef CURRANTWALK_CALLS_RESUMETOKEN_H
#define CURRANTWALK_CALLS_RESUMETOKEN_H

#include <string>
#include <string_view>

#include "base/error.h"
#include "calls/generationcall.h"

namespace currantwalk {

/// Tells where a caller's stream resumes. The signed text form can be verified by every node of the
/// deployment.
struct ResumeToken
{
    RequestId request;
    std::string organisation; ///< Only callers of this organisation may resume.
    std::string service;
    std::string model;
    ResumePosition point;
    /// VM whose node issued the token; it is notified when another node resumes the generation.
    VmId vm;
};

/// Encodes \a token as URL-safe text, signed with HMAC-SHA256.
std::string signResumeToken(const ResumeToken &token, std::string_view key);
/// Verifies and decodes the text of signResumeToken(). Fails with ResumeTokenInvalid.
absl::StatusOr<ResumeToken> verifyResumeToken(std::string_view text, std::string_view key);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_RESUMETOKEN_H
