#ifndef CURRANTWALK_DAEMON_REQUESTFINGERPRINT_H
#define CURRANTWALK_DAEMON_REQUESTFINGERPRINT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "blame/crashevidence.h"
#include "net/http.h"

namespace currantwalk {

/// Returns a hash that a request of \a organisation has in common with its repetitions, whichever
/// their ids.
std::uint64_t requestFingerprint(const HttpRequest &request, std::string_view organisation);
/// Returns the text of \a fingerprint for logs and records: 16 hexadecimal digits.
std::string fingerprintText(std::uint64_t fingerprint);
/// Returns nothing if \a text is not what fingerprintText() writes.
std::optional<std::uint64_t> parseFingerprint(std::string_view text);
/// Returns the ids of parts of a prompt for logs, in hexadecimal; empty for none.
std::string promptPartsText(const std::vector<std::uint64_t> &parts);
/// Returns what a request whose prompt has these parts has in common with others.
std::vector<RequestFeature> promptPartFeatures(const std::vector<std::uint64_t> &parts);
/// Describes a request to operators by its method, path and organisation.
std::string describeRequest(const HttpRequest &request, std::string_view organisation);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_REQUESTFINGERPRINT_H
