#ifndef CURRANTWALK_CLI_RENDERING_H
#define CURRANTWALK_CLI_RENDERING_H

#include <string>

#include <json/value.h>

namespace currantwalk {

// Each writes a daemon's answer for people.
std::string renderStatus(const Json::Value &answer);
std::string renderTargets(const Json::Value &answer);
std::string renderHistory(const Json::Value &answer);
std::string renderExplanation(const Json::Value &answer);
std::string renderBurn(const Json::Value &answer);
std::string renderPoison(const Json::Value &answer);
std::string renderOutcome(const Json::Value &answer);
/// Writes a list of changes to objects, as encodeChanges() wrote it.
std::string renderChanges(const Json::Value &changes);

/// Returns a member as text for a cell; "-" where it is absent or null.
std::string cellText(const Json::Value &object, const char *member);

} // namespace currantwalk

#endif // CURRANTWALK_CLI_RENDERING_H
