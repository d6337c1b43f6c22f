#include "calls/resumetoken.h"

#include <array>
#include <optional>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "base/json.h"
#include "calls/base64url.h"

namespace currantwalk {

static constexpr std::size_t HashBytes = 32;
static constexpr std::size_t MaxTokenBytes = 4096;

static std::string keyedHash(std::string_view text, std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), hash.data(), &size);
    return {reinterpret_cast<const char *>(hash.data()), size};
}

static bool isSameHash(std::string_view left, std::string_view right)
{
    return left.size() == HashBytes && right.size() == HashBytes
           && CRYPTO_memcmp(left.data(), right.data(), HashBytes) == 0;
}

static absl::Status tokenError(std::string_view detail)
{
    return makeError(ErrorCode::ResumeTokenInvalid, detail);
}

// An array keeps the resume token short, because it is sent with every token of the answer.
static Json::Value encode(const ResumeToken &token)
{
    Json::Value fields(Json::arrayValue);
    fields.append(token.request.text());
    fields.append(token.organisation);
    fields.append(token.service);
    fields.append(token.model);
    fields.append(token.point.generation.target.text());
    fields.append(Json::UInt64(token.point.generation.incarnation));
    fields.append(Json::UInt64(token.point.generation.number));
    fields.append(token.point.nextPosition);
    fields.append(token.vm.text());
    return fields;
}

static bool hasFieldTypes(const Json::Value &fields)
{
    constexpr Json::ArrayIndex Fields = 9;
    if (!fields.isArray() || fields.size() != Fields)
        return false;
    for (const Json::ArrayIndex text : {0U, 1U, 2U, 3U, 4U, 8U}) {
        if (!fields[text].isString())
            return false;
    }
    return fields[5].isUInt64() && fields[6].isUInt64() && fields[7].isUInt();
}

static ResumeToken decode(const Json::Value &fields)
{
    ResumeToken token;
    token.request = RequestId(fields[0].asString());
    token.organisation = fields[1].asString();
    token.service = fields[2].asString();
    token.model = fields[3].asString();
    token.point.generation.target = TargetId(fields[4].asString());
    token.point.generation.incarnation = fields[5].asUInt64();
    token.point.generation.number = fields[6].asUInt64();
    token.point.nextPosition = fields[7].asUInt();
    token.vm = VmId(fields[8].asString());
    return token;
}

std::string signResumeToken(const ResumeToken &token, std::string_view key)
{
    const std::string payload = toBase64Url(writeJson(encode(token)));
    return payload + "." + toBase64Url(keyedHash(payload, key));
}

// Verifies the signature before decoding any of the payload.
absl::StatusOr<ResumeToken> verifyResumeToken(std::string_view text, std::string_view key)
{
    if (text.size() > MaxTokenBytes)
        return tokenError("the resume token is too long");
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos)
        return tokenError("the resume token has no signature");
    const std::string_view payload = text.substr(0, dot);
    const std::optional<std::string> hash = fromBase64Url(text.substr(dot + 1));
    if (!hash || !isSameHash(*hash, keyedHash(payload, key)))
        return tokenError("the resume token's signature does not match");
    const std::optional<std::string> json = fromBase64Url(payload);
    if (!json)
        return tokenError("the resume token is not base64url");
    const absl::StatusOr<Json::Value> fields = parseJson(*json);
    if (!fields.ok() || !hasFieldTypes(*fields))
        return tokenError("the resume token has unexpected fields");
    return decode(*fields);
}

} // namespace currantwalk
