#ifndef CURRANTWALK_DAEMON_CALLERFORMAT_H
#define CURRANTWALK_DAEMON_CALLERFORMAT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/outcome.h"
#include "calls/generationcall.h"
#include "net/http.h"

namespace currantwalk {

/// The two forms in which callers ask for generations.
enum class CompletionForm { Text, Chat };

/// A caller's request for a generation, as the body and the fields say.
struct CompletionRequest
{
    CompletionForm form = CompletionForm::Text;
    std::string model; ///< Empty on a resume without a body.
    std::string prompt;
    std::uint32_t maxTokens = 0; ///< 0 where not said.
    bool isStream = false;
    LossPolicy lossPolicy = LossPolicy::End;
    std::optional<Duration> timeout; ///< From the field x-timeout-ms.
    std::string lastEventId;         ///< Empty where the caller does not resume.
};

/// Reads a request for /v1/completions or /v1/chat/completions. Fails with InvalidRequest.
absl::StatusOr<CompletionRequest> parseCompletionRequest(CompletionForm form,
                                                         const HttpRequest &request);

/// Reads the field x-timeout-ms. Fails with InvalidRequest.
absl::StatusOr<std::optional<Duration>> parseTimeout(const HttpHeaders &headers);

/// Returns the API key of "authorization: Bearer KEY", or nothing.
std::optional<std::string_view> bearerKey(const HttpHeaders &headers);

/// Returns whether \a text may serve as a request id or an idempotency key: 1 to 128 characters of
/// letters, digits, '.', '_', ':' and '-'.
bool isValidToken(std::string_view text);

/// What the answer's head says about it.
struct CompletionInfo
{
    CompletionForm form = CompletionForm::Text;
    std::string requestId;
    std::string model;
    std::int64_t createdAt = 0; ///< Seconds since the epoch.
};

/// Writes one token as a server-sent event with the resume token as its id.
std::string tokenEvent(const CompletionInfo &info, const std::string &text,
                       const std::string &resumeToken, bool isFirst);
/// Writes the events that end a stream.
std::string finishEvents(const CompletionInfo &info, FinishReason reason);
/// Writes the event that says that all earlier tokens are void.
std::string restartEvent();
/// Writes a whole answer.
std::string wholeAnswer(const CompletionInfo &info, const std::string &text, FinishReason reason,
                        std::uint32_t promptTokens, std::uint32_t completionTokens);

/// Writes {"error": {"code", "message", "outcome", "request", "retry_after_ms"}}.
std::string errorBody(const absl::Status &status, Outcome outcome, const std::string &requestId,
                      Duration retryAfter);
/// Writes the event that ends a stream by an error.
std::string errorEvent(const absl::Status &status, Outcome outcome, const std::string &requestId,
                       Duration retryAfter);
/// Answers with an error: its HTTP status, `retry-after` where given, and errorBody().
void respondError(HttpExchange &exchange, const absl::Status &status, Outcome outcome,
                  const std::string &requestId, Duration retryAfter);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_CALLERFORMAT_H
