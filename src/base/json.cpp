#include "base/json.h"

#include <algorithm>
#include <memory>
#include <sstream>

#include <json/reader.h>
#include <json/writer.h>

namespace currantwalk {

static constexpr int MaxJsonDepth = 64;

static Json::CharReaderBuilder makeReaderBuilder()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = MaxJsonDepth;
    return builder;
}

static absl::Status memberError(const char *name, std::string_view expected)
{
    std::string detail = "member \"";
    detail.append(name).append("\": expected ").append(expected);
    return makeError(ErrorCode::JsonInvalid, detail);
}

static const Json::Value *findMember(const Json::Value &object, const char *name)
{
    if (!object.isObject() || !object.isMember(name))
        return nullptr;
    return &object[name];
}

// The reader and the writer are shared because creating one costs more than parsing or writing a
// small value. This is safe because the program uses JSON on one thread only and finishes each
// value before it starts the next.
static Json::CharReader &sharedReader()
{
    static const std::unique_ptr<Json::CharReader> Reader(makeReaderBuilder().newCharReader());
    return *Reader;
}

static std::unique_ptr<Json::StreamWriter> makeWriter()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
}

absl::StatusOr<Json::Value> parseJson(std::string_view text)
{
    if (!isValidUtf8(text))
        return makeError(ErrorCode::JsonInvalid, "text is not valid UTF-8");
    Json::Value value;
    std::string problems;
    // JsonCpp throws an exception on excessive depth and reports all other errors by its return
    // value.
    try {
        if (!sharedReader().parse(text.data(), text.data() + text.size(), &value, &problems))
            return makeError(ErrorCode::JsonInvalid, problems);
    } catch (const Json::Exception &exception) {
        return makeError(ErrorCode::JsonInvalid, exception.what());
    }
    return value;
}

std::string writeJson(const Json::Value &value)
{
    static const std::unique_ptr<Json::StreamWriter> Writer = makeWriter();
    std::ostringstream text;
    Writer->write(value, &text);
    return std::move(text).str();
}

absl::StatusOr<std::string> stringMember(const Json::Value &object, const char *name)
{
    const Json::Value *member = findMember(object, name);
    if (!member || !member->isString())
        return memberError(name, "a string");
    return member->asString();
}

absl::StatusOr<std::uint64_t> unsignedMember(const Json::Value &object, const char *name)
{
    const Json::Value *member = findMember(object, name);
    if (!member || !member->isUInt64())
        return memberError(name, "an unsigned integer");
    return member->asUInt64();
}

absl::StatusOr<double> numberMember(const Json::Value &object, const char *name)
{
    const Json::Value *member = findMember(object, name);
    if (!member || !member->isNumeric())
        return memberError(name, "a number");
    return member->asDouble();
}

absl::StatusOr<bool> boolMember(const Json::Value &object, const char *name)
{
    const Json::Value *member = findMember(object, name);
    if (!member || !member->isBool())
        return memberError(name, "a boolean");
    return member->asBool();
}

static std::size_t sequenceLength(unsigned char lead)
{
    if (lead < 0x80)
        return 1;
    if (lead >= 0xC2 && lead <= 0xDF)
        return 2;
    if ((lead & 0xF0) == 0xE0)
        return 3;
    if (lead >= 0xF0 && lead <= 0xF4)
        return 4;
    return 0;
}

// Rejects overlong encodings, surrogates and code points above U+10FFFF, all of which show in the
// second byte.
static bool isValidSecondByte(unsigned char lead, unsigned char second)
{
    switch (lead) {
    case 0xE0:
        return second >= 0xA0 && second <= 0xBF;
    case 0xED:
        return second >= 0x80 && second <= 0x9F;
    case 0xF0:
        return second >= 0x90 && second <= 0xBF;
    case 0xF4:
        return second >= 0x80 && second <= 0x8F;
    default:
        return second >= 0x80 && second <= 0xBF;
    }
}

static bool isValidSequence(std::string_view sequence)
{
    if (sequence.size() == 1)
        return true;
    const auto lead = static_cast<unsigned char>(sequence[0]);
    if (!isValidSecondByte(lead, static_cast<unsigned char>(sequence[1])))
        return false;
    for (const char c : sequence.substr(2)) {
        if ((static_cast<unsigned char>(c) & 0xC0) != 0x80)
            return false;
    }
    return true;
}

// Returns the length of the character that a text begins with; 0 if it begins with none.
static std::size_t characterLength(std::string_view text)
{
    const std::size_t length = sequenceLength(static_cast<unsigned char>(text[0]));
    return length <= text.size() && length != 0 && isValidSequence(text.substr(0, length)) ? length
                                                                                           : 0;
}

bool isValidUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = characterLength(text);
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

std::string withValidUtf8(std::string_view text)
{
    static constexpr std::string_view ReplacementCharacter = "\xEF\xBF\xBD";
    std::string valid;
    valid.reserve(text.size());
    while (!text.empty()) {
        const std::size_t length = characterLength(text);
        valid.append(length == 0 ? ReplacementCharacter : text.substr(0, length));
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return valid;
}

std::string shortenedUtf8(std::string_view text, std::size_t maxBytes)
{
    // A replacement character takes more bytes than the one that it replaces, never fewer.
    std::string valid = withValidUtf8(text.substr(0, maxBytes + 1));
    std::size_t size = 0;
    while (size < valid.size()) {
        const std::size_t length = characterLength(std::string_view(valid).substr(size));
        if (size + length > maxBytes)
            break;
        size += length;
    }
    valid.resize(size);
    return valid;
}

} // namespace currantwalk
