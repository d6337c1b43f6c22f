#include "daemon/requestfingerprint.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#include "base/ids.h"

namespace currantwalk {

static constexpr std::size_t TextDigits = 16;

// Neither headers nor the host take part: a repetition may come with other ones.
std::uint64_t requestFingerprint(const HttpRequest &request, std::string_view organisation)
{
    std::string head = request.method;
    head += '\n' + request.path + '\n';
    head += organisation;
    return stableHash(request.body, stableHash(head));
}

std::string fingerprintText(std::uint64_t fingerprint)
{
    std::array<char, TextDigits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(fingerprint));
    return text.data();
}

std::optional<std::uint64_t> parseFingerprint(std::string_view text)
{
    constexpr int Hexadecimal = 16;
    std::uint64_t fingerprint = 0;
    const char *const end = text.data() + text.size();
    const std::from_chars_result result =
            std::from_chars(text.data(), end, fingerprint, Hexadecimal);
    if (text.size() != TextDigits || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return fingerprint;
}

std::string promptPartsText(const std::vector<std::uint64_t> &parts)
{
    std::string text;
    for (const std::uint64_t part : parts) {
        std::array<char, TextDigits + 1> digits{};
        std::snprintf(digits.data(), digits.size(), "%llx", static_cast<unsigned long long>(part));
        text += (text.empty() ? "" : ",") + std::string(digits.data());
    }
    return text;
}

std::vector<RequestFeature> promptPartFeatures(const std::vector<std::uint64_t> &parts)
{
    std::vector<RequestFeature> features;
    for (const std::uint64_t part : parts) {
        const std::string subject = "prompt part " + promptPartsText({part});
        const std::uint64_t fingerprint = stableHash(subject);
        const bool isKnown =
                std::any_of(features.begin(), features.end(), [&](const RequestFeature &each) {
                    return each.fingerprint == fingerprint;
                });
        if (!isKnown)
            features.push_back({fingerprint, subject});
    }
    return features;
}

std::string describeRequest(const HttpRequest &request, std::string_view organisation)
{
    std::string text = request.method + ' ' + request.path;
    if (!organisation.empty())
        text += " of " + std::string(organisation);
    return text;
}

} // namespace currantwalk
