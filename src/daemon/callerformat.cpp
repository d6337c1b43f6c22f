#include "daemon/callerformat.h"

#include <algorithm>
#include <charconv>

#include "base/json.h"
#include "net/sse.h"

namespace currantwalk {

static constexpr std::size_t MaxTokenLength = 128;
static constexpr std::uint32_t MaxMaxTokens = 1000000;
static constexpr std::int64_t MaxTimeoutMilliseconds = 24 * 3600 * 1000;

static absl::Status invalid(std::string_view detail)
{
    return makeError(ErrorCode::InvalidRequest, detail);
}

static absl::StatusOr<std::string> messageText(const Json::Value &message)
{
    const absl::StatusOr<std::string> role = stringMember(message, "role");
    if (!role.ok())
        return invalid("messages: each needs a role");
    const Json::Value &content = message["content"];
    if (content.isString())
        return *role + ": " + content.asString() + "\n";
    if (!content.isArray())
        return invalid("messages: each needs its content as text");
    std::string text;
    for (const Json::Value &part : content) {
        const absl::StatusOr<std::string> partText = stringMember(part, "text");
        if (!partText.ok())
            return invalid("messages: content parts other than text are not served");
        text += *partText;
    }
    return *role + ": " + text + "\n";
}

static absl::StatusOr<std::string> chatPrompt(const Json::Value &body)
{
    const Json::Value &messages = body["messages"];
    if (!messages.isArray() || messages.empty())
        return invalid("messages: expected an array that is not empty");
    std::string prompt;
    for (const Json::Value &message : messages) {
        const absl::StatusOr<std::string> text = messageText(message);
        if (!text.ok())
            return text.status();
        prompt += *text;
    }
    return prompt + "assistant:";
}

static absl::StatusOr<std::uint32_t> maxTokensOf(const Json::Value &body)
{
    const char *name =
            body.isMember("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    if (!body.isMember(name) || body[name].isNull())
        return 0U;
    const absl::StatusOr<std::uint64_t> value = unsignedMember(body, name);
    if (!value.ok() || *value == 0 || *value > MaxMaxTokens)
        return invalid("max_tokens: expected a whole number above 0");
    return static_cast<std::uint32_t>(*value);
}

static absl::Status parseBody(const std::string &body, CompletionRequest *request)
{
    const absl::StatusOr<Json::Value> json = parseJson(body);
    if (!json.ok())
        return invalid("the body is not JSON");
    if (!json->isObject())
        return invalid("the body is not a JSON object");
    const absl::StatusOr<std::string> model = stringMember(*json, "model");
    if (!model.ok())
        return invalid("model: expected a string");
    request->model = *model;
    const absl::StatusOr<std::string> prompt = request->form == CompletionForm::Chat
                                                       ? chatPrompt(*json)
                                                       : stringMember(*json, "prompt");
    if (!prompt.ok())
        return invalid(std::string(prompt.status().message()));
    if (prompt->empty())
        return invalid("prompt: expected text that is not empty");
    request->prompt = *prompt;
    const absl::StatusOr<std::uint32_t> maxTokens = maxTokensOf(*json);
    if (!maxTokens.ok())
        return maxTokens.status();
    request->maxTokens = *maxTokens;
    if (json->isMember("stream") && !(*json)["stream"].isBool())
        return invalid("stream: expected true or false");
    request->isStream = (*json)["stream"].asBool();
    if (json->isMember("n") && (*json)["n"] != 1)
        return invalid("n: one answer a request is served");
    return absl::OkStatus();
}

static absl::Status parseLossPolicy(const HttpHeaders &headers, LossPolicy *policy)
{
    const std::string_view text = findHeader(headers, "x-on-loss").value_or("end");
    if (text != "end" && text != "restart")
        return invalid("x-on-loss: expected end or restart");
    *policy = text == "restart" ? LossPolicy::Restart : LossPolicy::End;
    return absl::OkStatus();
}

absl::StatusOr<std::optional<Duration>> parseTimeout(const HttpHeaders &headers)
{
    const std::optional<std::string_view> text = findHeader(headers, "x-timeout-ms");
    if (!text)
        return std::optional<Duration>();
    std::int64_t milliseconds = 0;
    const char *end = text->data() + text->size();
    const std::from_chars_result result = std::from_chars(text->data(), end, milliseconds);
    const bool isNumber = !text->empty() && result.ec == std::errc() && result.ptr == end;
    if (!isNumber || milliseconds <= 0 || milliseconds > MaxTimeoutMilliseconds)
        return invalid("x-timeout-ms: expected milliseconds above 0, of at most a day");
    return std::optional<Duration>(std::chrono::milliseconds(milliseconds));
}

absl::StatusOr<CompletionRequest> parseCompletionRequest(CompletionForm form,
                                                         const HttpRequest &request)
{
    CompletionRequest parsed;
    parsed.form = form;
    parsed.lastEventId = std::string(findHeader(request.headers, "last-event-id").value_or(""));
    const absl::StatusOr<std::optional<Duration>> timeout = parseTimeout(request.headers);
    if (!timeout.ok())
        return timeout.status();
    parsed.timeout = *timeout;
    absl::Status status = parseLossPolicy(request.headers, &parsed.lossPolicy);
    if (!status.ok())
        return status;
    const bool isResume = !parsed.lastEventId.empty();
    if (request.method == "GET" && !isResume)
        return invalid("GET: only a resume with last-event-id is served");
    if (isResume && request.body.empty()) {
        parsed.isStream = true;
        return parsed;
    }
    status = parseBody(request.body, &parsed);
    if (!status.ok())
        return status;
    return parsed;
}

std::optional<std::string_view> bearerKey(const HttpHeaders &headers)
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::optional<std::string_view> value = findHeader(headers, "authorization");
    if (!value || value->substr(0, Scheme.size()) != Scheme)
        return std::nullopt;
    return value->substr(Scheme.size());
}

static bool isTokenCharacter(char c)
{
    constexpr std::string_view Marks = "._:-";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
           || Marks.find(c) != std::string_view::npos;
}

bool isValidToken(std::string_view text)
{
    return !text.empty() && text.size() <= MaxTokenLength
           && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

static const char *finishReasonName(FinishReason reason)
{
    return reason == FinishReason::Length ? "length" : "stop";
}

static Json::Value answerFrame(const CompletionInfo &info, bool isChunk)
{
    const bool isChat = info.form == CompletionForm::Chat;
    Json::Value json(Json::objectValue);
    json["id"] = info.requestId;
    json["created"] = Json::Int64(info.createdAt);
    json["model"] = info.model;
    const char *chatObject = isChunk ? "chat.completion.chunk" : "chat.completion";
    json["object"] = isChat ? chatObject : "text_completion";
    return json;
}

static std::string chunkEvent(const CompletionInfo &info, Json::Value choice, const std::string &id)
{
    Json::Value json = answerFrame(info, true);
    choice["index"] = 0;
    json["choices"].append(std::move(choice));
    SseEvent event;
    event.id = id;
    event.data = writeJson(json);
    return writeSse(event);
}

std::string tokenEvent(const CompletionInfo &info, const std::string &text,
                       const std::string &resumeToken, bool isFirst)
{
    Json::Value choice(Json::objectValue);
    choice["finish_reason"] = Json::Value();
    if (info.form == CompletionForm::Text) {
        choice["text"] = text;
        return chunkEvent(info, std::move(choice), resumeToken);
    }
    if (isFirst)
        choice["delta"]["role"] = "assistant";
    choice["delta"]["content"] = text;
    return chunkEvent(info, std::move(choice), resumeToken);
}

std::string finishEvents(const CompletionInfo &info, FinishReason reason)
{
    Json::Value choice(Json::objectValue);
    choice["finish_reason"] = finishReasonName(reason);
    if (info.form == CompletionForm::Text)
        choice["text"] = "";
    else
        choice["delta"] = Json::Value(Json::objectValue);
    SseEvent done;
    done.data = "[DONE]";
    return chunkEvent(info, std::move(choice), "") + writeSse(done);
}

std::string restartEvent()
{
    SseEvent event;
    event.type = "restart";
    event.data = "{}";
    return writeSse(event);
}

std::string wholeAnswer(const CompletionInfo &info, const std::string &text, FinishReason reason,
                        std::uint32_t promptTokens, std::uint32_t completionTokens)
{
    Json::Value choice(Json::objectValue);
    choice["index"] = 0;
    choice["finish_reason"] = finishReasonName(reason);
    if (info.form == CompletionForm::Text) {
        choice["text"] = text;
    } else {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = text;
    }
    Json::Value json = answerFrame(info, false);
    json["choices"].append(std::move(choice));
    json["usage"]["prompt_tokens"] = promptTokens;
    json["usage"]["completion_tokens"] = completionTokens;
    json["usage"]["total_tokens"] = promptTokens + completionTokens;
    return writeJson(json);
}

static std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string errorBody(const absl::Status &status, Outcome outcome, const std::string &requestId,
                      Duration retryAfter)
{
    Json::Value error(Json::objectValue);
    error["code"] = std::string(errorName(errorCode(status)));
    error["message"] = std::string(status.message());
    error["outcome"] = std::string(outcomeName(outcome));
    error["request"] = requestId;
    if (retryAfter > Duration(0))
        error["retry_after_ms"] = Json::Int64(milliseconds(retryAfter));
    Json::Value json(Json::objectValue);
    json["error"] = std::move(error);
    return writeJson(json);
}

std::string errorEvent(const absl::Status &status, Outcome outcome, const std::string &requestId,
                       Duration retryAfter)
{
    SseEvent event;
    event.type = "error";
    event.data = errorBody(status, outcome, requestId, retryAfter);
    return writeSse(event);
}

void respondError(HttpExchange &exchange, const absl::Status &status, Outcome outcome,
                  const std::string &requestId, Duration retryAfter)
{
    const std::string body = errorBody(status, outcome, requestId, retryAfter);
    HttpResponseHead head;
    head.status = httpStatus(errorCode(status));
    head.headers.push_back({"content-type", "application/json"});
    head.headers.push_back({"content-length", std::to_string(body.size())});
    if (!requestId.empty())
        head.headers.push_back({"x-request-id", requestId});
    if (retryAfter > Duration(0)) {
        // The field has whole seconds; rounding down would have the caller come too early.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        head.headers.push_back({"retry-after", std::to_string(seconds)});
    }
    exchange.start(std::move(head));
    exchange.write(body);
    exchange.finish();
}

} // namespace currantwalk
